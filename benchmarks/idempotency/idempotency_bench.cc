// Compares claim schemes in virtual time: added latency, platform
// writes, and second runs under faults. Prints one JSON object per line.

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "idempotency/claim_scheme.h"
#include "idempotency/group_commit_scheme.h"
#include "idempotency/leased_owner_scheme.h"
#include "idempotency/per_request_scheme.h"
#include "idempotency/virtual_platform.h"
#include "support/event_queue.h"

DEFINE_bool(quick, false, "measure 2 s of load instead of 20 s");

namespace oleandertide::idempotency {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLoadDeadline = seconds(1);
constexpr Duration kCaseDeadline = seconds(10);
constexpr Duration kWarmUp = seconds(2);
constexpr Duration kRunTime = milliseconds(20);
constexpr std::size_t kCaseKeys = 60;

void Print(const std::string& name, double value, std::string_view unit) {
  std::printf(R"({"name":"%s","value":%.3f,"unit":"%s"})"
              "\n",
              name.c_str(), value, std::string(unit).c_str());
}

enum class SchemeName { kGroupCommit, kPerRequest, kLeasedOwners };

// One scheme with its own simulated platform.
struct Setup {
  explicit Setup(SchemeName name, std::size_t writers = kDeciders)
      : platform(events) {
    switch (name) {
      case SchemeName::kGroupCommit:
        scheme = std::make_unique<GroupCommitScheme>(events, platform, writers);
        break;
      case SchemeName::kPerRequest:
        scheme = std::make_unique<PerRequestScheme>(events, platform);
        break;
      case SchemeName::kLeasedOwners:
        scheme = std::make_unique<LeasedOwnerScheme>(events, platform);
        break;
    }
    events.RunUntil(events.now() + kWarmUp);
  }

  testing::EventQueue events;
  VirtualPlatform platform;
  std::unique_ptr<ClaimScheme> scheme;
  RandomSource random{29};
};

double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) return std::nan("");
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

// Claims of distinct keys at random times; each grant is completed.
class Load {
 public:
  Load(SchemeName scheme, std::size_t writers, int per_second, Duration time)
      : setup_(scheme, writers), per_second_(per_second), time_(time) {}

  void Run(const std::string& name) {
    const std::uint64_t writes = setup_.platform.transactions();
    const std::uint64_t limited = setup_.platform.rate_limited();
    end_ = setup_.events.now() + time_;
    Arrive();
    setup_.events.RunUntil(end_);
    const double length = std::chrono::duration<double>(time_).count();
    const auto rate = [length](std::uint64_t before, std::uint64_t after) {
      return static_cast<double>(after - before) / length;
    };
    Print(name + "/platform_writes",
          rate(writes, setup_.platform.transactions()), "1/s");
    Print(name + "/rate_limited", rate(limited, setup_.platform.rate_limited()),
          "1/s");
    setup_.events.RunUntil(end_ + 2 * kLoadDeadline);
    Print(name + "/granted_share",
          static_cast<double>(latencies_.size()) / static_cast<double>(claims_),
          "1");
    Print(name + "/added_latency_p50", Percentile(latencies_, 0.50), "ms");
    Print(name + "/added_latency_p99", Percentile(latencies_, 0.99), "ms");
  }

 private:
  void Arrive() {
    const double gap = -std::log(1 - setup_.random.Unit()) / per_second_;
    setup_.events.After(Duration(std::llround(gap * 1e6)), [this] {
      if (setup_.events.now() >= end_) return;
      Claim();
      Arrive();
    });
  }

  void Claim() {
    const std::string key = "key" + std::to_string(++claims_);
    const std::uint64_t token = setup_.random.Next();
    const MonotonicTime asked = setup_.events.now();
    setup_.scheme->Claim(
        DeciderOf(key), {key, 1, token, setup_.random.Next()},
        asked + kLoadDeadline,
        [this, key, token, asked](const ClaimResult& result) {
          if (!std::holds_alternative<Granted>(result)) return;
          const Duration added = setup_.events.now() - asked;
          latencies_.push_back(
              std::chrono::duration<double, std::milli>(added).count());
          setup_.events.After(kRunTime, [this, key, token] {
            setup_.scheme->Complete(DeciderOf(key),
                                    {key, token, Answered{200, {}, "booked"}});
          });
        });
  }

  Setup setup_;
  int per_second_;
  Duration time_;
  MonotonicTime end_;
  std::uint64_t claims_ = 0;
  std::vector<double> latencies_;
};

// Claims each key, injects a fault and claims the key again with another token.
class FaultCase {
 public:
  explicit FaultCase(SchemeName scheme) : setup_(scheme), runs_(kCaseKeys) {}

  // Claims all keys within a second.
  void ClaimAll(std::size_t decider_shift, Duration run_time) {
    repeats_ = Results{};
    for (std::size_t key = 0; key < kCaseKeys; ++key) {
      setup_.events.After(Duration(seconds(1)) * key / kCaseKeys,
                          [this, key, decider_shift, run_time] {
                            Claim(key, decider_shift, run_time);
                          });
    }
    Wait(seconds(1));
  }
  void Wait(Duration time) {
    setup_.events.RunUntil(setup_.events.now() + time);
  }
  void ForEachDecider(const std::function<void(std::size_t)>& action) {
    for (std::size_t decider = 0; decider < kDeciders; ++decider) {
      action(decider);
    }
  }
  // Claims each key immediately before its decider is paused.
  void ClaimAndPause(Duration time) {
    for (std::size_t key = 0; key < kCaseKeys; ++key) {
      Claim(key, 0, kRunTime);
    }
    ForEachDecider([this, time](std::size_t decider) {
      setup_.scheme->Pause(decider, time);
    });
  }
  void RestartAll() {
    ForEachDecider(
        [this](std::size_t decider) { setup_.scheme->Restart(decider); });
  }
  VirtualPlatform& platform() { return setup_.platform; }

