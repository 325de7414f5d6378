// Nodes with job schedulers, operators and a faulty platform under virtual
// time.

#ifndef OLEANDERTIDE_TESTS_JOBS_JOB_WORLD_H_
#define OLEANDERTIDE_TESTS_JOBS_JOB_WORLD_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "jobs/job_scheduler.h"
#include "support/event_queue.h"
#include "support/fake_table.h"

namespace oleandertide::jobs {

// Mechanisms that a test can turn off.
struct JobWorldOptions {
  bool checks_conditions = true;
  // Off: a lost answer to a claim is taken as committed.
  bool compares_tokens = true;
  bool has_start_window = true;
  bool has_receiver_check = true;
};

// Runs 10 minutes in which jobs are due every minute, configurations retire and
// revive them, and nodes are paused, restarted and differ in their clocks and
// in their views of the holder.
class JobWorld {
 public:
  JobWorld(std::uint64_t seed, JobWorldOptions options);

  // Returns the broken rule, or an empty string.
  std::string Run();

  int runs() const { return runs_; }

 private:
  static constexpr std::size_t kNodes = 4;

  struct Node {
    std::optional<JobScheduler> scheduler;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    bool is_allowed = true;
    MonotonicTime paused_until;
    MonotonicTime last_tick;
    Duration clock_offset{0};
    bool has_stepped = false;
  };

  bool Chance(std::uint64_t percent) { return random_.Below(100) < percent; }
  Duration Delay(int low_seconds, int high_seconds);
  WallTime TrueTime() const;
  SchedulerTime TimeOf(const Node& node) const;
  bool IsPaused(const Node& node) const {
    return events_.now() < node.paused_until;
  }

  void Accept();
  void Confirm(Node& node);
  void Restart(Node& node);
  // Runs `event` after the delay and after the end of a pause, unless the node
  // restarts before.
  void Deliver(Node& node, Duration delay, std::function<void()> event);
  void TickEverySecond(Node& node);
  void Tick(Node& node);
  void Take(Node& node, const JobEffects& effects);
  void Read(Node& node, const ReadJobRows& read);
  void Claim(Node& node, const ClaimDueTime& claim);
  void Send(Node& node, const SendCall& call);
  void Receive(const SendCall& call, bool has_stepped);
  bool IsRetirementInForce(const std::string& job) const;
  void Violate(const std::string& rule);

  JobWorldOptions options_;
  RandomSource random_;
  testing::EventQueue events_;
  testing::FakeTable table_;
  // Jobs of each accepted configuration; sequence 1 is the first.
  std::vector<std::vector<Job>> configurations_;
  std::array<Node, kNodes> nodes_;
  bool is_down_ = false;
  std::map<std::string, int> runs_by_key_;
  int runs_ = 0;
  std::string violation_;
};

}  // namespace oleandertide::jobs

#endif  // OLEANDERTIDE_TESTS_JOBS_JOB_WORLD_H_
