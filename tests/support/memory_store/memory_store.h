// In-memory platform with injected faults, for tests.

#ifndef OLEANDERTIDE_TESTS_SUPPORT_MEMORY_STORE_MEMORY_STORE_H_
#define OLEANDERTIDE_TESTS_SUPPORT_MEMORY_STORE_MEMORY_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "store/store.h"

namespace oleandertide::store {

// What happens to one transaction.
enum class TransactionFault {
  kNone,
  // Takes effect; the caller gets kOutcomeUnknown.
  kLoseAnswer,
  // Never takes effect; the caller gets kOutcomeUnknown.
  kLoseRequest,
  // Waits for DeliverDelayed; the caller gets kOutcomeUnknown.
  kDelayRequest,
  // Nothing is written; the caller gets kUnavailable.
  kRefuse,
};

// Thread-safe. The hook runs without the lock, so it may use the store.
class MemoryStore final : public Store {
 public:
  Result<ReadOutcome> ReadRow(std::string_view key,
                              std::optional<RowVersion> known_version) override;
  Result<TransactionOutcome> Transact(std::span<const Condition> conditions,
                                      std::span<const Write> writes) override;
  Result<void> PutObject(std::string_view digest,
                         std::string_view bytes) override;
  Result<std::string> FetchObject(std::string_view digest) override;

  // Every call fails with kUnavailable while down.
  void set_down(bool is_down);

  // The store goes down after `calls` more calls of any kind, and stays down
  // until set_down(false).
  void set_calls_until_down(std::size_t calls);

  // Runs before each transaction is applied or refused.
  void set_before_transaction(std::function<void()> hook);

  // Faults of the next transactions, one each.
  void AddTransactionFault(TransactionFault fault);

  // Applies the delayed transactions whose conditions hold now. Returns the
  // number of those that took effect.
  std::size_t DeliverDelayed();

  bool HasObject(std::string_view digest) const;
  std::size_t object_count() const;
  std::size_t row_count() const;

  // Replaces the bytes of an object without changing its digest.
  void DamageObject(std::string_view digest, std::string_view bytes);

 private:
  struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
  };

  bool CountCall();
  TransactionFault NextFault();
  RowVersion VersionOf(const std::string& key) const;
  TransactionOutcome Apply(std::span<const Condition> conditions,
                           std::span<const Write> writes);

  mutable std::mutex mutex_;
  std::map<std::string, Row, std::less<>> rows_;
  std::map<std::string, std::string, std::less<>> objects_;
  RowVersion last_version_ = kAbsent;
  bool is_down_ = false;
  std::optional<std::size_t> calls_until_down_;
  std::function<void()> before_transaction_;
  std::deque<TransactionFault> faults_;
  std::vector<Transaction> delayed_;
};

}  // namespace oleandertide::store

#endif  // OLEANDERTIDE_TESTS_SUPPORT_MEMORY_STORE_MEMORY_STORE_H_
