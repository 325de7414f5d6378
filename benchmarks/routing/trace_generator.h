// Generator of the traces that are kept under benchmarks/traces.

#ifndef OLEANDERTIDE_BENCHMARKS_ROUTING_TRACE_GENERATOR_H_
#define OLEANDERTIDE_BENCHMARKS_ROUTING_TRACE_GENERATOR_H_

#include <string>
#include <vector>

#include "routing/trace.h"

namespace oleandertide::routing {

struct NamedTrace {
  std::string name;  // File name without folder and extension.
  Trace trace;
};

// Returns the kept traces; equal on every run. For each of the two deployments
// a busy evening with a promotion and churn, and a herd of callers that returns
// to cold backend servers.
std::vector<NamedTrace> GenerateTraces();

// Returns a trace with one service under constant load, `load` times its
// capacity, for `seconds` seconds; nine of ten requests are lookups.
Trace GenerateConstantLoad(double load, int seconds, int backend_servers);

// Returns the requests a second that a service can run.
double Capacity(const TraceService& service);

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_BENCHMARKS_ROUTING_TRACE_GENERATOR_H_
