// oleandertide-sidecar: the process beside each backend server of the users'
// platform.

#include <fcntl.h>
#include <gflags/gflags.h>
#include <malloc.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "config/environment.h"
#include "logging/log.h"
#include "sidecar/event_loop.h"
#include "sidecar/settings.h"
#include "sidecar/sidecar.h"
#include "sidecar/timer.h"

DEFINE_string(settings, "", "INI file with the node's settings (required)");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(help_settings, false, "describe all settings and exit");

namespace oleandertide::sidecar {
namespace {

// Exit statuses, as documented in docs/operators.md.
constexpr int kExitSuccess = 0;
constexpr int kExitCannotStart = 1;
constexpr int kExitInvalidSettings = 2;
constexpr int kExitUsage = 64;

// The settings file may change without a signal.
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(1);
// A changed file is taken when it reads the same after this time: one that is
// being written may be valid although it is cut.
constexpr Duration kSettingsSettleTime = std::chrono::milliseconds(100);

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// A reader of the log that stalls must not stall the node: lines that do not
// fit are lost.
void MakeOutputNonBlocking() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  struct stat status {};
  if (flags < 0 || fstat(STDOUT_FILENO, &status) != 0) return;
  if (!S_ISFIFO(status.st_mode) && !S_ISSOCK(status.st_mode)) return;
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

// Signals that the supervisor handles.
sigset_t SupervisedSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, number);
  }
  return signals;
}

// Reloads settings at SIGHUP and when the file's content has changed, and stops
// at SIGTERM.
class Supervisor {
 public:
  Supervisor(EventLoop& loop, Sidecar& sidecar,
             const config::Environment& environment, std::string path,
             std::string text)
      : sidecar_(sidecar),
        environment_(environment),
        path_(std::move(path)),
        text_(std::move(text)),
        signals_(loop, SIGTERM, SIGINT, SIGHUP),
        timer_(loop),
        settle_timer_(loop) {
    AwaitSignal();
    AwaitCheck();
  }

 private:
  void AwaitSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int number) {
          if (error) return;
          if (number == SIGHUP) {
            Reload();
          } else {
            sidecar_.Stop();
          }
          AwaitSignal();
        });
  }

  void AwaitCheck() {
    timer_.Start(kSettingsCheckInterval, [this] {
      Reload();
      AwaitCheck();
    });
  }

  void Reload() {
    const auto text = ReadFile(path_);
    if (!text) {
      logging::Log(logging::Level::kError, "node",
                   "settings cannot be read, the old ones stay",
                   {{"path", path_}});
      return;
    }
    if (*text == text_) {
      unsettled_.reset();
      return;
    }
    const MonotonicTime now = MonotonicClock::now();
    if (text != unsettled_) {
      unsettled_ = text;
      unsettled_since_ = now;
    }
    if (now - unsettled_since_ < kSettingsSettleTime) {
      settle_timer_.Start(kSettingsSettleTime, [this] { Reload(); });
      return;
    }
    unsettled_.reset();
    text_ = *text;
    const auto settings = SidecarSettings::Parse(*text, path_, environment_);
    if (settings) {
      sidecar_.Reload(settings.value());
      return;
    }
    for (const config::Diagnostic& diagnostic : settings.error()) {
      logging::Log(logging::Level::kError, "node",
                   "settings are wrong, the old ones stay",
                   {{"why", config::ToString(diagnostic)}});
    }
  }

  Sidecar& sidecar_;
  const config::Environment& environment_;
  const std::string path_;
  std::string text_;
  // Content of the file that has not been taken yet, and since when it is so.
  std::optional<std::string> unsettled_;
  MonotonicTime unsettled_since_;
  boost::asio::signal_set signals_;
  Timer timer_;
  Timer settle_timer_;
};

int Serve(const SidecarSettings& settings,
          const config::Environment& environment, const std::string& text) {
  EventLoop loop(1);
  auto sidecar = Sidecar::Create(loop, settings);
  if (!sidecar) {
    std::cerr << "oleandertide-sidecar: cannot start: "
              << sidecar.error().message()
              << "; check that the addresses in [listen] are free\n";
    return kExitCannotStart;
  }
  logging::Log(logging::Level::kInfo, "node", "started",
               {{"node", settings.node.name},
                {"data_centre", settings.node.data_centre},
                {"service", settings.node.service},
                {"first_start", settings.node.is_first_start},
                {"memory_mb", settings.node.memory_mb},
                {"descriptors", settings.node.descriptors},
                {"limits", mesh::ToString(settings.deployment.limits)},
                {"rollouts", mesh::ToString(settings.deployment.rollouts)},
                {"stop_deadline_ms", ToMilliseconds(settings.drain.deadline)},
                {"fence_ms", ToMilliseconds(settings.drain.fence)},
                {"retry_percent", settings.retries.ratio_percent}});
  Supervisor supervisor(loop, *sidecar.value(), environment, FLAGS_settings,
                        text);
  const sigset_t signals = SupervisedSignals();
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
  loop.run();
  return kExitSuccess;
}

// Large buffers are mapped one by one and given back to the system when they
// are released. By default, glibc raises the threshold (to 32 MiB) when the
// first one is released, and later ones leave holes in a heap that stays as
// large as it has ever been.
void KeepLargeBuffersApart() {
  constexpr int kThresholdBytes = 256 * 1024;
  mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, 4 * kThresholdBytes);
}

int Main() {
  if (FLAGS_help_settings) {
    std::cout << SidecarSettings::Describe();
    return kExitSuccess;
  }
  if (FLAGS_settings.empty()) {
    std::cerr
        << "oleandertide-sidecar: --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  const auto text = ReadFile(FLAGS_settings);
  if (!text) {
    std::cerr << FLAGS_settings << ": cannot be read\n";
    return kExitInvalidSettings;
  }
  const auto environment = config::Environment::OfProcess();
  auto settings = SidecarSettings::Parse(*text, FLAGS_settings, environment);
  if (!settings) {
    for (const config::Diagnostic& diagnostic : settings.error()) {
      std::cerr << config::ToString(diagnostic) << '\n';
    }
    return kExitInvalidSettings;
  }
  if (FLAGS_check) {
    for (const std::string& warning : settings.value().FindWarnings()) {
      std::cerr << FLAGS_settings << ": warning: " << warning << '\n';
    }
    // A node serves without these values, but they are not what was meant.
    std::cerr << config::ToString(settings.value().ignored);
    return settings.value().ignored.empty() ? kExitSuccess
                                            : kExitInvalidSettings;
  }
  signal(SIGPIPE, SIG_IGN);
  MakeOutputNonBlocking();
  const auto level = logging::ParseLevel(settings.value().log.level);
  logging::Initialize(level ? level.value() : logging::Level::kInfo,
                      "oleandertide-sidecar", logging::Stream::kStandardOutput);
  const auto& node = settings.value().node;
  if (node.memory_mb == 0 || node.descriptors == 0) {
    settings.value().UseLimits(ReadProcessLimits());
  }
  return Serve(settings.value(), environment, *text);
}

}  // namespace
}  // namespace oleandertide::sidecar

int main(int argc, char** argv) {
  oleandertide::sidecar::KeepLargeBuffersApart();
  // A signal that arrives before its handler is installed would end the process
  // at once, with connections already accepted by the kernel.
  const sigset_t signals = oleandertide::sidecar::SupervisedSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  gflags::SetUsageMessage("--settings FILE [--check | --help_settings]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return oleandertide::sidecar::Main();
}
