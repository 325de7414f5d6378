// oleandertide-node: the process beside each backend server.

#include <gflags/gflags.h>
#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "config/node_settings.h"
#include "logging/log.h"
#include "node/node.h"

DEFINE_string(settings, "", "INI file with the node's settings (required)");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(help_settings, false, "describe all settings and exit");

namespace oleandertide::node {
namespace {

// Exit statuses, as documented in docs/operators.md.
constexpr int kExitSuccess = 0;
constexpr int kExitCannotStart = 1;
constexpr int kExitInvalidSettings = 2;
constexpr int kExitDrainDeadline = 3;
constexpr int kExitSecondSignal = 4;
constexpr int kExitUsage = 64;

constexpr timespec kTickInterval{0, 100'000'000};

// Signals are taken by the main loop, not by handlers.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

int ExitStatus(routing::StopCause cause) {
  switch (cause) {
    case routing::StopCause::kFinished:
      return kExitSuccess;
    case routing::StopCause::kDeadline:
      return kExitDrainDeadline;
    case routing::StopCause::kSecondSignal:
      break;
  }
  return kExitSecondSignal;
}

int Serve(const config::NodeSettings& settings) {
  const sigset_t signals = BlockSignals();
  auto node = Node::Start(settings);
  if (!node) {
    std::cerr << "oleandertide-node: cannot start: " << node.error().message()
              << "; check that the addresses in [listen] are free\n";
    return kExitCannotStart;
  }
  while (!node.value()->stop_cause()) {
    if (sigtimedwait(&signals, nullptr, &kTickInterval) > 0) {
      node.value()->Signal();
    }
    node.value()->Tick();
  }
  const routing::StopCause cause = *node.value()->stop_cause();
  if (cause == routing::StopCause::kSecondSignal) _exit(kExitSecondSignal);
  node.value()->Leave();
  // The destructor would wait for the requests that are still in progress.
  if (cause == routing::StopCause::kDeadline) _exit(kExitDrainDeadline);
  return ExitStatus(cause);
}

int Main() {
  if (FLAGS_help_settings) {
    std::cout << config::NodeSettings::Describe();
    return kExitSuccess;
  }
  if (FLAGS_settings.empty()) {
    std::cerr << "oleandertide-node: --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  std::ifstream file(FLAGS_settings);
  if (!file) {
    std::cerr << FLAGS_settings << ": cannot be read\n";
    return kExitInvalidSettings;
  }
  std::ostringstream text;
  text << file.rdbuf();
  const auto settings = config::NodeSettings::Parse(text.str(), FLAGS_settings);
  if (!settings) {
    for (const config::Diagnostic& diagnostic : settings.error()) {
      std::cerr << config::ToString(diagnostic) << '\n';
    }
    return kExitInvalidSettings;
  }
  if (FLAGS_check) return kExitSuccess;
  const auto level = logging::ParseLevel(settings.value().log.level);
  logging::Initialize(level ? level.value() : logging::Level::kInfo,
                      "oleandertide-node");
  return Serve(settings.value());
}

}  // namespace
}  // namespace oleandertide::node

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings FILE [--check | --help_settings]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return oleandertide::node::Main();
}
