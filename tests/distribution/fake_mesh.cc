#include "distribution/fake_mesh.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace oleandertide::distribution {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kCheckInterval = std::chrono::milliseconds(10);
// A lost fetch is reported by the node's own time limit.
constexpr Duration kFetchLimit = std::chrono::milliseconds(500);
// One HTTP request with its answer and packet headers.
constexpr std::size_t kReadRequestBytes = 350;
constexpr std::size_t kReadAnswerBytes = 350;

}  // namespace

FakeMesh::FakeMesh(MeshConfig config)
    : loss(config.loss), config_(std::move(config)), random_(config_.seed) {
  std::vector<std::string> contacts;
  for (std::size_t d = 0; d < config_.data_centres.size(); ++d) {
    for (std::size_t n = 0; n < config_.nodes_per_data_centre; ++n) {
      Node node;
      node.address = "10." + std::to_string(d) + "." + std::to_string(n / 250) +
                     "." + std::to_string(n % 250) + ":700";
      node.data_centre = config_.data_centres[d].first;
      node.region = config_.data_centres[d].second;
      if (n < config_.contacts_per_data_centre)
        contacts.push_back(node.address);
      index_[node.address] = nodes_.size();
      nodes_.push_back(std::move(node));
    }
  }
  config_.options.contacts = contacts;
}

void FakeMesh::StartNode(std::size_t index) {
  Node& node = nodes_[index];
  node.life = next_life_++;
  node.active = 0;
  node.started_at = now_;
  node.documents.clear();
  membership::Member own;
  own.address = node.address;
  own.life = random_.Next();
  own.data_centre = node.data_centre;
  own.region = node.region;
  own.service = "service-" + std::to_string(index % 30);
  own.slots = 12;
  own.connections = 130;
  node.distributor = std::make_unique<Distributor>(
      std::move(own), config_.options, RandomSource(random_.Next()));
  Perform(node, node.distributor->Start(now_));
  Perform(node, node.distributor->SetOwnBackend(now_, node.address, 12, 130));
  Schedule(now_ + random_.Between(Duration::zero(), kTickInterval),
           Event{index, node.life, TickEvent{}});
}

void FakeMesh::Kill(std::size_t index) {
  Node& node = nodes_[index];
  node.distributor.reset();
  node.life = 0;
  node.active = 0;
  node.paused_until.reset();
  for (const std::size_t slot : node.held_back) free_slots_.push_back(slot);
  node.held_back.clear();
}

void FakeMesh::Restart(std::size_t index) {
  Kill(index);
  StartNode(index);
}

void FakeMesh::StartAll() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) StartNode(i);
}

void FakeMesh::Pause(std::size_t index, Duration duration) {
  if (nodes_[index].distributor == nullptr) return;
  nodes_[index].paused_until = now_ + duration;
}

std::uint64_t FakeMesh::Promote(ObjectState state) {
  ++row_.sequence;
  row_.digest = ContentDigest(std::to_string(row_.sequence));
  accepted_[row_.sequence] = Accepted{row_.digest, now_};
  objects_[row_.sequence] = state;
  return row_.sequence;
}

void FakeMesh::SetObject(std::uint64_t sequence, ObjectState state) {
  objects_[sequence] = state;
  accepted_[sequence].at = now_;  // usable from now on
}

void FakeMesh::RunFor(Duration duration) {
  const MonotonicTime end = now_ + duration;
  while (!queue_.empty() && queue_.top().at <= end) {
    const Scheduled next = queue_.top();
    queue_.pop();
    now_ = std::max(now_, next.at);
    Deliver(next.slot);
  }
  now_ = end;
}

std::optional<Duration> FakeMesh::RunUntil(
    const std::function<bool()>& condition, Duration limit) {
  const MonotonicTime start = now_;
  while (!condition()) {
    if (now_ - start >= limit) return {};
    RunFor(kCheckInterval);
  }
  return now_ - start;
}

bool FakeMesh::AllActive(std::uint64_t sequence) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.distributor == nullptr || node.active >= sequence;
  });
}

bool FakeMesh::AllStanding(Standing standing) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.distributor == nullptr ||
           node.distributor->standing(now_) == standing;
  });
}

std::size_t FakeMesh::CountReady() const {
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const Node& node) {
        return node.distributor != nullptr && node.distributor->is_ready();
      }));
}

void FakeMesh::ResetMeasures() {
  platform_reads_ = platform_writes_ = peak_reads_ = second_reads_ = 0;
  for (Node& node : nodes_) node.bytes_sent = node.bytes_received = 0;
}

void FakeMesh::Schedule(MonotonicTime at, Event event) {
  std::size_t slot = slots_.size();
  if (free_slots_.empty()) {
    slots_.push_back(std::move(event));
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
    slots_[slot] = std::move(event);
  }
  queue_.push(Scheduled{at, next_order_++, slot});
}

