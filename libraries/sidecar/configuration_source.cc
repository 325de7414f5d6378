#include "sidecar/configuration_source.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"
#include "mesh/reader_election.h"
#include "platform/configuration_codec.h"
#include "platform/names.h"
#include "platform/rollout_codec.h"

namespace oleandertide::sidecar {
namespace {

using logging::Level;

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// How long the store holds a call that waits for changes. An answer confirms
// the version, so this is below the limit after which other nodes read as well.
constexpr Duration kWait = std::chrono::milliseconds(800);

// At the first start of the system, links are open by then.
constexpr Duration kFirstStartPatience = std::chrono::milliseconds(3500);
// At any other start, other nodes bring the configuration within this time:
// links are open after some 200 ms.
constexpr Duration kRestartPatience = std::chrono::milliseconds(700);

// A node of another data centre is asked for a configuration only after the
// own data centre's reader has had time to bring it: bytes between data centres
// are priced.
constexpr Duration kOtherDataCentreDelay = std::chrono::milliseconds(200);
// A node that does not answer a request within this time is not waited for.
constexpr Duration kRequestLimit = std::chrono::milliseconds(400);
// The same for a whole configuration: on a link of 5 Mbit/s it takes up to half
// a second, and a second copy beside it would hold up all requests.
constexpr Duration kWholeRequestLimit = std::chrono::milliseconds(1000);

// Time between attempts to read the orders for a backend server that waits for
// them.
constexpr Duration kOrderRetryInterval = std::chrono::milliseconds(400);

// No key of the table lies between a key and the same with this suffix: keys
// have no control characters.
constexpr char kNextKeySuffix = '\x01';

}  // namespace

ConfigurationSource::ConfigurationSource(const Parts& parts, NodeIdentity self,
                                         bool is_first_start,
                                         std::function<void()> on_changed)
    : parts_(parts),
      self_(std::move(self)),
      on_changed_(std::move(on_changed)),
      timer_(parts.loop),
      request_timer_(parts.loop) {
  patient_until_ = MonotonicClock::now() +
                   (is_first_start ? kFirstStartPatience : kRestartPatience);
}

void ConfigurationSource::Start() { Tick(); }

void ConfigurationSource::ScheduleTick(Duration interval) {
  timer_.Start(interval, [this] { Tick(); });
}

void ConfigurationSource::Tick() {
  ScheduleTick(kTickInterval);
  ReadOrders();
  const MonotonicTime now = MonotonicClock::now();
  const Duration age = parts_.holder.confirmation_age(now);
  constexpr double kUnconfirmedSeconds = 1e9;
  parts_.metrics.confirmation_age.set_value(
      age == Duration::max() ? kUnconfirmedSeconds
                             : std::chrono::duration<double>(age).count());
  if (is_reading_ || now < backoff_until_) return;
  if (!parts_.holder.current() && is_request_pending(now)) return;
  const auto peers = PeersOfDataCentre();
  const bool is_patient = now < patient_until_;
  // Without links, a patient node cannot know whether another one reads.
  if (is_patient && peers.empty()) return;
  if (!mesh::IsReader({.node = self_.name, .link_mbps = self_.link_mbps}, peers,
                      is_patient ? Duration::zero() : age)) {
    return;
  }
  if (followed_) {
    Follow();
  } else {
    ReadAll();
  }
}

std::vector<mesh::ReaderCandidate> ConfigurationSource::PeersOfDataCentre()
    const {
  std::vector<mesh::ReaderCandidate> peers;
  for (const NodeIdentity& peer : links_->connected()) {
    if (peer.data_centre != self_.data_centre) continue;
    peers.push_back({.node = peer.name, .link_mbps = peer.link_mbps});
  }
  return peers;
}

void ConfigurationSource::ReadTable(Reading reading, OnTable on_table) {
  const std::string first_key = reading.first_key;
  parts_.store.ReadRows(
      platform::kOperatorTable, first_key,
      [this, reading = std::move(reading),
       on_table = std::move(on_table)](const Result<platform::RowList>& list) {
        if (!list) {
          on_table(list.error());
          return;
        }
        const platform::RowList& part = list.value();
        Reading so_far = reading;
        // The version of the first answer: what changed between two answers is
        // among the changes after it.
        if (so_far.moment.position.version == 0) {
          so_far.moment = {.position = {part.era, part.store_version},
                           .time_ms = part.store_time_ms};
        }
        if (part.era != so_far.moment.position.era) {
          // Rows of two eras make no table.
          on_table(make_error_code(Error::kUnavailable));
          return;
        }
        so_far.rows.insert(so_far.rows.end(), part.rows.begin(),
                           part.rows.end());
        if (!part.has_more || part.rows.empty()) {
          on_table(so_far);
          return;
        }
        so_far.first_key = part.rows.back().key + kNextKeySuffix;
        ReadTable(std::move(so_far), on_table);
      });
}

void ConfigurationSource::ReadAll() {
  is_reading_ = true;
  asked_at_ = BootClock::now();
  ReadTable({.sent_at = asked_at_,
             .first_key = std::string(platform::kConfigurationKey)},
            [this](const Result<Reading>& result) {
              is_reading_ = false;
              if (!result) {
                OnReadFailed(result.error());
                return;
              }
              const Reading& reading = result.value();
              failures_ = 0;
              followed_ = reading.moment.position;
              for (const platform::Row& row : reading.rows) {
                if (row.key == platform::kConfigurationKey && !row.is_deleted) {
                  OnText(row.value);
                }
              }
              PutAllOrders(reading);
              parts_.holder.Confirm(parts_.holder.version(),
                                    reading.moment.time_ms,
                                    MonotonicClock::now(), Duration::zero());
              Tick();
            });
}

void ConfigurationSource::ReadOrders() {
  if (parts_.orders == nullptr || is_reading_orders_) return;
  if (MonotonicClock::now() < order_backoff_until_) return;
  if (!order_callbacks_.needs_read()) return;
  is_reading_orders_ = true;
  // Not from the configuration on: it may have hundreds of kilobytes, and all
  // nodes read at once after a loss of power.
  ReadTable({.sent_at = BootClock::now(),
             .first_key = std::string(platform::kRolloutKeyPrefix)},
            [this](const Result<Reading>& result) {
              is_reading_orders_ = false;
              if (result) {
                PutAllOrders(result.value());
                return;
              }
              logging::Log(Level::kWarning, "store", "orders not read",
                           {{"error", result.error().message()}});
              order_backoff_until_ =
                  MonotonicClock::now() +
                  parts_.random.Between(kOrderRetryInterval / 2,
                                        kOrderRetryInterval);
            });
}

void ConfigurationSource::PutAllOrders(const Reading& reading) {
  if (parts_.orders == nullptr) return;
  std::vector<std::string> services;
  for (const platform::Row& row : reading.rows) {
    const auto service = platform::FindOrderedService(row.key);
    if (!service || row.is_deleted) continue;
    services.emplace_back(*service);
    PutOrder(row, reading.moment);
  }
  parts_.orders->RemoveOthers(services, reading.moment);
  parts_.orders->RecordRead(reading.moment);
  order_callbacks_.on_read(reading.sent_at);
}

void ConfigurationSource::PutOrder(const platform::Row& row,
                                   StoreMoment moment) {
  const auto service = platform::FindOrderedService(row.key);
  if (parts_.orders == nullptr || !service) return;
  bool is_changed = false;
  if (row.is_deleted) {
    is_changed = parts_.orders->Remove(*service, moment);
  } else {
    const auto order = platform::DecodeOrder(
        *service, row.value, {moment.position.era, row.version});
    if (!order) {
      parts_.metrics.malformed_orders.Add();
      logging::Log(Level::kError, "rollout", "order is not readable",
                   {{"service", *service},
                    {"row_version", row.version},
                    {"why", order.error()}});
      return;
    }
    is_changed = parts_.orders->Put(order.value(), moment.time_ms);
  }
  if (!is_changed) return;
  const rollout::OrderState* state = parts_.orders->Find(*service);
  logging::Log(Level::kInfo, "rollout",
               row.is_deleted ? "order removed" : "order known",
               {{"service", *service},
                {"to", state == nullptr ? "" : state->order.to},
                {"row_version", row.version}});
}

void ConfigurationSource::Follow() {
  is_reading_ = true;
  asked_at_ = BootClock::now();
  parts_.store.AwaitChanges(
      platform::kOperatorTable, followed_->version, kWait,
      [this](const Result<platform::RowList>& rows) { OnRows(rows); });
}

void ConfigurationSource::OnReadFailed(std::error_code error) {
  const MonotonicTime now = MonotonicClock::now();
  logging::Log(Level::kWarning, "store", "read failed",
               {{"error", error.message()},
                {"version", parts_.holder.version()},
                {"followed", followed_.value_or(StorePosition{}).version}});
  followed_.reset();
  const bool is_reader =
      mesh::IsReader({.node = self_.name, .link_mbps = self_.link_mbps},
                     PeersOfDataCentre(), Duration::zero());
  backoff_until_ =
      now + mesh::ChooseReadPause(is_reader, failures_++,
                                  links_->known_count(self_.data_centre),
                                  parts_.random.Unit());
}

void ConfigurationSource::OnRows(const Result<platform::RowList>& rows) {
  is_reading_ = false;
  if (!rows) {
    OnReadFailed(rows.error());
    return;
  }
  const platform::RowList& list = rows.value();
  failures_ = 0;
  if (!ContinuesEra(list.era)) {
    Tick();
    return;
  }
  for (const platform::Row& row : list.rows) {
    // Only a row that was seen moves the point from which changes are followed.
    // The store's version in an empty answer would skip what it did not tell.
    const StorePosition position{list.era, row.version};
    followed_ = std::max(*followed_, position);
    PutOrder(row, {position, list.store_time_ms});
    if (row.key != platform::kConfigurationKey || row.is_deleted) continue;
    OnText(row.value);
  }
  // What the answer left out may be a newer configuration or an order.
  if (!list.has_more) {
    parts_.holder.Confirm(parts_.holder.version(), list.store_time_ms,
                          MonotonicClock::now(), Duration::zero());
    if (parts_.orders != nullptr) {
      parts_.orders->RecordRead({*followed_, list.store_time_ms});
      order_callbacks_.on_read(asked_at_);
    }
  }
  // The next call starts at once, so that no change goes unnoticed.
  Tick();
}

bool ConfigurationSource::ContinuesEra(std::uint64_t era) {
  if (era == followed_->era) return true;
  logging::Log(Level::kWarning, "store", "versions are of another era",
               {{"era", era},
                {"followed_era", followed_->era},
                {"followed", followed_->version}});
  followed_.reset();
  return false;
}

void ConfigurationSource::OnPeerStatus(const NodeIdentity& peer,
                                       const NodeStatus& status) {
  const MonotonicTime now = MonotonicClock::now();
  if (status.confirmed_store_time > 0) {
    parts_.clock.Observe(status.confirmed_store_time, BootClock::now());
  }
  const std::uint64_t version = status.configuration_version;
  if (version == parts_.holder.version()) {
    parts_.holder.Confirm(version, status.confirmed_store_time, now,
                          status.confirmation_age);
    return;
  }
  if (version < parts_.holder.version()) return;
  if (is_request_pending(now)) return;
  if (peer.data_centre == self_.data_centre) {
    Request(peer.name);
    return;
  }
  if (is_request_scheduled_) return;
  is_request_scheduled_ = true;
  request_timer_.Start(
      kOtherDataCentreDelay, [this, name = peer.name, version] {
        is_request_scheduled_ = false;
        if (requested_at_ || parts_.holder.version() >= version) return;
        Request(name);
      });
}

std::uint64_t ConfigurationSource::base_version() const {
  return needs_whole_ ? 0 : parts_.holder.version();
}

bool ConfigurationSource::is_request_pending(MonotonicTime now) const {
  if (!requested_at_) return false;
  return now - *requested_at_ <
         (base_version() == 0 ? kWholeRequestLimit : kRequestLimit);
}

void ConfigurationSource::Request(const std::string& node) {
  requested_at_ = MonotonicClock::now();
  links_->RequestConfiguration(node, base_version());
}

void ConfigurationSource::OnUpdate(const mesh::ConfigurationUpdate& update) {
  requested_at_.reset();
  if (update.version <= parts_.holder.version()) return;
  auto configuration = mesh::ApplyUpdate(parts_.holder.current().get(), update);
  needs_whole_ = !configuration;
  if (!configuration) {
    logging::Log(Level::kWarning, "configuration", "update does not fit",
                 {{"base", update.base_version},
                  {"version", update.version},
                  {"own", parts_.holder.version()},
                  {"error", configuration.error().message()}});
    return;
  }
  Offer(std::move(configuration).value(), "node");
}

void ConfigurationSource::OnText(std::string_view text) {
  auto decoded = platform::DecodeConfiguration(text);
  if (!decoded) {
    parts_.metrics.malformed_configurations.Add();
    logging::Log(Level::kError, "configuration", "not readable",
                 {{"why", decoded.error()}});
    return;
  }
  Offer(std::move(decoded).value(), "store");
}

void ConfigurationSource::Offer(mesh::Configuration configuration,
                                std::string_view source) {
  const std::uint64_t before = parts_.holder.version();
  if (!parts_.holder.InstallIfNewer(std::move(configuration))) return;
  parts_.metrics.configurations.Add();
  parts_.metrics.configuration_version.set_value(
      static_cast<double>(parts_.holder.version()));
  logging::Log(Level::kInfo, "configuration", "in force",
               {{"version", parts_.holder.version()},
                {"before", before},
                {"source", source}});
  on_changed_();
}

}  // namespace oleandertide::sidecar
