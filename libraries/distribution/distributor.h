// Dissemination of accepted versions and of the membership, as one state
// machine.

#ifndef OLEANDERTIDE_DISTRIBUTION_DISTRIBUTOR_H_
#define OLEANDERTIDE_DISTRIBUTION_DISTRIBUTOR_H_

#include <absl/container/btree_map.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "distribution/commit_counter.h"
#include "distribution/counters.h"
#include "distribution/document_tracker.h"
#include "distribution/effects.h"
#include "distribution/freshness.h"
#include "distribution/messages.h"
#include "distribution/options.h"
#include "distribution/partner_set.h"
#include "distribution/restart_rule.h"
#include "membership/member_table.h"

namespace oleandertide::distribution {

// The row has not changed since this node last read it.
struct RowUnchanged {};
// The environment has no row yet.
struct RowAbsent {};
// The platform did not answer, or answered with an error.
struct RowError {};
using RowResult = std::variant<Version, RowUnchanged, RowAbsent, RowError>;

// Decides for one node. Does no input or output and reads no clock: the node
// passes in events and performs the returned effects. Not thread-safe.
// `now` must not decrease from call to call.
class Distributor {
 public:
  // Precondition: is_valid(own). A restarted process passes a new life.
  Distributor(membership::Member own, Options options, RandomSource random);

  Distributor(const Distributor&) = delete;
  Distributor& operator=(const Distributor&) = delete;

  // Must be called once, before all other events.
  Effects Start(MonotonicTime now);

  // Must be called about every 50 ms.
  Effects Tick(MonotonicTime now);

  struct Answer {
    ExchangeReply reply;
    Effects effects;
  };
  // Handles a request of a peer. The message may have any content.
  Answer OnExchange(MonotonicTime now, const Exchange& message);
  // Handles the reply to a SendExchange. Replies whose id is not outstanding
  // are dropped and counted.
  Effects OnExchangeReply(MonotonicTime now, const ExchangeReply& reply);
  // The exchange with this id failed. Unknown ids are ignored; without this
  // call an exchange fails by itself after Options::exchange_timeout.
  Effects OnExchangeFailed(MonotonicTime now, std::uint64_t id);

  // Handles a request for a part of the table. Changes nothing.
  SyncReply OnSyncRequest(const SyncRequest& request) const;
  Effects OnSyncReply(MonotonicTime now, std::string_view from,
                      const SyncReply& reply);
  Effects OnSyncFailed(MonotonicTime now, std::string_view from);

  // Result of a ReadEnvironmentRow, with the time at which the read started.
  Effects OnPlatformRead(MonotonicTime now, MonotonicTime started_at,
                         const RowResult& result);
  // Result of a ReadContacts; empty without a row. After an error it must not
  // be called: an empty row means that this may be the first node.
  Effects OnContactsRead(MonotonicTime now, std::string_view data_centre,
                         const std::vector<std::string>& addresses);
  // Result of a FetchDocument.
  Effects OnDocument(MonotonicTime now, const Version& version,
                     std::string_view from, DocumentOutcome outcome);

  // Announces the backend server of this node (empty: none) or its draining.
  Effects SetOwnBackend(MonotonicTime now, std::string_view backend_address,
                        std::uint32_t slots, std::uint32_t connections);
  // Precondition: `state` is kDraining or kLeft. The node becomes ready by
  // itself.
  Effects SetOwnState(MonotonicTime now, membership::MemberState state);

  // What the node may serve at `now`.
  Standing standing(MonotonicTime now) const;
  // Age of the last confirmation of the active version, if there is one.
  std::optional<Duration> ConfirmationAge(MonotonicTime now) const;
  // Other data centres that no node known to this one has heard for
  // Options::heard_limit. Their members should not be chosen for calls.
  std::vector<std::string> UnreachableDataCentres(MonotonicTime now) const;

  const Version& held() const { return tracker_.held(); }
  const Version& active() const { return active_; }
  std::uint64_t committed() const { return committed_; }
  bool is_ready() const { return is_ready_; }
  bool is_reader() const { return is_reader_; }
  const membership::MemberTable& table() const { return table_; }
  const Counters& counters() const { return counters_; }
  const PartnerSet& partners() const { return partners_; }

 private:
  struct Outstanding {
    std::string to;
    MonotonicTime sent_at;
  };

  // Notes the time of an event and detects pauses.
  void BeginStep(MonotonicTime now);
  // Draws the conclusions of an event and returns the effects.
  Effects EndStep(MonotonicTime now);

  void SendExchangeTo(MonotonicTime now, const std::string& to);
  Digest MakeDigest(MonotonicTime now, std::string_view target,
                    std::optional<std::uint64_t> their_table_hash);
  void PushNews(MonotonicTime now);

