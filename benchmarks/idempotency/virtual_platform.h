// Simulates the platform's table in virtual time, with rate limits and faults.

#ifndef OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_VIRTUAL_PLATFORM_H_
#define OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_VIRTUAL_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/random.h"
#include "store/store.h"
#include "support/event_queue.h"
#include "support/fake_table.h"

namespace oleandertide::idempotency {

// Token bucket: limits operations per second and permits short bursts.
class RateLimiter {
 public:
  RateLimiter(double per_second, double burst)
      : per_second_(per_second), burst_(burst), permits_(burst) {}

  bool TryAcquire(MonotonicTime now);

 private:
  double per_second_;
  double burst_;
  double permits_;
  MonotonicTime updated_;
};

class VirtualPlatform {
 public:
  using TransactionCallback =
      std::function<void(Result<store::TransactionOutcome>)>;
  using ReadCallback = std::function<void(Result<store::ReadOutcome>)>;

  // Precondition: `events` outlives this object.
  explicit VirtualPlatform(testing::EventQueue& events);

  void Transact(std::vector<store::Condition> conditions,
                std::vector<store::Write> writes, TransactionCallback callback);
  void Read(std::string key, ReadCallback callback);

  void set_is_down(bool is_down) { is_down_ = is_down; }
  // Percentage of transactions that take effect but whose answer is lost.
  void set_lost_answer_percent(std::uint64_t percent) {
    lost_answer_percent_ = percent;
  }

  // Transactions and reads that were carried out, also if refused by their
  // conditions.
  std::uint64_t transactions() const { return transactions_; }
  std::uint64_t reads() const { return reads_; }
  // Operations refused because of the rate.
  std::uint64_t rate_limited() const { return rate_limited_; }

 private:
  testing::EventQueue& events_;
  testing::FakeTable table_;
  RandomSource random_{17};
  RateLimiter write_limit_;
  RateLimiter read_limit_;
  bool is_down_ = false;
  std::uint64_t lost_answer_percent_ = 0;
  std::uint64_t transactions_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t rate_limited_ = 0;
};

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_VIRTUAL_PLATFORM_H_
