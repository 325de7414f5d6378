#include "command/session.h"

#include <fstream>
#include <random>
#include <utility>

#include "command/document_inspector.h"
#include "command/flags.h"
#include "config/ini_reader.h"
#include "config/value.h"
#include "core/address.h"

namespace oleandertide::command {
namespace {

using SettingsOrReport = std::variant<config::CommandSettings, Report>;

// Settings with the default values. The two required ones have placeholders,
// which the flags replace.
SettingsOrReport DefaultSettings() {
  if (FLAGS_platform.empty()) {
    return ReportUsage("--settings or --platform is required");
  }
  auto settings = config::CommandSettings::Parse(
      "[platform]\naddress = 127.0.0.1:1\n[command]\noperator = nobody\n",
      "default settings");
  if (!settings.has_value()) return ReportInvalid(settings.error());
  settings.value().command.operator_name.clear();
  return std::move(settings).value();
}

SettingsOrReport ReadSettings() {
  if (FLAGS_settings.empty()) return DefaultSettings();
  auto read = ReadFile(FLAGS_settings);
  if (auto* failure = std::get_if<Report>(&read)) return std::move(*failure);
  auto settings = config::CommandSettings::Parse(std::get<std::string>(read),
                                                 FLAGS_settings);
  if (!settings.has_value()) return ReportInvalid(settings.error());
  return std::move(settings).value();
}

// Replaces settings by what the flags give.
SettingsOrReport ApplyFlags(config::CommandSettings settings) {
  if (!FLAGS_platform.empty()) {
    const auto address = Address::Parse(FLAGS_platform);
    if (!address.has_value()) {
      return ReportUsage("--platform: '" + FLAGS_platform +
                         "' is not allowed, expected IP:port");
    }
    settings.platform.address = address.value();
  }
  if (!FLAGS_operator.empty()) {
    const auto name = config::ParseValue(config::TextRule{}, FLAGS_operator);
    if (!name.has_value()) {
      return ReportUsage("--operator: " + name.error().message);
    }
    settings.command.operator_name = FLAGS_operator;
  }
  return settings;
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

acceptance::AcceptanceOptions OptionsOf(
    const config::CommandSettings& settings) {
  acceptance::AcceptanceOptions options;
  options.resolve_timeout = settings.command.resolve_timeout;
  return options;
}

}  // namespace

std::variant<std::unique_ptr<Session>, Report> Session::Open() {
  auto read = ReadSettings();
  if (auto* failure = std::get_if<Report>(&read)) return std::move(*failure);
  auto applied = ApplyFlags(std::get<config::CommandSettings>(std::move(read)));
  if (auto* failure = std::get_if<Report>(&applied)) return std::move(*failure);
  const auto& settings = std::get<config::CommandSettings>(applied);
  const std::string address = settings.platform.address.ToString();
  store::HttpStoreOptions options;
  options.request_timeout = settings.platform.request_timeout;
  auto store = store::HttpStore::Make(address, options);
  if (!store.has_value()) return ReportError(address, store.error());
  return std::unique_ptr<Session>(
      new Session(settings, std::move(store).value()));
}

Session::Session(const config::CommandSettings& settings,
                 std::unique_ptr<store::HttpStore> store)
    : operator_name_(settings.command.operator_name),
      store_(std::move(store)),
      random_(RandomSeed()),
      acceptance_(*store_, waiter_, random_, ConfigInspector(),
                  OptionsOf(settings)) {}

std::variant<std::string, Report> ReadFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return ReportInvalidFile(file, "cannot be opened");
  std::string text(config::kMaximumTextBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (stream.bad()) return ReportInvalidFile(file, "cannot be read");
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > config::kMaximumTextBytes) {
    return ReportInvalidFile(file,
                             "too large, at most " +
                                 std::to_string(config::kMaximumTextBytes) +
                                 " bytes are allowed");
  }
  return text;
}

}  // namespace oleandertide::command
