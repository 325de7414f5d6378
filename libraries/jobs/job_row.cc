#include "jobs/job_row.h"

#include <nlohmann/json.hpp>

namespace oleandertide::jobs {
namespace {

using Json = nlohmann::json;

Json ParseObject(std::string_view value) {
  Json json = Json::parse(value, nullptr, /*allow_exceptions=*/false);
  return json.is_object() ? json : Json::object();
}

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
  try {
    const Json json = ParseObject(value);
    return JobRow{.due = WallTime(
                      std::chrono::seconds(json.at("due").get<std::int64_t>())),
                  .holder = json.at("holder").get<std::string>(),
                  .token = json.at("token").get<std::uint64_t>(),
                  .sequence = json.at("sequence").get<std::uint64_t>()};
  } catch (const Json::exception&) {
    return Error::kDataDamaged;
  }
}

Result<std::uint64_t> DecodeEnvironmentSequence(std::string_view value) {
  try {
    return ParseObject(value).at("sequence").get<std::uint64_t>();
  } catch (const Json::exception&) {
    return Error::kDataDamaged;
  }
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
