#include "node/control.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "acceptance/environment_record.h"
#include "core/json.h"
#include "logging/log.h"

namespace oleandertide::node {
namespace {

using distribution::Distributor;
using distribution::DocumentOutcome;
using distribution::Effects;

constexpr std::string_view kComponent = "control";
constexpr Duration kTickInterval = std::chrono::milliseconds(50);

// Slow start and ages change without a change of the members.
constexpr Duration kEndpointsInterval = std::chrono::seconds(5);

// Three, so that a slow platform does not hold back fetches from peers.
constexpr std::size_t kWorkers = 3;
constexpr std::size_t kMaximumQueuedWork = 64;

constexpr std::size_t kMaximumContacts = 16;

// Times a change is passed on: 3·log2(N+1), as for membership.
int RetransmissionsFor(std::size_t members) {
  int doublings = 0;
  for (std::size_t size = members; size > 0; size /= 2) ++doublings;
  return 3 * doublings;
}

std::string ContactsKey(const std::string& data_centre) {
  return "contacts/" + data_centre;
}

}  // namespace

Control::Control(Parts parts, std::string environment, membership::Member own,
                 const distribution::Options& options, std::uint64_t seed)
    : parts_(parts),
      environment_(std::move(environment)),
      distributor_(std::move(own), options, RandomSource(seed)),
      workers_(kWorkers, kMaximumQueuedWork) {}

Control::~Control() { Stop(); }

void Control::Start() {
  thread_ = std::thread([this] { Run(); });
}

void Control::Stop() {
  {
    std::lock_guard lock(events_mutex_);
    is_stopping_ = true;
  }
  events_changed_.notify_all();
  if (thread_.joinable()) thread_.join();
  workers_.Stop();
}

void Control::Run() {
  Step([](Distributor& distributor, MonotonicTime now) {
    return distributor.Start(now);
  });
  MonotonicTime next_tick = MonotonicClock::now();
  for (;;) {
    std::deque<Event> events;
    {
      std::unique_lock lock(events_mutex_);
      const Duration wait = next_tick - MonotonicClock::now();
      events_changed_.wait_for(lock, std::max(wait, Duration(0)), [this] {
        return is_stopping_ || !events_.empty();
      });
      if (is_stopping_) return;
      events.swap(events_);
    }
    for (const Event& event : events) Step(event);
    if (MonotonicClock::now() < next_tick) continue;
    next_tick = MonotonicClock::now() + kTickInterval;
    Step([](Distributor& distributor, MonotonicTime now) {
      return distributor.Tick(now);
    });
    Publish(MonotonicClock::now());
  }
}

void Control::Post(Event event) {
  {
    std::lock_guard lock(events_mutex_);
    if (is_stopping_) return;
    events_.push_back(std::move(event));
  }
  events_changed_.notify_one();
}

void Control::Step(const Event& event) {
  Effects effects;
  {
    std::lock_guard lock(mutex_);
    effects = event(distributor_, MonotonicClock::now());
  }
  Apply(effects);
}

void Control::Apply(const Effects& effects) {
  for (const auto& effect : effects) {
    std::visit([this](const auto& item) { Perform(item); }, effect);
  }
}

// Makes the state of the distributor visible to the request path.
void Control::Publish(MonotonicTime now) {
  std::shared_ptr<const membership::MemberView> members;
  std::vector<std::string> unreachable;
  distribution::Standing standing{};
  std::uint64_t changes = 0;
  {
    std::lock_guard lock(mutex_);
    standing = distributor_.standing(now);
    changes = distributor_.table().change_count();
    unreachable = distributor_.UnreachableDataCentres(now);
    members = distributor_.table().view();
  }
  parts_.standing.Publish(standing, now);
  if (standing != published_standing_) NoteStanding(standing);
  if (changes == published_changes_ && unreachable == published_unreachable_ &&
      now - endpoints_updated_at_ < kEndpointsInterval) {
    return;
  }
  published_changes_ = changes;
  published_unreachable_ = unreachable;
  endpoints_updated_at_ = now;
  parts_.endpoints.Update(*members, unreachable, now);
  parts_.claims.set_members(*members);
  parts_.quarantine.set_retransmissions(
      RetransmissionsFor(members->members().size()));
}

void Control::NoteStanding(distribution::Standing standing) {
  const bool is_normal = standing == distribution::Standing::kConfirmed;
  logging::Log(is_normal ? logging::Level::kInfo : logging::Level::kWarning,
               kComponent, "standing changed",
               {{"from", distribution::ToString(published_standing_)},
                {"to", distribution::ToString(standing)}});
  published_standing_ = standing;
  std::lock_guard lock(mutex_);
  ++standings_entered_[static_cast<std::size_t>(standing)];
}

std::vector<routing::CrashReport> Control::TakeCrashReports(MonotonicTime now) {
  return parts_.quarantine.TakeReports(now, peers::kMaximumCrashReports);
}

peers::GossipReply Control::HandleGossip(const peers::GossipRequest& request) {
  const MonotonicTime now = MonotonicClock::now();
  parts_.quarantine.Merge(now, request.crash_reports);
  Distributor::Answer answer;
  {
    std::lock_guard lock(mutex_);
    answer = distributor_.OnExchange(MonotonicClock::now(), request.exchange);
  }
  Apply(answer.effects);
  return {std::move(answer.reply), TakeCrashReports(now)};
}

distribution::SyncReply Control::HandleSyncRequest(
    const distribution::SyncRequest& request) {
  std::lock_guard lock(mutex_);
  return distributor_.OnSyncRequest(request);
}

void Control::SetOwnBackend(std::string address, std::uint32_t slots,
                            std::uint32_t connections) {
  Post([address = std::move(address), slots, connections](
           Distributor& distributor, MonotonicTime now) {
    return distributor.SetOwnBackend(now, address, slots, connections);
  });
}

void Control::SetOwnState(membership::MemberState state) {
  Post([state](Distributor& distributor, MonotonicTime now) {
    return distributor.SetOwnState(now, state);
  });
}

ControlStatus Control::status() const {
  const MonotonicTime now = MonotonicClock::now();
  std::lock_guard lock(mutex_);
  ControlStatus status;
  status.held = distributor_.held();
  status.active = distributor_.active();
  status.committed = distributor_.committed();
  status.is_ready = distributor_.is_ready();
  status.is_reader = distributor_.is_reader();
  status.standing = distributor_.standing(now);
  status.confirmation_age = distributor_.ConfirmationAge(now);
  status.counters = distributor_.counters();
  status.members = distributor_.table().view();
  status.last_refusal = last_refusal_;
  status.standings_entered = standings_entered_;
  return status;
}

void Control::Perform(const distribution::SendExchange& effect) {
  const std::uint64_t id = effect.message.id;
  const peers::GossipRequest request{effect.message,
                                     TakeCrashReports(MonotonicClock::now())};
  parts_.peers.Exchange(
      effect.to, request, [this, id](Result<peers::GossipReply> reply) {
        if (!reply) {
          Post([id](Distributor& distributor, MonotonicTime now) {
            return distributor.OnExchangeFailed(now, id);
          });
          return;
        }
        Post([this, received = std::move(reply).value()](
                 Distributor& distributor, MonotonicTime now) {
          parts_.quarantine.Merge(now, received.crash_reports);
          return distributor.OnExchangeReply(now, received.exchange);
        });
      });
}

void Control::Perform(const distribution::SendSyncRequest& effect) {
  parts_.peers.Synchronise(
      effect.to, effect.message,
      [this, to = effect.to](Result<distribution::SyncReply> reply) {
        Post([to, reply = std::move(reply)](Distributor& distributor,
                                            MonotonicTime now) {
          if (!reply) return distributor.OnSyncFailed(now, to);
          return distributor.OnSyncReply(now, to, reply.value());
        });
      });
}

void Control::Perform(const distribution::FetchDocument& effect) {
  const auto report = [this, effect](DocumentOutcome outcome) {
    Post([effect, outcome](Distributor& distributor, MonotonicTime now) {
      return distributor.OnDocument(now, effect.version, effect.from, outcome);
    });
  };
  const bool is_queued =
      workers_.Submit([this, effect, report] { report(Fetch(effect)); });
  // The distributor waits for the result of each fetch.
  if (!is_queued) report(DocumentOutcome::kUnavailable);
}

void Control::Perform(const distribution::ReadEnvironmentRow& effect) {
  workers_.Submit([this, started_at = effect.started_at] {
    const distribution::RowResult result = ReadRow();
    Post([started_at, result](Distributor& distributor, MonotonicTime now) {
      return distributor.OnPlatformRead(now, started_at, result);
    });
  });
}

void Control::Perform(const distribution::ReadContacts& effect) {
  workers_.Submit([this, data_centre = effect.data_centre] {
    Post([data_centre, addresses = ReadContactsRow(data_centre)](
             Distributor& distributor, MonotonicTime now) {
      return distributor.OnContactsRead(now, data_centre, addresses);
    });
  });
}

void Control::Perform(const distribution::WriteContacts& effect) {
  workers_.Submit([this, effect] { WriteContactsRow(effect); });
}

void Control::Perform(const distribution::Activate& effect) {
  auto snapshot = parts_.documents.Take(effect.version);
  if (!snapshot) {
    logging::Log(logging::Level::kError, kComponent,
                 "document to activate is not held",
                 {{"sequence", effect.version.sequence}});
    return;
  }
  const auto published = parts_.snapshots.Publish(std::move(snapshot));
  if (!published) {
    logging::Log(logging::Level::kError, kComponent, "activation refused",
                 {{"sequence", effect.version.sequence},
                  {"error", published.error().message()}});
    return;
  }
  logging::Log(logging::Level::kInfo, kComponent, "configuration in force",
               {{"sequence", effect.version.sequence},
                {"digest", effect.version.digest}});
}

void Control::Perform(const distribution::Refused& effect) {
  logging::Log(logging::Level::kError, kComponent, "configuration refused",
               {{"sequence", effect.version.sequence},
                {"digest", effect.version.digest},
                {"from", effect.from.empty() ? "platform" : effect.from},
                {"reason", effect.reason}});
}

distribution::RowResult Control::ReadRow() {
  std::lock_guard lock(row_mutex_);
  const auto known = row_version_ == store::kAbsent
                         ? std::nullopt
                         : std::optional(row_version_);
  const auto outcome =
      parts_.store.ReadRow(acceptance::EnvironmentKey(environment_), known);
  if (!outcome) return distribution::RowError{};
  if (std::holds_alternative<store::Unchanged>(outcome.value())) {
    return distribution::RowUnchanged{};
  }
  const auto* row = std::get_if<store::Row>(&outcome.value());
  if (row == nullptr) return distribution::RowAbsent{};
  const auto record = acceptance::ParseEnvironmentRecord(row->value);
  if (!record) {
    logging::Log(logging::Level::kError, kComponent, "environment row damaged",
                 {{"environment", environment_}});
    return distribution::RowError{};
  }
  row_version_ = row->version;
  row_ = {record.value().sequence, record.value().digest};
  return row_;
}

std::vector<std::string> Control::ReadContactsRow(
    const std::string& data_centre) {
  std::vector<std::string> addresses;
  const auto outcome =
      parts_.store.ReadRow(ContactsKey(data_centre), std::nullopt);
  if (!outcome) return addresses;
  const auto* row = std::get_if<store::Row>(&outcome.value());
  if (row == nullptr) return addresses;
  const auto list = ParseJson(row->value);
  if (!list || !list->is_array()) return addresses;
  for (const auto& item : *list) {
    if (item.is_string() && addresses.size() < kMaximumContacts) {
      addresses.push_back(item.get<std::string>());
    }
  }
  return addresses;
}

// A lost race needs no repetition: another reader wrote fresh contacts.
void Control::WriteContactsRow(const distribution::WriteContacts& effect) {
  const std::string key = ContactsKey(effect.data_centre);
  const auto outcome = parts_.store.ReadRow(key, std::nullopt);
  if (!outcome) return;
  store::RowVersion version = store::kAbsent;
  if (const auto* row = std::get_if<store::Row>(&outcome.value())) {
    version = row->version;
  }
  const std::vector<store::Condition> conditions = {{key, version}};
  const std::vector<store::Write> writes = {
      {key, nlohmann::json(effect.addresses).dump()}};
  const auto written = parts_.store.Transact(conditions, writes);
  if (!written) {
    logging::Log(logging::Level::kWarning, kComponent, "contacts not written",
                 {{"error", written.error().message()}});
  }
}

DocumentOutcome Control::Fetch(const distribution::FetchDocument& effect) {
  auto text = effect.from.empty()
                  ? parts_.store.FetchObject(effect.version.digest)
                  : parts_.peers.FetchDocument(effect.from, effect.version);
  if (!text) {
    return text.error() == Error::kNotFound ? DocumentOutcome::kMissing
                                            : DocumentOutcome::kUnavailable;
  }
  std::string explanation;
  const DocumentOutcome outcome = parts_.documents.Add(
      effect.version, std::move(text).value(), &explanation);
  if (outcome != DocumentOutcome::kValid) {
    logging::Log(logging::Level::kError, kComponent, "document not usable",
                 {{"sequence", effect.version.sequence},
                  {"from", effect.from.empty() ? "platform" : effect.from},
                  {"reason", explanation}});
    std::lock_guard lock(mutex_);
    last_refusal_ = "sequence " + std::to_string(effect.version.sequence) +
                    ": " + explanation;
  }
  return outcome;
}

}  // namespace oleandertide::node
