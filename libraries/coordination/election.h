// Elects one node of the fleet at a time by a lease in the store.

#ifndef OLEANDERTIDE_COORDINATION_ELECTION_H_
#define OLEANDERTIDE_COORDINATION_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "coordination/store_clock.h"
#include "core/result.h"
#include "core/store_position.h"
#include "core/time.h"

namespace oleandertide::coordination {

// Who coordinates the fleet. A higher term replaces a lower one.
struct Holder {
  // Empty if the lease was released.
  std::string node{};
  // 0 if no holder is known.
  std::uint64_t term = 0;
  // By the store's clock.
  std::uint64_t lease_end_ms = 0;

  bool operator==(const Holder&) const = default;
};

// The row of the lease.
struct LeaseRow {
  Holder holder;
  // Tells the lives of the holder's process apart.
  std::string incarnation{};
  // Until then, by the store's clock, rights that earlier terms handed out may
  // still be in use. Such a right ends with the lease of its term at the
  // latest, but a lease may be released or taken over by a restarted process
  // before.
  std::uint64_t earlier_rights_end_ms = 0;
  // Era of the store in which the value was written, as far as its writer knew.
  std::uint64_t written_era = 0;
  // Where the store has the row; no version if it does not exist.
  StorePosition position{};
};

// Writes and reads the value of the row. Thread-safe.
std::string EncodeLease(const LeaseRow& row);
// Error: kDataDamaged.
Result<LeaseRow> DecodeLease(std::string_view value, StorePosition position);

// Decides when this node reads and writes the lease, and whether it holds it.
// The lease is a row that is only written under the version that was read, so
// of two nodes that take it over one fails. A holder acts until the latest time
// at which its lease may end by the store's clock; another node takes over only
// when the store itself says that the lease has ended. So two nodes never hold
// it at once, whatever happens to clocks, links and answers.
//
// A process that starts again takes over the lease of its own earlier life at
// once: that life has ended.
//
// When the store returns from an older copy, the row may name an earlier holder
// while the last one still acts, and rights of terms that the row does not name
// are in use. So a holder that another node told of is waited for, and a new
// term counts the rights of each term that this node knows, and those that a
// row of an earlier era may hide.
//
// Load pattern: the holder is killed, cut off or stopped; the store is away or
// slow, loses answers, performs a write seconds later, or returns from an older
// copy; all processes start together.
//
// Not thread-safe.
class Election {
 public:
  struct Options {
    std::string node;
    std::string incarnation;
    // Time for which a lease is held after it was written.
    Duration lease = std::chrono::seconds(3);
    // Interval of renewals.
    Duration renewal = std::chrono::seconds(1);
    // Time before the end of the lease at which its holder stops to act.
    Duration margin = std::chrono::milliseconds(100);
    // Whether the first read is made at once and only tells who holds the
    // lease, unless it was an earlier life of this process.
    bool reads_at_start = false;
  };

  // What is to be done at the store. Exactly one OnRow, OnReadFailed or
  // OnWritten answers it.
  struct ReadRow {};
  struct WriteRow {
    std::string value;
    // Version that the row must have, 0 if it must not exist.
    std::uint64_t expected_version = 0;
  };
  using Effect = std::variant<std::monostate, ReadRow, WriteRow>;

  explicit Election(Options options) : options_(std::move(options)) {}

  // Called about ten times a second. `delay` is the time after the end of the
  // lease that this node leaves to better suited ones.
  Effect Tick(const StoreClock& clock, BootTime now, Duration delay);

  // The store answered a read at `moment`; nothing if the row does not exist.
  Effect OnRow(const std::optional<LeaseRow>& row, const StoreMoment& moment,
               const StoreClock& clock, BootTime now);
  // The row could not be read.
  void OnReadFailed(BootTime now, double random_fraction);

  // The store answered a write with where it has the row now, or with an
  // error: kConflict if the row has another version.
  void OnWritten(const Result<StorePosition>& position, BootTime now,
                 double random_fraction);

  // Takes in what another node knows.
  void Learn(const Holder& holder);

  // Returns what ends the lease, so that another node need not wait for it. The
  // node does not take it again.
  Effect Release();

  // Whether this node holds the lease now.
  bool is_holder(const StoreClock& clock, BootTime now) const;

  const Holder& holder() const { return holder_; }

  // The row as this node wrote it last, if it is or was the holder; nothing
  // once another holder is known.
  const std::optional<LeaseRow>& own_row() const { return own_; }

 private:
  // Counts the rights of terms that this node knows.
  void CountRights(std::uint64_t end_ms);
  // Counts the rights of the terms that a row names or may hide.
  void CountRightsOf(const std::optional<LeaseRow>& row,
                     const StoreMoment& moment);
  // Claims or renews the lease; `before` is the row as it was read.
  Effect Claim(std::uint64_t term, const LeaseRow& before,
               const StoreClock& clock, BootTime now);

  const Options options_;
  Holder holder_;
  // The row as this node wrote it, if it holds the lease.
  std::optional<LeaseRow> own_;
  // The row that a write in progress would make.
  std::optional<LeaseRow> pending_;
  // Whether a write of the held row ended without an answer.
  bool is_row_uncertain_ = false;
  bool is_busy_ = false;
  bool is_released_ = false;
  bool has_read_ = false;
  // Era in which the row was last read.
  std::uint64_t era_ = 0;
  // Greatest end of the rights of all terms that this node knows.
  std::uint64_t known_rights_end_ms_ = 0;
  // The next read or write at the earliest.
  BootTime next_at_{};
  // When the end of the known lease was first noticed.
  std::optional<BootTime> ended_since_;
};

}  // namespace oleandertide::coordination

#endif  // OLEANDERTIDE_COORDINATION_ELECTION_H_
