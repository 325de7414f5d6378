#include "routing/admission.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <vector>

namespace oleandertide::routing {
namespace {

using std::chrono::milliseconds;

MonotonicTime At(std::int64_t milliseconds_since_start) {
  return MonotonicTime(milliseconds(milliseconds_since_start));
}

Admission MakeAdmission(int slots, int queue_length, int connections = 100) {
  return Admission::Create({.slots = slots,
                            .connections = connections,
                            .queue_length = queue_length,
                            .initial_service_time = milliseconds(10)})
      .value();
}

bool IsRefused(const AdmissionDecisions& decisions, RequestId id,
               Reason reason) {
  return decisions.refused.size() == 1 && decisions.refused[0].id == id &&
         decisions.refused[0].reason == reason;
}

// Guards against bookings that are refused while lookups stay in the queue.
TEST_CASE("lookups are shed before bookings, payments and orders") {
  Admission admission = MakeAdmission(1, 2);
  REQUIRE(admission.Offer(At(0), 1, RequestClass::kLookup, At(900))
              .started.size() == 1);
  admission.Offer(At(0), 2, RequestClass::kLookup, At(900));
  admission.Offer(At(0), 3, RequestClass::kLookup, At(900));
  REQUIRE(IsRefused(admission.Offer(At(1), 4, RequestClass::kLookup, At(900)),
                    4, Reason::kQueueFull));
  REQUIRE(IsRefused(admission.Offer(At(1), 5, RequestClass::kBooking, At(900)),
                    3, Reason::kShed));
  REQUIRE(IsRefused(admission.Offer(At(1), 6, RequestClass::kPayment, At(900)),
                    2, Reason::kShed));
  // Only bookings and payments are left to displace.
  REQUIRE(IsRefused(admission.Offer(At(1), 7, RequestClass::kOrder, At(900)), 7,
                    Reason::kQueueFull));
  const auto next = admission.Finish(At(10), 1);
  REQUIRE(next.started.size() == 1);
  REQUIRE(next.started[0] == 5);
}

// Guards against requests that run after their callers' deadlines.
TEST_CASE("requests past their deadline are refused, not started") {
  Admission admission = MakeAdmission(1, 4);
  REQUIRE(IsRefused(admission.Offer(At(5), 1, RequestClass::kOrder, At(5)), 1,
                    Reason::kDeadlinePassed));
  admission.Offer(At(5), 2, RequestClass::kOrder, At(500));
  // Expected: 10 ms of waiting and 10 ms of service.
  REQUIRE(IsRefused(admission.Offer(At(5), 3, RequestClass::kOrder, At(20)), 3,
                    Reason::kShed));
  admission.Offer(At(5), 4, RequestClass::kOrder, At(30));
  const auto decisions = admission.Finish(At(30), 2);
  REQUIRE(decisions.started.empty());
  REQUIRE(IsRefused(decisions, 4, Reason::kDeadlinePassed));
}

// Guards against a service time estimate that, after one slow request, refuses
// all later ones: a free slot accepts a request whatever the estimate is.
TEST_CASE("a wrong service time estimate corrects itself") {
  Admission admission = MakeAdmission(1, 4);
  admission.Offer(At(0), 1, RequestClass::kOrder, At(100'000));
  admission.Finish(At(60'000), 1);
  REQUIRE(admission.Offer(At(60'000), 2, RequestClass::kOrder, At(60'100))
              .started.size() == 1);
}

// Guards against a drain that refuses queued requests, and against requests
// that wait for a crashed backend server.
TEST_CASE("drain refuses new requests, close also the queued ones") {
  Admission admission = MakeAdmission(1, 4);
  admission.Offer(At(0), 1, RequestClass::kOrder, At(900));
  admission.Offer(At(0), 2, RequestClass::kOrder, At(900));
  admission.Offer(At(0), 3, RequestClass::kOrder, At(900));
  admission.Drain();
  REQUIRE(IsRefused(admission.Offer(At(1), 4, RequestClass::kOrder, At(900)), 4,
                    Reason::kDraining));
  REQUIRE(admission.Finish(At(10), 1).started.size() == 1);
  REQUIRE(IsRefused(admission.Close(Reason::kConnectFailed), 3,
                    Reason::kConnectFailed));
}

// Guards against a backend server that runs out of connections because
// abandoned requests are not counted.
TEST_CASE("abandoned requests free their slot but count as connections") {
  Admission admission = MakeAdmission(1, 4, 2);
  admission.Offer(At(0), 1, RequestClass::kOrder, At(900));
  admission.Abandon(At(5), 1);
  REQUIRE(
      admission.Offer(At(5), 2, RequestClass::kOrder, At(900)).started.size() ==
      1);
  REQUIRE(IsRefused(admission.Offer(At(6), 3, RequestClass::kOrder, At(900)), 3,
                    Reason::kConnectionLimit));
  admission.Finish(At(7), 1);
  admission.Offer(At(8), 4, RequestClass::kOrder, At(900));
  REQUIRE(admission.queued() == 1);
}

// Applies events to an Admission and checks its invariants after each of them.
class CheckedAdmission {
 public:
  explicit CheckedAdmission(int slots, int queue_length)
      : admission_(MakeAdmission(slots, queue_length, slots + 2)),
        slots_(slots) {}

  void Step(int event, int pick) {
    now_ += milliseconds(pick % 7);
    switch (event) {
      case 0:
      case 1:
      case 2:
        return OfferOne(pick);
      case 3:
        return Check(admission_.Finish(now_, Pick(running_, pick)), true);
      case 4:
        return Check(admission_.Cancel(now_, Pick(waiting_, pick)));
      case 5:
        return Check(admission_.Abandon(now_, Pick(running_, pick)));
      default:
        return Check(admission_.Expire(now_));
    }
  }

  // Finishes running requests and expires queued ones. Each offered request
  // must then have been started or refused.
  void FinishAll() {
    for (const RequestId id : std::set<RequestId>(running_)) {
      finishing_ = id;
      Check(admission_.Finish(now_, id), true);
    }
    now_ += milliseconds(1000);
    Check(admission_.Expire(now_));
    RC_ASSERT(waiting_.empty());
    RC_ASSERT(answers_.size() == deadlines_.size());
  }

 private:
  RequestId Pick(const std::set<RequestId>& ids, int pick) {
    if (ids.empty()) return finishing_ = 0;
    auto found = ids.begin();
    std::advance(found, pick % static_cast<int>(ids.size()));
    return finishing_ = *found;
  }

  void OfferOne(int pick) {
    const RequestId id = ++last_id_;
    deadlines_[id] = now_ + milliseconds(pick % 60);
    waiting_.insert(id);
    const auto request_class = kAllRequestClasses.at(pick % 4);
    Check(admission_.Offer(now_, id, request_class, deadlines_[id]));
  }

  void Check(const AdmissionDecisions& decisions, bool is_finish = false) {
    if (is_finish) running_.erase(finishing_);
    for (const RequestId id : decisions.started) {
      RC_ASSERT(deadlines_.at(id) > now_);
      running_.insert(id);
      Answer(id);
    }
    for (const Refusal& refusal : decisions.refused) {
      RC_ASSERT(OutcomeOf(refusal.reason, HandOver::kNotReached) ==
                Outcome::kNotRun);
      Answer(refusal.id);
    }
    RC_ASSERT(admission_.running() <= slots_);
    RC_ASSERT(admission_.connections() == static_cast<int>(running_.size()));
    RC_ASSERT(admission_.connections() <= slots_ + 2);
    RC_ASSERT(admission_.queued() == static_cast<int>(waiting_.size()));
  }

  void Answer(RequestId id) {
    RC_ASSERT(++answers_[id] == 1);
    RC_ASSERT(waiting_.erase(id) == 1U);
  }

  Admission admission_;
  int slots_;
  MonotonicTime now_ = At(0);
  RequestId last_id_ = 0;
  RequestId finishing_ = 0;
  std::map<RequestId, MonotonicTime> deadlines_;
  std::map<RequestId, int> answers_;
  std::set<RequestId> waiting_;
  std::set<RequestId> running_;  // Includes abandoned requests.
};

// Guards against requests that get no decision or two, more running requests
// than slots, and starts after the deadline, in any order of events.
TEST_CASE("admission answers each request once and keeps its limits") {
  REQUIRE(rc::check([] {
    const int slots = *rc::gen::inRange(1, 5);
    const int queue_length = *rc::gen::inRange(0, 6);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 10'000)));
    CheckedAdmission checked(slots, queue_length);
    for (const auto& [event, pick] : steps) checked.Step(event, pick);
    checked.FinishAll();
  }));
}

}  // namespace
}  // namespace oleandertide::routing