void FakeMesh::Deliver(std::size_t slot) {
  Node& node = nodes_[slots_[slot].node];
  const bool is_for_it =
      node.distributor != nullptr &&
      (slots_[slot].life == 0 || slots_[slot].life == node.life);
  if (is_for_it && node.paused_until.has_value()) {
    if (now_ < *node.paused_until) {
      const bool is_tick =
          std::holds_alternative<TickEvent>(slots_[slot].payload);
      if (is_tick) {
        queue_.push(Scheduled{*node.paused_until, next_order_++, slot});
      } else {
        node.held_back.push_back(slot);
      }
      return;
    }
    // Messages that waited are handled before the first tick, which is the
    // harder order for the detection of the pause.
    node.paused_until.reset();
    for (const std::size_t waiting : std::exchange(node.held_back, {})) {
      Deliver(waiting);
    }
  }
  Payload payload = std::move(slots_[slot].payload);
  free_slots_.push_back(slot);
  if (is_for_it) Handle(node, payload);
}

void FakeMesh::Handle(Node& node, Payload& payload) {
  Distributor& distributor = *node.distributor;
  if (std::holds_alternative<TickEvent>(payload)) {
    Schedule(now_ + kTickInterval,
             Event{IndexOf(node), node.life, TickEvent{}});
    Perform(node, distributor.Tick(now_));
    CheckStanding(node);
  } else if (const auto* read = std::get_if<PlatformEvent>(&payload)) {
    Perform(node,
            distributor.OnPlatformRead(now_, read->started_at, read->result));
  } else if (const auto* contacts = std::get_if<ContactsEvent>(&payload)) {
    Perform(node, distributor.OnContactsRead(now_, contacts->data_centre,
                                             contacts->addresses));
  } else if (const auto* fetch = std::get_if<FetchEvent>(&payload)) {
    Node& requester = nodes_[index_.at(fetch->requester)];
    const bool has_it = node.documents.contains(fetch->version.sequence);
    const std::size_t bytes = has_it ? config_.document_bytes : 200;
    node.bytes_sent += bytes;
    requester.bytes_received += bytes;
    Schedule(now_ + Latency(node, requester),
             Event{IndexOf(requester), 0,
                   DocumentEvent{fetch->version, node.address,
                                 has_it ? DocumentOutcome::kValid
                                        : DocumentOutcome::kMissing}});
  } else if (const auto* document = std::get_if<DocumentEvent>(&payload)) {
    if (document->outcome == DocumentOutcome::kValid) {
      node.documents.insert(document->version.sequence);
    }
    Perform(node, distributor.OnDocument(now_, document->version,
                                         document->from, document->outcome));
  } else {
    HandleMessage(node, std::get<MessageEvent>(payload));
  }
}

void FakeMesh::HandleMessage(Node& node, const MessageEvent& event) {
  node.bytes_received += EstimatedBytes(event.message);
  Distributor& distributor = *node.distributor;
  if (const auto* exchange = std::get_if<Exchange>(&event.message)) {
    auto answer = distributor.OnExchange(now_, *exchange);
    Send(node, event.from, std::move(answer.reply));
    Perform(node, std::move(answer.effects));
  } else if (const auto* reply = std::get_if<ExchangeReply>(&event.message)) {
    Perform(node, distributor.OnExchangeReply(now_, *reply));
  } else if (const auto* request = std::get_if<SyncRequest>(&event.message)) {
    Send(node, event.from, distributor.OnSyncRequest(*request));
  } else {
    Perform(node, distributor.OnSyncReply(now_, event.from,
                                          std::get<SyncReply>(event.message)));
  }
}

void FakeMesh::Perform(Node& node, Effects effects) {
  for (Effect& effect : effects) {
    if (auto* exchange = std::get_if<SendExchange>(&effect)) {
      Send(node, exchange->to, std::move(exchange->message));
    } else if (auto* sync = std::get_if<SendSyncRequest>(&effect)) {
      Send(node, sync->to, std::move(sync->message));
    } else if (const auto* fetch = std::get_if<FetchDocument>(&effect)) {
      Fetch(node, *fetch);
    } else if (const auto* read = std::get_if<ReadEnvironmentRow>(&effect)) {
      ReadRow(node, *read);
    } else if (const auto* contacts = std::get_if<ReadContacts>(&effect)) {
      CountRead(node);
      if (!PlatformAnswers(node)) continue;
      Schedule(now_ + config_.platform_latency + platform_delay,
               Event{IndexOf(node), node.life,
                     ContactsEvent{contacts->data_centre,
                                   contacts_[contacts->data_centre]}});
    } else if (const auto* write = std::get_if<WriteContacts>(&effect)) {
      ++platform_writes_;
      if (PlatformAnswers(node)) {
        contacts_[write->data_centre] = write->addresses;
      }
    } else if (const auto* activate = std::get_if<Activate>(&effect)) {
      NoteActive(node, activate->version);
    }
  }
}

