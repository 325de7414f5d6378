#include "idempotency/blocking_claim_writer.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/fake_table.h"

namespace oleandertide::idempotency {
namespace {

ClaimWriterOptions Options() {
  ClaimWriterOptions options;
  options.environment = "trial";
  return options;
}

MonotonicTime After(Duration time) { return MonotonicClock::now() + time; }

// Blocks transactions until Open is called.
class GatedTable : public testing::FakeTable {
 public:
  Result<store::TransactionOutcome> Transact(
      std::span<const store::Condition> conditions,
      std::span<const store::Write> writes) override {
    std::unique_lock lock(mutex_);
    opened_.wait(lock, [this] { return is_open_; });
    return testing::FakeTable::Transact(conditions, writes);
  }
  void Open() {
    const std::lock_guard lock(mutex_);
    is_open_ = true;
    opened_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable opened_;
  bool is_open_ = false;
};

// Guards against two grants of one key to concurrent callers.
TEST_CASE("concurrent claims of one key get one grant") {
  testing::FakeTable table;
  BlockingClaimWriter writer(Options(), table);
  constexpr std::uint64_t kThreads = 8;
  constexpr std::uint64_t kKeys = 50;
  std::atomic<std::uint64_t> granted = 0;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&writer, &granted, thread] {
      for (std::uint64_t key = 0; key < kKeys; ++key) {
        const std::uint64_t token = thread * kKeys + key;
        const ClaimResult result =
            writer.Claim({std::to_string(key), 1, token, token},
                         After(std::chrono::seconds(60)));
        if (!std::holds_alternative<Granted>(result)) continue;
        ++granted;
        writer.Complete({std::to_string(key), token, Answered{200, {}, "ok"}});
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  writer.Stop();
  REQUIRE(granted == kKeys);
  REQUIRE(writer.dropped_inputs() == 0);
  REQUIRE(writer.counters().rows_written == 2 * kKeys);
}

// Guards against a caller that hangs while the store hangs, and against a key
// that stays claimed after its caller timed out.
TEST_CASE("a claim returns at its deadline while the store hangs") {
  GatedTable table;
  BlockingClaimWriter writer(Options(), table);
  const ClaimResult result =
      writer.Claim({"key", 1, 1, 1}, After(std::chrono::milliseconds(500)));
  REQUIRE(std::holds_alternative<AlreadyRunning>(result));
  table.Open();
  writer.Stop();
  BlockingClaimWriter second(Options(), table);
  REQUIRE(std::holds_alternative<Granted>(
      second.Claim({"key", 1, 2, 2}, After(std::chrono::seconds(60)))));
}

// Guards against a claim that waits for a thread that has ended.
TEST_CASE("a stopped writer refuses claims as not run") {
  testing::FakeTable table;
  BlockingClaimWriter writer(Options(), table);
  writer.Stop();
  writer.Stop();
  writer.Complete({"key", 1, std::nullopt});
  REQUIRE(writer.dropped_inputs() == 1);
  REQUIRE(std::holds_alternative<StoreUnavailable>(
      writer.Claim({"key", 1, 1, 1}, After(std::chrono::seconds(60)))));
}

}  // namespace
}  // namespace oleandertide::idempotency
