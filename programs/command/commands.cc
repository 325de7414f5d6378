#include "command/commands.h"

#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "command/check_command.h"
#include "command/document_inspector.h"
#include "command/flags.h"
#include "command/node_status.h"
#include "command/session.h"
#include "config/document.h"

namespace oleandertide::command {
namespace {

using acceptance::EnvironmentRecord;
using acceptance::kProduction;
using acceptance::kTrial;

// Either a value or the report of what went wrong.
template <typename T>
using OrReport = std::variant<T, Report>;

bool IsEnvironment(std::string_view name) {
  return name == kTrial || name == kProduction;
}

Report ReportWrongEnvironment() {
  return ReportUsage("--environment: '" + FLAGS_environment +
                     "' is not allowed, expected trial or production");
}

// Reads a document and checks that it is valid.
OrReport<std::string> ReadDocument(const std::string& file) {
  auto read = ReadFile(file);
  if (std::holds_alternative<Report>(read)) return read;
  const auto document =
      config::Document::Parse(std::get<std::string>(read), file);
  if (!document.has_value()) return ReportInvalid(document.error());
  return read;
}

Report RunValidate(std::span<const std::string> arguments) {
  auto read = ReadFile(arguments.front());
  if (auto* failure = std::get_if<Report>(&read)) return std::move(*failure);
  const auto document =
      config::Document::Parse(std::get<std::string>(read), arguments.front());
  if (!document.has_value()) return ReportInvalid(document.error());
  return ReportValid(document.value().services().size(),
                     document.value().routes().size(),
                     document.value().jobs().size());
}

// Opens a session for a change, which needs the operator's name.
OrReport<std::unique_ptr<Session>> OpenForChange() {
  auto opened = Session::Open();
  const auto* session = std::get_if<std::unique_ptr<Session>>(&opened);
  if (session != nullptr && (*session)->operator_name().empty()) {
    return ReportUsage("--settings or --operator is required");
  }
  return opened;
}

Report RunSubmit(std::span<const std::string> arguments) {
  auto read = ReadDocument(arguments.front());
  if (auto* failure = std::get_if<Report>(&read)) return std::move(*failure);
  auto opened = OpenForChange();
  if (auto* failure = std::get_if<Report>(&opened)) return std::move(*failure);
  Session& session = *std::get<std::unique_ptr<Session>>(opened);
  acceptance::SubmitRequest request;
  request.document = std::get<std::string>(read);
  request.operator_name = session.operator_name();
  if (IsGiven("base")) request.drafted_on = FLAGS_base;
  const auto outcome = session.acceptance().Submit(request);
  if (!outcome.has_value()) {
    return ReportError("nothing was submitted", outcome.error());
  }
  return ReportOutcome(outcome.value());
}

Report RunPromote(std::span<const std::string> /*arguments*/) {
  auto opened = OpenForChange();
  if (auto* failure = std::get_if<Report>(&opened)) return std::move(*failure);
  Session& session = *std::get<std::unique_ptr<Session>>(opened);
  const std::vector<std::string> revive = SplitList(FLAGS_revive);
  acceptance::PromoteRequest request;
  request.operator_name = session.operator_name();
  request.revive = revive;
  if (IsGiven("trial_sequence")) request.trial_sequence = FLAGS_trial_sequence;
  const auto outcome = session.acceptance().Promote(request);
  if (!outcome.has_value()) {
    return ReportError("nothing was promoted", outcome.error());
  }
  return ReportOutcome(outcome.value());
}

struct NamedDocument {
  std::string name;
  std::string text;
};

// Reads an environment's current document; an empty one if nothing was
// accepted and `may_be_absent`.
OrReport<NamedDocument> FetchCurrent(Session& session,
                                     std::string_view environment,
                                     bool may_be_absent) {
  const std::string name(environment);
  const auto record = session.acceptance().Status(environment);
  if (!record.has_value()) {
    if (may_be_absent && record.error() == Error::kNotFound) {
      return NamedDocument{name + " (nothing accepted)", {}};
    }
    return ReportError(name, record.error());
  }
  auto text = session.acceptance().FetchDocument(record.value().digest);
  if (!text.has_value()) return ReportError(name, text.error());
  return NamedDocument{
      name + " sequence " + std::to_string(record.value().sequence),
      std::move(text).value()};
}

Report RunDiff(std::span<const std::string> arguments) {
  if (!IsEnvironment(FLAGS_environment)) return ReportWrongEnvironment();
  NamedDocument after;
  if (!arguments.empty()) {
    auto read = ReadDocument(arguments.front());
    if (auto* failure = std::get_if<Report>(&read)) return std::move(*failure);
    after = {arguments.front(), std::get<std::string>(std::move(read))};
  }
  auto opened = Session::Open();
  if (auto* failure = std::get_if<Report>(&opened)) return std::move(*failure);
  Session& session = *std::get<std::unique_ptr<Session>>(opened);
  auto before = FetchCurrent(session, FLAGS_environment, true);
  if (auto* failure = std::get_if<Report>(&before)) return std::move(*failure);
  if (arguments.empty()) {
    auto trial = FetchCurrent(session, kTrial, false);
    if (auto* failure = std::get_if<Report>(&trial)) return std::move(*failure);
    after = std::get<NamedDocument>(std::move(trial));
  }
  const auto& from = std::get<NamedDocument>(before);
  return ReportDifference(from.name, after.name,
                          DescribeDifference(from.text, after.text));
}

Report RunHistory(std::span<const std::string> /*arguments*/) {
  if (!IsEnvironment(FLAGS_environment)) return ReportWrongEnvironment();
  auto opened = Session::Open();
  if (auto* failure = std::get_if<Report>(&opened)) return std::move(*failure);
  Session& session = *std::get<std::unique_ptr<Session>>(opened);
  const auto records =
      session.acceptance().History(FLAGS_environment, FLAGS_limit);
  if (!records.has_value()) {
    return ReportError("history of " + FLAGS_environment, records.error());
  }
  if (records.value().empty() && FLAGS_limit > 0) {
    return ReportError("history of " + FLAGS_environment,
                       make_error_code(Error::kNotFound));
  }
  return ReportHistory(FLAGS_environment, records.value());
}

// Reads an environment's record; unset if nothing was accepted.
OrReport<std::optional<EnvironmentRecord>> ReadRecord(
    Session& session, std::string_view environment) {
  const auto record = session.acceptance().Status(environment);
  if (record.has_value()) return std::optional(record.value());
  if (record.error() == Error::kNotFound) return std::nullopt;
  return ReportError(environment, record.error());
}

Report RunStatus(std::span<const std::string> /*arguments*/) {
  std::vector<Address> addresses;
  for (const std::string& text : SplitList(FLAGS_nodes)) {
    const auto address = Address::Parse(text);
    if (!address.has_value()) {
      return ReportUsage("--nodes: '" + text +
                         "' is not allowed, expected IP:port");
    }
    addresses.push_back(address.value());
  }
  auto opened = Session::Open();
  if (auto* failure = std::get_if<Report>(&opened)) return std::move(*failure);
  Session& session = *std::get<std::unique_ptr<Session>>(opened);
  const auto trial = ReadRecord(session, kTrial);
  if (const auto* failure = std::get_if<Report>(&trial)) return *failure;
  const auto production = ReadRecord(session, kProduction);
  if (const auto* failure = std::get_if<Report>(&production)) return *failure;
  const std::vector<NodeStatus> nodes = ReadNodeStatuses(addresses);
  return ReportStatus(std::get<0>(trial), std::get<0>(production), nodes);
}

constexpr std::string_view kValidateFlags[] = {"json", "help"};
constexpr std::string_view kCheckFlags[] = {"against", "platform", "memory_mb",
                                            "json", "help"};
constexpr std::string_view kSubmitFlags[] = {"settings", "platform", "operator",
                                             "base",     "json",     "help"};
constexpr std::string_view kPromoteFlags[] = {
    "settings",       "platform", "operator", "revive",
    "trial_sequence", "json",     "help"};
constexpr std::string_view kDiffFlags[] = {"settings", "platform",
                                           "environment", "json", "help"};
constexpr std::string_view kHistoryFlags[] = {
    "settings", "platform", "environment", "limit", "json", "help"};
constexpr std::string_view kStatusFlags[] = {"settings", "platform", "nodes",
                                             "json", "help"};

constexpr Subcommand kSubcommands[] = {
    {"validate", "FILE", "Checks a document without contacting the platform.",
     kValidateFlags, 1, 1, RunValidate},
    {"check", "FILE",
     "Checks a configuration or document before it is sent, and shows what it "
     "changes.",
     kCheckFlags, 1, 1, RunCheck, kCheckExitCodeHelp},
    {"submit", "FILE", "Makes a document the trial's.", kSubmitFlags, 1, 1,
     RunSubmit},
    {"promote", "", "Makes the trial's document production's.", kPromoteFlags,
     0, 0, RunPromote},
    {"diff", "[FILE]",
     "Shows what changes from an environment's document to FILE, or to the "
     "trial's.",
     kDiffFlags, 0, 1, RunDiff},
    {"history", "", "Lists the accepted documents of an environment.",
     kHistoryFlags, 0, 0, RunHistory},
    {"status", "", "Shows what is accepted and, on request, what nodes run.",
     kStatusFlags, 0, 0, RunStatus},
};

}  // namespace

std::span<const Subcommand> Subcommands() { return kSubcommands; }

}  // namespace oleandertide::command
