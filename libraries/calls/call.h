// A call on its way from a caller to a backend server, and its outcome.

#ifndef OLEANDERTIDE_CALLS_CALL_H_
#define OLEANDERTIDE_CALLS_CALL_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/time.h"
#include "routing/reason.h"
#include "routing/request_class.h"

namespace oleandertide::calls {

struct Header {
  std::string name;
  std::string value;
};

// What a caller, or a scheduled job, asked for.
struct Request {
  std::string method;
  std::string target;  // Path and query as the caller sent them.
  std::vector<Header> headers;
  std::string body;
  std::string idempotency_key;  // Empty when the caller gave none.
  MonotonicTime deadline;
};

// The part of a route that decides how a request is treated.
struct RoutePolicy {
  std::string route;
  std::string service;
  routing::RequestClass request_class = routing::RequestClass::kLookup;
  bool is_repeatable = false;
};

// A request as the ingress forwards it to the receiver.
struct ForwardedRequest {
  std::uint64_t id = 0;        // Repeated in the answer.
  std::uint64_t sequence = 0;  // Configuration on which the ingress acts.
  RoutePolicy policy;          // Taken from that configuration.
  std::string job;             // Scheduled job; empty for callers.
  std::uint64_t fingerprint = 0;
  std::uint64_t token = 0;  // The same for all attempts of one request.
  bool is_retry = false;
  Request request;
};

// The backend server's whole answer.
struct Answer {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

// An answer of the system itself in place of a backend server's.
struct Refusal {
  routing::Reason reason{};
  routing::Outcome outcome{};
};

using CallResult = std::variant<Answer, Refusal>;

}  // namespace oleandertide::calls

#endif  // OLEANDERTIDE_CALLS_CALL_H_
