// What the distributor asks its node to do.

#ifndef OLEANDERTIDE_DISTRIBUTION_EFFECTS_H_
#define OLEANDERTIDE_DISTRIBUTION_EFFECTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "distribution/messages.h"

namespace oleandertide::distribution {

// The result is given to OnExchangeReply or OnExchangeFailed.
struct SendExchange {
  std::string to;
  Exchange message;
};

// The result is given to OnSyncReply or OnSyncFailed.
struct SendSyncRequest {
  std::string to;
  SyncRequest message;
};

// Fetch, verify, parse and validate a document; then call OnDocument. With an
// empty `from` the document comes from the platform.
struct FetchDocument {
  std::string from;
  Version version;
};

// Read the environment's row; then call OnPlatformRead with `started_at`.
struct ReadEnvironmentRow {
  std::uint64_t known_sequence = 0;  // last one that this node read
  MonotonicTime started_at;
};

// Read the row `contacts/{data_centre}`; then call OnContactsRead.
struct ReadContacts {
  std::string data_centre;
};

// Write the row `contacts/{data_centre}`. No result is expected.
struct WriteContacts {
  std::string data_centre;
  std::vector<std::string> addresses;
};

// Publish the snapshot of this version, which OnDocument has reported valid.
struct Activate {
  Version version;
};

// A version was refused as a whole; the one in force stays. For logging.
struct Refused {
  Version version;
  std::string from;  // empty for the platform
  std::string reason;
};

using Effect = std::variant<SendExchange, SendSyncRequest, FetchDocument,
                            ReadEnvironmentRow, ReadContacts, WriteContacts,
                            Activate, Refused>;
using Effects = std::vector<Effect>;

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_EFFECTS_H_
