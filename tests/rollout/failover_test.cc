// Roll-outs while coordinators are lost, in virtual time.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "rollout/decider.h"
#include "rollout/exposure.h"
#include "rollout/order_book.h"
#include "rollout/outcome_collector.h"
#include "rollout/trial_leases.h"

namespace oleandertide::rollout {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kStepMs = 10;
constexpr std::uint64_t kStartMs = 100'000;
constexpr std::size_t kNodes = 8;
constexpr std::size_t kNewServers = 4;
constexpr std::string_view kService = "acervo";
constexpr StorePosition kPosition{.era = 1, .version = 5};
constexpr double kMaxShare = 0.1;
// Within which a bad version gets no more requests after its 50th bad answer.
constexpr std::uint64_t kRollbackLimitMs = 5000;
constexpr int kCountedBadAnswers = 50;

enum class Loss {
  // The process starts again within a second.
  kKill,
  // The instance is gone for some seconds.
  kPower,
  // The coordinator is cut off from the store, and from nobody else.
  kStoreCut,
};

struct Scenario {
  std::uint64_t duration_ms = 16'000;
  bool is_bad = true;
  // Since its start; before, a bad version answers well.
  std::uint64_t turns_bad_ms = 0;
  // Time between losses of the coordinator; 0 for none.
  std::uint64_t loss_interval_ms = 0;
  std::uint64_t last_loss_ms = 16'000;
  Loss loss = Loss::kKill;
  // Nodes of the version before that kept no totals and knew no leases.
  bool are_earlier_nodes = false;
};

struct Result {
  Step step = Step::kOrdered;
  bool has_ended = false;
  // From the 50th bad answer to the last request to the bad version.
  std::optional<std::uint64_t> exposed_ms;
  std::uint64_t steps = 0;
};

// Nodes with their processes, links that delay, lose and repeat messages, a
// store that elects, and one order.
class Fleet {
 public:
  Fleet(const Scenario& scenario, unsigned seed)
      : scenario_(scenario), random_(seed) {
    for (Node& node : nodes_) Restart(node, 0);
    // One slow node, whose messages take up to a second and more.
    nodes_[Below(kNodes)].is_slow = true;
    Elect();
  }

  Result Run() {
    std::uint64_t next_loss = 1000 + Below(3000);
    for (now_ = 0; now_ < scenario_.duration_ms; now_ += kStepMs) {
      DeliverMessages();
      if (scenario_.loss_interval_ms != 0 && now_ >= next_loss &&
          now_ <= scenario_.last_loss_ms && coordinator_) {
        LoseCoordinator();
        next_loss = now_ + scenario_.loss_interval_ms;
      }
      if (now_ >= next_election_) Elect();
      for (std::size_t i = 0; i < kNodes; ++i) Act(i);
      result_.steps += kNodes;
    }
    if (fiftieth_ms_) result_.exposed_ms = LatestTrial() - *fiftieth_ms_;
    return result_;
  }

 private:
  struct Node {
    std::uint64_t down_until = 0;
    // Tells the lives of the process apart.
    std::uint64_t life = 0;
    bool is_slow = false;
    std::uint64_t term = 0;
    OrderBook book;
    std::unique_ptr<Exposure> exposure = std::make_unique<Exposure>(kMaxShare);
    OutcomeCollector collector;
    ReportSchedule schedule;
    TrialLeases leases;
    std::uint64_t next_report = 0;
  };
  struct Message {
    std::uint64_t at = 0;
    std::size_t to = 0;
    std::uint64_t life = 0;
    std::function<void(Node&)> deliver;
  };

  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }
  std::uint64_t StoreNow() const { return kStartMs + now_; }
  bool IsUp(const Node& node) const { return now_ >= node.down_until; }
  std::uint64_t LatestTrial() const {
    return std::max(last_trial_ms_, *fiftieth_ms_);
  }

