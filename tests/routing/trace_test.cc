#include "routing/trace.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

#include "routing/trace_expectations.h"
#include "routing/trace_generator.h"

namespace oleandertide::routing {
namespace {

constexpr std::string_view kHeader =
    R"({"format":"oleandertide-routing-trace","version":1,"seed":1,)"
    R"("data_centres":["a"],"latency_between_data_centres_us":1,)"
    R"("latency_to_callers_us":1,"cold_factor":1,"services":[{"name":"rooms",)"
    R"("backend_servers":2,"slots":1,"connections":9,"service_time_us":5}]})";

std::string ProblemOf(const std::string& event) {
  std::istringstream input(std::string(kHeader) + "\n# comment\n\n" + event);
  const auto trace = ReadTrace(input, "some.jsonl");
  const auto* problem = std::get_if<TraceProblem>(&trace);
  return problem == nullptr ? "" : problem->text;
}

// Guards against an invalid trace that is replayed without an error, and
// against error messages that do not locate the problem.
TEST_CASE("problems of a trace name file, line and field") {
  REQUIRE(ProblemOf(R"({"at_ms":5,"event":"death","backend_server":"rooms/1"})")
              .empty());
  REQUIRE(ProblemOf("{") == "some.jsonl:4: not a JSON object");
  REQUIRE(ProblemOf(R"({"at_ms":5,"event":"flood"})") ==
          R"(some.jsonl:4: field "event" is no known kind of event)");
  REQUIRE(ProblemOf(R"({"event":"death","backend_server":"rooms/1"})") ==
          R"(some.jsonl:4: field "at_ms" is missing)");
  for (const char* name : {"rooms/2", "rooms/", "rooms/x", "rooms", "bar/0"}) {
    REQUIRE(ProblemOf(R"({"at_ms":5,"event":"drain","backend_server":")" +
                      std::string(name) + "\"}") ==
            "some.jsonl:4: field \"backend_server\" names no backend server of "
            "the header");
  }
  REQUIRE(ProblemOf(R"({"at_ms":5,"event":"slow","backend_server":"rooms/0",)"
                    R"("factor":0.5})") ==
          R"(some.jsonl:4: field "factor" must be a number of at least 1)");
  REQUIRE(
      ProblemOf(R"({"at_ms":5,"event":"death","backend_server":"rooms/1"})"
                "\n"
                R"({"at_ms":4,"event":"death","backend_server":"rooms/1"})") ==
      R"(some.jsonl:5: field "at_ms" is before the event above)");
  std::istringstream empty;
  REQUIRE(std::get<TraceProblem>(ReadTrace(empty, "none")).text ==
          "none:0: has no header");
}

// Guards against a trace writer and reader that disagree on the format.
TEST_CASE("generated traces are read back as they were written") {
  for (const NamedTrace& named : GenerateTraces()) {
    std::ostringstream first;
    WriteTrace(named.trace, first);
    std::istringstream input(first.str());
    const auto trace = ReadTrace(input, named.name);
    REQUIRE(std::holds_alternative<Trace>(trace));
    std::ostringstream second;
    WriteTrace(std::get<Trace>(trace), second);
    REQUIRE(first.str() == second.str());
  }
}

// Guards against expectations that are silently ignored.
TEST_CASE("expectations that are not met or not understood are reported") {
  std::istringstream expected("# comment\ncut = 0\nshare >= 0.9\ncut < 1\n");
  const auto problems =
      CheckExpectations(expected, "x.expected", {{"cut", 2}, {"share", 0.95}});
  REQUIRE(problems.size() == 2);
  REQUIRE(problems[0] == "x.expected:2: expected cut = 0, but it is 2");
  REQUIRE(problems[1] == "x.expected:4: not of the form NAME <=|=|>= NUMBER");
}

}  // namespace
}  // namespace oleandertide::routing
