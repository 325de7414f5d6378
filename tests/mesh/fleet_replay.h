// Replays load patterns with the decision code of a fleet's nodes.

#ifndef OLEANDERTIDE_TESTS_MESH_FLEET_REPLAY_H_
#define OLEANDERTIDE_TESTS_MESH_FLEET_REPLAY_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "mesh/admission_queue.h"
#include "mesh/attempt_policy.h"
#include "mesh/average.h"
#include "mesh/pace.h"
#include "mesh/placement.h"
#include "support/event_queue.h"

namespace oleandertide::mesh {

// Requests of one service in virtual time: clients arrive at ingresses, these
// place the requests by reports, receivers admit them. Only the code of this
// library decides; the rest is the delay of messages and random run times.
class FleetReplay {
 public:
  struct BackendServer {
    int slots = 6;
    // Run times are multiplied by this, by the time since the start.
    std::function<double(Duration)> slowness = [](Duration) { return 1.0; };
    std::function<bool(Duration)> is_up = [](Duration) { return true; };
    // Whether it announces that it is cold.
    std::function<bool(Duration)> is_cold = [](Duration) { return false; };
  };
  struct Options {
    std::vector<BackendServer> backend_servers;
    int ingresses = 8;
    int data_centres = 4;
    // Requests per second of the fleet.
    std::function<double(Duration)> rate;
    // Share of the data centre in the load.
    std::function<double(Duration, int)> share = [](Duration, int) {
      return 1.0;
    };
    Duration duration = std::chrono::seconds(10);
    Duration run = std::chrono::milliseconds(90);
    Duration target = std::chrono::milliseconds(400);
    Duration deadline = std::chrono::milliseconds(2500);
    int client_retries = 0;
    // Whether receivers report the slowness that Pace measures.
    bool uses_pace = true;
    Placement::Options placement{.crossing_cost_per_byte = 16e-6};
    std::uint64_t seed = 1;
  };
  struct Result {
    int clients = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    // Refusals of receivers, and statuses sent.
    int refusals_at_receivers = 0;
    int hops = 0;
    // Of these, to another data centre.
    int crossings = 0;
    std::int64_t statuses = 0;
    // Refused clients that came back, and those refused again.
    int returns = 0;
    int returns_in_vain = 0;
    Duration latency{};

    int lost() const { return late + refused; }
  };

  // Counts clients that arrive from `counted_from` until `counted_until`.
  FleetReplay(Options options, Duration counted_from, Duration counted_until)
      : options_(std::move(options)),
        counted_from_(counted_from),
        counted_until_(counted_until),
        random_(options_.seed),
        arrivals_(options_.seed + 1000) {}

  Result Run() {
    begin_ = queue_.now();
    for (std::size_t i = 0; i < options_.backend_servers.size(); ++i) {
      receivers_.push_back(std::make_unique<Receiver>());
      receivers_.back()->name = "node-" + std::to_string(i);
      receivers_.back()->index = static_cast<int>(i);
      receivers_.back()->queue.set_slots(options_.backend_servers[i].slots);
    }
    for (int i = 0; i < options_.ingresses; ++i) {
      ingresses_.push_back(std::make_unique<Ingress>(options_.placement));
      ingresses_.back()->data_centre = i % options_.data_centres;
    }
    for (auto& receiver : receivers_) {
      queue_.After(random_.Between(Duration::zero(), kStatus),
                   [this, &receiver] { Check(*receiver, true); });
      queue_.After(kRelax, [this, &receiver] { Relax(*receiver); });
    }
    queue_.After(std::chrono::milliseconds(500), [this] { Arrive(); });
    queue_.RunUntil(begin_ + options_.duration + std::chrono::seconds(3));
    return result_;
  }

 private:
  static constexpr Duration kStatus = std::chrono::milliseconds(300);
  static constexpr Duration kCheck = std::chrono::milliseconds(50);
  static constexpr Duration kExpiry = std::chrono::milliseconds(25);
  static constexpr Duration kRelax = std::chrono::milliseconds(250);

