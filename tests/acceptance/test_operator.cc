#include "acceptance/test_operator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>
#include <utility>

namespace oleandertide::acceptance {
namespace {

constexpr std::size_t kWholeHistory = 1000;

std::vector<std::string> Lines(std::string_view text) {
  std::istringstream stream{std::string(text)};
  std::vector<std::string> lines;
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  std::sort(lines.begin(), lines.end());
  return lines;
}

Result<std::vector<DocumentItem>> LineItems(std::string_view document) {
  if (document == "invalid") return Error::kInvalidArgument;
  std::vector<DocumentItem> items;
  for (const std::string& line : Lines(document)) {
    const auto space = line.find(' ');
    items.push_back({line.substr(0, space), line.substr(space + 1)});
  }
  return items;
}

std::string LineDifference(std::string_view before, std::string_view after) {
  const auto old_lines = Lines(before);
  const auto new_lines = Lines(after);
  std::string difference;
  for (const std::string& line : old_lines) {
    if (!std::binary_search(new_lines.begin(), new_lines.end(), line)) {
      difference += '-' + line + '\n';
    }
  }
  for (const std::string& line : new_lines) {
    if (!std::binary_search(old_lines.begin(), old_lines.end(), line)) {
      difference += '+' + line + '\n';
    }
  }
  return difference;
}

}  // namespace

DocumentInspector LineInspector() { return {LineItems, LineDifference}; }

TestOperator::TestOperator(store::Store& store, std::string name,
                           std::uint64_t seed)
    : name_(std::move(name)),
      random_(seed),
      acceptance_(store, waiter_, random_, LineInspector()) {}

Result<Outcome> TestOperator::Submit(std::string_view document) {
  return acceptance_.Submit({document, name_, std::nullopt});
}

Result<Outcome> TestOperator::Promote(std::vector<std::string> revive) {
  return acceptance_.Promote({name_, revive, std::nullopt});
}

EnvironmentRecord Release(TestOperator& person, std::string_view document,
                          std::vector<std::string> revive) {
  const auto submitted = person.Submit(document);
  REQUIRE(submitted.has_value());
  REQUIRE(std::holds_alternative<Accepted>(submitted.value()));
  const auto promoted = person.Promote(std::move(revive));
  REQUIRE(promoted.has_value());
  REQUIRE(std::holds_alternative<Accepted>(promoted.value()));
  return std::get<Accepted>(promoted.value()).record;
}

std::optional<EnvironmentRecord> FindRecordOf(store::Store& store,
                                              std::string_view environment,
                                              std::string_view person) {
  TestOperator reader(store, "reader", 0);
  const auto records =
      reader.acceptance().History(environment, kWholeHistory).value();
  const auto found = std::find_if(
      records.begin(), records.end(),
      [&](const auto& record) { return record.operator_name == person; });
  if (found == records.end()) return std::nullopt;
  return *found;
}

}  // namespace oleandertide::acceptance
