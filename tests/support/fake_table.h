// The platform's table in memory, without network.

#ifndef OLEANDERTIDE_TESTS_SUPPORT_FAKE_TABLE_H_
#define OLEANDERTIDE_TESTS_SUPPORT_FAKE_TABLE_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "store/store.h"

namespace oleandertide::testing {

class FakeTable : public store::Store {
 public:
  Result<store::ReadOutcome> ReadRow(
      std::string_view key,
      std::optional<store::RowVersion> known_version) override {
    ++reads_;
    const auto found = rows_.find(std::string(key));
    if (found == rows_.end()) return store::ReadOutcome(store::Absent{});
    if (known_version == found->second.version) {
      return store::ReadOutcome(store::Unchanged{});
    }
    return store::ReadOutcome(found->second);
  }

  Result<store::TransactionOutcome> Transact(
      std::span<const store::Condition> conditions,
      std::span<const store::Write> writes) override {
    ++transactions_;
    store::Refused refused;
    for (const store::Condition& condition : conditions) {
      if (checks_conditions_ && version(condition.key) != condition.version) {
        refused.failed_keys.push_back(condition.key);
      }
    }
    if (!refused.failed_keys.empty()) {
      return store::TransactionOutcome(std::move(refused));
    }
    store::Committed committed;
    for (const store::Write& write : writes) {
      rows_[write.key] = {write.value, ++last_version_};
      committed.versions[write.key] = last_version_;
    }
    return store::TransactionOutcome(std::move(committed));
  }

  Result<void> PutObject(std::string_view, std::string_view) override {
    return Error::kUnavailable;
  }
  Result<std::string> FetchObject(std::string_view) override {
    return Error::kUnavailable;
  }

  // Returns the version of a row; kAbsent if there is none.
  store::RowVersion version(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? store::kAbsent : found->second.version;
  }
  // Without checks every transaction commits, to show what the conditions are
  // for.
  void set_checks_conditions(bool checks) { checks_conditions_ = checks; }
  std::size_t transactions() const { return transactions_; }
  std::size_t reads() const { return reads_; }

 private:
  std::map<std::string, store::Row> rows_;
  store::RowVersion last_version_ = 0;
  bool checks_conditions_ = true;
  std::size_t transactions_ = 0;
  std::size_t reads_ = 0;
};

}  // namespace oleandertide::testing

#endif  // OLEANDERTIDE_TESTS_SUPPORT_FAKE_TABLE_H_
