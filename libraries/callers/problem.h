// Problem documents for refused calls.

#ifndef OLEANDERTIDE_CALLERS_PROBLEM_H_
#define OLEANDERTIDE_CALLERS_PROBLEM_H_

#include "calls/call.h"
#include "http/server.h"

namespace oleandertide::callers {

// Makes the answer to a refused call: a problem document (RFC 9457) with the
// members `outcome` ("not-run" or "unknown") and `reason`, and a Proxy-Status
// field (RFC 9209). Thread-safe.
http::Response MakeProblem(const calls::Refusal& refusal);

// The same with another HTTP status than the reason's.
http::Response MakeProblem(const calls::Refusal& refusal, int status);

}  // namespace oleandertide::callers

#endif  // OLEANDERTIDE_CALLERS_PROBLEM_H_
