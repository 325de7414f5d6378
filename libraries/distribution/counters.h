// Counters of the distributor.

#ifndef OLEANDERTIDE_DISTRIBUTION_COUNTERS_H_
#define OLEANDERTIDE_DISTRIBUTION_COUNTERS_H_

#include <cstdint>

namespace oleandertide::distribution {

// The names of the members are the names of the exported counters.
struct Counters {
  std::uint64_t exchanges_sent = 0;
  std::uint64_t exchanges_received = 0;
  std::uint64_t exchanges_failed = 0;
  std::uint64_t replies_unmatched = 0;
  std::uint64_t input_rejected = 0;  // records, versions or entries
  std::uint64_t synchronisations = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t platform_reads = 0;
  std::uint64_t platform_read_errors = 0;
  std::uint64_t contacts_reads = 0;
  std::uint64_t contacts_writes = 0;
  std::uint64_t documents_fetched = 0;  // fetches started
  std::uint64_t documents_invalid = 0;
  std::uint64_t documents_damaged = 0;
  std::uint64_t documents_missing = 0;
  std::uint64_t documents_unavailable = 0;
  std::uint64_t activations = 0;
  std::uint64_t older_sequences_refused = 0;
  std::uint64_t digest_conflicts = 0;  // one sequence with two digests
  std::uint64_t commits_counted = 0;
  std::uint64_t pauses = 0;
};

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_COUNTERS_H_
