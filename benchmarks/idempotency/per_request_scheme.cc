#include "idempotency/per_request_scheme.h"

#include <algorithm>
#include <utility>

namespace oleandertide::idempotency {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(20);
constexpr Duration kMaximumRetryDelay = std::chrono::milliseconds(160);
constexpr int kCompletionAttempts = 50;
constexpr std::string_view kEnvironment = "bench";

}  // namespace

struct PerRequestScheme::Pending {
  ClaimRequest request;
  Callback callback;
  MonotonicTime deadline;
  store::RowVersion version = store::kAbsent;
  std::optional<ClaimRecord> row;
  bool may_be_written = false;
  Duration retry_delay = kRetryDelay;
};

void PerRequestScheme::Claim(std::size_t, ClaimRequest request,
                             MonotonicTime deadline, Callback callback) {
  TryClaim(std::make_shared<Pending>(Pending{.request = std::move(request),
                                             .callback = std::move(callback),
                                             .deadline = deadline,
                                             .row = std::nullopt}));
}

void PerRequestScheme::TryClaim(const PendingPtr& pending) {
  ClaimDecision decision =
      DecideClaim(pending->row, pending->request, WallTime());
  if (auto* result = std::get_if<ClaimResult>(&decision)) {
    pending->callback(std::move(*result));
    return;
  }
  const std::string key = ClaimRowKey(kEnvironment, pending->request.key);
  platform_.Transact(
      {{key, pending->version}},
      {{key, EncodeClaimRecord(std::get<ClaimRecord>(decision))}},
      [this, pending](const Result<store::TransactionOutcome>& outcome) {
        if (outcome.has_value()) {
          const bool is_committed =
              std::holds_alternative<store::Committed>(outcome.value());
          if (is_committed) return pending->callback(Granted{});
          return ReadClaim(pending);
        }
        if (outcome.error() == Error::kRateLimited) {
          return RetryLater(pending, &PerRequestScheme::TryClaim);
        }
        if (outcome.error() == Error::kUnavailable) {
          return pending->may_be_written
                     ? RetryLater(pending, &PerRequestScheme::ReadClaim)
                     : pending->callback(StoreUnavailable{});
        }
        pending->may_be_written = true;
        ReadClaim(pending);
      });
}

void PerRequestScheme::ReadClaim(const PendingPtr& pending) {
  platform_.Read(ClaimRowKey(kEnvironment, pending->request.key),
                 [this, pending](const Result<store::ReadOutcome>& outcome) {
                   if (outcome.has_error()) {
                     return RetryLater(pending, &PerRequestScheme::ReadClaim);
                   }
                   pending->version = store::kAbsent;
                   pending->row.reset();
                   if (auto* row = std::get_if<store::Row>(&outcome.value())) {
                     pending->version = row->version;
                     pending->row = DecodeClaimRecord(row->value).value();
                   }
                   TryClaim(pending);
                 });
}

void PerRequestScheme::RetryLater(
    const PendingPtr& pending,
    void (PerRequestScheme::*step)(const PendingPtr&)) {
  const Duration delay = pending->retry_delay;
  pending->retry_delay = std::min(2 * delay, kMaximumRetryDelay);
  if (events_.now() + delay < pending->deadline) {
    events_.After(delay, [this, pending, step] { (this->*step)(pending); });
  } else if (pending->may_be_written) {
    pending->callback(AlreadyRunning{});
  } else {
    pending->callback(StoreUnavailable{});
  }
}

void PerRequestScheme::Complete(std::size_t, Completion completion) {
  TryComplete(std::make_shared<Completion>(std::move(completion)),
              kCompletionAttempts);
}

void PerRequestScheme::TryComplete(
    const std::shared_ptr<Completion>& completion, int attempts_left) {
  const auto retry = [this, completion, attempts_left] {
    if (attempts_left == 0) return;
    events_.After(kRetryDelay, [this, completion, attempts_left] {
      TryComplete(completion, attempts_left - 1);
    });
  };
  const std::string key = ClaimRowKey(kEnvironment, completion->key);
  platform_.Read(key, [this, key, completion,
                       retry](const Result<store::ReadOutcome>& outcome) {
    if (outcome.has_error()) return retry();
    const auto* row = std::get_if<store::Row>(&outcome.value());
    if (row == nullptr) return;
    const auto record = DecideCompletion(DecodeClaimRecord(row->value).value(),
                                         *completion, WallTime());
    if (!record) return;
    platform_.Transact(
        {{key, row->version}}, {{key, EncodeClaimRecord(*record)}},
        [retry](const Result<store::TransactionOutcome>& committed) {
          if (committed.has_error()) retry();
        });
  });
}

}  // namespace oleandertide::idempotency
