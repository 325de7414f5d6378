#include "command/report.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

#include "core/json.h"

namespace oleandertide::command {
namespace {

using acceptance::Accepted;
using acceptance::Conflict;
using acceptance::DocumentItem;
using acceptance::EnvironmentRecord;
using acceptance::RetiredItems;
using acceptance::Undecided;
using Json = nlohmann::json;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Report MakeReport(ExitCode code, std::string text, const Json& json) {
  return {code, std::move(text), Dump(json)};
}

Json ToJson(const EnvironmentRecord& record) {
  return Json::parse(acceptance::FormatEnvironmentRecord(record));
}

Json ToJson(const std::optional<EnvironmentRecord>& record) {
  return record.has_value() ? ToJson(*record) : Json();
}

Json ToJson(std::span<const DocumentItem> items) {
  Json list = Json::array();
  for (const DocumentItem& item : items) {
    list.push_back({{"kind", item.kind}, {"name", item.name}});
  }
  return list;
}

Json LinesToJson(std::string_view text) {
  Json lines = Json::array();
  while (!text.empty()) {
    const auto end = std::min(text.find('\n'), text.size());
    lines.push_back(std::string(text.substr(0, end)));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

std::string Indent(std::string_view text) {
  std::string indented;
  for (const Json& line : LinesToJson(text)) {
    indented += "  " + line.get<std::string>() + '\n';
  }
  return indented;
}

std::string ListItems(std::string_view word,
                      std::span<const DocumentItem> items) {
  std::string text;
  for (const DocumentItem& item : items) {
    text += "  " + std::string(word) + item.kind + ' ' + item.name + '\n';
  }
  return text;
}

std::string Describe(const EnvironmentRecord& record) {
  return "sequence " + std::to_string(record.sequence) + ", document " +
         record.digest + ", operator " + record.operator_name;
}

struct OutcomeReporter {
  Report operator()(const Accepted& accepted) const {
    const EnvironmentRecord& record = accepted.record;
    return MakeReport(ExitCode::kSuccess,
                      accepted.environment + " accepted: " + Describe(record) +
                          ", base " + std::to_string(record.base) + '\n' +
                          ListItems("retired ", accepted.retired) +
                          ListItems("revived ", accepted.revived),
                      {{"outcome", "accepted"},
                       {"environment", accepted.environment},
                       {"record", ToJson(record)},
                       {"retired", ToJson(accepted.retired)},
                       {"revived", ToJson(accepted.revived)}});
  }

  Report operator()(const Conflict& conflict) const {
    std::string text = "refused: " + conflict.environment +
                       " is no longer at sequence " +
                       std::to_string(conflict.expected) + '\n';
    if (conflict.winner.has_value()) {
      text += "  the change that won: " + Describe(*conflict.winner) + '\n';
    }
    if (conflict.current.has_value() && conflict.current != conflict.winner) {
      text += "  current: " + Describe(*conflict.current) + '\n';
    }
    if (!conflict.difference.empty()) {
      text += "Difference from the current document to the refused one:\n" +
              Indent(conflict.difference);
    }
    return MakeReport(ExitCode::kRefused, text,
                      {{"outcome", "conflict"},
                       {"environment", conflict.environment},
                       {"expected", conflict.expected},
                       {"winner", ToJson(conflict.winner)},
                       {"current", ToJson(conflict.current)},
                       {"difference", LinesToJson(conflict.difference)}});
  }

  Report operator()(const RetiredItems& retired) const {
    return MakeReport(
        ExitCode::kRefused,
        "refused: the document names items that were retired; give "
        "--revive=NAME to bring one back\n" +
            ListItems("", retired.items),
        {{"outcome", "retired-items"}, {"items", ToJson(retired.items)}});
  }

  Report operator()(const Undecided& undecided) const {
    const EnvironmentRecord& record = undecided.record;
    return MakeReport(
        ExitCode::kOutcomeUnknown,
        "outcome unknown: the platform's answer was lost. The change took "
        "effect if `oleandertide history --environment=" +
            undecided.environment + "` shows sequence " +
            std::to_string(record.sequence) + " with nonce " + record.nonce +
            '\n',
        {{"outcome", "unknown"},
         {"environment", undecided.environment},
         {"record", ToJson(record)}});
  }
};

std::string DescribeEnvironment(
    std::string_view name, const std::optional<EnvironmentRecord>& record) {
  return std::string(name) + ": " +
         (record.has_value() ? Describe(*record) : "nothing accepted") + '\n';
}

// Lists the members of the node's answer that are neither lists nor objects.
std::string DescribeNode(const NodeStatus& node) {
  std::string text = "node " + node.address + ':';
  if (!node.is_reachable) return text + " not reachable\n";
  const auto body = ParseJson(node.body);
  if (!body || !body->is_object())
    return text + " the answer is not a JSON object\n";
  for (const auto& [name, value] : body->items()) {
    if (value.is_structured()) continue;
    text += ' ' + name + '=' +
            (value.is_string() ? value.get<std::string>() : Dump(value));
  }
  return text + '\n';
}

Json ToJson(const NodeStatus& node) {
  const auto body = ParseJson(node.body);
  return {{"address", node.address},
          {"reachable", node.is_reachable},
          {"status", body && body->is_object() ? *body : Json()}};
}

}  // namespace

int Print(const Report& report, bool as_json) {
  const bool is_success = report.code == ExitCode::kSuccess || report.is_result;
  std::FILE* stream = as_json || is_success ? stdout : stderr;
  const std::string output = as_json ? report.json + '\n' : report.text;
  std::fwrite(output.data(), 1, output.size(), stream);
  return static_cast<int>(report.code);
}

Report ReportUsage(std::string_view problem) {
  return MakeReport(
      ExitCode::kUsage,
      std::string(problem) + "\nRun `oleandertide --help` for the usage.\n",
      {{"outcome", "usage"}, {"error", problem}});
}

Report ReportInvalid(const config::Diagnostics& diagnostics) {
  Json list = Json::array();
  for (const config::Diagnostic& diagnostic : diagnostics) {
    list.push_back({{"file", diagnostic.file},
                    {"line", diagnostic.line},
                    {"key", diagnostic.key},
                    {"message", diagnostic.message}});
  }
  std::string text = config::ToString(diagnostics);
  if (!text.ends_with('\n')) text += '\n';
  return MakeReport(ExitCode::kInvalidInput, text,
                    {{"outcome", "invalid"}, {"diagnostics", list}});
}

Report ReportInvalidFile(std::string_view file, std::string_view problem) {
  const std::string text = std::string(file) + ": " + std::string(problem);
  return MakeReport(ExitCode::kInvalidInput, text + '\n',
                    {{"outcome", "invalid"}, {"error", text}});
}

Report ReportError(std::string_view what, std::error_code error) {
  const std::string text = std::string(what) + ": " + error.message();
  return MakeReport(ToExitCode(error), text + '\n',
                    {{"outcome", "error"}, {"error", text}});
}

Report ReportOutcome(const acceptance::Outcome& outcome) {
  return std::visit(OutcomeReporter{}, outcome);
}

Report ReportValid(std::size_t services, std::size_t routes, std::size_t jobs) {
  return MakeReport(ExitCode::kSuccess,
                    "valid: " + std::to_string(services) + " services, " +
                        std::to_string(routes) + " routes, " +
                        std::to_string(jobs) + " jobs\n",
                    {{"outcome", "valid"},
                     {"services", services},
                     {"routes", routes},
                     {"jobs", jobs}});
}

Report ReportDifference(std::string_view from, std::string_view to,
                        std::string_view difference) {
  std::string text = "from " + std::string(from) + " to " + std::string(to);
  text += difference.empty() ? ": no difference\n" : ":\n" + Indent(difference);
  return MakeReport(ExitCode::kSuccess, text,
                    {{"outcome", "difference"},
                     {"from", from},
                     {"to", to},
                     {"difference", LinesToJson(difference)}});
}

Report ReportHistory(std::string_view environment,
                     std::span<const EnvironmentRecord> records) {
  Json list = Json::array();
  std::string text = std::string(environment) + ":\n";
  for (const EnvironmentRecord& record : records) {
    list.push_back(ToJson(record));
    text += "  " + Describe(record) + ", base " + std::to_string(record.base) +
            ", nonce " + record.nonce + '\n';
  }
  return MakeReport(ExitCode::kSuccess, text,
                    {{"outcome", "history"},
                     {"environment", environment},
                     {"records", list}});
}

Report ReportStatus(const std::optional<EnvironmentRecord>& trial,
                    const std::optional<EnvironmentRecord>& production,
                    std::span<const NodeStatus> nodes) {
  const acceptance::Sequence current =
      production.has_value() ? production->sequence : 0;
  const bool is_promotable = trial.has_value() && trial->base == current;
  std::string text = DescribeEnvironment(acceptance::kTrial, trial) +
                     DescribeEnvironment(acceptance::kProduction, production);
  text += is_promotable ? "trial can be promoted\n"
                        : "trial cannot be promoted: it was not drafted on "
                          "production's current sequence\n";
  Json node_list = Json::array();
  for (const NodeStatus& node : nodes) {
    node_list.push_back(ToJson(node));
    text += DescribeNode(node);
  }
  return MakeReport(ExitCode::kSuccess, text,
                    {{"outcome", "status"},
                     {"trial", ToJson(trial)},
                     {"production", ToJson(production)},
                     {"promotable", is_promotable},
                     {"nodes", node_list}});
}

}  // namespace oleandertide::command
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

#include "command/report.h"
