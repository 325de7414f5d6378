// Counts the holders of a version in one data centre.

#ifndef OLEANDERTIDE_DISTRIBUTION_COMMIT_COUNTER_H_
#define OLEANDERTIDE_DISTRIBUTION_COMMIT_COUNTER_H_

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace oleandertide::distribution {

// Decides that a sequence is committed in two steps. First, reports show that
// floor(N/2)+1 members hold the sequence or a higher one. Then the same
// processes confirm it in answers to questions asked after that moment.
//
// Reports alone are not enough. A holder may report, restart, become ready
// from members that have not fetched the version yet, and still be counted; a
// later restart of an acting node could then find a majority without the
// version. The second step proves that all counted holders held the version at
// one moment. Not thread-safe.
class CommitCounter {
 public:
  struct Holder {
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
  };

  // Most members for which reports are kept.
  static constexpr std::size_t kMaximumHolders = 4096;

  // Records that `address` holds `sequence` in the process `life`. Reports
  // may arrive out of order; within one life the highest sequence counts.
  void Report(std::string_view address, std::uint64_t life,
              std::uint64_t sequence);

  // Drops the report of a member that has left or is dead.
  void Forget(std::string_view address);

  // Starts the second step for the highest sequence above `committed` that
  // enough members hold, unless one is running that is younger than `limit`.
  // A step that does not end in time, because answers were lost, is replaced
  // by one that includes the holders reported since. Returns true if a step
  // was started.
  bool Begin(MonotonicTime now, std::uint64_t own_sequence,
             std::uint64_t committed, std::size_t members, Duration limit);

  // The sequence under verification, if any.
  std::optional<std::uint64_t> candidate() const { return candidate_; }

  // Members whose answers are needed, while a candidate is verified.
  std::vector<std::string> Questioned() const;

  // Records the answer to a question asked at `asked_at`. Returns the
  // committed sequence once enough members have answered.
  std::optional<std::uint64_t> Verify(
      std::string_view address, std::uint64_t life, std::uint64_t sequence,
      MonotonicTime asked_at, std::uint64_t own_sequence, std::size_t members);

  // Ends the second step without a result.
  void Cancel() { candidate_.reset(); }

 private:
  std::optional<std::uint64_t> Decide(std::uint64_t own_sequence,
                                      std::size_t members);

  absl::btree_map<std::string, Holder, std::less<>> holders_;
  std::optional<std::uint64_t> candidate_;
  MonotonicTime candidate_since_;
  struct Verification {
    std::uint64_t life = 0;
    bool verified = false;
  };
  absl::btree_map<std::string, Verification, std::less<>> verifications_;
  std::size_t verified_ = 0;
};

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_COMMIT_COUNTER_H_
