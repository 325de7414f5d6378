// The platform's table in memory, without network.

#ifndef OLEANDERTIDE_TESTS_SUPPORT_FAKE_TABLE_H_
#define OLEANDERTIDE_TESTS_SUPPORT_FAKE_TABLE_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "platform/store.h"

namespace oleandertide::testing {

class FakeTable : public platform::Store {
 public:
  Result<platform::ReadOutcome> ReadRow(
      std::string_view key,
      std::optional<platform::RowVersion> known_version) override {
    ++reads_;
    const auto found = rows_.find(std::string(key));
    if (found == rows_.end()) return platform::ReadOutcome(platform::Absent{});
    if (known_version == found->second.version) {
      return platform::ReadOutcome(platform::Unchanged{});
    }
    return platform::ReadOutcome(found->second);
  }

  Result<platform::TransactionOutcome> Transact(
      std::span<const platform::Condition> conditions,
      std::span<const platform::Write> writes) override {
    ++transactions_;
    platform::Refused refused;
    for (const platform::Condition& condition : conditions) {
      if (checks_conditions_ && version(condition.key) != condition.version) {
        refused.failed_keys.push_back(condition.key);
      }
    }
    if (!refused.failed_keys.empty()) {
      return platform::TransactionOutcome(std::move(refused));
    }
    platform::Committed committed;
    for (const platform::Write& write : writes) {
      rows_[write.key] = {write.value, ++last_version_};
      committed.versions[write.key] = last_version_;
    }
    return platform::TransactionOutcome(std::move(committed));
  }

  Result<void> PutObject(std::string_view, std::string_view) override {
    return Error::kUnavailable;
  }
  Result<std::string> FetchObject(std::string_view) override {
    return Error::kUnavailable;
  }

  // Returns the version of a row; kAbsent if there is none.
  platform::RowVersion version(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? platform::kAbsent : found->second.version;
  }
  // Without checks every transaction commits, to show what the conditions are
  // for.
  void set_checks_conditions(bool checks) { checks_conditions_ = checks; }
  std::size_t transactions() const { return transactions_; }
  std::size_t reads() const { return reads_; }

 private:
  std::map<std::string, platform::Row> rows_;
  platform::RowVersion last_version_ = 0;
  bool checks_conditions_ = true;
  std::size_t transactions_ = 0;
  std::size_t reads_ = 0;
};

}  // namespace oleandertide::testing

#endif  // OLEANDERTIDE_TESTS_SUPPORT_FAKE_TABLE_H_
