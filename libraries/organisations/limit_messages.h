// What nodes and the coordinator exchange on limits of organisations.

#ifndef OLEANDERTIDE_ORGANISATIONS_LIMIT_MESSAGES_H_
#define OLEANDERTIDE_ORGANISATIONS_LIMIT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace oleandertide::organisations {

// Time after a token request was sent for which the tokens granted for it may
// be spent. The node counts it from its own request, which is earlier than the
// grant, so no clock is compared and a late answer gives nothing.
inline constexpr Duration kTokenLifetime = std::chrono::milliseconds(200);

// Lowest demand for which a node holds a standing rate, in requests a second.
inline constexpr double kLeastStandingRate = 2;

// Depth of the bucket through which a node uses a standing rate, in seconds of
// the rate; it is at least one request.
inline constexpr double kStandingDepthSeconds = 0.2;

// A node asks for tokens of some organisations. A token admits one request.
struct TokenRequest {
  struct Ask {
    std::string organisation{};
    // Requests that wait.
    std::uint32_t needed = 0;
    // Further tokens for the demand expected soon.
    std::uint32_t spare = 0;
    // Requests a second, if the node wants a standing rate or its renewal; 0
    // otherwise.
    double demand = 0;

    bool operator==(const Ask&) const = default;
  };

  // Names the request within the life of the node's process.
  std::uint64_t sequence = 0;
  std::vector<Ask> asks{};

  bool operator==(const TokenRequest&) const = default;
};

// The answer of the coordinator.
struct TokenGrant {
  struct Item {
    std::uint32_t tokens = 0;
    // Whether the coordinator's configuration sets no limit.
    bool is_unlimited = false;
    // If fewer tokens than needed were granted: time until there is one again.
    Duration until_token{};
    // When those who got none should come back; not before `until_token`.
    Duration retry_after{};
    // Requests a second that the node may admit by itself; 0 if none is granted
    // with this answer.
    double standing_rate = 0;
    // The standing rate ends this time after the node's request was sent.
    Duration standing_for{};

    bool operator==(const Item&) const = default;
  };

  std::uint64_t sequence = 0;
  // In the order of the request's asks.
  std::vector<Item> items{};

  bool operator==(const TokenGrant&) const = default;
};

}  // namespace oleandertide::organisations

#endif  // OLEANDERTIDE_ORGANISATIONS_LIMIT_MESSAGES_H_
