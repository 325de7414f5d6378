// Generates traces, replays them and checks their stated outcomes.
//
//   routing_replay --generate FOLDER     writes the kept traces
//   routing_replay [--without LIST] TRACE…
//
// Prints one line "name value" for each figure of each trace. If a file with
// the extension .expected lies beside a trace, its expectations are checked.
// Exit codes: 0, 1 for an expectation that is not met, 2 for a trace that
// cannot be read or a wrong command line.

#include <gflags/gflags.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <variant>

#include "routing/replay.h"
#include "routing/trace.h"
#include "routing/trace_expectations.h"
#include "routing/trace_generator.h"

DEFINE_string(generate, "", "folder to write the kept traces to");
DEFINE_string(without, "",
              "mechanisms to switch off: choice, budget, admission, "
              "quarantine, drain; separated by commas");

namespace oleandertide::routing {
namespace {

constexpr int kExpectationFailed = 1;
constexpr int kUnreadable = 2;

int Generate(const std::filesystem::path& folder) {
  for (const NamedTrace& trace : GenerateTraces()) {
    std::ofstream output(folder / (trace.name + ".jsonl"));
    WriteTrace(trace.trace, output);
    if (!output.flush()) {
      std::cerr << folder.string() << ": cannot be written\n";
      return kUnreadable;
    }
  }
  return 0;
}

ReplayOptions Options() {
  const auto is_off = [](std::string_view name) {
    return ("," + FLAGS_without + ",").find("," + std::string(name) + ",") !=
           std::string::npos;
  };
  ReplayOptions options;
  if (is_off("choice")) options.choice = ChoiceKind::kRandom;
  options.has_retry_budget = !is_off("budget");
  options.has_admission = !is_off("admission");
  options.has_quarantine = !is_off("quarantine");
  options.has_drain = !is_off("drain");
  return options;
}

int ReplayFile(const std::string& path) {
  std::ifstream input(path);
  if (!input) {
    std::cerr << path << ": cannot be opened\n";
    return kUnreadable;
  }
  const auto trace = ReadTrace(input, path);
  if (const auto* problem = std::get_if<TraceProblem>(&trace)) {
    std::cerr << problem->text << '\n';
    return kUnreadable;
  }
  const ReplayResult result = Replay(std::get<Trace>(trace), Options());
  std::cout << "# " << path << '\n';
  for (const auto& [name, value] : result.figures) {
    std::cout << name << ' ' << value << '\n';
  }
  const auto expected_path =
      std::filesystem::path(path).replace_extension(".expected");
  std::ifstream expected(expected_path);
  if (!expected) return 0;
  const auto problems =
      CheckExpectations(expected, expected_path.string(), result.figures);
  for (const std::string& problem : problems) std::cerr << problem << '\n';
  return problems.empty() ? 0 : kExpectationFailed;
}

}  // namespace
}  // namespace oleandertide::routing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (!FLAGS_generate.empty()) {
    return oleandertide::routing::Generate(FLAGS_generate);
  }
  int worst = argc > 1 ? 0 : oleandertide::routing::kUnreadable;
  for (int i = 1; i < argc; ++i) {
    worst = std::max(worst, oleandertide::routing::ReplayFile(argv[i]));
  }
  return worst;
}
