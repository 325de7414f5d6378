#include "jobs/job_row.h"

#include <nlohmann/json.hpp>

#include "core/json.h"

namespace oleandertide::jobs {
namespace {

using Json = nlohmann::json;

// The end of the year 9999, in seconds since the Unix epoch.
constexpr std::int64_t kMaxDueSeconds = 253'402'300'799;

}  // namespace

std::string JobRowKey(std::string_view environment, std::string_view job) {
  std::string key = "job/";
  key.append(environment).append("/").append(job);
  return key;
}

std::string EnvironmentRowKey(std::string_view environment) {
  std::string key = "environment/";
  key.append(environment);
  return key;
}

std::string EncodeJobRow(const JobRow& row) {
  const Json json{{"due", row.due.time_since_epoch().count()},
                  {"holder", row.holder},
                  {"token", row.token},
                  {"sequence", row.sequence}};
  return json.dump(-1, ' ', /*ensure_ascii=*/false,
                   Json::error_handler_t::replace);
}

Result<JobRow> DecodeJobRow(std::string_view value) {
  const auto json = ParseJson(value);
  if (!json) return Error::kDataDamaged;
  OLEANDERTIDE_TRY(due, ReadInteger(*json, "due", 0, kMaxDueSeconds));
  OLEANDERTIDE_TRY(holder, ReadText(*json, "holder"));
  OLEANDERTIDE_TRY(token, ReadUnsigned(*json, "token"));
  OLEANDERTIDE_TRY(sequence, ReadUnsigned(*json, "sequence"));
  return JobRow{.due = WallTime(std::chrono::seconds(due)),
                .holder = std::string(holder),
                .token = token,
                .sequence = sequence};
}

Result<std::uint64_t> DecodeEnvironmentSequence(std::string_view value) {
  const auto json = ParseJson(value);
  if (!json) return Error::kDataDamaged;
  return ReadUnsigned(*json, "sequence");
}

ClaimTransaction BuildClaim(std::string_view environment,
                            const ClaimDueTime& claim) {
  const std::string job_key = JobRowKey(environment, claim.job);
  ClaimTransaction transaction;
  transaction.conditions = {
      {job_key, claim.job_version},
      {EnvironmentRowKey(environment), claim.environment_version}};
  transaction.writes = {{job_key, EncodeJobRow(claim.row)}};
  return transaction;
}

}  // namespace oleandertide::jobs
