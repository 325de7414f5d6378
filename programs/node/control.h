// Drives the distributor: events in, effects out.

#ifndef OLEANDERTIDE_NODE_CONTROL_H_
#define OLEANDERTIDE_NODE_CONTROL_H_

#include <array>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "calls/claim_client.h"
#include "calls/endpoint_directory.h"
#include "calls/published_standing.h"
#include "config/snapshot_holder.h"
#include "core/worker_pool.h"
#include "distribution/distributor.h"
#include "node/document_cache.h"
#include "peers/gossip.h"
#include "peers/peer_client.h"
#include "routing/quarantine.h"
#include "store/store.h"

namespace oleandertide::node {

inline constexpr std::size_t kStandings =
    static_cast<std::size_t>(distribution::Standing::kIsolated) + 1;

// What /status and the metrics show of the distributor.
struct ControlStatus {
  distribution::Version held;
  distribution::Version active;
  std::uint64_t committed = 0;
  bool is_ready = false;
  bool is_reader = false;
  distribution::Standing standing = distribution::Standing::kStarting;
  std::optional<Duration> confirmation_age;
  distribution::Counters counters;
  std::shared_ptr<const membership::MemberView> members;
  std::string last_refusal;
  // Times that each standing was entered, in the order of the enumeration.
  std::array<std::uint64_t, kStandings> standings_entered{};
};

// Owns the distributor and the thread that runs it. Input and output that may
// block run on two worker threads; their results come back as events.
// Thread-safe; all references must outlive it.
class Control {
 public:
  struct Parts {
    store::Store& store;
    peers::PeerClient& peers;
    config::SnapshotHolder& snapshots;
    DocumentCache& documents;
    calls::PublishedStanding& standing;
    calls::EndpointDirectory& endpoints;
    calls::ClaimClient& claims;
    routing::Quarantine& quarantine;
  };

  Control(Parts parts, std::string environment, membership::Member own,
          const distribution::Options& options, std::uint64_t seed);

  // Calls Stop.
  ~Control();

  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  // Starts the thread. Must be called once.
  void Start();

  // Ends the thread; what is in progress is abandoned. Idempotent.
  void Stop();

  // Answer requests of peers.
  peers::GossipReply HandleGossip(const peers::GossipRequest& request);
  distribution::SyncReply HandleSyncRequest(
      const distribution::SyncRequest& request);

  // Announce changes of this node to the others.
  void SetOwnBackend(std::string address, std::uint32_t slots,
                     std::uint32_t connections);
  void SetOwnState(membership::MemberState state);

  ControlStatus status() const;

 private:
  using Event = std::function<distribution::Effects(
      distribution::Distributor& distributor, MonotonicTime now)>;

  void Run();
  void Post(Event event);
  void Step(const Event& event);
  void Apply(const distribution::Effects& effects);
  void Publish(MonotonicTime now);
  void NoteStanding(distribution::Standing standing);
  std::vector<routing::CrashReport> TakeCrashReports(MonotonicTime now);

  void Perform(const distribution::SendExchange& effect);
  void Perform(const distribution::SendSyncRequest& effect);
  void Perform(const distribution::FetchDocument& effect);
  void Perform(const distribution::ReadEnvironmentRow& effect);
  void Perform(const distribution::ReadContacts& effect);
  void Perform(const distribution::WriteContacts& effect);
  void Perform(const distribution::Activate& effect);
  void Perform(const distribution::Refused& effect);

  distribution::RowResult ReadRow();
  std::vector<std::string> ReadContactsRow(const std::string& data_centre);
  void WriteContactsRow(const distribution::WriteContacts& effect);
  distribution::DocumentOutcome Fetch(
      const distribution::FetchDocument& effect);

  const Parts parts_;
  const std::string environment_;

  mutable std::mutex mutex_;  // Guards the distributor.
  distribution::Distributor distributor_;
  std::string last_refusal_;
  std::array<std::uint64_t, kStandings> standings_entered_{};

  std::mutex events_mutex_;
  std::condition_variable events_changed_;
  std::deque<Event> events_;
  bool is_stopping_ = false;

  // Of the control thread.
  std::uint64_t published_changes_ = 0;
  std::vector<std::string> published_unreachable_;
  MonotonicTime endpoints_updated_at_;
  distribution::Standing published_standing_ =
      distribution::Standing::kStarting;

  // The row of the environment as last read, so that a read costs few bytes.
  std::mutex row_mutex_;
  store::RowVersion row_version_ = store::kAbsent;
  distribution::Version row_;

  WorkerPool workers_;
  std::thread thread_;
};

}  // namespace oleandertide::node

#endif  // OLEANDERTIDE_NODE_CONTROL_H_