  // Uses the parts of a digest that are facts regardless of their age.
  void MergeDigest(MonotonicTime now, const Digest& digest);
  // Returns the number of records that changed the table.
  std::size_t MergeRecords(
      MonotonicTime now, const std::vector<membership::MemberPointer>& records,
      std::size_t limit, bool spreads = true);
  // Uses the parts of a reply that need the time of the request.
  void UseReply(MonotonicTime now, MonotonicTime sent_at, const Digest& digest);
  void FailExchange(MonotonicTime now, const Outstanding& outstanding);
  void NoteOffer(MonotonicTime now, const Version& version,
                 std::string_view source);

  void ExpireExchanges(MonotonicTime now);
  void RefreshRoles(MonotonicTime now);
  void TickJoin(MonotonicTime now);
  void SeekMissingContact(MonotonicTime now);
  void TickPartners(MonotonicTime now);
  void TickReads(MonotonicTime now);
  void TickContacts(MonotonicTime now);
  void TickReports(MonotonicTime now);
  void TickSynchronisation(MonotonicTime now);
  void TickUnreachable(MonotonicTime now);
  void TickQuorum(MonotonicTime now);

  void CountHolders(MonotonicTime now);
  // N for decisions: the largest of the own count and those of others.
  std::size_t LargestMembers(MonotonicTime now) const;
  void SetCommitted(std::uint64_t sequence);
  void TryActivate(MonotonicTime now);
  std::optional<Version> NextActive() const;
  void JoinThrough(MonotonicTime now,
                   const std::vector<std::string>& addresses);
  void BeginSynchronisation(MonotonicTime now, std::uint32_t bucket,
                            const std::string& peer);
  std::string ChooseSyncPeer();
  std::vector<std::string> DesiredContacts() const;
  bool is_local(const membership::Member& member) const {
    return member.data_centre == table_.own().data_centre;
  }
  bool may_read(MonotonicTime now) const;
  // True if N can be relied on: the member table has been received and N has
  // stopped growing.
  bool is_settled(MonotonicTime now) const;
  bool has_configured_contacts() const;
  bool HearsHalfOfDataCentre(MonotonicTime now) const;
  bool HearsAllRegions(MonotonicTime now) const;

  Options options_;
  RandomSource random_;
  membership::MemberTable table_;
  PartnerSet partners_;
  DocumentTracker tracker_;
  CommitCounter commit_counter_;
  RestartRule restart_rule_;
  Freshness freshness_;
  Counters counters_;
  Effects effects_;

  MonotonicTime started_at_;
  MonotonicTime last_step_;
  bool is_ready_ = false;
  Version active_;
  std::uint64_t committed_ = 0;
  std::uint64_t largest_members_ = 0;  // N reported by others, see MergeDigest
  MonotonicTime largest_members_at_;

  std::uint64_t next_exchange_id_;
  absl::btree_map<std::uint64_t, Outstanding> outstanding_;
  struct PeerVersions {
    std::uint64_t held = 0;
    std::uint64_t committed = 0;
    std::uint64_t table_hash = 0;
  };
  absl::btree_map<std::string, PeerVersions, std::less<>> peer_versions_;
  bool has_version_news_ = false;
  bool has_own_news_ = false;

  // Roles, derived from the table.
  std::uint64_t roles_liveness_ = 0;
  MonotonicTime roles_at_;
  std::vector<std::string> readers_;
  std::vector<std::pair<std::string, std::string>> data_centres_;
  bool is_reader_ = false;
  bool needs_roles_ = true;
  std::size_t members_ = 1;  // N of the own data centre
  MonotonicTime members_grew_at_;

  MonotonicTime next_gossip_;
  MonotonicTime next_probe_;
  MonotonicTime next_report_;
  Duration report_delay_{};
  MonotonicTime next_quorum_query_;
  MonotonicTime next_unreachable_;

  bool is_joined_ = false;
  std::size_t next_contact_ = 0;
  MonotonicTime next_join_;
  Duration join_delay_;
  MonotonicTime alone_at_;

  MonotonicTime next_read_;
  std::optional<MonotonicTime> read_since_;
  std::optional<Version> last_row_;
  MonotonicTime next_contacts_;
  std::size_t next_contacts_row_ = 0;
  std::vector<std::string> known_contacts_;
  bool has_read_contacts_ = false;

  struct Synchronisation {
    std::uint32_t next_bucket = 0;
    std::string peer;
    MonotonicTime sent_at;
  };
  std::optional<Synchronisation> synchronisation_;
  bool has_table_ = false;  // a first full synchronisation has ended
  std::uint32_t repair_bucket_ = 0;
  MonotonicTime next_synchronisation_;
  std::string differing_peer_;
};

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_DISTRIBUTOR_H_
