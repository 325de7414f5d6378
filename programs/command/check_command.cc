#include "command/check_command.h"

#include <fmt/format.h>
#include <httplib.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <variant>

#include "command/document_inspector.h"
#include "command/flags.h"
#include "config/document.h"
#include "core/address.h"
#include "platform/checks/check_finding.h"
#include "platform/checks/configuration_check.h"
#include "platform/configuration_codec.h"
#include "platform/names.h"
#include "platform/store_codec.h"

namespace oleandertide::command {
namespace {

using Json = nlohmann::json;

// Documents of this size or more are rejected.
constexpr std::size_t kMaximumBytes = std::size_t{64} << 20U;
// The store's answer has the document as a JSON string, and orders after it.
constexpr std::size_t kMaximumAnswerBytes = 2 * kMaximumBytes;
constexpr std::chrono::seconds kStoreTimeout{5};

struct Source {
  std::string name;
  std::string text;
};
using SourceOrReport = std::variant<Source, Report>;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Names come from the document and could control the terminal.
std::string WithoutControls(std::string text) {
  std::ranges::replace_if(
      text,
      [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; },
      '?');
  return text;
}

Report ReportUnreadable(const std::string& name, std::string_view cause) {
  const std::string line = WithoutControls(fmt::format("{}: {}", name, cause));
  return {static_cast<ExitCode>(CheckExitCode::kUnreadable), line + '\n',
          Dump({{"outcome", "unreadable"}, {"error", line}})};
}

// Reads at most kMaximumBytes; a text of that size is to be rejected.
SourceOrReport ReadSource(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return ReportUnreadable(file, "cannot be opened");
  constexpr std::size_t kPart = std::size_t{1} << 20U;
  std::string text;
  while (stream && text.size() < kMaximumBytes) {
    const std::size_t size = text.size();
    text.resize(size + kPart);
    stream.read(text.data() + size, kPart);
    text.resize(size + static_cast<std::size_t>(stream.gcount()));
  }
  if (stream.bad()) return ReportUnreadable(file, "cannot be read");
  return Source{file, std::move(text)};
}

// Reads the configuration that the store has.
SourceOrReport FetchSource(const Address& address) {
  const std::string name = "store at " + address.ToString();
  httplib::Client client("http://" + address.ToString());
  client.set_connection_timeout(kStoreTimeout);
  client.set_read_timeout(kStoreTimeout);
  std::string body;
  auto pending = std::async(std::launch::async, [&client, &body] {
    return client.Get(platform::RowsTarget(platform::kOperatorTable,
                                           platform::kConfigurationKey),
                      [&body](const char* data, std::size_t size) {
                        body.append(data, size);
                        return body.size() <= kMaximumAnswerBytes;
                      });
  });
  // The time-outs of the client are for single steps, not for the call.
  if (pending.wait_for(kStoreTimeout) != std::future_status::ready) {
    client.stop();
    pending.wait();
    return ReportUnreadable(
        name, fmt::format("no answer within {} s", kStoreTimeout.count()));
  }
  const httplib::Result result = pending.get();
  if (!result) {
    return ReportUnreadable(name, httplib::to_string(result.error()));
  }
  if (result->status != 200) {
    return ReportUnreadable(name, fmt::format("status {}", result->status));
  }
  auto rows = platform::DecodeRows(body);
  if (!rows) return ReportUnreadable(name, "the answer cannot be read");
  for (platform::Row& row : rows.value().rows) {
    if (row.key != platform::kConfigurationKey || row.is_deleted) continue;
    if (row.is_damaged) {
      return ReportUnreadable(name, "the configuration is damaged");
    }
    return Source{name, std::move(row.value)};
  }
  return ReportUnreadable(name, "there is no configuration");
}

struct CheckResult {
  std::string file;
  bool is_json = false;
  platform::Findings findings{};
  // Name of what the file was compared with; empty without a comparison.
  std::string against{};
  platform::Changes changes{};
};

std::string Paint(std::string_view text, std::string_view colour) {
  if (isatty(STDOUT_FILENO) == 0) return std::string(text);
  return fmt::format("\x1b[{}m{}\x1b[0m", colour, text);
}

std::string ToText(const CheckResult& result, std::size_t errors) {
  std::string text;
  for (const platform::Finding& finding : result.findings) {
    const bool is_error = finding.severity == platform::Severity::kError;
    text += fmt::format(
        "{}:{}:{}: {}: {}{}{}\n", result.file, finding.line, finding.column,
        Paint(is_error ? "error" : "warning", is_error ? "31" : "33"),
        WithoutControls(finding.path), finding.path.empty() ? "" : ": ",
        WithoutControls(finding.message));
  }
  if (!result.against.empty()) {
    text += fmt::format("{} differences from {}\n", result.changes.size(),
                        result.against);
    for (const platform::Change& change : result.changes) {
      text += WithoutControls(
          fmt::format("  {} {} {}{}{}", change.change, change.kind, change.name,
                      change.detail.empty() ? "" : ": ", change.detail));
      text += '\n';
    }
  }
  return text + fmt::format("{} errors, {} warnings\n", errors,
                            result.findings.size() - errors);
}

Json ToJson(const CheckResult& result, std::string_view outcome) {
  Json findings = Json::array();
  for (const platform::Finding& finding : result.findings) {
    const bool is_error = finding.severity == platform::Severity::kError;
    findings.push_back({{"severity", is_error ? "error" : "warning"},
                        {"rule", finding.rule},
                        {"line", finding.line},
                        {"column", finding.column},
                        {"path", finding.path},
                        {"message", finding.message}});
  }
  Json json = {{"outcome", outcome},
               {"file", result.file},
               {"type", result.is_json ? "configuration" : "document"},
               {"findings", findings}};
  if (!result.against.empty()) {
    Json changes = Json::array();
    for (const platform::Change& change : result.changes) {
      changes.push_back({{"change", change.change},
                         {"kind", change.kind},
                         {"name", change.name},
                         {"detail", change.detail}});
    }
    json["against"] = result.against;
    json["differences"] = changes;
  }
  return json;
}

Report ReportCheck(const CheckResult& result) {
  const auto errors = static_cast<std::size_t>(
      std::ranges::count(result.findings, platform::Severity::kError,
                         &platform::Finding::severity));
  CheckExitCode code = CheckExitCode::kClean;
  std::string_view outcome = "clean";
  if (errors > 0) {
    code = CheckExitCode::kErrors;
    outcome = "errors";
  } else if (!result.findings.empty()) {
    code = CheckExitCode::kWarnings;
    outcome = "warnings";
  }
  return {static_cast<ExitCode>(code), ToText(result, errors),
          Dump(ToJson(result, outcome)), true};
}

// Lines of config::Difference as they stand.
platform::Changes CompareDocuments(std::string_view before,
                                   std::string_view after) {
  platform::Changes changes{};
  std::string text = DescribeDifference(before, after);
  std::string_view rest = text;
  while (!rest.empty()) {
    const auto end = std::min(rest.find('\n'), rest.size());
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    // For example `changed route book: timeout 2s -> 3s`.
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    if (second == std::string_view::npos) continue;
    const auto colon = std::min(line.find(": ", second), line.size());
    changes.push_back(
        {std::string(line.substr(0, first)),
         std::string(line.substr(first + 1, second - first - 1)),
         std::string(line.substr(second + 1, colon - second - 1)),
         std::string(line.substr(std::min(colon + 2, line.size())))});
  }
  return changes;
}

bool IsAccepted(const Source& source, bool is_json) {
  if (source.text.size() >= kMaximumBytes) return false;
  return is_json
             ? platform::DecodeConfiguration(source.text).has_value()
             : config::Document::Parse(source.text, source.name).has_value();
}

}  // namespace

Report RunCheck(std::span<const std::string> arguments) {
  if (IsGiven("against") && IsGiven("platform")) {
    return ReportUsage("--against and --platform exclude each other");
  }
  const auto address = Address::Parse(FLAGS_platform);
  if (IsGiven("platform") && !address.has_value()) {
    return ReportUsage("--platform: '" + FLAGS_platform +
                       "' is not allowed, expected IP:port");
  }
  auto read = ReadSource(arguments.front());
  if (auto* failure = std::get_if<Report>(&read)) return std::move(*failure);
  const Source& file = std::get<Source>(read);
  CheckResult result{.file = WithoutControls(file.name),
                     .is_json = platform::IsJson(file.text)};
  if (file.text.size() >= kMaximumBytes) {
    result.findings.push_back(
        {.rule = "too-large",
         .message =
             fmt::format("{} bytes or more are not allowed", kMaximumBytes)});
    return ReportCheck(result);
  }
  if (IsGiven("platform") && !result.is_json) {
    return ReportUsage(
        "--platform compares configurations in JSON; `oleandertide diff` "
        "compares documents");
  }
  result.findings =
      result.is_json
          ? platform::CheckConfiguration(
                file.text,
                {.memory_mb = static_cast<std::int64_t>(
                     std::min<std::uint64_t>(FLAGS_memory_mb, 1'048'576))})
          : platform::CheckDocument(file.text, file.name);
  if (!IsGiven("against") && !IsGiven("platform")) return ReportCheck(result);
  auto other = IsGiven("against") ? ReadSource(FLAGS_against)
                                  : FetchSource(address.value());
  if (auto* failure = std::get_if<Report>(&other)) return std::move(*failure);
  const Source& before = std::get<Source>(other);
  if (!IsAccepted(before, result.is_json)) {
    return ReportUnreadable(before.name, result.is_json
                                             ? "not a valid configuration"
                                             : "not a valid document");
  }
  const bool has_errors = std::ranges::any_of(
      result.findings, [](const platform::Finding& finding) {
        return finding.severity == platform::Severity::kError;
      });
  if (!has_errors) {
    result.against = WithoutControls(before.name);
    result.changes =
        result.is_json ? platform::CompareConfigurations(before.text, file.text)
                       : CompareDocuments(before.text, file.text);
  }
  return ReportCheck(result);
}

}  // namespace oleandertide::command