  void Restart(Node& node, std::uint64_t down_ms) {
    const bool is_slow = node.is_slow;
    const std::uint64_t life = node.life + 1;
    node = Node{};
    node.life = life;
    node.is_slow = is_slow;
    node.down_until = now_ + down_ms;
    node.next_report = node.down_until + Below(200);
    // Each process reads the order when it starts.
    node.book.Put({.service = std::string(kService),
                   .to = "v2",
                   .duration = milliseconds(scenario_.duration_ms),
                   .position = kPosition},
                  kStartMs);
  }

  // Messages to one node keep their order only by their delays.
  void Send(std::size_t to, bool is_slow,
            const std::function<void(Node&)>& deliver) {
    if (Below(20) == 0) return;
    const int copies = Below(20) == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const std::uint64_t delay =
          2 + Below(is_slow || nodes_[to].is_slow ? 1200 : 60);
      messages_.push_back({.at = now_ + delay,
                           .to = to,
                           .life = nodes_[to].life,
                           .deliver = deliver});
    }
  }

  void DeliverMessages() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](Message& message) {
      if (message.at > now_) return false;
      due.push_back(std::move(message));
      return true;
    });
    for (const Message& message : due) {
      Node& node = nodes_[message.to];
      if (IsUp(node) && node.life == message.life) message.deliver(node);
    }
  }

  void LoseCoordinator() {
    Node& node = nodes_[*coordinator_];
    coordinator_.reset();
    decider_.reset();
    switch (scenario_.loss) {
      case Loss::kKill:
        Restart(node, 400 + Below(600));
        // It takes its own lease over, or others wait for the lease's end.
        next_election_ = now_ + 600 + Below(1000);
        return;
      case Loss::kPower:
        Restart(node, 3000 + Below(2000));
        next_election_ = now_ + 2500 + Below(2000);
        return;
      case Loss::kStoreCut:
        next_election_ = now_ + 500 + Below(2000);
        return;
    }
  }

  void Elect() {
    next_election_ = UINT64_MAX;
    std::size_t index = Below(kNodes);
    while (!IsUp(nodes_[index])) index = (index + 1) % kNodes;
    coordinator_ = index;
    ++term_;
    decider_.emplace(Decider::Options{}, StateOf(nodes_[index]), kStartMs);
    nodes_[index].term = term_;
    for (std::size_t i = 0; i < kNodes; ++i) {
      Send(i, false, [term = term_](Node& node) {
        node.term = std::max(node.term, term);
      });
    }
  }

  static OrderState StateOf(const Node& node) { return node.book.states()[0]; }

  void Act(std::size_t index) {
    Node& node = nodes_[index];
    if (!IsUp(node)) return;
    SendRequests(index);
    if (now_ < node.next_report) return;
    node.next_report = now_ + 200;
    Report(index);
    if (coordinator_ == index) Decide(index);
    // Statuses: whom the node knows as coordinator, and the order.
    const std::size_t peer = Below(kNodes);
    Send(peer, node.is_slow,
         [state = StateOf(node), term = node.term](Node& other) {
           other.term = std::max(other.term, term);
           other.book.Merge(state);
         });
  }

  void SendRequests(std::size_t index) {
    // 180 requests a second over all nodes, more at the first ones.
    const double rate = 180.0 * 2 * static_cast<double>(kNodes - index) /
                        (kNodes * (kNodes + 1));
    std::poisson_distribution<int> arrivals(rate * kStepMs / 1000);
    Node& node = nodes_[index];
    for (int i = arrivals(random_); i > 0; --i) {
      const OrderState state = StateOf(node);
      const bool may_try =
          scenario_.are_earlier_nodes || node.leases.MayTry(state, StoreNow());
      const auto rule = node.exposure->Choose(&state, true, may_try);
      const bool is_new = now_ >= 1500 && (rule == VersionRule::kNewFirst ||
                                           rule == VersionRule::kNewOnly);
      node.exposure->RecordSent(state, is_new ? "v2" : "v1");
      if (is_new) last_trial_ms_ = now_;
      const std::string server = "new-" + std::to_string(Below(kNewServers));
      const bool is_bad_now =
          scenario_.is_bad && now_ >= 1500 + scenario_.turns_bad_ms;
      const bool is_failure = std::bernoulli_distribution(
          is_new && is_bad_now ? 0.5 : 0.01)(random_);
      messages_.push_back(
          {.at = now_ + 20 + Below(100),
           .to = index,
           .life = node.life,
           .deliver = [this, server, is_new, is_failure](Node& ingress) {
             ingress.collector.RecordAnswer({.service = kService,
                                             .order = kPosition,
                                             .route = "read",
                                             .server = server,
                                             .is_new = is_new},
                                            is_failure, milliseconds(50),
                                            StoreNow());
             if (!is_new || !is_failure || !scenario_.is_bad) return;
             if (++bad_answers_ == kCountedBadAnswers) fiftieth_ms_ = now_;
           }});
    }
  }

  void Report(std::size_t index) {
    Node& node = nodes_[index];
    const OrderState state = StateOf(node);
    NodeReport report{.service = std::string(kService),
                      .order = kPosition,
                      .step = state.step,
                      .has_backend = true,
                      .backend_version = index < kNewServers ? "v2" : "v1",
                      .accepts = now_ >= 1500,
                      .is_empty = state.step >= Step::kReplacing,
                      .slots = 6};
    if (index >= kNewServers) report.accepts = state.step < Step::kReplacing;
    const auto taken = node.collector.Take(kService, kPosition);
    if (scenario_.are_earlier_nodes) {
      report.outcomes = taken;
    } else {
      auto totals = node.collector.TotalsFrom(
          kService, kPosition,
          node.schedule.ChooseFirstWindow(node.term, StoreNow()));
      report.has_totals = true;
      report.first_window = totals.first_window;
      report.outcomes = std::move(totals.outcomes);
    }
    const bool is_reachable = coordinator_ && node.term == term_;
    node.schedule.OnSent(is_reachable);
    if (!is_reachable) return;
    Send(*coordinator_, node.is_slow,
         [this, index, term = term_, report](Node& /*coordinator*/) {
           if (term != term_ || !decider_) return;
           decider_->OnReport("node-" + std::to_string(index), report,
                              StoreNow());
         });
  }

  void Decide(std::size_t index) {
    Node& node = nodes_[index];
    decider_->Adopt(StateOf(node), StoreNow());
    // A row that a decider wrote is read by the next one some time later.
    const std::optional<Status> status =
        now_ >= 500 ? std::optional(status_) : std::nullopt;
    if (auto decision = decider_->Tick(status, StoreNow())) {
      if (scenario_.are_earlier_nodes) decision->state.trial_at_ms = 0;
      node.book.Merge(decision->state);
      for (std::size_t i = 0; i < kNodes; ++i) {
        Send(i, node.is_slow, [state = decision->state](Node& other) {
          other.book.Merge(state);
        });
      }
    }
    if (decider_->wanted_status() != Status::kRunning) {
      status_ = decider_->wanted_status();
      result_.has_ended = true;
    }
    result_.step = decider_->state().step;
    if (!decider_->may_renew_trial(StoreNow())) return;
    const TrialRenewal renewal{
        .service = std::string(kService),
        .order = kPosition,
        .until_ms = StoreNow() + static_cast<std::uint64_t>(
                                     ToMilliseconds(TrialLeases::kLength))};
    node.leases.Renew(renewal);
    for (std::size_t i = 0; i < kNodes; ++i) {
      Send(i, node.is_slow,
           [renewal](Node& other) { other.leases.Renew(renewal); });
    }
  }

  const Scenario scenario_;
  std::mt19937 random_;
  std::uint64_t now_ = 0;
  std::array<Node, kNodes> nodes_{};
  std::vector<Message> messages_;
  std::optional<std::size_t> coordinator_;
  std::optional<Decider> decider_;
  std::uint64_t term_ = 0;
  std::uint64_t next_election_ = UINT64_MAX;
  Status status_ = Status::kRunning;
  int bad_answers_ = 0;
  std::optional<std::uint64_t> fiftieth_ms_;
  std::uint64_t last_trial_ms_ = 0;
  Result result_;
};