  struct Ingress {
    int data_centre = 0;
    explicit Ingress(const Placement::Options& options) : placement(options) {}

    Placement placement;
    ExponentialAverage run_us{200};
  };
  struct Client {
    MonotonicTime arrived;
    MonotonicTime deadline;
    int retries = 0;
    bool is_counted = false;
    Ingress* ingress = nullptr;
    std::vector<std::string> tried;
    MonotonicTime attempt_arrived;
  };
  using ClientPointer = std::shared_ptr<Client>;
  struct Receiver {
    std::string name;
    int index = 0;
    AdmissionQueue queue;
    Pace pace;
    BackendLoad told;
    MonotonicTime told_at{};
    std::unordered_map<std::uint64_t, ClientPointer> waiting;
    std::unordered_map<std::uint64_t, Duration> expected;
    bool is_expiry_due = false;
  };

  Duration since() const { return queue_.now() - begin_; }
  const BackendServer& server(const Receiver& receiver) const {
    return options_.backend_servers[static_cast<std::size_t>(receiver.index)];
  }
  int data_centre(const Receiver& receiver) const {
    return receiver.index % options_.data_centres;
  }

  BackendLoad Load(Receiver& receiver) {
    BackendLoad load = receiver.queue.load();
    load.accepts_requests = server(receiver).is_up(since());
    const bool is_cold = server(receiver).is_cold(since());
    if (options_.uses_pace) {
      receiver.pace.set_assumed_slowness(is_cold ? 2 : 1);
      load.slowness = receiver.pace.slowness(queue_.now());
    } else if (is_cold) {
      load.slowness = std::max(load.slowness, 2.0);
    }
    return load;
  }

  void Check(Receiver& receiver, bool is_first) {
    const BackendLoad load = Load(receiver);
    const auto total = [](const BackendLoad& of) {
      return of.running + of.total_waiting();
    };
    const BackendLoad& told = receiver.told;
    const bool is_change_for_all =
        load.accepts_requests != told.accepts_requests ||
        load.slots != told.slots;
    const bool is_change =
        is_change_for_all || std::abs(total(load) - total(told)) >= 3 ||
        (total(load) >= load.slots) != (total(told) >= told.slots);
    const bool is_regular =
        is_first || queue_.now() - receiver.told_at >= kStatus;
    if (!load.accepts_requests) RefuseWaiting(receiver);
    if (is_regular || is_change) {
      for (auto& ingress : ingresses_) {
        const bool is_own = ingress->data_centre == data_centre(receiver);
        if (!is_regular && !is_change_for_all && !is_own) continue;
        ++result_.statuses;
        queue_.After(Delay(is_own), [this, &receiver, &ingress, load, is_own] {
          ingress->placement.Update(
              receiver.name, "service",
              {.is_in_own_data_centre = is_own, .link_mbps = 100}, load,
              queue_.now());
        });
      }
      receiver.told = load;
      if (is_regular) receiver.told_at = queue_.now();
    }
    queue_.After(kCheck, [this, &receiver] { Check(receiver, false); });
  }

  void Relax(Receiver& receiver) {
    receiver.queue.DecayStatistics(kRelax);
    receiver.pace.Relax(kRelax);
    queue_.After(kRelax, [this, &receiver] { Relax(receiver); });
  }

  static Duration Delay(bool is_own) {
    return std::chrono::microseconds(is_own ? 500 : 1500);
  }

  void Arrive() {
    if (since() >= options_.duration) return;
    double total = 0;
    for (int i = 0; i < options_.data_centres; ++i) {
      total += options_.share(since(), i);
    }
    double pick = arrivals_.Unit() * total;
    int centre = 0;
    while (centre + 1 < options_.data_centres &&
           pick >= options_.share(since(), centre)) {
      pick -= options_.share(since(), centre++);
    }
    const int in_centre = options_.ingresses / options_.data_centres;
    const auto which = arrivals_.Below(static_cast<std::uint64_t>(in_centre));
    auto client = std::make_shared<Client>();
    client->arrived = client->attempt_arrived = queue_.now();
    client->deadline = queue_.now() + options_.deadline;
    client->is_counted = since() >= counted_from_ && since() < counted_until_;
    client->ingress =
        ingresses_[which * static_cast<std::size_t>(options_.data_centres) +
                   static_cast<std::size_t>(centre)]
            .get();
    if (client->is_counted) ++result_.clients;
    Attempt(client);
    const double gap = -std::log(1 - arrivals_.Unit()) / options_.rate(since());
    queue_.After(Duration(static_cast<std::int64_t>(gap * 1e6)),
                 [this] { Arrive(); });
  }

