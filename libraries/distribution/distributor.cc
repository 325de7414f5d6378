#include "distribution/distributor.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace oleandertide::distribution {
namespace {

using membership::Member;
using membership::MemberPointer;
using membership::MemberState;

// Exchanges and sync requests that may be outstanding at a time.
constexpr std::size_t kMaximumOutstanding = 8192;
// N reported by others counts for this time.
constexpr Duration kReportedMembersTime = std::chrono::seconds(5);

Duration FromMilliseconds(std::uint32_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace

Distributor::Distributor(Member own, Options options, RandomSource random)
    : options_(std::move(options)),
      random_(random),
      table_(std::move(own), options_.table),
      partners_(options_),
      tracker_(options_.first_retry_delay, options_.longest_retry_delay),
      // A random start keeps a reply to an earlier life from matching.
      next_exchange_id_(random_.Next() >> 1),
      join_delay_(options_.first_retry_delay) {}

Effects Distributor::Start(MonotonicTime now) {
  started_at_ = now;
  last_step_ = now;
  next_join_ =
      now + random_.Between(Duration::zero(), options_.first_retry_delay);
  alone_at_ = now + options_.alone_delay +
              random_.Between(Duration::zero(), options_.alone_delay);
  next_gossip_ =
      now + random_.Between(Duration::zero(), options_.gossip_interval);
  next_read_ = now + random_.Between(Duration::zero(), options_.read_interval);
  next_probe_ =
      now + random_.Between(Duration::zero(), options_.dead_probe_interval);
  next_synchronisation_ = now + options_.synchronisation_interval;
  next_contacts_ =
      now + random_.Between(Duration::zero(), options_.read_interval);
  next_unreachable_ = now;
  next_contact_ = random_.Below(1024);
  RefreshRoles(now);
  return EndStep(now);
}

void Distributor::BeginStep(MonotonicTime now) {
  const bool paused = now - last_step_ > options_.pause_limit;
  last_step_ = now;
  if (!paused || !options_.pause_detection_enabled) return;
  ++counters_.pauses;
  freshness_.Void();
  outstanding_.clear();
  partners_.ClearFailures(now);
  commit_counter_.Cancel();
  synchronisation_.reset();
}

Effects Distributor::EndStep(MonotonicTime now) {
  TryActivate(now);
  for (FetchDocument& fetch : tracker_.Start(now)) {
    ++counters_.documents_fetched;
    effects_.emplace_back(std::move(fetch));
  }
  PushNews(now);
  return std::exchange(effects_, {});
}

Effects Distributor::Tick(MonotonicTime now) {
  BeginStep(now);
  ExpireExchanges(now);
  table_.Tick(now);
  RefreshRoles(now);
  TickJoin(now);
  TickPartners(now);
  TickReads(now);
  TickContacts(now);
  TickReports(now);
  TickQuorum(now);
  TickSynchronisation(now);
  TickUnreachable(now);
  CountHolders(now);
  return EndStep(now);
}

// ---- Exchanges ----

Digest Distributor::MakeDigest(MonotonicTime now, std::string_view target,
                               std::optional<std::uint64_t> their_table_hash) {
  Digest digest;
  digest.sender = table_.own_pointer();
  digest.held = tracker_.held();
  // A commit is passed on together with the version, so that a receiver can
  // check one against the other.
  digest.committed = std::min(committed_, digest.held.sequence);
  digest.confirmation = freshness_.Latest(now);
  digest.counted_members = static_cast<std::uint32_t>(members_);
  digest.heard = freshness_.HeardEntries(now, table_.own().data_centre);
  digest.table_hash = table_.hash();
  if (their_table_hash != digest.table_hash) {
    digest.deltas = table_.TakeDeltas(options_.deltas_per_message, target);
  }
  return digest;
}

void Distributor::SendExchangeTo(MonotonicTime now, const std::string& to) {
  if (to == table_.own().address ||
      outstanding_.size() >= kMaximumOutstanding) {
    return;
  }
  const auto versions = peer_versions_.find(to);
  std::optional<std::uint64_t> their_hash;
  if (versions != peer_versions_.end()) {
    their_hash = versions->second.table_hash;
  }
  Exchange message{next_exchange_id_++, MakeDigest(now, to, their_hash)};
  // The target can only refute a suspicion that it learns of.
  const MemberPointer claim = table_.Find(to);
  if (claim != nullptr && !is_alive(*claim)) {
    message.digest.deltas.push_back(claim);
  }
  outstanding_.emplace(message.id, Outstanding{to, now});
  ++counters_.exchanges_sent;
  effects_.emplace_back(SendExchange{to, std::move(message)});
}

Distributor::Answer Distributor::OnExchange(MonotonicTime now,
                                            const Exchange& message) {
  BeginStep(now);
  ++counters_.exchanges_received;
  const MemberPointer& sender = message.digest.sender;
  if (sender == nullptr || !membership::is_valid(*sender)) {
    ++counters_.input_rejected;
    return {ExchangeReply{message.id, MakeDigest(now, {}, table_.hash())},
            EndStep(now)};
  }
  MergeDigest(now, message.digest);
  ExchangeReply reply{
      message.id, MakeDigest(now, sender->address, message.digest.table_hash)};
  const MemberPointer stored = table_.Find(sender->address);
  if (stored != nullptr && stored != sender && *stored != *sender) {
    // The sender is suspect or has restarted; it must raise its incarnation.
    reply.digest.deltas.push_back(stored);
  }
  return {std::move(reply), EndStep(now)};
}

Effects Distributor::OnExchangeReply(MonotonicTime now,
                                     const ExchangeReply& reply) {
  BeginStep(now);
  const auto found = outstanding_.find(reply.id);
  const MemberPointer& sender = reply.digest.sender;
  if (found == outstanding_.end()) {
    ++counters_.replies_unmatched;
    return EndStep(now);
  }
  const Outstanding outstanding = found->second;
  outstanding_.erase(found);
  if (sender == nullptr || !membership::is_valid(*sender) ||
      sender->address != outstanding.to) {
    ++counters_.input_rejected;
    FailExchange(now, outstanding);
    return EndStep(now);
  }
  MergeDigest(now, reply.digest);
  UseReply(now, outstanding.sent_at, reply.digest);
  return EndStep(now);
}

Effects Distributor::OnExchangeFailed(MonotonicTime now, std::uint64_t id) {
  BeginStep(now);
  const auto found = outstanding_.find(id);
  if (found != outstanding_.end()) {
    const Outstanding outstanding = found->second;
    outstanding_.erase(found);
    FailExchange(now, outstanding);
  }
  return EndStep(now);
}

void Distributor::FailExchange(MonotonicTime now,
                               const Outstanding& outstanding) {
  ++counters_.exchanges_failed;
  needs_roles_ = true;
  if (partners_.Fail(now, outstanding.to, outstanding.sent_at) &&
      table_.Suspect(now, outstanding.to)) {
    ++counters_.suspicions;
  }
}

void Distributor::ExpireExchanges(MonotonicTime now) {
  // Identifiers grow with the time of sending.
  while (!outstanding_.empty()) {
    const auto oldest = outstanding_.begin();
    if (now - oldest->second.sent_at < options_.exchange_timeout) return;
    const Outstanding outstanding = oldest->second;
    outstanding_.erase(oldest);
    FailExchange(now, outstanding);
  }
}

std::size_t Distributor::MergeRecords(MonotonicTime now,
                                      const std::vector<MemberPointer>& records,
                                      std::size_t limit, bool spreads) {
  std::size_t changes = 0;
  const std::size_t used = std::min(records.size(), limit);
  counters_.input_rejected += records.size() - used;
  for (std::size_t i = 0; i < used; ++i) {
    switch (table_.Merge(now, records[i], spreads)) {
      case membership::MergeOutcome::kRejected:
        ++counters_.input_rejected;
        break;
      case membership::MergeOutcome::kRefuted:
        has_own_news_ = true;
        break;
      case membership::MergeOutcome::kAdded:
      case membership::MergeOutcome::kUpdated:
        ++changes;
        break;
      case membership::MergeOutcome::kKnown:
        break;
    }
  }
  return changes;
}

void Distributor::MergeDigest(MonotonicTime now, const Digest& digest) {
  const Member& sender = *digest.sender;
  MergeRecords(now, {digest.sender}, 1);
  MergeRecords(now, digest.deltas, kMaximumDeltas);
  if (sender.address == table_.own().address) return;
  const bool holds = is_valid(digest.held);
  if (!holds && digest.held.sequence != 0) {
    ++counters_.input_rejected;
    return;
  }
  if (table_.Find(sender.address) != nullptr) {
    peer_versions_[sender.address] =
        PeerVersions{digest.held.sequence, digest.committed, digest.table_hash};
  }
  if (options_.every_node_polls) return;
  if (holds) NoteOffer(now, digest.held, sender.address);
  if (!is_local(sender)) return;
  commit_counter_.Report(sender.address, sender.life, digest.held.sequence);
  if (digest.committed <= digest.held.sequence) {
    SetCommitted(digest.committed);
  } else {
    ++counters_.input_rejected;
  }
  const std::size_t reported = std::min<std::size_t>(
      digest.counted_members, options_.table.maximum_members);
  if (reported >= largest_members_ ||
      now - largest_members_at_ > kReportedMembersTime) {
    largest_members_ = reported;
    largest_members_at_ = now;
  }
}

void Distributor::UseReply(MonotonicTime now, MonotonicTime sent_at,
                           const Digest& digest) {
  const Member& sender = *digest.sender;
  if (!is_joined_) {
    is_joined_ = true;
    needs_roles_ = true;
  }
  partners_.Succeed(sender.address);
  freshness_.HearPeer(sent_at, sender.address);
  freshness_.HearDataCentre(sent_at, sender.data_centre);
  const std::size_t entries =
      std::min(digest.heard.size(), kMaximumHeardEntries);
  counters_.input_rejected += digest.heard.size() - entries;
  for (std::size_t i = 0; i < entries; ++i) {
    const HeardEntry& entry = digest.heard[i];
    const bool is_known = std::any_of(
        data_centres_.begin(), data_centres_.end(),
        [&](const auto& item) { return item.first == entry.data_centre; });
    if (!is_known) continue;
    freshness_.HearDataCentre(
        sent_at - FromMilliseconds(entry.age_milliseconds), entry.data_centre);
  }
  if (digest.confirmation.has_value() && !options_.every_node_polls) {
    const Confirmation& confirmation = *digest.confirmation;
    const MonotonicTime read_at =
        sent_at - FromMilliseconds(confirmation.age_milliseconds);
    freshness_.Confirm(read_at, confirmation.row_sequence,
                       confirmation.usable_sequence, active_.sequence);
    if (read_at > started_at_) {
      restart_rule_.Confirm(confirmation.row_sequence);
    }
  }
  if (digest.table_hash != table_.hash()) {
    differing_peer_ = sender.address;
  } else {
    table_.NoteEqualTable();
  }
  if (!is_local(sender)) return;
  if (!is_ready_ && sender.state == MemberState::kReady) {
    restart_rule_.Answer(sender.address, digest.held.sequence,
                         std::min<std::size_t>(digest.counted_members,
                                               options_.table.maximum_members));
  }
  const auto committed = commit_counter_.Verify(
      sender.address, sender.life, digest.held.sequence, sent_at,
      tracker_.held().sequence, LargestMembers(now));
  if (committed.has_value()) {
    ++counters_.commits_counted;
    SetCommitted(*committed);
  }
}

void Distributor::NoteOffer(MonotonicTime now, const Version& version,
                            std::string_view source) {
  if (tracker_.Offer(now, version, source) ==
      DocumentTracker::OfferOutcome::kConflict) {
    ++counters_.digest_conflicts;
  }
}

void Distributor::PushNews(MonotonicTime now) {
  const bool has_version_news = std::exchange(has_version_news_, false);
  const bool has_own_news = std::exchange(has_own_news_, false);
  if (!has_version_news && !has_own_news) return;
  if (!options_.push_on_news || options_.every_node_polls) return;
  std::vector<std::string> targets = partners_.all();
  for (const std::string& reader : readers_) {
    if (tracker_.held().sequence > committed_ &&
        std::find(targets.begin(), targets.end(), reader) == targets.end()) {
      targets.push_back(reader);
    }
  }
  for (const std::string& target : targets) {
    const auto known = peer_versions_.find(target);
    const MemberPointer member = table_.Find(target);
    const bool counts = member != nullptr && is_local(*member);
    const bool is_up_to_date =
        known != peer_versions_.end() &&
        known->second.held >= tracker_.held().sequence &&
        (!counts || known->second.committed >=
                        std::min(committed_, tracker_.held().sequence));
    const bool is_reader =
        std::find(readers_.begin(), readers_.end(), target) != readers_.end();
    const bool needs_report =
        is_reader && tracker_.held().sequence > committed_;
    if (has_own_news || needs_report || !is_up_to_date) {
      SendExchangeTo(now, target);
    }
  }
}

// ---- Versions ----

void Distributor::SetCommitted(std::uint64_t sequence) {
  if (sequence <= committed_) return;
  committed_ = sequence;
  has_version_news_ = true;
}

std::optional<Version> Distributor::NextActive() const {
  const bool all = !options_.commit_rule_enabled || options_.every_node_polls;
  return tracker_.BestUpTo(all ? std::numeric_limits<std::uint64_t>::max()
                               : committed_);
}

void Distributor::TryActivate(MonotonicTime now) {
  const std::optional<Version> next = NextActive();
  if (!next.has_value() || next->sequence <= active_.sequence) return;
  if (!is_ready_) {
    if (options_.restart_rule_enabled && !options_.every_node_polls) {
      // Without the member table N is unknown and no quorum can be counted.
      const std::size_t members = is_settled(now)
                                      ? LargestMembers(now)
                                      : std::numeric_limits<std::size_t>::max();
      const auto bound = restart_rule_.Bound(members);
      if (!bound.has_value() || next->sequence < *bound) return;
    }
    is_ready_ = true;
    has_own_news_ = true;
    if (table_.own().state == MemberState::kStarting) {
      table_.SetOwnState(now, MemberState::kReady);
    }
  }
  active_ = *next;
  tracker_.DropBelow(active_.sequence);
  freshness_.SetActive(active_.sequence);
  ++counters_.activations;
  effects_.emplace_back(Activate{active_});
}

std::size_t Distributor::LargestMembers(MonotonicTime now) const {
  const std::size_t own = table_.CountedMembers(table_.own().data_centre, now);
  if (now - largest_members_at_ > kReportedMembersTime) return own;
  return std::max(own, largest_members_);
}

void Distributor::CountHolders(MonotonicTime now) {
  if (!options_.commit_rule_enabled || options_.every_node_polls) return;
  const std::uint64_t held = tracker_.held().sequence;
  if (!is_reader_ || held <= committed_) return;
  if (!is_settled(now)) return;
  const std::size_t members = LargestMembers(now);
  if (!commit_counter_.Begin(now, held, committed_, members,
                             options_.verification_limit)) {
    return;
  }
  const auto committed = commit_counter_.Verify(
      table_.own().address, table_.own().life, 0, now, held, members);
  if (committed.has_value()) {  // the only member
    ++counters_.commits_counted;
    SetCommitted(*committed);
    return;
  }
  for (const std::string& address : commit_counter_.Questioned()) {
    const MemberPointer member = table_.Find(address);
    if (member != nullptr && member->state != MemberState::kDead &&
        member->state != MemberState::kLeft) {
      SendExchangeTo(now, address);
    }
  }
}

Effects Distributor::OnPlatformRead(MonotonicTime now, MonotonicTime started_at,
                                    const RowResult& result) {
  BeginStep(now);
  if (read_since_ == started_at) read_since_.reset();
  if (const auto* version = std::get_if<Version>(&result)) {
    const bool is_older =
        last_row_.has_value() && version->sequence < last_row_->sequence;
    if (!is_valid(*version)) {
      ++counters_.input_rejected;
      return EndStep(now);
    }
    if (is_older || version->sequence < active_.sequence) {
      ++counters_.older_sequences_refused;
      return EndStep(now);
    }
    last_row_ = *version;
  } else if (std::holds_alternative<RowAbsent>(result)) {
    return EndStep(now);
  } else if (std::holds_alternative<RowError>(result) ||
             !last_row_.has_value()) {
    ++counters_.platform_read_errors;
    return EndStep(now);
  }
  NoteOffer(now, *last_row_, {});
  const std::uint64_t sequence = last_row_->sequence;
  freshness_.Confirm(started_at, sequence, tracker_.UsableSequence(sequence),
                     active_.sequence);
  if (started_at >= started_at_) restart_rule_.Confirm(sequence);
  return EndStep(now);
}

Effects Distributor::OnDocument(MonotonicTime now, const Version& version,
                                std::string_view from,
                                DocumentOutcome outcome) {
  BeginStep(now);
  if (!is_valid(version)) {
    ++counters_.input_rejected;
    return EndStep(now);
  }
  const auto refuse = [&](std::uint64_t& counter, std::string_view reason) {
    ++counter;
    effects_.emplace_back(
        Refused{version, std::string(from), std::string(reason)});
  };
  switch (outcome) {
    case DocumentOutcome::kValid:
      break;
    case DocumentOutcome::kInvalid:
      refuse(counters_.documents_invalid, "document is invalid");
      break;
    case DocumentOutcome::kDamaged:
      refuse(counters_.documents_damaged, "document does not match its digest");
      break;
    case DocumentOutcome::kMissing:
      refuse(counters_.documents_missing, "document is missing");
      break;
    case DocumentOutcome::kUnavailable:
      ++counters_.documents_unavailable;
      break;
  }
  if (tracker_.Finish(now, version, from, outcome)) {
    has_version_news_ = true;
    report_delay_ = options_.report_interval;
    next_report_ = now + report_delay_;
  }
  return EndStep(now);
}

// ---- Own state ----

Effects Distributor::SetOwnBackend(MonotonicTime now,
                                   std::string_view backend_address,
                                   std::uint32_t slots,
                                   std::uint32_t connections) {
  BeginStep(now);
  table_.SetOwnBackend(now, backend_address, slots, connections);
  has_own_news_ = true;
  return EndStep(now);
}

Effects Distributor::SetOwnState(MonotonicTime now, MemberState state) {
  BeginStep(now);
  table_.SetOwnState(now, state);
  has_own_news_ = true;
  return EndStep(now);
}

// ---- Standing ----

Standing Distributor::standing(MonotonicTime now) const {
  if (!is_ready_) return Standing::kStarting;
  if (options_.pause_detection_enabled &&
      now - last_step_ > options_.pause_limit) {
    return Standing::kIsolated;
  }
  const auto confirmed_at = freshness_.confirmed_at();
  if (confirmed_at.has_value() &&
      now - *confirmed_at <= options_.confirmation_limit) {
    return Standing::kConfirmed;
  }
  if (!HearsHalfOfDataCentre(now)) return Standing::kIsolated;
  return HearsAllRegions(now) ? Standing::kPlatformDown : Standing::kRegionCut;
}

std::optional<Duration> Distributor::ConfirmationAge(MonotonicTime now) const {
  const auto confirmed_at = freshness_.confirmed_at();
  if (!confirmed_at.has_value()) return {};
  return now - *confirmed_at;
}

bool Distributor::HearsHalfOfDataCentre(MonotonicTime now) const {
  // The partners are a pseudo-random sample of the data centre; the table
  // shows what all monitors of the data centre have found.
  const auto heard = std::count_if(
      partners_.local().begin(), partners_.local().end(),
      [&](const std::string& address) {
        const auto at = freshness_.HeardPeerAt(address);
        return at.has_value() && now - *at <= options_.heard_limit;
      });
  if ((static_cast<std::size_t>(heard) + 1) * 2 <
      partners_.local().size() + 1) {
    return false;
  }
  const std::string& data_centre = table_.own().data_centre;
  return table_.AliveMembers(data_centre) * 2 >=
         table_.KnownMembers(data_centre);
}

bool Distributor::HearsAllRegions(MonotonicTime now) const {
  const std::string& own_region = table_.own().region;
  return std::all_of(
      data_centres_.begin(), data_centres_.end(), [&](const auto& wanted) {
        if (wanted.second == own_region) return true;
        return std::any_of(
            data_centres_.begin(), data_centres_.end(), [&](const auto& item) {
              if (item.second != wanted.second) return false;
              const auto at = freshness_.HeardDataCentreAt(item.first);
              return at.has_value() && now - *at <= options_.heard_limit;
            });
      });
}

std::vector<std::string> Distributor::UnreachableDataCentres(
    MonotonicTime now) const {
  std::vector<std::string> unreachable;
  for (const auto& [data_centre, region] : data_centres_) {
    if (data_centre == table_.own().data_centre) continue;
    const auto at = freshness_.HeardDataCentreAt(data_centre);
    if (!at.has_value() || now - *at > options_.heard_limit) {
      unreachable.push_back(data_centre);
    }
  }
  return unreachable;
}

}  // namespace oleandertide::distribution
