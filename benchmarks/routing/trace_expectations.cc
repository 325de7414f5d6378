#include "routing/trace_expectations.h"

#include <sstream>

namespace oleandertide::routing {
namespace {

bool IsMet(double figure, std::string_view comparison, double bound) {
  if (comparison == "=") return figure == bound;
  if (comparison == "<=") return figure <= bound;
  return figure >= bound;
}

}  // namespace

std::vector<std::string> CheckExpectations(
    std::istream& input, std::string_view name,
    const std::map<std::string, double>& figures) {
  std::vector<std::string> problems;
  std::string line;
  for (int number = 1; std::getline(input, line); ++number) {
    if (line.empty() || line[0] == '#') continue;
    std::ostringstream problem;
    problem << name << ':' << number << ": ";
    std::istringstream words(line);
    std::string figure_name;
    std::string comparison;
    double bound = 0;
    words >> figure_name >> comparison >> bound;
    const bool is_known =
        comparison == "=" || comparison == "<=" || comparison == ">=";
    if (!words || !is_known) {
      problem << "not of the form NAME <=|=|>= NUMBER";
      problems.push_back(problem.str());
      continue;
    }
    const auto found = figures.find(figure_name);
    const double figure = found == figures.end() ? 0 : found->second;
    if (IsMet(figure, comparison, bound)) continue;
    problem << "expected " << line << ", but it is " << figure;
    problems.push_back(problem.str());
  }
  return problems;
}

}  // namespace oleandertide::routing