  void Attempt(const ClientPointer& client) {
    Ingress& ingress = *client->ingress;
    const MonotonicTime now = queue_.now();
    const Duration expected(static_cast<std::int64_t>(ingress.run_us.value()));
    const Duration elapsed = now - client->attempt_arrived;
    const Duration max_wait =
        ChooseMaxWait({.priority = 2,
                       .target_latency = options_.target,
                       .elapsed = elapsed,
                       .remaining = client->deadline - now,
                       .expected_run = expected});
    const auto decision =
        ingress.placement.Choose({.service = "service",
                                  .priority = 2,
                                  .expected_run = expected,
                                  .expected_bytes = 1000,
                                  .wait_allowance = max_wait,
                                  .target_latency = options_.target,
                                  .elapsed = elapsed,
                                  .now = now},
                                 client->tried, random_);
    if (const auto* no_room = std::get_if<Placement::NoRoom>(&decision)) {
      Refuse(client, no_room->until_room);
      return;
    }
    const auto* choice = std::get_if<Placement::Choice>(&decision);
    if (choice == nullptr) {
      Refuse(client, std::chrono::milliseconds(300));
      return;
    }
    const AdmissionQueue::Request request{
        .priority = 2,
        .wait_allowance =
            ChooseWaitAllowance(static_cast<int>(client->tried.size()),
                                choice->expected_wait, max_wait),
        .remaining = client->deadline - now,
        .expected_run = expected};
    client->tried.push_back(choice->node);
    if (client->is_counted) ++result_.hops;
    Receiver& receiver = *receivers_[static_cast<std::size_t>(
        std::stoi(choice->node.substr(5)))];
    const bool is_own = data_centre(receiver) == ingress.data_centre;
    if (client->is_counted && !is_own) ++result_.crossings;
    queue_.After(Delay(is_own), [this, client, &receiver, request] {
      Offer(receiver, client, request);
    });
  }

  void Offer(Receiver& receiver, const ClientPointer& client,
             const AdmissionQueue::Request& request) {
    const std::uint64_t ticket = ++last_ticket_;
    const auto verdict =
        server(receiver).is_up(since())
            ? receiver.queue.Offer(queue_.now(), ticket, request)
            : AdmissionQueue::Verdict::kReject;
    if (verdict == AdmissionQueue::Verdict::kReject) {
      Reject(receiver, client);
      return;
    }
    receiver.waiting.emplace(ticket, client);
    receiver.expected.emplace(ticket, request.expected_run);
    if (verdict == AdmissionQueue::Verdict::kStart) {
      Start(receiver, ticket);
    } else {
      ScheduleExpiry(receiver);
    }
  }

  void ScheduleExpiry(Receiver& receiver) {
    if (receiver.is_expiry_due || receiver.queue.waiting() == 0) return;
    receiver.is_expiry_due = true;
    queue_.After(kExpiry, [this, &receiver] {
      receiver.is_expiry_due = false;
      RejectDropped(receiver, receiver.queue.DropLateRequests(queue_.now()));
      ScheduleExpiry(receiver);
    });
  }

