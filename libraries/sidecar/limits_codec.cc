#include "sidecar/limits_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>

#include "sidecar/limits.capnp.h"

namespace oleandertide::sidecar {
namespace {

// Names of organisations, 64 bytes each on average, for the largest number of
// organisations; a payload that claims more is malformed.
constexpr std::uint64_t kTraversalLimitWords = std::uint64_t{1} << 18U;

std::string Write(capnp::MessageBuilder& message) {
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::uint32_t ToUs(Duration duration) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

// Calls `read` with the root of the payload; nothing if that is malformed.
template <typename Root, typename Read>
auto ReadPayload(std::string_view payload, Read read)
    -> std::optional<decltype(read(typename Root::Reader()))> {
  std::optional<decltype(read(typename Root::Reader()))> result;
  const auto exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
    capnp::PackedMessageReader reader(
        stream, {.traversalLimitInWords = kTraversalLimitWords});
    result = read(reader.template getRoot<Root>());
  });
  if (exception != nullptr) return std::nullopt;
  return result;
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
  return Write(message);
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
  return Write(message);
}

std::optional<organisations::TokenRequest> DecodeTokenRequest(
    std::string_view payload) {
  return ReadPayload<wire::TokenRequest>(
      payload, [](wire::TokenRequest::Reader root) {
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
  return ReadPayload<wire::TokenGrant>(
      payload, [](wire::TokenGrant::Reader root) {
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
