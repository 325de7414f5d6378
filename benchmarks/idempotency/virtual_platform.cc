#include "idempotency/virtual_platform.h"

#include <algorithm>
#include <utility>

namespace oleandertide::idempotency {
namespace {

constexpr Duration kRoundTripTime = std::chrono::milliseconds(2);
constexpr Duration kLostAnswerTimeout = std::chrono::milliseconds(50);
constexpr double kWritesPerSecond = 300;
constexpr double kReadsPerSecond = 2000;
// Size of a burst after an idle time, in seconds at the permitted rate.
constexpr double kBurstSeconds = 0.1;

}  // namespace

bool RateLimiter::TryAcquire(MonotonicTime now) {
  const double passed =
      std::chrono::duration<double>(now - updated_).count() * per_second_;
  permits_ = std::min(burst_, permits_ + passed);
  updated_ = now;
  if (permits_ < 1) return false;
  permits_ -= 1;
  return true;
}

VirtualPlatform::VirtualPlatform(testing::EventQueue& events)
    : events_(events),
      write_limit_(kWritesPerSecond, kWritesPerSecond * kBurstSeconds),
      read_limit_(kReadsPerSecond, kReadsPerSecond * kBurstSeconds) {}

void VirtualPlatform::Transact(std::vector<store::Condition> conditions,
                               std::vector<store::Write> writes,
                               TransactionCallback callback) {
  events_.After(kRoundTripTime / 2, [this, conditions = std::move(conditions),
                                     writes = std::move(writes),
                                     callback = std::move(callback)] {
    Result<store::TransactionOutcome> outcome = Error::kUnavailable;
    Duration answer_time = kRoundTripTime / 2;
    if (!is_down_ && !write_limit_.TryAcquire(events_.now())) {
      ++rate_limited_;
      outcome = Error::kRateLimited;
    } else if (!is_down_) {
      ++transactions_;
      outcome = table_.Transact(conditions, writes);
      if (random_.Below(100) < lost_answer_percent_) {
        outcome = Error::kOutcomeUnknown;
        answer_time = kLostAnswerTimeout;
      }
    }
    events_.After(answer_time, [callback, outcome] { callback(outcome); });
  });
}

void VirtualPlatform::Read(std::string key, ReadCallback callback) {
  events_.After(kRoundTripTime / 2,
                [this, key = std::move(key), callback = std::move(callback)] {
                  Result<store::ReadOutcome> outcome = Error::kUnavailable;
                  if (!is_down_ && !read_limit_.TryAcquire(events_.now())) {
                    ++rate_limited_;
                    outcome = Error::kRateLimited;
                  } else if (!is_down_) {
                    ++reads_;
                    outcome = table_.ReadRow(key, std::nullopt);
                  }
                  events_.After(kRoundTripTime / 2,
                                [callback, outcome] { callback(outcome); });
                });
}

}  // namespace oleandertide::idempotency