constexpr std::uint64_t kIntervals[] = {1000, 2000, 3000, 6000};
constexpr Loss kLosses[] = {Loss::kKill, Loss::kPower, Loss::kStoreCut};

// Guards against a bad version that gets requests for as long as coordinators
// are lost (case review/9): each decider gathered the evidence from the start.
TEST_CASE("a bad version gets nothing after the bound, whoever is lost") {
  std::uint64_t steps = 0;
  for (const Loss loss : kLosses) {
    for (const std::uint64_t interval : kIntervals) {
      for (const std::uint64_t turns_bad : {0U, 3000U}) {
        for (unsigned seed = 0; seed < 12; ++seed) {
          CAPTURE(static_cast<int>(loss), interval, turns_bad, seed);
          const Result result = Fleet({.turns_bad_ms = turns_bad,
                                       .loss_interval_ms = interval,
                                       .loss = loss},
                                      seed)
                                    .Run();
          steps += result.steps;
          REQUIRE(result.exposed_ms.value_or(0) <= kRollbackLimitMs);
          REQUIRE(result.step != Step::kCompleted);
        }
      }
    }
  }
  REQUIRE(steps >= 1'000'000);
}

// Guards against an order that never ends because of the losses, and against a
// good version that is given up without any.
TEST_CASE("a good version's order ends when the losses do") {
  for (const Loss loss : kLosses) {
    for (const std::uint64_t interval : kIntervals) {
      for (unsigned seed = 0; seed < 6; ++seed) {
        CAPTURE(static_cast<int>(loss), interval, seed);
        const Result result = Fleet({.duration_ms = 24'000,
                                     .is_bad = false,
                                     .loss_interval_ms = interval,
                                     .last_loss_ms = 9000,
                                     .loss = loss},
                                    seed)
                                  .Run();
        REQUIRE(result.has_ended);
      }
    }
  }
  for (unsigned seed = 0; seed < 20; ++seed) {
    CAPTURE(seed);
    const Result result = Fleet({.is_bad = false}, seed).Run();
    REQUIRE(result.step == Step::kCompleted);
  }
}