  // Prints second runs, and the answers to the last claims of all keys.
  void Report(const std::string& name) {
    int keys_run = 0;
    int second_runs = 0;
    for (const int runs : runs_) {
      keys_run += std::min(runs, 1);
      second_runs += std::max(runs - 1, 0);
    }
    Print(name + "/keys", static_cast<double>(kCaseKeys), "keys");
    Print(name + "/keys_run", keys_run, "keys");
    Print(name + "/second_runs", second_runs, "runs");
    Print(name + "/last_claims_granted", repeats_.granted, "claims");
    Print(name + "/last_claims_answered", repeats_.answered, "claims");
    Print(name + "/last_claims_unknown", repeats_.unknown, "claims");
    Print(name + "/last_claims_not_run", repeats_.not_run, "claims");
  }

 private:
  struct Results {
    int granted = 0;
    int answered = 0;
    int unknown = 0;
    int not_run = 0;
  };

  void Claim(std::size_t index, std::size_t decider_shift, Duration run_time) {
    const std::string key = "key" + std::to_string(index);
    const std::size_t decider = (DeciderOf(key) + decider_shift) % kDeciders;
    const std::uint64_t token = setup_.random.Next();
    const MonotonicTime deadline = setup_.events.now() + kCaseDeadline;
    setup_.scheme->Claim(
        decider, {key, 1, token, setup_.random.Next()}, deadline,
        [this, index, key, decider, token, deadline,
         run_time](const ClaimResult& result) {
          Count(result);
          const bool is_granted = std::holds_alternative<Granted>(result);
          if (!is_granted || setup_.events.now() > deadline) return;
          ++runs_[index];
          setup_.events.After(run_time, [this, key, decider, token] {
            setup_.scheme->Complete(decider,
                                    {key, token, Answered{200, {}, "booked"}});
          });
        });
  }

  void Count(const ClaimResult& result) {
    if (std::holds_alternative<Granted>(result)) {
      ++repeats_.granted;
    } else if (std::holds_alternative<Answered>(result)) {
      ++repeats_.answered;
    } else if (std::holds_alternative<StoreUnavailable>(result)) {
      ++repeats_.not_run;
    } else {
      ++repeats_.unknown;
    }
  }

  Setup setup_;
  std::vector<int> runs_;
  Results repeats_;
};

void RunFaultCases(SchemeName scheme, const std::string& prefix) {
  {
    FaultCase owner_dies(scheme);
    owner_dies.ClaimAll(0, /*run_time=*/seconds(30));
    owner_dies.RestartAll();
    owner_dies.Wait(seconds(5));
    owner_dies.ClaimAll(0, kRunTime);
    owner_dies.Wait(seconds(15));
    owner_dies.Report(prefix + "/owner_dies_during_the_run");
  }
  {
    FaultCase paused(scheme);
    paused.ClaimAndPause(seconds(5));
    paused.Wait(seconds(4));
    paused.ClaimAll(/*decider_shift=*/1, kRunTime);
    paused.Wait(seconds(15));
    paused.Report(prefix + "/owner_paused_past_its_lease");
  }
  {
    FaultCase down(scheme);
    down.platform().set_is_down(true);
    down.Wait(seconds(3));
    down.ClaimAll(0, kRunTime);
    down.Wait(seconds(1));
    down.Report(prefix + "/platform_down");
    down.platform().set_is_down(false);
    down.Wait(seconds(3));
    down.ClaimAll(0, kRunTime);
    down.Wait(seconds(15));
    down.Report(prefix + "/platform_back");
  }
  {
    FaultCase lost(scheme);
    lost.platform().set_lost_answer_percent(30);
    lost.ClaimAll(0, kRunTime);
    lost.Wait(seconds(2));
    lost.ClaimAll(0, kRunTime);
    lost.Wait(seconds(15));
    lost.Report(prefix + "/lost_answers");
  }
  {
    FaultCase other_node(scheme);
    other_node.ClaimAll(0, /*run_time=*/seconds(10));
    other_node.ClaimAll(/*decider_shift=*/1, kRunTime);
    other_node.Wait(seconds(15));
    other_node.Report(prefix + "/retry_through_another_node");
  }
  {
    FaultCase restarted(scheme);
    restarted.ClaimAll(0, kRunTime);
    restarted.Wait(seconds(2));
    restarted.RestartAll();
    restarted.Wait(seconds(5));
    restarted.ClaimAll(/*decider_shift=*/1, kRunTime);
    restarted.Wait(seconds(15));
    restarted.Report(prefix + "/everything_restarted");
  }
}

void RunLoads(SchemeName scheme, std::size_t writers, const std::string& name) {
  const Duration time = FLAGS_quick ? seconds(2) : seconds(20);
  for (const int per_second : {50, 500, 5000}) {
    Load load(scheme, writers, per_second, time);
    load.Run(name + "/claims_" + std::to_string(per_second));
  }
}

void RunAll() {
  for (const std::size_t writers : {1, 4, 8}) {
    RunLoads(SchemeName::kGroupCommit, writers,
             "group_commit_" + std::to_string(writers));
  }
  RunLoads(SchemeName::kPerRequest, kDeciders, "transaction_per_request");
  RunLoads(SchemeName::kLeasedOwners, kDeciders, "leased_owners");
  RunFaultCases(SchemeName::kGroupCommit, "group_commit");
  RunFaultCases(SchemeName::kPerRequest, "transaction_per_request");
  RunFaultCases(SchemeName::kLeasedOwners, "leased_owners");
}

}  // namespace
}  // namespace oleandertide::idempotency

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  oleandertide::idempotency::RunAll();
  return 0;
}
