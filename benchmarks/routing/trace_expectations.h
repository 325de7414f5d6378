// Stated outcomes of a trace and their check.

#ifndef OLEANDERTIDE_BENCHMARKS_ROUTING_TRACE_EXPECTATIONS_H_
#define OLEANDERTIDE_BENCHMARKS_ROUTING_TRACE_EXPECTATIONS_H_

#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleandertide::routing {

// Checks figures against expectations, one a line: a name, one of "=", "<="
// and ">=", and a number. Empty lines and lines that begin with '#' are
// skipped. A figure that is absent counts as 0. Returns one message
// "file:line: …" for each expectation that is not met or cannot be read.
std::vector<std::string> CheckExpectations(
    std::istream& input, std::string_view name,
    const std::map<std::string, double>& figures);

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_BENCHMARKS_ROUTING_TRACE_EXPECTATIONS_H_
