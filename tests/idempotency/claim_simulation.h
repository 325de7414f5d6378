// Simulates callers, receivers, claim writers and a faulty platform in virtual
// time.

#ifndef OLEANDERTIDE_TESTS_IDEMPOTENCY_CLAIM_SIMULATION_H_
#define OLEANDERTIDE_TESTS_IDEMPOTENCY_CLAIM_SIMULATION_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "idempotency/claim_writer.h"
#include "support/event_queue.h"
#include "support/fake_table.h"

namespace oleandertide::idempotency {

// How a transaction with a lost answer is reported to the writer.
enum class LostAnswerReport {
  kUnknown,
  // Mechanism disabled: reported as not written.
  kNotWritten,
  // Mechanism disabled: reported as committed, without comparing tokens.
  kCommitted,
};

struct ClaimSimulationOptions {
  // Lost messages and restarts besides the faults of the platform.
  bool has_process_faults = true;
  // Mechanisms that a test can turn off.
  bool checks_conditions = true;
  bool separates_attempts = true;
  LostAnswerReport lost_answers = LostAnswerReport::kUnknown;
};

// Runs 5 s with faults, then 40 s without. Several callers use each key
// concurrently and repeat it after unknown outcomes, each time with a new
// token.
class ClaimSimulation {
 public:
  ClaimSimulation(std::uint64_t seed, ClaimSimulationOptions options);

  // Returns the first violated rule, or an empty string.
  std::string Run();

 private:
  static constexpr std::size_t kWriters = 3;
  static constexpr std::size_t kKeys = 4;

  struct WriterSlot {
    std::unique_ptr<ClaimWriter> writer;
    std::uint64_t incarnation = 0;
  };
  struct KeyHistory {
    int runs = 0;
    std::uint64_t token_of_run = 0;
    // Writer that accepted the completion, and its incarnation.
    std::size_t completion_slot = 0;
    std::uint64_t completion_incarnation = 0;
  };
  // One attempt of a receiver.
  struct Attempt {
    std::size_t key = 0;
    std::uint64_t token = 0;
    std::uint64_t claimant = 0;
    std::size_t slot = 0;
    int repeats_left = 0;
    std::uint64_t epoch = 0;
    bool is_ended = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  bool Chance(std::uint64_t percent) { return random_.Below(100) < percent; }
  // Faults occur only in the first 5 s.
  bool Fault(std::uint64_t percent) { return is_faulty_ && Chance(percent); }
  bool ProcessFault(std::uint64_t percent) {
    return options_.has_process_faults && Fault(percent);
  }
  Duration Delay(int low_milliseconds, int high_milliseconds);
  Moment now() const { return {events_.now(), WallTime()}; }
  static std::string KeyName(std::size_t key) { return std::to_string(key); }

  void RestartWriter(std::size_t slot);
  void RestartEverything();
  void HandleEffects(std::size_t slot, const ClaimWriterEffects& effects);
  void ScheduleWake(std::size_t slot);
  void Commit(std::size_t slot, const CommitClaims& commit);
  void Read(std::size_t slot, const ReadClaimRow& read);

  void StartAttempt(std::size_t key, std::uint64_t token, int repeats_left);
  void HandleAnswer(const AttemptPtr& attempt, const ClaimResult& result);
  void HandOver(const AttemptPtr& attempt);
  void SendRelease(const Attempt& attempt);
  void RetryLater(const Attempt& attempt);
  void RepeatLater(const Attempt& attempt);
  void CheckAnswer(std::size_t key, const Answered& answer);
  void CheckAtEnd();
  void CheckProbe(std::size_t key, const ClaimResult& result);
  void ReportViolation(const std::string& rule);

  ClaimSimulationOptions options_;
  RandomSource random_;
  testing::EventQueue events_;
  testing::FakeTable table_;
  std::array<WriterSlot, kWriters> writers_;
  std::array<KeyHistory, kKeys> keys_;
  std::map<std::pair<std::size_t, ClaimId>, AttemptPtr> waiting_;
  // Destinations of the results of the final claims.
  std::map<std::pair<std::size_t, ClaimId>, std::optional<ClaimResult>*>
      probes_;
  ClaimId last_claim_ = 0;
  std::uint64_t epoch_ = 0;
  bool is_faulty_ = true;
  bool is_down_ = false;
  std::string violation_;
};

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_TESTS_IDEMPOTENCY_CLAIM_SIMULATION_H_
