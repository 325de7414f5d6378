// Interface to the platform's transactional table and object store.

#ifndef OLEANDERTIDE_STORE_STORE_H_
#define OLEANDERTIDE_STORE_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/result.h"

namespace oleandertide::store {

// Version of a row. It grows with each write; kAbsent stands for no row.
using RowVersion = std::uint64_t;
inline constexpr RowVersion kAbsent = 0;

// Most rows that one transaction may name.
inline constexpr std::size_t kMaximumTransactionRows = 256;

struct Row {
  std::string value;
  RowVersion version = kAbsent;
};

// The row still has the version that the reader named.
struct Unchanged {};

// No row has the key.
struct Absent {};

using ReadOutcome = std::variant<Row, Unchanged, Absent>;

// Requires that row `key` has exactly `version` (kAbsent: that it is absent).
struct Condition {
  std::string key;
  RowVersion version = kAbsent;
};

struct Write {
  std::string key;
  std::string value;
};

// All conditions held and all writes took effect.
struct Committed {
  std::map<std::string, RowVersion> versions;
};

// Nothing was written, because the conditions on these keys did not hold.
struct Refused {
  std::vector<std::string> failed_keys;
};

using TransactionOutcome = std::variant<Committed, Refused>;

// Implementations state their own thread safety. Errors common to all methods:
// kUnavailable, kRateLimited and kTimeout; of these, for Transact, only
// kUnavailable and kRateLimited mean that nothing was written. A transaction
// whose answer was lost gives kOutcomeUnknown.
class Store {
 public:
  virtual ~Store() = default;

  // Reads a row. With `known_version` set and still current, the outcome is
  // Unchanged.
  virtual Result<ReadOutcome> ReadRow(
      std::string_view key, std::optional<RowVersion> known_version) = 0;

  // Applies all writes if all conditions hold, otherwise none. Precondition:
  // conditions and writes name at most kMaximumTransactionRows rows.
  virtual Result<TransactionOutcome> Transact(
      std::span<const Condition> conditions, std::span<const Write> writes) = 0;

  // Stores an object that never changes. An object that is present already
  // counts as stored.
  virtual Result<void> PutObject(std::string_view digest,
                                 std::string_view bytes) = 0;

  // Reads an object. Error kNotFound if there is none.
  virtual Result<std::string> FetchObject(std::string_view digest) = 0;
};

}  // namespace oleandertide::store

#endif  // OLEANDERTIDE_STORE_STORE_H_
