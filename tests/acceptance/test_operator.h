// Documents, time and operators for the tests of acceptance.

#ifndef OLEANDERTIDE_TESTS_ACCEPTANCE_TEST_OPERATOR_H_
#define OLEANDERTIDE_TESTS_ACCEPTANCE_TEST_OPERATOR_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acceptance/acceptance.h"
#include "support/memory_store/memory_store.h"

namespace oleandertide::acceptance {

// Time that passes only by waiting.
class VirtualWaiter final : public Waiter {
 public:
  MonotonicTime Now() override { return now_; }
  void Wait(Duration duration) override {
    now_ += duration;
    if (on_wait_) on_wait_(now_ - MonotonicTime());
  }
  // Runs after each wait with the time since the start.
  void set_on_wait(std::function<void(Duration)> on_wait) {
    on_wait_ = std::move(on_wait);
  }

 private:
  MonotonicTime now_;
  std::function<void(Duration)> on_wait_;
};

// Documents of the tests have one "kind name" on each line; "invalid" is not
// valid.
DocumentInspector LineInspector();

// An operator with a clock and a source of nonces of its own.
class TestOperator {
 public:
  TestOperator(store::Store& store, std::string name, std::uint64_t seed);

  Result<Outcome> Submit(std::string_view document);
  Result<Outcome> Promote(std::vector<std::string> revive = {});

  Acceptance& acceptance() { return acceptance_; }
  VirtualWaiter& waiter() { return waiter_; }
  const std::string& name() const { return name_; }

 private:
  const std::string name_;
  VirtualWaiter waiter_;
  RandomSource random_;
  Acceptance acceptance_;
};

// Submits and promotes without faults; fails the test otherwise.
EnvironmentRecord Release(TestOperator& person, std::string_view document,
                          std::vector<std::string> revive = {});

// The record in the environment's history that `person` wrote last, if any.
std::optional<EnvironmentRecord> FindRecordOf(store::Store& store,
                                              std::string_view environment,
                                              std::string_view person);

}  // namespace oleandertide::acceptance

#endif  // OLEANDERTIDE_TESTS_ACCEPTANCE_TEST_OPERATOR_H_
