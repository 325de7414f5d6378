// The row that records the last claimed due time of a job, and the transaction
// that claims one.

#ifndef OLEANDERTIDE_JOBS_JOB_ROW_H_
#define OLEANDERTIDE_JOBS_JOB_ROW_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "store/store.h"

namespace oleandertide::jobs {

// Value of the row `job/{environment}/{job}`.
struct JobRow {
  // Last due time that was claimed.
  WallTime due;
  // Node that claimed it; for display.
  std::string holder;
  // Random value of the claim, by which its holder recognises it.
  std::uint64_t token = 0;
  // Sequence of the configuration on which the holder acted.
  std::uint64_t sequence = 0;

  bool operator==(const JobRow&) const = default;
};

// Effect: claim the due time with BuildClaim and pass the outcome to
// JobScheduler::HandleClaim.
struct ClaimDueTime {
  std::string job;
  // Version of the job's row on which the decision is based.
  store::RowVersion job_version = store::kAbsent;
  // Version of the environment's row that holds `row.sequence`.
  store::RowVersion environment_version = store::kAbsent;
  JobRow row;
};

struct ClaimTransaction {
  std::vector<store::Condition> conditions;
  std::vector<store::Write> writes;
};

// All functions are thread-safe.
std::string JobRowKey(std::string_view environment, std::string_view job);
std::string EnvironmentRowKey(std::string_view environment);
std::string EncodeJobRow(const JobRow& row);

// Error kDataDamaged if `value` is not an encoded row.
Result<JobRow> DecodeJobRow(std::string_view value);

// Returns the field `sequence` of an environment's row. Error kDataDamaged if
// there is none.
Result<std::uint64_t> DecodeEnvironmentSequence(std::string_view value);

// Returns the transaction that moves the job's row to the due time. It requires
// that neither the job's nor the environment's row has changed: nobody else
// claimed the due time, and no newer configuration was accepted.
ClaimTransaction BuildClaim(std::string_view environment,
                            const ClaimDueTime& claim);

}  // namespace oleandertide::jobs

#endif  // OLEANDERTIDE_JOBS_JOB_ROW_H_
