#include "sidecar/coordination.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "logging/log.h"

namespace oleandertide::sidecar {
namespace {

using coordination::Election;
using logging::Level;

constexpr std::string_view kTable = "oleandertide-coordination";
constexpr std::string_view kKey = "coordinator";

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// Links to other nodes are open by then, so that a node knows whether another
// one is better suited.
constexpr Duration kFirstStartDelay = std::chrono::milliseconds(1500);
// A restarted process reads the lease within this time: it may have been held
// by its earlier life, and then nobody else may take it yet. Many processes
// restart together.
constexpr Duration kMaxRestartDelay = std::chrono::milliseconds(200);

// Each better suited node that is known to live adds this; beyond the maximum
// all try.
constexpr Duration kDelayPerNode = std::chrono::milliseconds(150);
constexpr Duration kMaxDelay = std::chrono::milliseconds(1500);

}  // namespace

Coordination::Coordination(const Parts& parts, NodeIdentity self,
                           std::string incarnation, bool is_first_start)
    : parts_(parts),
      self_(std::move(self)),
      election_({.node = self_.name,
                 .incarnation = std::move(incarnation),
                 .reads_at_start = !is_first_start}),
      timer_(parts.loop),
      first_tick_at_(
          BootClock::now() +
          (is_first_start
               ? kFirstStartDelay
               : parts.random.Between(Duration::zero(), kMaxRestartDelay))) {}

void Coordination::Register(CoordinationSubject subject, Handlers handlers) {
  handlers_[static_cast<std::size_t>(subject)] = std::move(handlers);
}

void Coordination::Start(LinkServer& server) {
  server_ = &server;
  is_active_ = true;
  Tick();
}

void Coordination::Stop() {
  if (!std::exchange(is_active_, false)) return;
  timer_.Cancel();
  Perform(election_.Release());
  CheckChange();
}

bool Coordination::is_coordinator() const {
  return election_.is_holder(parts_.clock, BootClock::now());
}

Duration Coordination::ClaimDelay() const {
  const auto peers = parts_.links.connected();
  const auto better = std::ranges::count_if(peers, [this](const auto& peer) {
    return std::is_lt(mesh::CompareReaders({peer.name, peer.link_mbps},
                                           {self_.name, self_.link_mbps}));
  });
  return std::min(kDelayPerNode * better, kMaxDelay);
}

void Coordination::Tick() {
  timer_.Start(kTickInterval, [this] { Tick(); });
  const BootTime now = BootClock::now();
  if (now >= first_tick_at_) {
    Perform(election_.Tick(parts_.clock, now, ClaimDelay()));
  }
  CheckChange();
}

void Coordination::Perform(const Election::Effect& effect) {
  if (std::holds_alternative<Election::ReadRow>(effect)) {
    parts_.store.ReadRows(
        kTable, kKey, [this](const Result<platform::RowList>& rows) {
          const BootTime now = BootClock::now();
          if (!rows) {
            election_.OnReadFailed(now, parts_.random.Unit());
            return;
          }
          std::optional<coordination::LeaseRow> lease;
          const platform::RowList& list = rows.value();
          for (const platform::Row& row : list.rows) {
            if (row.key != kKey || row.is_deleted) continue;
            const StorePosition position{list.era, row.version};
            const auto decoded = coordination::DecodeLease(row.value, position);
            if (decoded) {
              lease = decoded.value();
            } else {
              // Written over by the next holder.
              logging::Log(Level::kWarning, "coordination",
                           "lease is not readable", {{"version", row.version}});
              lease = coordination::LeaseRow{};
              lease->position = position;
            }
          }
          Perform(election_.OnRow(lease,
                                  {.position = {list.era, list.store_version},
                                   .time_ms = list.store_time_ms},
                                  parts_.clock, now));
          CheckChange();
        });
  } else if (const auto* write = std::get_if<Election::WriteRow>(&effect)) {
    parts_.store.Write(
        {.table = kTable,
         .key = kKey,
         .expected_version = write->expected_version,
         .value = &write->value},
        [this](const Result<platform::WriteReceipt>& receipt) {
          const BootTime now = BootClock::now();
          if (receipt) {
            const StorePosition position{receipt.value().era,
                                         receipt.value().version};
            election_.OnWritten(position, now, parts_.random.Unit());
          } else {
            election_.OnWritten(receipt.error(), now, parts_.random.Unit());
          }
          CheckChange();
        });
  }
}

void Coordination::CheckChange() {
  const bool is_now = is_coordinator();
  const coordination::Holder& holder = election_.holder();
  if (is_now == was_coordinator_ && holder.term == told_term_ &&
      holder.node == told_node_) {
    return;
  }
  logging::Log(
      Level::kInfo, "coordination", "coordinator changed",
      {{"node", holder.node}, {"term", holder.term}, {"is_this_node", is_now}});
  was_coordinator_ = is_now;
  told_term_ = holder.term;
  told_node_ = holder.node;
  parts_.links.set_pinned(holder.node == self_.name ? "" : holder.node);
  for (const Handlers& handlers : handlers_) {
    if (handlers.on_changed) handlers.on_changed();
  }
}

Coordination::Handlers* Coordination::Find(std::uint8_t subject) {
  return subject < handlers_.size() ? &handlers_[subject] : nullptr;
}

CoordinationMessage Coordination::MakeMessage(CoordinationSubject subject,
                                              std::string_view payload) const {
  return {.term = election_.holder().term,
          .subject = static_cast<std::uint8_t>(subject),
          .payload = std::string(payload)};
}

bool Coordination::Report(CoordinationSubject subject,
                          std::string_view payload) {
  const coordination::Holder& holder = election_.holder();
  if (holder.node.empty()) return false;
  const CoordinationMessage message = MakeMessage(subject, payload);
  if (holder.node == self_.name) {
    if (!is_coordinator()) return false;
    OnReport(self_.name, message);
    return true;
  }
  return parts_.links.SendCoordination(holder.node, message);
}

bool Coordination::Send(const std::string& node, CoordinationSubject subject,
                        std::string_view payload) {
  const CoordinationMessage message = MakeMessage(subject, payload);
  if (node == self_.name) {
    OnMessage(self_.name, message);
    return true;
  }
  return server_->SendCoordination(node, message);
}

std::vector<std::string> Coordination::reachable_nodes() const {
  auto nodes = server_->session_nodes();
  nodes.push_back(self_.name);
  return nodes;
}

void Coordination::OnHolderTold(const coordination::Holder& holder) {
  if (holder.term == 0) return;
  election_.Learn(holder);
  CheckChange();
}

void Coordination::OnMessage(const std::string& node,
                             const CoordinationMessage& message) {
  const coordination::Holder& holder = election_.holder();
  if (message.term != holder.term || node != holder.node) return;
  Handlers* handlers = Find(message.subject);
  if (handlers != nullptr && handlers->on_message) {
    handlers->on_message(message.payload);
  }
}

void Coordination::OnReport(const std::string& node,
                            const CoordinationMessage& message) {
  if (message.term != election_.holder().term || !is_coordinator()) return;
  Handlers* handlers = Find(message.subject);
  if (handlers != nullptr && handlers->on_report) {
    handlers->on_report(node, message.payload);
  }
}

}  // namespace oleandertide::sidecar