  void Start(Receiver& receiver, std::uint64_t ticket) {
    const auto client = receiver.waiting.at(ticket);
    receiver.waiting.erase(ticket);
    const Duration expected = receiver.expected.at(ticket);
    receiver.expected.erase(ticket);
    // A third of the time is fixed; the rest is exponentially distributed.
    const double share = 1.0 / 3 - 2.0 / 3 * std::log(1 - random_.Unit());
    const Duration run(
        static_cast<std::int64_t>(static_cast<double>(options_.run.count()) *
                                  share * server(receiver).slowness(since())));
    receiver.pace.RecordStart(queue_.now(), ticket, expected);
    queue_.After(run, [this, &receiver, client, ticket, expected, run] {
      receiver.queue.Finish(run, expected, true);
      receiver.pace.RecordEnd(queue_.now(), ticket, true);
      AdmissionQueue::Dropped dropped;
      while (const auto next =
                 receiver.queue.StartNext(queue_.now(), dropped)) {
        Start(receiver, *next);
      }
      RejectDropped(receiver, dropped);
      Answer(receiver, client, [this, client, run] {
        client->ingress->run_us.Add(static_cast<double>(run.count()));
        Complete(client);
      });
    });
  }

  void RejectDropped(Receiver& receiver,
                     const AdmissionQueue::Dropped& dropped) {
    for (const auto* tickets : {&dropped.expired, &dropped.passed_over}) {
      for (const std::uint64_t ticket : *tickets) {
        RejectTicket(receiver, ticket);
      }
    }
  }

  void RefuseWaiting(Receiver& receiver) {
    for (const std::uint64_t ticket : receiver.queue.RemoveAll()) {
      RejectTicket(receiver, ticket);
    }
  }

  void RejectTicket(Receiver& receiver, std::uint64_t ticket) {
    const auto client = receiver.waiting.at(ticket);
    receiver.waiting.erase(ticket);
    receiver.expected.erase(ticket);
    Reject(receiver, client);
  }

  void Reject(Receiver& receiver, const ClientPointer& client) {
    if (client->is_counted) ++result_.refusals_at_receivers;
    Answer(receiver, client, [this, client] {
      const bool has_time =
          client->deadline - queue_.now() > options_.run * 6 / 10;
      if (client->tried.size() < 4 && has_time) {
        Attempt(client);
      } else {
        Refuse(client, std::chrono::milliseconds(300));
      }
    });
  }

  // Sends an answer with the load to the ingress.
  void Answer(Receiver& receiver, const ClientPointer& client,
              std::function<void()> on_arrival) {
    const BackendLoad load = Load(receiver);
    queue_.After(
        Delay(data_centre(receiver) == client->ingress->data_centre),
        [this, &receiver, client, load, on_arrival = std::move(on_arrival)] {
          client->ingress->placement.UpdateLoad(receiver.name, load,
                                                queue_.now());
          on_arrival();
        });
  }

  void Complete(const ClientPointer& client) {
    if (!client->is_counted) return;
    const Duration latency = queue_.now() - client->arrived;
    result_.latency += latency;
    ++(latency <= options_.target ? result_.in_time : result_.late);
  }

  void Refuse(const ClientPointer& client, Duration until_room) {
    if (client->retries > 0 && client->is_counted) ++result_.returns_in_vain;
    const Duration remaining = client->deadline - queue_.now();
    const Duration expected(
        static_cast<std::int64_t>(client->ingress->run_us.value()));
    // Clients honour the time up to a third of their remaining time.
    const Duration pause = std::min(
        ChooseRetryAfter(until_room, expected, random_.Unit()), remaining / 3);
    if (client->retries >= options_.client_retries ||
        remaining - pause <= Duration::zero()) {
      if (client->is_counted) ++result_.refused;
      return;
    }
    queue_.After(pause, [this, client] {
      ++client->retries;
      if (client->is_counted) ++result_.returns;
      client->tried.clear();
      client->attempt_arrived = queue_.now();
      Attempt(client);
    });
  }

  const Options options_;
  const Duration counted_from_;
  const Duration counted_until_;
  RandomSource random_;
  // Separate, so that arrivals do not depend on decisions.
  RandomSource arrivals_;
  testing::EventQueue queue_;
  MonotonicTime begin_;
  std::uint64_t last_ticket_ = 0;
  std::vector<std::unique_ptr<Receiver>> receivers_;
  std::vector<std::unique_ptr<Ingress>> ingresses_;
  Result result_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_TESTS_MESH_FLEET_REPLAY_H_
