#include "callers/problem.h"

#include <nlohmann/json.hpp>
#include <string>

namespace oleandertide::callers {
namespace {

std::string TitleOf(routing::Outcome outcome) {
  if (outcome == routing::Outcome::kNotRun) return "The request did not run";
  return "The request may have run";
}

}  // namespace

http::Response MakeProblem(const calls::Refusal& refusal) {
  return MakeProblem(refusal, routing::HttpStatus(refusal.reason));
}

http::Response MakeProblem(const calls::Refusal& refusal, int status) {
  const std::string reason(routing::ReasonName(refusal.reason));
  const nlohmann::json problem = {
      {"type", "urn:oleandertide:reason:" + reason},
      {"title", TitleOf(refusal.outcome)},
      {"status", status},
      {"outcome", routing::OutcomeName(refusal.outcome)},
      {"reason", reason}};

  http::Response response;
  response.status = status;
  response.content_type = "application/problem+json";
  response.body = problem.dump();
  response.headers.emplace_back(
      "Proxy-Status",
      "oleandertide; error=" +
          std::string(routing::ProxyStatusError(refusal.reason)) +
          "; details=\"" + reason + "\"");
  return response;
}

}  // namespace oleandertide::callers
