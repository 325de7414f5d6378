// Recorded or generated events of a deployment, for replay.
//
// A trace is a text file with one JSON object a line; empty lines and lines
// that begin with '#' are skipped. Times are whole milliseconds from the start
// and must not decrease from line to line. The first object is the header; the
// others are events. docs/traces.md describes all fields.

#ifndef OLEANDERTIDE_BENCHMARKS_ROUTING_TRACE_H_
#define OLEANDERTIDE_BENCHMARKS_ROUTING_TRACE_H_

#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/time.h"
#include "routing/request_class.h"

namespace oleandertide::routing {

// Backend servers of one service. They are named "service/0", "service/1", …
// and placed in the data centres in turn.
struct TraceService {
  std::string name;
  int backend_servers = 1;
  int slots = 1;
  int connections = 128;
  Duration service_time{0};
};

struct TraceHeader {
  std::uint64_t seed = 1;
  std::vector<std::string> data_centres;
  Duration latency_between_data_centres{0};
  Duration latency_to_callers{0};
  // A backend server that has just started needs this many times its service
  // time; the factor falls to 1 over 10 s.
  double cold_factor = 1;
  std::vector<TraceService> services;
};

// `count` requests, spread over `over` at random.
struct TraceArrivals {
  std::string service;
  std::string route;
  RequestClass request_class = RequestClass::kLookup;
  int count = 1;
  Duration over{0};
  Duration deadline{0};
  bool is_repeatable = false;
  // All requests have the same fingerprint and kill what runs them.
  bool is_crashing = false;
  // Times that a caller sends a request that was refused as not run.
  int caller_attempts = 1;
};

struct TraceDeath {
  std::string backend_server;
};
struct TraceRestart {
  std::string backend_server;
};
struct TraceDrain {
  std::string backend_server;
};
// The backend server needs `factor` times its service time from now on, while
// it reports itself healthy.
struct TraceSlow {
  std::string backend_server;
  double factor = 1;
};
// A promotion that retires a route; each node acts on it within `within`.
struct TracePromotion {
  std::string retired_route;
  Duration within{0};
};

struct TraceEvent {
  Duration at{0};
  std::variant<TraceArrivals, TraceDeath, TraceRestart, TraceDrain, TraceSlow,
               TracePromotion>
      what;
};

struct Trace {
  TraceHeader header;
  std::vector<TraceEvent> events;
};

// Why a trace cannot be read, as "file:line: explanation".
struct TraceProblem {
  std::string text;
};

// Reads and checks a trace; `name` is used in problems only.
std::variant<Trace, TraceProblem> ReadTrace(std::istream& input,
                                            std::string_view name);

// Writes a trace that ReadTrace() reads back.
void WriteTrace(const Trace& trace, std::ostream& output);

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_BENCHMARKS_ROUTING_TRACE_H_
