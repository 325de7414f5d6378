// Measures the decisions of libraries/routing against their baselines.
//
// Prints JSON lines {"name", "value", "unit", "nodes"}. Goodput, latency and
// amplification are in virtual time and equal on every run; costs are measured
// with the system's clock. --quick shortens both.

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "core/random.h"
#include "routing/admission.h"
#include "routing/endpoint_chooser.h"
#include "routing/quarantine.h"
#include "routing/replay.h"
#include "routing/retry_chain.h"
#include "routing/retry_policy.h"
#include "routing/trace_generator.h"

DEFINE_bool(quick, false, "shorter runs");

namespace oleandertide::routing {
namespace {

constexpr int kBackendServers = 8;
constexpr int kWarmUpSeconds = 2;

void Print(const std::string& name, double value, const char* unit, int nodes) {
  std::printf(R"({"name":"%s","value":%.4g,"unit":"%s","nodes":%d})"
              "\n",
              name.c_str(), value, unit, nodes);
}

struct Variant {
  const char* name;
  ReplayOptions options;
};

std::vector<Variant> Variants() {
  std::vector<Variant> variants = {{"full", {}},
                                   {"random-choice", {}},
                                   {"round-robin", {}},
                                   {"no-retry-budget", {}},
                                   {"no-admission", {}}};
  variants[1].options.choice = ChoiceKind::kRandom;
  variants[2].options.choice = ChoiceKind::kRoundRobin;
  variants[3].options.has_retry_budget = false;
  variants[4].options.has_admission = false;
  return variants;
}

// Goodput is counted after a warm-up and up to the end of the arrivals, as a
// share of the capacity, or of the load where that is smaller.
void MeasureLoad(double load, int seconds) {
  const Trace trace = GenerateConstantLoad(load, seconds, kBackendServers);
  const double target =
      Capacity(trace.header.services[0]) * std::min(load, 1.0);
  for (const Variant& variant : Variants()) {
    const ReplayResult result = Replay(trace, variant.options);
    std::vector<int> per_second = result.complete_per_second;
    per_second.resize(std::max<std::size_t>(per_second.size(), seconds));
    const double complete = std::accumulate(per_second.begin() + kWarmUpSeconds,
                                            per_second.begin() + seconds, 0.0);
    char label[64];
    std::snprintf(label, sizeof label, "%s.load-%g.", variant.name, load);
    const std::string prefix = label;
    Print(prefix + "goodput", complete / (seconds - kWarmUpSeconds) / target,
          "share", kBackendServers);
    Print(prefix + "p50", result.figure("p50-ms"), "ms", kBackendServers);
    Print(prefix + "p99", result.figure("p99-ms"), "ms", kBackendServers);
    Print(prefix + "attempts", result.figure("attempts-per-request"),
          "per request", kBackendServers);
    Print(prefix + "booking-complete", result.figure("booking-complete-share"),
          "share", kBackendServers);
  }
}

void MeasureChain(int requests) {
  constexpr int kDepth = 14;
  for (const bool has_budget : {true, false}) {
    // Without a budget, failures at all levels would cost 3^14 attempts, so
    // the baseline has a smaller share of them.
    for (const auto& [not_run, unknown] :
         {std::pair{0.05, 0.0}, {0.5, 0.0}, {0.0, 0.02}, {0.05, 0.02}}) {
      RetryChain chain({.depth = kDepth,
                        .has_budget = has_budget,
                        .not_run_share = not_run,
                        .unknown_share = unknown,
                        .requests = requests});
      char name[96];
      std::snprintf(name, sizeof name, "chain.%s.not-run-%g.unknown-%g",
                    has_budget ? "budget" : "no-budget", not_run, unknown);
      Print(name, chain.MeasureAmplification(), "attempts per request", kDepth);
    }
  }
  RetryChain failing(
      {.depth = kDepth, .unknown_share = 1, .requests = requests});
  Print("chain.budget.all-fail", failing.MeasureAmplification(),
        "attempts per request", kDepth);
}

// Keeps the compiler from removing a measured call.
template <typename Value>
void Keep(const Value& value) {
  asm volatile("" : : "r,m"(value) : "memory");
}

template <typename Action>
void MeasureCost(const std::string& name, int nodes, Action action) {
  const int repeats = FLAGS_quick ? 20'000 : 500'000;
  for (int i = 0; i < repeats / 10; ++i) action(i);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < repeats; ++i) action(i);
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  Print("cost." + name, elapsed.count() / repeats, "ns", nodes);
}

std::vector<Endpoint> MakeEndpoints(int count) {
  std::vector<Endpoint> endpoints(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    endpoints[i].id = i;
    endpoints[i].data_centre = i % 4 == 0 ? "first" : "second";
    endpoints[i].slots = 9;
  }
  return endpoints;
}

void MeasureChoice(int nodes) {
  const auto table =
      EndpointTable::Build(MakeEndpoints(nodes), "first").value();
  RandomSource random(1);
  MonotonicTime now{std::chrono::seconds(1000)};
  EndpointChooser chooser;
  MeasureCost("choose", nodes, [&](int i) {
    now += Duration(100);
    const Endpoint* chosen =
        chooser.Choose(*table, {.now = now, .excluded = {}}, random);
    chosen->statistics->RecordStart();
    chosen->statistics->RecordEnd(now, Duration(1000 + i % 100),
                                  AttemptEnd::kCompleted);
  });
  const std::array<EndpointId, 2> tried = {0, 4};
  MeasureCost("choose-for-retry", nodes, [&](int /*i*/) {
    Keep(chooser.Choose(*table, {.now = now, .excluded = tried}, random));
  });
  EndpointChooser random_choice(std::in_place_type<RandomChoice>);
  MeasureCost("choose-random", nodes, [&](int /*i*/) {
    Keep(random_choice.Choose(*table, {.now = now, .excluded = {}}, random));
  });
}

void MeasureAdmission() {
  Admission admission =
      Admission::Create({.slots = 9, .connections = 120}).value();
  MonotonicTime now{std::chrono::seconds(1000)};
  RequestId id = 0;
  MeasureCost("admission-offer-finish", 1, [&](int /*i*/) {
    ++id;
    now += Duration(10);
    Keep(admission.Offer(now, id, RequestClass::kLookup,
                         now + std::chrono::seconds(1)));
    Keep(admission.Finish(now + Duration(5), id));
  });
}

void MeasureRetry() {
  RetryPolicy policy;
  RetryContext question;
  question.last = {Outcome::kNotRun, Reason::kShed};
  question.has_other_endpoint = true;
  question.now = MonotonicTime(std::chrono::seconds(1000));
  question.deadline = question.now + std::chrono::seconds(1);
  MeasureCost("retry-decide", 1, [&](int /*i*/) {
    policy.RecordFirstAttempt();
    Keep(policy.Decide(question));
  });
}

void MeasureQuarantine(int fingerprints) {
  Quarantine quarantine;
  const MonotonicTime now{std::chrono::seconds(1000)};
  for (int i = 1; i <= fingerprints; ++i) {
    const std::array<Fingerprint, 1> one = {static_cast<Fingerprint>(i)};
    quarantine.RecordCrash(now, one, "10.0.0." + std::to_string(i % 100));
  }
  MeasureCost("quarantine-check", fingerprints, [&](int i) {
    Keep(quarantine.IsRefused(now, static_cast<Fingerprint>(i)));
  });
}

void MeasureCosts() {
  for (const int nodes : {10, 100, 1100}) {
    MeasureChoice(nodes);
    MeasureQuarantine(nodes);
  }
  MeasureAdmission();
  MeasureRetry();
}

}  // namespace

void MeasureAll() {
  const int seconds = FLAGS_quick ? 5 : 20;
  for (const double load : {0.5, 1.0, 2.0, 10.0}) MeasureLoad(load, seconds);
  MeasureChain(FLAGS_quick ? 2'000 : 20'000);
  MeasureCosts();
}

}  // namespace oleandertide::routing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  oleandertide::routing::MeasureAll();
  return 0;
}
