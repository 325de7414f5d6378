#include "callers/caller_server.h"

#include <charconv>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "callers/problem.h"

namespace oleandertide::callers {
namespace {

constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::string_view kDeadlineHeader =
    "Oleandertide-Deadline-Milliseconds";
constexpr std::int64_t kMaximumDeadlineMilliseconds = 3'600'000;
constexpr std::size_t kMaximumKeyBytes = 255;

calls::Refusal BadRequest() {
  return {routing::Reason::kBadRequest, routing::Outcome::kNotRun};
}

// The deadline, nothing if none was given, or an error if it is malformed.
Result<std::optional<Duration>> ReadDeadline(const http::Headers& headers) {
  const std::string_view text = http::FindHeader(headers, kDeadlineHeader);
  if (text.empty()) return std::optional<Duration>();
  std::int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, status] = std::from_chars(text.data(), end, milliseconds);
  const bool is_valid = status == std::errc() && stop == end &&
                        milliseconds >= 1 &&
                        milliseconds <= kMaximumDeadlineMilliseconds;
  if (!is_valid) return Error::kInvalidArgument;
  return std::optional<Duration>(std::chrono::milliseconds(milliseconds));
}

calls::Request ToCall(const http::Request& request) {
  calls::Request call;
  call.method = request.method;
  call.target = request.target;
  call.headers.reserve(request.headers.size());
  for (const auto& [name, value] : request.headers) {
    call.headers.push_back({name, value});
  }
  call.body = request.body;
  call.idempotency_key = http::FindHeader(request.headers, kKeyHeader);
  return call;
}

// Keys of scheduled jobs share the table with those of callers.
bool IsAllowedKey(std::string_view key) {
  constexpr std::string_view kJobPrefix = "job/";
  return key.size() <= kMaximumKeyBytes && !key.starts_with(kJobPrefix);
}

http::Response ToResponse(calls::Answer&& answer) {
  http::Response response;
  response.status = answer.status;
  response.content_type = "";
  for (calls::Header& header : answer.headers) {
    response.headers.emplace_back(std::move(header.name),
                                  std::move(header.value));
  }
  response.body = std::move(answer.body);
  return response;
}

http::Response Serve(calls::Ingress& ingress, const http::Request& request,
                     const std::stop_token& cancelled) {
  const auto deadline = ReadDeadline(request.headers);
  calls::Request call = ToCall(request);
  if (!deadline || !IsAllowedKey(call.idempotency_key)) {
    return MakeProblem(BadRequest());
  }
  calls::CallResult result =
      ingress.Handle(std::move(call), deadline.value(), cancelled);
  if (const auto* refusal = std::get_if<calls::Refusal>(&result)) {
    return MakeProblem(*refusal);
  }
  return ToResponse(std::move(std::get<calls::Answer>(result)));
}

http::Response MakeError(int status) {
  constexpr int kServiceUnavailable = 503;
  calls::Refusal refusal = BadRequest();
  if (status == kServiceUnavailable) {
    refusal.reason = routing::Reason::kConnectionLimit;
  }
  return MakeProblem(refusal, status);
}

}  // namespace

Result<std::unique_ptr<http::Server>> StartCallerServer(
    const Address& address, const http::ServerOptions& options,
    calls::Ingress& ingress) {
  return http::Server::Start(
      address, options,
      [&ingress](const http::Request& request,
                 const std::stop_token& cancelled) {
        return Serve(ingress, request, cancelled);
      },
      MakeError);
}

}  // namespace oleandertide::callers
