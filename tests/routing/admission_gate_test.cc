#include "routing/admission_gate.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <vector>

namespace oleandertide::routing {
namespace {

using std::chrono::seconds;

// The initial service time is only 1 us because a longer estimate could shed
// requests when the test runs slowly.
Admission MakeOneSlotAdmission() {
  return Admission::Create({.slots = 1,
                            .queue_length = 100,
                            .initial_service_time = Duration(1)})
      .value();
}

MonotonicTime FarDeadline() { return MonotonicClock::now() + seconds(200); }

void WaitUntilQueued(const AdmissionGate& gate, int count) {
  while (gate.queued() < count) std::this_thread::yield();
}

// Guards against two worker threads in one slot, and against a missed wake-up,
// which blocks a thread until its deadline.
TEST_CASE("threads pass the gate one at a time and all get through") {
  AdmissionGate gate(MakeOneSlotAdmission());
  std::atomic<int> running{0};
  std::atomic<int> max_running{0};
  std::atomic<int> admitted{0};
  std::vector<std::jthread> threads;
  threads.reserve(8);
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 50; ++n) {
        const auto entry = gate.Enter(RequestClass::kOrder, FarDeadline());
        if (!std::holds_alternative<AdmissionTicket>(entry)) continue;
        max_running = std::max(max_running.load(), ++running);
        ++admitted;
        --running;
      }
    });
  }
  threads.clear();
  REQUIRE(max_running == 1);
  REQUIRE(admitted == 400);
  REQUIRE(gate.connections() == 0);
}

// Guards against a thread that stays blocked after its request was cancelled or
// the gate was closed.
TEST_CASE("cancellation and closing wake waiting threads") {
  AdmissionGate gate(MakeOneSlotAdmission());
  const auto ticket = gate.Enter(RequestClass::kOrder, FarDeadline());
  REQUIRE(std::holds_alternative<AdmissionTicket>(ticket));

  std::stop_source cancel;
  std::vector<Reason> reasons(2);
  {
    std::jthread cancelled([&] {
      reasons[0] = std::get<Reason>(
          gate.Enter(RequestClass::kOrder, FarDeadline(), cancel.get_token()));
    });
    WaitUntilQueued(gate, 1);
    cancel.request_stop();
  }
  {
    std::jthread closed([&] {
      reasons[1] =
          std::get<Reason>(gate.Enter(RequestClass::kOrder, FarDeadline()));
    });
    WaitUntilQueued(gate, 1);
    gate.Close(Reason::kConnectFailed);
  }
  REQUIRE(reasons[0] == Reason::kCallerGone);
  REQUIRE(reasons[1] == Reason::kConnectFailed);
}

// Guards against a thread that stays blocked after the deadline.
TEST_CASE("a request in the queue is refused at its deadline") {
  AdmissionGate gate(MakeOneSlotAdmission());
  const auto ticket = gate.Enter(RequestClass::kOrder, FarDeadline());
  const auto late =
      gate.Enter(RequestClass::kOrder,
                 MonotonicClock::now() + std::chrono::milliseconds(50));
  REQUIRE(std::get<Reason>(late) == Reason::kDeadlinePassed);
}

}  // namespace
}  // namespace oleandertide::routing
