#include "sidecar/limits_codec.h"

#include <capnp/message.h>

#include <algorithm>
#include <limits>

#include "sidecar/limits.capnp.h"
#include "sidecar/packed_message.h"

namespace oleandertide::sidecar {
namespace {

// Names of organisations, 64 bytes each on average, for the largest number of
// organisations; a payload that claims more is malformed.
constexpr std::uint64_t kTraversalLimitWords = std::uint64_t{1} << 18U;

std::uint32_t ToUs(Duration duration) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

std::string EncodeTokenRequest(const organisations::TokenRequest& request) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::TokenRequest>();
  root.setSequence(request.sequence);
  auto asks = root.initAsks(static_cast<unsigned>(request.asks.size()));
  for (unsigned i = 0; i < asks.size(); ++i) {
    asks[i].setOrganisation(request.asks[i].organisation);
    asks[i].setNeeded(request.asks[i].needed);
    asks[i].setSpare(request.asks[i].spare);
    asks[i].setDemand(static_cast<float>(request.asks[i].demand));
  }
  return WritePacked(message);
}

std::string EncodeTokenGrant(const organisations::TokenGrant& grant) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::TokenGrant>();
  root.setSequence(grant.sequence);
  auto items = root.initItems(static_cast<unsigned>(grant.items.size()));
  for (unsigned i = 0; i < items.size(); ++i) {
    items[i].setTokens(grant.items[i].tokens);
    items[i].setIsUnlimited(grant.items[i].is_unlimited);
    items[i].setUntilTokenUs(ToUs(grant.items[i].until_token));
    items[i].setRetryAfterUs(ToUs(grant.items[i].retry_after));
    items[i].setStandingRate(static_cast<float>(grant.items[i].standing_rate));
    items[i].setStandingForMs(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ToMilliseconds(grant.items[i].standing_for), 0,
                                 std::numeric_limits<std::uint32_t>::max())));
  }
  return WritePacked(message);
}

std::optional<organisations::TokenRequest> DecodeTokenRequest(
    std::string_view payload) {
  return ReadPacked<wire::TokenRequest>(
      payload, kTraversalLimitWords, [](wire::TokenRequest::Reader root) {
        organisations::TokenRequest request{.sequence = root.getSequence()};
        for (const auto ask : root.getAsks()) {
          const auto name = ask.getOrganisation();
          request.asks.push_back(
              {.organisation = std::string(name.begin(), name.size()),
               .needed = ask.getNeeded(),
               .spare = ask.getSpare(),
               .demand = ask.getDemand()});
        }
        return request;
      });
}

std::optional<organisations::TokenGrant> DecodeTokenGrant(
    std::string_view payload) {
  return ReadPacked<wire::TokenGrant>(
      payload, kTraversalLimitWords, [](wire::TokenGrant::Reader root) {
        organisations::TokenGrant grant{.sequence = root.getSequence()};
        for (const auto item : root.getItems()) {
          grant.items.push_back(
              {.tokens = item.getTokens(),
               .is_unlimited = item.getIsUnlimited(),
               .until_token = Duration(item.getUntilTokenUs()),
               .retry_after = Duration(item.getRetryAfterUs()),
               .standing_rate = item.getStandingRate(),
               .standing_for =
                   std::chrono::milliseconds(item.getStandingForMs())});
        }
        return grant;
      });
}

}  // namespace oleandertide::sidecar
