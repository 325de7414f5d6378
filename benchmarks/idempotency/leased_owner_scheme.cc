#include "idempotency/leased_owner_scheme.h"

#include <utility>

namespace oleandertide::idempotency {
namespace {

constexpr Duration kLeaseTime = std::chrono::seconds(2);
constexpr Duration kRenewInterval = std::chrono::milliseconds(700);
// Time between the check of the lease and the decision.
constexpr Duration kDecisionTime = std::chrono::microseconds(100);

}  // namespace

LeasedOwnerScheme::LeasedOwnerScheme(testing::EventQueue& events,
                                     VirtualPlatform& platform)
    : events_(events), platform_(platform) {
  for (std::size_t partition = 0; partition < kDeciders; ++partition) {
    TakeOver(partition);
    Renew(partition);
  }
}

void LeasedOwnerScheme::TakeOver(std::size_t partition) {
  partitions_[partition].owner = std::make_shared<Owner>();
}

void LeasedOwnerScheme::Renew(std::size_t partition) {
  events_.After(kRenewInterval, [this, partition] { Renew(partition); });
  const OwnerPtr owner = partitions_[partition].owner;
  const MonotonicTime asked = events_.now();
  if (asked < owner->starts_at || asked < owner->paused_until) return;
  const std::string key = "owner/" + std::to_string(partition);
  platform_.Transact(
      {{key, partitions_[partition].lease_version}}, {{key, "owner"}},
      [this, partition, key, owner,
       asked](const Result<store::TransactionOutcome>& outcome) {
        if (!outcome.has_value()) return ReadLease(partition, key);
        const auto* committed = std::get_if<store::Committed>(&outcome.value());
        if (committed == nullptr) return ReadLease(partition, key);
        partitions_[partition].lease_version = committed->versions.at(key);
        owner->lease_until = asked + kLeaseTime;
      });
}

// Reads the version of the lease row after an answer was lost. Partitions have
// one candidate at a time in this model, so the row is always the owner's.
void LeasedOwnerScheme::ReadLease(std::size_t partition,
                                  const std::string& key) {
  platform_.Read(key,
                 [this, partition](const Result<store::ReadOutcome>& outcome) {
                   if (!outcome.has_value()) return;
                   const auto* row = std::get_if<store::Row>(&outcome.value());
                   if (row != nullptr)
                     partitions_[partition].lease_version = row->version;
                 });
}

void LeasedOwnerScheme::Claim(std::size_t, ClaimRequest request, MonotonicTime,
                              Callback callback) {
  const OwnerPtr owner = partitions_[DeciderOf(request.key)].owner;
  const MonotonicTime now = events_.now();
  if (now < owner->starts_at || now >= owner->lease_until) {
    callback(StoreUnavailable{});
    return;
  }
  events_.After(kDecisionTime, [this, owner, request = std::move(request),
                                callback = std::move(callback)] {
    if (events_.now() >= owner->paused_until) {
      Decide(*owner, request, callback);
      return;
    }
    events_.After(owner->paused_until - events_.now(),
                  [this, owner, request, callback] {
                    Decide(*owner, request, callback);
                  });
  });
}

void LeasedOwnerScheme::Decide(Owner& owner, const ClaimRequest& request,
                               const Callback& callback) {
  const auto found = owner.records.find(request.key);
  const std::optional<ClaimRecord> row = found == owner.records.end()
                                             ? std::nullopt
                                             : std::optional(found->second);
  ClaimDecision decision = DecideClaim(row, request, WallTime());
  if (auto* result = std::get_if<ClaimResult>(&decision)) {
    callback(std::move(*result));
    return;
  }
  owner.records[request.key] = std::get<ClaimRecord>(decision);
  callback(Granted{});
}

void LeasedOwnerScheme::Complete(std::size_t, Completion completion) {
  Owner& owner = *partitions_[DeciderOf(completion.key)].owner;
  const auto found = owner.records.find(completion.key);
  if (found == owner.records.end()) return;
  const auto record = DecideCompletion(found->second, completion, WallTime());
  if (record) found->second = *record;
}

void LeasedOwnerScheme::Restart(std::size_t decider) {
  TakeOver(decider);
  partitions_[decider].owner->starts_at = events_.now() + kLeaseTime;
}

void LeasedOwnerScheme::Pause(std::size_t decider, Duration time) {
  partitions_[decider].owner->paused_until = events_.now() + time;
  if (time <= kLeaseTime) return;
  events_.After(kLeaseTime, [this, decider] { TakeOver(decider); });
}

}  // namespace oleandertide::idempotency