// Guards against a decider that does not listen to nodes of the last landing.
TEST_CASE("nodes that keep no totals are judged by what they report") {
  for (unsigned seed = 0; seed < 10; ++seed) {
    CAPTURE(seed);
    const Result bad = Fleet({.are_earlier_nodes = true}, seed).Run();
    REQUIRE(bad.step == Step::kRolledBack);
    const Result good =
        Fleet({.is_bad = false, .are_earlier_nodes = true}, seed).Run();
    REQUIRE(good.step == Step::kCompleted);
  }
}

// Prints the figures of docs/design/rollouts.md.
TEST_CASE("exposure by interval of losses", "[.figures]") {
  for (const bool is_earlier : {true, false}) {
    for (const Loss loss : kLosses) {
      for (const std::uint64_t interval : kIntervals) {
        constexpr unsigned kSeeds = 50;
        std::vector<std::uint64_t> exposed;
        int late = 0;
        for (unsigned seed = 0; seed < kSeeds; ++seed) {
          const Result result = Fleet({.loss_interval_ms = interval,
                                       .loss = loss,
                                       .are_earlier_nodes = is_earlier},
                                      seed)
                                    .Run();
          exposed.push_back(result.exposed_ms.value_or(0));
          late += exposed.back() > kRollbackLimitMs ? 1 : 0;
        }
        std::ranges::sort(exposed);
        std::cout << (is_earlier ? "before" : "after") << " loss "
                  << static_cast<int>(loss) << " every " << interval
                  << " ms: median " << exposed[kSeeds / 2] << " ms, greatest "
                  << exposed.back() << " ms, later than the bound " << late
                  << " of " << kSeeds << '\n';
      }
    }
  }
}

}  // namespace
}  // namespace oleandertide::rollout
