#include "routing/retry_chain.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace oleandertide::routing {

RetryChain::RetryChain(const RetryChainOptions& options) : options_(options) {
  const auto depth = static_cast<std::size_t>(options.depth);
  attempts_.resize(depth);
  for (std::size_t i = 0; i < depth; ++i) {
    policies_.push_back(options.has_budget
                            ? std::make_unique<RetryPolicy>()
                            : std::make_unique<RetryPolicy>(
                                  std::in_place_type<UnlimitedRetries>));
  }
}

double RetryChain::MeasureAmplification() {
  for (int i = 0; i < options_.requests; ++i) {
    Call(0, false, MonotonicTime(options_.between_requests * i));
  }
  const std::int64_t most = *std::ranges::max_element(attempts_);
  return static_cast<double>(most) / options_.requests;
}

Outcome RetryChain::Call(std::size_t hop, bool is_marked, MonotonicTime now) {
  if (hop == policies_.size()) return Outcome::kComplete;
  RetryPolicy& policy = *policies_[hop];
  policy.RecordFirstAttempt();
  RetryContext question;
  question.last = {Outcome::kUnknown, Reason::kConnectionLost};
  question.route_is_repeatable = true;
  question.is_marked_as_retry = is_marked;
  question.has_other_endpoint = true;
  question.now = now;
  question.deadline = now + std::chrono::seconds(1);
  while (true) {
    question.last = Attempt(hop, question.is_marked_as_retry, now);
    if (question.last.outcome == Outcome::kComplete) return Outcome::kComplete;
    const RetryDecision decision = policy.Decide(question);
    if (const auto* give_up = std::get_if<GiveUp>(&decision)) {
      return give_up->result.outcome;
    }
    if (question.last.outcome == Outcome::kUnknown) {
      question.had_unknown_attempt = true;
    }
    question.is_marked_as_retry =
        std::get<SendAgain>(decision).is_marked_as_retry;
    ++question.attempts;
  }
}

AttemptResult RetryChain::Attempt(std::size_t hop, bool is_marked,
                                  MonotonicTime now) {
  ++attempts_[hop];
  if (random_.Unit() < options_.not_run_share) {
    return {Outcome::kNotRun, Reason::kShed};
  }
  const Outcome further = Call(hop + 1, is_marked, now);
  const bool is_lost = random_.Unit() < options_.unknown_share;
  const Outcome outcome = further == Outcome::kComplete && !is_lost
                              ? Outcome::kComplete
                              : Outcome::kUnknown;
  return {outcome, Reason::kConnectionLost};
}

}  // namespace oleandertide::routing