void FakeMesh::NoteActive(Node& node, const Version& version) {
  const auto report = [&](const std::string& what) {
    violations_.push_back(node.address + " activated " +
                          std::to_string(version.sequence) + ": " + what);
  };
  const auto accepted = accepted_.find(version.sequence);
  if (accepted == accepted_.end() ||
      accepted->second.digest != version.digest) {
    report("not accepted");
  }
  if (!node.documents.contains(version.sequence)) report("not validated");
  if (version.sequence < node.highest) {
    report("went back from " + std::to_string(node.highest));
  }
  node.active = version.sequence;
  node.highest = std::max(node.highest, version.sequence);
}

// A confirmed node acts on every version that was accepted, with a document
// that can be used, before the confirmation limit.
void FakeMesh::CheckStanding(const Node& node) {
  if (row_.sequence <= node.active || config_.options.every_node_polls ||
      node.distributor->standing(now_) != Standing::kConfirmed) {
    return;
  }
  for (auto version = accepted_.upper_bound(node.active);
       version != accepted_.end(); ++version) {
    if (objects_[version->first] == ObjectState::kStored &&
        now_ - version->second.at > config_.options.confirmation_limit) {
      violations_.push_back(node.address + " is confirmed on " +
                            std::to_string(node.active) + " although " +
                            std::to_string(version->first) + " was accepted");
      return;
    }
  }
}

void FakeMesh::Send(Node& from, const std::string& to, const Message& message) {
  const auto found = index_.find(to);
  if (found == index_.end()) return;
  from.bytes_sent += EstimatedBytes(message);
  SendOnce(from, found->second, message);
  if (config_.duplication > 0 && random_.Unit() < config_.duplication) {
    SendOnce(from, found->second, message);
  }
}

void FakeMesh::SendOnce(Node& from, std::size_t to, const Message& message) {
  if (Loses(from, nodes_[to], &message)) return;
  Schedule(now_ + Latency(from, nodes_[to]),
           Event{to, 0, MessageEvent{from.address, message}});
}

bool FakeMesh::Loses(const Node& from, const Node& to, const Message* message) {
  if (is_cut && is_cut(from, to)) return true;
  if (message != nullptr && passes && !passes(from, to, *message)) return true;
  return loss > 0 && random_.Unit() < loss;
}

Duration FakeMesh::Latency(const Node& from, const Node& to) {
  const Duration latency = from.data_centre == to.data_centre
                               ? config_.local_latency
                               : config_.remote_latency;
  return latency + random_.Between(Duration::zero(), config_.jitter);
}

void FakeMesh::Fetch(Node& node, const FetchDocument& fetch) {
  const auto answer = [&](Duration delay, DocumentOutcome outcome) {
    Schedule(now_ + delay,
             Event{IndexOf(node), node.life,
                   DocumentEvent{fetch.version, fetch.from, outcome}});
  };
  if (!fetch.from.empty()) {
    const auto found = index_.find(fetch.from);
    if (found == index_.end() || nodes_[found->second].distributor == nullptr ||
        Loses(node, nodes_[found->second], nullptr) ||
        Loses(nodes_[found->second], node, nullptr)) {
      answer(kFetchLimit, DocumentOutcome::kUnavailable);
      return;
    }
    node.bytes_sent += 200;
    Schedule(now_ + Latency(node, nodes_[found->second]),
             Event{found->second, 0, FetchEvent{node.address, fetch.version}});
    return;
  }
  CountRead(node);
  const Duration delay = config_.platform_latency + platform_delay;
  if (!PlatformAnswers(node)) {
    answer(delay, DocumentOutcome::kUnavailable);
    return;
  }
  node.bytes_received += config_.document_bytes;
  switch (objects_[fetch.version.sequence]) {
    case ObjectState::kStored:
      return answer(delay, DocumentOutcome::kValid);
    case ObjectState::kMissing:
      return answer(delay, DocumentOutcome::kMissing);
    case ObjectState::kDamaged:
      return answer(delay, DocumentOutcome::kDamaged);
    case ObjectState::kInvalid:
      return answer(delay, DocumentOutcome::kInvalid);
  }
}

void FakeMesh::CountRead(Node& node) {
  ++platform_reads_;
  node.bytes_sent += kReadRequestBytes;
  node.bytes_received += kReadAnswerBytes;
  const std::int64_t second = ToMilliseconds(now_.time_since_epoch()) / 1000;
  if (second != second_) second_reads_ = 0;
  second_ = second;
  peak_reads_ = std::max(peak_reads_, ++second_reads_);
}

void FakeMesh::ReadRow(Node& node, const ReadEnvironmentRow& read) {
  CountRead(node);
  RowResult result = RowError{};
  if (PlatformAnswers(node)) {
    if (row_.sequence == 0) {
      result = RowAbsent{};
    } else if (row_.sequence == read.known_sequence) {
      result = RowUnchanged{};
    } else {
      result = row_;
    }
  }
  Schedule(
      now_ + config_.platform_latency + platform_delay,
      Event{IndexOf(node), node.life, PlatformEvent{read.started_at, result}});
}

}  // namespace oleandertide::distribution
