#include "mesh/backend_room.h"

#include <algorithm>

namespace oleandertide::mesh {
namespace {

// Refusals have other causes than a full backend server: it may refuse a share
// of all requests, or its answers get lost. Those below half of the slots, or
// at a single request, do not tell of fullness.
constexpr int kMinFullDivisor = 2;

// Refusals without an answer to as many requests in between that show a full
// backend server.
constexpr int kMinRefusals = 2;

// A full backend server refuses at once. A refusal later than a quarter of the
// run time, and than the delay of a busy node, ended a run.
constexpr int kPromptnessDivisor = 4;
constexpr Duration kMinPromptness = std::chrono::milliseconds(20);

// Time for which the limit holds after a refusal, in run times, and its bounds.
// What fills a slot unseen ends after about one run time.
constexpr int kHoldRunTimes = 2;
constexpr Duration kMinHold = std::chrono::milliseconds(100);
constexpr Duration kMaxHold = std::chrono::seconds(4);

// Time after the last refusal from which the limit counts as safe although
// only requests that must not run twice were sent.
constexpr Duration kSafeAfter = std::chrono::seconds(4);

}  // namespace

void BackendRoom::set_announced(int slots) {
  if (slots == announced_) return;
  announced_ = slots;
  Reset();
}

void BackendRoom::Reset() {
  limit_ = announced_;
  safe_ = announced_;
  was_refused_ = false;
  interval_ = Duration::zero();
  suspicion_ = {};
}

bool BackendRoom::RecordRefusal(MonotonicTime now, const Refused& refused) {
  const int least = std::max(2, announced_ / kMinFullDivisor);
  if (refused.in_hand < least) return false;
  const Duration promptness =
      std::max(kMinPromptness, refused.run_time / kPromptnessDivisor);
  if (refused.elapsed > promptness) return false;
  // Requests refused together are one event, and each reports another number.
  if (was_refused_ && now - refused_at_ < kMinHold) return true;
  suspicion_ = {.in_hand = refused.in_hand,
                .refusals = suspicion_.refusals + 1};
  const bool is_trial = refused.in_hand > safe_;
  if (!is_trial && suspicion_.refusals < kMinRefusals) return true;
  suspicion_ = {};
  const Duration hold =
      std::clamp(refused.run_time * kHoldRunTimes, kMinHold, kMaxHold);
  interval_ = is_trial ? std::clamp(interval_ * 2, hold, kMaxHold) : hold;
  limit_ = std::clamp(refused.in_hand - 1, 1, std::max(limit_, 1));
  safe_ = std::min(safe_, limit_);
  was_refused_ = true;
  refused_at_ = now;
  step_ = 1;
  next_growth_ = now + interval_;
  return true;
}

void BackendRoom::RecordAnswer(int in_hand) {
  if (in_hand >= suspicion_.in_hand) suspicion_ = {};
  safe_ = std::clamp(in_hand, safe_, std::max(limit_, safe_));
}

int BackendRoom::limit(MonotonicTime now) {
  while (limit_ < announced_ && now >= next_growth_) {
    limit_ = std::min(limit_ + step_, announced_);
    step_ *= 2;
    next_growth_ += interval_;
  }
  return limit_;
}

int BackendRoom::safe_limit(MonotonicTime now) {
  const int now_allowed = limit(now);
  if (was_refused_ && now - refused_at_ >= kSafeAfter) safe_ = now_allowed;
  return std::min(safe_, now_allowed);
}

}  // namespace oleandertide::mesh
