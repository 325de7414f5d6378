#include "backend_servers/session.h"

#include <array>
#include <string_view>
#include <utility>
#include <variant>

namespace oleandertide::backend_servers {
namespace {

constexpr Duration kDeathProbeTimeout = std::chrono::milliseconds(200);

constexpr std::string_view kDeadlineHeader =
    "Oleandertide-Deadline-Milliseconds";
constexpr std::string_view kRetryHeader = "Oleandertide-Retry";

// Fields that concern one connection only (RFC 9110, section 7.6.1), and those
// that the HTTP library sets itself.
constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "connection", "keep-alive",        "proxy-connection",
    "te",         "transfer-encoding", "upgrade",
    "trailer",    "content-length",    "expect"};

bool IsForwarded(std::string_view name) {
  for (const std::string_view dropped : kConnectionHeaders) {
    if (http::HasSameName(name, dropped)) return false;
  }
  return !http::HasSameName(name, kDeadlineHeader) &&
         !http::HasSameName(name, kRetryHeader);
}

http::Request ToHttp(const calls::ForwardedRequest& request,
                     MonotonicTime now) {
  http::Request out;
  out.method = request.request.method;
  out.target = request.request.target;
  out.body = request.request.body;
  for (const calls::Header& header : request.request.headers) {
    if (IsForwarded(header.name)) {
      out.headers.emplace_back(header.name, header.value);
    }
  }
  out.headers.emplace_back(
      kDeadlineHeader,
      std::to_string(ToMilliseconds(request.request.deadline - now)));
  if (request.is_retry) out.headers.emplace_back(kRetryHeader, "1");
  return out;
}

calls::Answer ToAnswer(http::Response&& response) {
  calls::Answer answer;
  answer.status = response.status;
  for (auto& [name, value] : response.headers) {
    if (IsForwarded(name)) {
      answer.headers.push_back({std::move(name), std::move(value)});
    }
  }
  answer.body = std::move(response.body);
  return answer;
}

}  // namespace

Session::Session(Announcement announcement, const SessionOptions& options,
                 routing::Admission admission)
    : announcement_(std::move(announcement)),
      pool_(announcement_.address, options.maximum_answer_bytes),
      gate_(std::move(admission)) {}

Result<std::shared_ptr<Session>> Session::Create(
    const Announcement& announcement, const SessionOptions& options) {
  routing::AdmissionOptions admission_options;
  admission_options.slots = announcement.slots;
  admission_options.connections = announcement.connections;
  admission_options.queue_length = options.queue_length;
  OLEANDERTIDE_TRY(admission, routing::Admission::Create(admission_options));
  return std::shared_ptr<Session>(
      new Session(announcement, options, std::move(admission)));
}

calls::CallResult Session::Send(const calls::ForwardedRequest& request,
                                std::stop_token cancelled) {
  {
    std::lock_guard lock(mutex_);
    in_flight_.insert(request.fingerprint);
  }
  auto outcome = pool_.Send(ToHttp(request, MonotonicClock::now()),
                            request.request.deadline, std::move(cancelled));
  calls::CallResult result;
  if (const auto* failure = std::get_if<http::Failure>(&outcome)) {
    result = Classify(*failure);
  } else {
    result = ToAnswer(std::move(std::get<http::Response>(outcome)));
  }
  std::lock_guard lock(mutex_);
  in_flight_.erase(in_flight_.find(request.fingerprint));
  return result;
}

calls::Refusal Session::Classify(http::Failure failure) {
  using routing::Outcome;
  using routing::Reason;
  switch (failure) {
    case http::Failure::kConnectFailed:
      Probe(kDeathProbeTimeout);
      return {Reason::kConnectFailed, Outcome::kNotRun};
    case http::Failure::kTimeout:
      return {Reason::kDeadlineInFlight, Outcome::kUnknown};
    case http::Failure::kCancelled:
      return {Reason::kCallerGone, Outcome::kUnknown};
    case http::Failure::kConnectionLost:
      break;
  }
  const bool is_dead = Probe(kDeathProbeTimeout);
  return {is_dead ? Reason::kBackendServerDied : Reason::kConnectionLost,
          Outcome::kUnknown};
}

bool Session::is_dead() const {
  std::lock_guard lock(mutex_);
  return is_dead_;
}

bool Session::Probe(Duration timeout) {
  if (is_dead()) return true;
  if (pool_.IsAccepting(timeout)) return false;
  MarkDead();
  return true;
}

void Session::MarkDead() {
  {
    std::lock_guard lock(mutex_);
    if (is_dead_) return;
    is_dead_ = true;
    suspects_.assign(in_flight_.begin(), in_flight_.end());
  }
  gate_.Close(routing::Reason::kConnectFailed);
}

std::vector<std::uint64_t> Session::TakeSuspects() {
  std::lock_guard lock(mutex_);
  return std::exchange(suspects_, {});
}

}  // namespace oleandertide::backend_servers
