#include "jobs/job_scheduler.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "jobs/job_row.h"
#include "support/fake_table.h"

namespace oleandertide::jobs {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSequence = 5;
const std::string kEnvironment = "production";

WallTime At(std::int64_t second) { return WallTime(seconds(second)); }

Job Hourly(MissedPolicy missed) {
  return {"report", "reports", seconds(3600), seconds(0), missed};
}

void SetSequence(testing::FakeTable& table, std::uint64_t sequence) {
  const store::Write write{EnvironmentRowKey(kEnvironment),
                           R"({"sequence":)" + std::to_string(sequence) + "}"};
  REQUIRE(table.Transact({}, {&write, 1}).has_value());
}

// One node with its clocks. `second` is wall time; 7200 is a due time.
class Node {
 public:
  Node(testing::FakeTable& table, MissedPolicy missed, std::uint64_t seed = 1)
      : table_(table),
        jobs_{Hourly(missed)},
        scheduler_({.environment = kEnvironment, .holder = "node"},
                   RandomSource(seed)) {}

  void Tick(std::int64_t second) {
    now_ = {At(second), MonotonicTime(seconds(100'000 + second))};
    Take(scheduler_.Tick(
        now_, {is_allowed_, jobs_, sequence_},
        [this](std::string_view, WallTime) { return is_holder_; }));
  }
  // Ticks every second in (from, until] and runs all effects.
  void Run(std::int64_t from, std::int64_t until) {
    for (std::int64_t second = from + 1; second <= until; ++second) {
      Tick(second);
      while (RunOne()) {
      }
    }
  }
  // Lets the monotonic and the wall clock jump without a tick.
  void Pause(std::int64_t second) {
    now_ = {At(second), MonotonicTime(seconds(100'000 + second))};
  }
  bool RunOne() {
    if (effects_.empty()) return false;
    const JobEffect effect = std::move(effects_.front());
    effects_.erase(effects_.begin());
    if (const auto* read = std::get_if<ReadJobRows>(&effect)) {
      Take(scheduler_.HandleRows(read->job, Read(read->job_row_key),
                                 Read(read->environment_row_key), now_));
    } else if (const auto* claim = std::get_if<ClaimDueTime>(&effect)) {
      Take(scheduler_.HandleClaim(claim->job, claim->row.token, Commit(*claim),
                                  now_));
    } else {
      calls_.push_back(std::get<SendCall>(effect));
    }
    return true;
  }
  Result<store::TransactionOutcome> Commit(const ClaimDueTime& claim) {
    if (is_down_) return Error::kUnavailable;
    const ClaimTransaction transaction = BuildClaim(kEnvironment, claim);
    Result<store::TransactionOutcome> outcome =
        table_.Transact(transaction.conditions, transaction.writes);
    if (std::exchange(loses_next_answer_, false)) return Error::kOutcomeUnknown;
    return outcome;
  }

  std::vector<JobEffect>& effects() { return effects_; }
  const std::vector<SendCall>& calls() const { return calls_; }
  const JobCounters& counters() const { return scheduler_.counters(); }
  SchedulerTime now() const { return now_; }
  void set_is_down(bool is_down) { is_down_ = is_down; }
  void set_loses_next_answer() { loses_next_answer_ = true; }
  void set_jobs(std::vector<Job> jobs) { jobs_ = std::move(jobs); }
  void set_sequence(std::uint64_t sequence) { sequence_ = sequence; }

 private:
  Result<store::ReadOutcome> Read(const std::string& key) {
    if (is_down_) return Error::kUnavailable;
    return table_.ReadRow(key, std::nullopt);
  }
  void Take(JobEffects effects) {
    effects_.insert(effects_.end(), effects.begin(), effects.end());
  }

  testing::FakeTable& table_;
  std::vector<Job> jobs_;
  JobScheduler scheduler_;
  SchedulerTime now_;
  std::uint64_t sequence_ = kSequence;
  bool is_allowed_ = true;
  bool is_holder_ = true;
  bool is_down_ = false;
  bool loses_next_answer_ = false;
  std::vector<JobEffect> effects_;
  std::vector<SendCall> calls_;
};

// Guards against due times that differ between nodes or drift.
TEST_CASE("due times follow wall time only") {
  const DueTimes times = DueTimes::Create(seconds(600), seconds(60)).value();
  REQUIRE(times.LatestAt(At(660)) == At(660));
  REQUIRE(times.LatestAt(At(659)) == At(60));
  REQUIRE(times.LatestAt(At(59)) == At(-540));
  REQUIRE(times.NextAfter(At(660)) == At(1260));
  REQUIRE(times.CountBetween(At(60), At(1260)) == 2);
  REQUIRE(times.CountBetween(At(1260), At(60)) == 0);
  REQUIRE(DueTimes::Create(seconds(0), seconds(0)).has_error());
  REQUIRE(DueTimes::Create(seconds(60), seconds(60)).has_error());
}

// Guards against a run by each of two nodes that both believe to be the holder.
TEST_CASE("two holders at once run a due time once") {
  testing::FakeTable table;
  SetSequence(table, kSequence);
  Node first(table, MissedPolicy::kSkip, 1);
  Node second(table, MissedPolicy::kSkip, 2);
  first.Run(7100, 7199);
  second.Run(7100, 7199);
  first.Tick(7200);
  second.Tick(7200);
  REQUIRE(first.RunOne());
  REQUIRE(second.RunOne());
  first.Run(7200, 7300);
  second.Run(7200, 7300);
  REQUIRE(first.calls().size() + second.calls().size() == 1);
  REQUIRE(first.calls()[0].idempotency_key == "job/report/7200");
  REQUIRE(second.counters().claims_refused == 1);
  REQUIRE(second.counters().already_claimed == 1);
}

// Guards against a call that is sent long after its due time.
TEST_CASE("a holder paused between claim and call does not send") {
  testing::FakeTable table;
  SetSequence(table, kSequence);
  Node node(table, MissedPolicy::kRunLatest);
  node.Run(7100, 7199);
  node.Tick(7200);
  REQUIRE(node.RunOne());
  SECTION("paused before the answer to the claim") {
    node.Pause(7230);
    REQUIRE(node.RunOne());
    REQUIRE(node.effects().empty());
    REQUIRE(node.counters().start_window_passed == 1);
  }
  SECTION("paused before the call") {
    REQUIRE(node.RunOne());
    const SendCall& call = std::get<SendCall>(node.effects().at(0));
    REQUIRE(IsStartAllowed(call, node.now().monotonic + seconds(29)));
    REQUIRE_FALSE(IsStartAllowed(call, node.now().monotonic + seconds(30)));
  }
}

// Guards against a run after the retirement of a job.
TEST_CASE("a retired job does not run") {
  testing::FakeTable table;
  SetSequence(table, kSequence);
  Node node(table, MissedPolicy::kSkip);
  node.Run(7100, 7199);
  node.Tick(7200);
  REQUIRE(node.RunOne());
  SECTION("accepted before the claim") {
    SetSequence(table, kSequence + 1);
    node.Run(7200, 7230);
    REQUIRE(node.calls().empty());
    REQUIRE(node.counters().claims_refused == 1);
    REQUIRE(node.counters().sequence_differs > 0);
  }
  SECTION("known to the holder before the answer to the claim") {
    node.set_jobs({});
    node.set_sequence(kSequence + 1);
    const std::vector<JobEffect> claim = std::exchange(node.effects(), {});
    node.Tick(7201);
    node.effects() = claim;
    node.Run(7201, 7230);
    REQUIRE(node.calls().empty());
    REQUIRE(node.counters().withheld == 1);
  }
  SECTION("known to the receiver only") {
    const std::vector<Job> jobs{Hourly(MissedPolicy::kSkip)};
    REQUIRE(IsRunAllowed("report", kSequence, jobs, kSequence) ==
            RunDecision::kAllowed);
    REQUIRE(IsRunAllowed("report", kSequence, {}, kSequence + 1) ==
            RunDecision::kRetired);
    REQUIRE(IsRunAllowed("report", kSequence, jobs, kSequence - 1) ==
            RunDecision::kConfigurationBehind);
  }
}

// Guards against missed due times that run in a burst when the platform is
// back, and against a policy that is not followed.
TEST_CASE("due times missed while the platform is down follow the policy") {
  testing::FakeTable table;
  SetSequence(table, kSequence);
  const MissedPolicy policy =
      GENERATE(MissedPolicy::kSkip, MissedPolicy::kRunLatest);
  Node node(table, policy);
  node.Run(7000, 7300);
  node.set_is_down(true);
  node.Run(7300, 18'500);
  node.set_is_down(false);
  node.Run(18'500, 21'700);
  std::vector<std::int64_t> due;
  for (const SendCall& call : node.calls()) {
    due.push_back(call.due.time_since_epoch().count());
  }
  if (policy == MissedPolicy::kSkip) {
    REQUIRE(due == std::vector<std::int64_t>{7200, 21'600});
    REQUIRE(node.counters().missed == 3);
  } else {
    REQUIRE(due == std::vector<std::int64_t>{7200, 18'000, 21'600});
    REQUIRE(node.counters().missed == 2);
    REQUIRE(node.counters().caught_up == 1);
  }
}

// Guards against a second run, or none, after the answer to a claim was lost.
TEST_CASE("a claim with a lost answer is resolved by the holder's token") {
  testing::FakeTable table;
  SetSequence(table, kSequence);
  Node node(table, MissedPolicy::kSkip, 1);
  Node other(table, MissedPolicy::kSkip, 2);
  node.Run(7100, 7199);
  other.Run(7100, 7199);
  node.set_loses_next_answer();
  node.Run(7199, 7210);
  other.Run(7199, 7210);
  REQUIRE(node.counters().lost_answers == 1);
  REQUIRE(node.calls().size() == 1);
  REQUIRE(other.calls().empty());
}

// Guards against due times that run again after a step back of the clock.
TEST_CASE("a clock that steps back does not repeat a due time") {
  testing::FakeTable table;
  SetSequence(table, kSequence);
  Node node(table, MissedPolicy::kRunLatest);
  node.Run(7000, 7300);
  node.Run(6000, 7300);
  REQUIRE(node.calls().size() == 1);
  REQUIRE(node.counters().already_claimed > 0);
  node.Run(7300, 10'900);
  REQUIRE(node.calls().size() == 2);
}

// Guards against a job that runs for due times before it existed.
TEST_CASE("a job that appears does not run for past due times") {
  testing::FakeTable table;
  SetSequence(table, kSequence);
  Node node(table, MissedPolicy::kRunLatest);
  node.set_jobs({});
  node.Run(7000, 7205);
  node.set_jobs({Hourly(MissedPolicy::kRunLatest)});
  node.Run(7205, 7400);
  REQUIRE(node.calls().empty());
  REQUIRE(node.counters().ignored_as_new == 1);
}

// Guards against a missed due time that is lost because its holder restarted.
TEST_CASE("a restarted holder catches up on a job that was in force") {
  testing::FakeTable table;
  SetSequence(table, kSequence);
  Node(table, MissedPolicy::kRunLatest, 1).Run(7100, 7300);
  Node restarted(table, MissedPolicy::kRunLatest, 2);
  SECTION("under the same configuration") {
    restarted.Run(10'900, 11'000);
    REQUIRE(restarted.calls().size() == 1);
  }
  SECTION("under a later configuration, which may have introduced it anew") {
    SetSequence(table, kSequence + 1);
    restarted.set_sequence(kSequence + 1);
    restarted.Run(10'900, 11'000);
    REQUIRE(restarted.calls().empty());
  }
}

// Guards against a process that ends each time it reads the row of a job: it is
// nested so deeply that a copy of it exceeds the stack, or its numbers
// overflow.
TEST_CASE("an odd row of a job is damaged") {
  const std::string row =
      R"({"due":5,"holder":"node-1","token":7,"sequence":1})";
  REQUIRE(DecodeJobRow(row).has_value());
  const auto replace = [&](const std::string& from, const std::string& to) {
    return std::string(row).replace(row.find(from), from.size(), to);
  };
  constexpr std::size_t kDepth = 1'000'000;
  for (const std::string& odd :
       {replace("5", std::string(kDepth, '[') + std::string(kDepth, ']')),
        replace("5", "9223372036854775807"), replace("5", "1e300"),
        replace("7", "-1"), replace("7", "1.5"),
        replace("1}", "18446744073709551616}"), std::string("[]")}) {
    INFO(odd.substr(0, 100));
    REQUIRE(DecodeJobRow(odd).error() == Error::kDataDamaged);
  }
}

}  // namespace
}  // namespace oleandertide::jobs
