#include "support/memory_store/memory_store.h"

#include <utility>

namespace oleandertide::store {

Result<ReadOutcome> MemoryStore::ReadRow(
    std::string_view key, std::optional<RowVersion> known_version) {
  const std::scoped_lock lock(mutex_);
  if (!CountCall()) return Error::kUnavailable;
  const auto row = rows_.find(key);
  if (row == rows_.end()) return ReadOutcome(Absent{});
  if (known_version == row->second.version) return ReadOutcome(Unchanged{});
  return ReadOutcome(row->second);
}

Result<TransactionOutcome> MemoryStore::Transact(
    std::span<const Condition> conditions, std::span<const Write> writes) {
  std::function<void()> hook;
  {
    const std::scoped_lock lock(mutex_);
    hook = before_transaction_;
  }
  if (hook) hook();
  const std::scoped_lock lock(mutex_);
  if (!CountCall()) return Error::kUnavailable;
  switch (NextFault()) {
    case TransactionFault::kNone:
      return Apply(conditions, writes);
    case TransactionFault::kLoseAnswer:
      static_cast<void>(Apply(conditions, writes));
      return Error::kOutcomeUnknown;
    case TransactionFault::kLoseRequest:
      return Error::kOutcomeUnknown;
    case TransactionFault::kDelayRequest:
      delayed_.push_back({{conditions.begin(), conditions.end()},
                          {writes.begin(), writes.end()}});
      return Error::kOutcomeUnknown;
    case TransactionFault::kRefuse:
      return Error::kUnavailable;
  }
  return Error::kInternal;
}

Result<void> MemoryStore::PutObject(std::string_view digest,
                                    std::string_view bytes) {
  const std::scoped_lock lock(mutex_);
  if (!CountCall()) return Error::kUnavailable;
  objects_.try_emplace(std::string(digest), bytes);
  return Success();
}

Result<std::string> MemoryStore::FetchObject(std::string_view digest) {
  const std::scoped_lock lock(mutex_);
  if (!CountCall()) return Error::kUnavailable;
  const auto object = objects_.find(digest);
  if (object == objects_.end()) return Error::kNotFound;
  return object->second;
}

void MemoryStore::set_down(bool is_down) {
  const std::scoped_lock lock(mutex_);
  is_down_ = is_down;
  calls_until_down_.reset();
}

void MemoryStore::set_calls_until_down(std::size_t calls) {
  const std::scoped_lock lock(mutex_);
  calls_until_down_ = calls;
}

void MemoryStore::set_before_transaction(std::function<void()> hook) {
  const std::scoped_lock lock(mutex_);
  before_transaction_ = std::move(hook);
}

void MemoryStore::AddTransactionFault(TransactionFault fault) {
  const std::scoped_lock lock(mutex_);
  faults_.push_back(fault);
}

std::size_t MemoryStore::DeliverDelayed() {
  const std::scoped_lock lock(mutex_);
  std::size_t applied = 0;
  for (const Transaction& transaction : std::exchange(delayed_, {})) {
    const auto outcome = Apply(transaction.conditions, transaction.writes);
    if (std::holds_alternative<Committed>(outcome)) ++applied;
  }
  return applied;
}

bool MemoryStore::HasObject(std::string_view digest) const {
  const std::scoped_lock lock(mutex_);
  return objects_.contains(digest);
}

std::size_t MemoryStore::object_count() const {
  const std::scoped_lock lock(mutex_);
  return objects_.size();
}

std::size_t MemoryStore::row_count() const {
  const std::scoped_lock lock(mutex_);
  return rows_.size();
}

void MemoryStore::DamageObject(std::string_view digest,
                               std::string_view bytes) {
  const std::scoped_lock lock(mutex_);
  objects_.insert_or_assign(std::string(digest), std::string(bytes));
}

bool MemoryStore::CountCall() {
  if (calls_until_down_.has_value()) {
    if (*calls_until_down_ == 0) is_down_ = true;
    if (*calls_until_down_ > 0) --*calls_until_down_;
  }
  return !is_down_;
}

TransactionFault MemoryStore::NextFault() {
  if (faults_.empty()) return TransactionFault::kNone;
  const TransactionFault fault = faults_.front();
  faults_.pop_front();
  return fault;
}

RowVersion MemoryStore::VersionOf(const std::string& key) const {
  const auto row = rows_.find(key);
  return row == rows_.end() ? kAbsent : row->second.version;
}

TransactionOutcome MemoryStore::Apply(std::span<const Condition> conditions,
                                      std::span<const Write> writes) {
  Refused refused;
  for (const Condition& condition : conditions) {
    if (VersionOf(condition.key) != condition.version) {
      refused.failed_keys.push_back(condition.key);
    }
  }
  if (!refused.failed_keys.empty()) return refused;
  ++last_version_;
  Committed committed;
  for (const Write& write : writes) {
    rows_.insert_or_assign(write.key, Row{write.value, last_version_});
    committed.versions.insert_or_assign(write.key, last_version_);
  }
  return committed;
}

}  // namespace oleandertide::store
