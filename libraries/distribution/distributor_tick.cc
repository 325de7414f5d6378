// Periodic work of the distributor.

#include <algorithm>
#include <span>
#include <utility>

#include "distribution/distributor.h"

namespace oleandertide::distribution {
namespace {

using membership::Member;
using membership::MemberPointer;
using membership::MemberState;

// Below this table size derived roles follow each change at once; above it
// changes are collected, because each refresh reads the whole table.
constexpr std::size_t kSmallTable = 64;
constexpr Duration kRolesInterval = std::chrono::milliseconds(500);
constexpr Duration kRolesRefresh = std::chrono::seconds(5);

// Members that join later change N by few at a time, which needs no delay.
constexpr Duration kLongestSettling = std::chrono::seconds(30);
constexpr Duration kLongestReportDelay = std::chrono::seconds(2);
// A part with at least this many changes shows that the tables differ much.
constexpr std::size_t kManyChanges = 8;
constexpr Duration kSyncTimeout = std::chrono::milliseconds(800);
constexpr Duration kUnreachableInterval = std::chrono::seconds(60);
// Unknown addresses of one contacts row that are tried.
constexpr std::size_t kMaximumContacts = 16;

// Returns `interval` changed by up to a tenth, so that nodes that started
// together do not act together.
Duration WithJitter(RandomSource& random, Duration interval) {
  const Duration tenth = interval / 10;
  return interval + random.Between(-tenth, tenth);
}

}  // namespace

bool Distributor::may_read(MonotonicTime now) const {
  return (is_joined_ && has_table_) || now >= alone_at_;
}

bool Distributor::is_settled(MonotonicTime now) const {
  const Duration running = now - started_at_;
  if (running < options_.settling_time) return false;
  if (!has_table_) {
    // Others may exist that this node cannot reach. Like dead members, they
    // count for a limited time.
    const bool is_first = has_read_contacts_ && known_contacts_.empty() &&
                          !has_configured_contacts();
    return is_first || running >= options_.table.dead_counted_time;
  }
  return now - members_grew_at_ >= options_.settling_time ||
         now - started_at_ >= kLongestSettling;
}

bool Distributor::has_configured_contacts() const {
  return std::any_of(options_.contacts.begin(), options_.contacts.end(),
                     [&](const std::string& address) {
                       return address != table_.own().address;
                     });
}

void Distributor::RefreshRoles(MonotonicTime now) {
  const bool is_small = table_.size() < kSmallTable;
  const std::size_t members =
      table_.CountedMembers(table_.own().data_centre, now);
  if (members > members_) members_grew_at_ = now;
  members_ = members;
  const bool changed =
      needs_roles_ || table_.liveness_count() != roles_liveness_;
  const Duration since = now - roles_at_;
  if (changed ? !is_small && since < kRolesInterval : since < kRolesRefresh) {
    return;
  }
  needs_roles_ = false;
  roles_liveness_ = table_.liveness_count();
  roles_at_ = now;
  const std::string& own_data_centre = table_.own().data_centre;
  readers_ =
      table_.ReadersOf(own_data_centre, options_.readers_per_data_centre);
  is_reader_ = std::find(readers_.begin(), readers_.end(),
                         table_.own().address) != readers_.end();
  data_centres_ = table_.DataCentres();
  partners_.Refresh(now, table_, random_);
}

// Nodes that start at the same time may join each other in separate groups,
// for example one for each data centre. The contacts in the settings are the
// only addresses that lead from one group to another.
void Distributor::SeekMissingContact(MonotonicTime now) {
  for (std::size_t i = 0; i < options_.contacts.size(); ++i) {
    const std::string& address =
        options_.contacts[next_contact_++ % options_.contacts.size()];
    if (address == table_.own().address) continue;
    const MemberPointer member = table_.Find(address);
    if (member != nullptr && is_alive(*member)) continue;
    SendExchangeTo(now, address);
    return;
  }
}

void Distributor::TickJoin(MonotonicTime now) {
  const bool is_alone = partners_.all().empty();
  if (now < next_join_) return;
  if (is_joined_ && !is_alone) {
    next_join_ = now + WithJitter(random_, options_.contacts_interval);
    SeekMissingContact(now);
    return;
  }
  next_join_ = now + random_.Between(join_delay_ / 2, join_delay_);
  join_delay_ = std::min(join_delay_ * 2, options_.longest_retry_delay);
  std::vector<std::string> contacts = options_.contacts;
  contacts.insert(contacts.end(), known_contacts_.begin(),
                  known_contacts_.end());
  if (!contacts.empty()) {
    SendExchangeTo(now, contacts[next_contact_++ % contacts.size()]);
  }
  // The row is read only when the settings have no contact that answers.
  const bool was_tried = join_delay_ > 4 * options_.first_retry_delay;
  if (options_.contacts.empty() || was_tried) {
    ++counters_.contacts_reads;
    effects_.emplace_back(ReadContacts{table_.own().data_centre});
  }
}

void Distributor::TickPartners(MonotonicTime now) {
  for (const std::string& address : partners_.DueMonitored(now)) {
    SendExchangeTo(now, address);
  }
  if (now >= next_gossip_) {
    next_gossip_ = now + WithJitter(random_, options_.gossip_interval);
    const std::string partner = partners_.NextGossip();
    if (!partner.empty()) SendExchangeTo(now, partner);
  }
  if (now < next_probe_) return;
  next_probe_ = now + WithJitter(random_, options_.dead_probe_interval);
  const MemberPointer dead = table_.RandomMember(
      random_,
      [](const Member& member) { return member.state == MemberState::kDead; });
  if (dead != nullptr) SendExchangeTo(now, dead->address);
}

void Distributor::TickReads(MonotonicTime now) {
  const bool reads = options_.every_node_polls || (is_reader_ && may_read(now));
  if (!reads || now < next_read_) return;
  if (read_since_.has_value() && now - *read_since_ < options_.read_timeout) {
    return;
  }
  next_read_ = now + WithJitter(random_, options_.read_interval);
  read_since_ = now;
  ++counters_.platform_reads;
  effects_.emplace_back(
      ReadEnvironmentRow{last_row_.has_value() ? last_row_->sequence : 0, now});
}

void Distributor::TickContacts(MonotonicTime now) {
  const bool is_first_reader =
      !readers_.empty() && readers_.front() == table_.own().address;
  if (!is_first_reader || !may_read(now) || now < next_contacts_) return;
  next_contacts_ = now + WithJitter(random_, options_.contacts_interval);
  const std::size_t rows = options_.other_data_centres.size() + 1;
  const std::size_t row = next_contacts_row_++ % rows;
  ++counters_.contacts_reads;
  effects_.emplace_back(
      ReadContacts{row == 0 ? table_.own().data_centre
                            : options_.other_data_centres[row - 1]});
}

std::vector<std::string> Distributor::DesiredContacts() const {
  return table_.ReadersOf(table_.own().data_centre, options_.contacts_written);
}

Effects Distributor::OnContactsRead(MonotonicTime now,
                                    std::string_view data_centre,
                                    const std::vector<std::string>& addresses) {
  BeginStep(now);
  has_read_contacts_ = true;
  known_contacts_.clear();
  const bool joins = !is_joined_ || partners_.all().empty();
  for (const std::string& address : addresses) {
    if (address.empty() || address.size() > membership::kMaximumStringBytes ||
        known_contacts_.size() >= kMaximumContacts) {
      ++counters_.input_rejected;
      continue;
    }
    if (address == table_.own().address) continue;
    known_contacts_.push_back(address);
    const MemberPointer member = table_.Find(address);
    if (!joins && (member == nullptr || !is_alive(*member))) {
      SendExchangeTo(now, address);
    }
  }
  if (joins && !known_contacts_.empty()) {
    SendExchangeTo(now, known_contacts_[random_.Below(known_contacts_.size())]);
  }
  const bool is_first_reader =
      !readers_.empty() && readers_.front() == table_.own().address;
  if (is_first_reader && may_read(now) &&
      data_centre == table_.own().data_centre) {
    const std::vector<std::string> desired = DesiredContacts();
    if (desired != addresses) {
      ++counters_.contacts_writes;
      effects_.emplace_back(WriteContacts{table_.own().data_centre, desired});
    }
  }
  return EndStep(now);
}

void Distributor::TickReports(MonotonicTime now) {
  if (!options_.commit_rule_enabled || !options_.repair_enabled ||
      options_.every_node_polls || tracker_.held().sequence <= committed_ ||
      now < next_report_) {
    return;
  }
  report_delay_ = std::min(report_delay_ * 2, kLongestReportDelay);
  next_report_ = now + WithJitter(random_, report_delay_);
  for (const std::string& reader : readers_) SendExchangeTo(now, reader);
}

void Distributor::TickQuorum(MonotonicTime now) {
  if (is_ready_ || !is_joined_ || now < next_quorum_query_) return;
  next_quorum_query_ = now + options_.report_interval;
  // A reader has the youngest confirmation.
  for (const std::string& reader : readers_) SendExchangeTo(now, reader);
  if (restart_rule_.is_confirmed() || !has_table_ ||
      now - started_at_ < options_.quorum_delay) {
    return;
  }
  const auto is_wanted = [&](const Member& member) {
    return member.state == MemberState::kReady && is_local(member) &&
           !restart_rule_.has_answer_of(member.address);
  };
  for (const MemberPointer& member :
       table_.RankByRendezvous(std::to_string(random_.Next()), is_wanted,
                               options_.quorum_queries_per_round)) {
    SendExchangeTo(now, member->address);
  }
}

// ---- Full synchronisation ----

std::string Distributor::ChooseSyncPeer() {
  // A random member spreads the load when many nodes join through the same
  // contacts.
  const MemberPointer member = table_.RandomMember(
      random_, [](const Member& candidate) { return is_alive(candidate); });
  return member == nullptr ? std::string() : member->address;
}

void Distributor::BeginSynchronisation(MonotonicTime now, std::uint32_t bucket,
                                       const std::string& peer) {
  if (peer.empty()) return;
  synchronisation_ = Synchronisation{bucket, peer, now};
  ++counters_.synchronisations;
  SyncRequest request;
  request.sender = table_.own_pointer();
  request.first_bucket = bucket;
  request.hashes = table_.bucket_hashes();
  request.known = table_.ShortHashes(bucket, options_.known_hashes_per_request);
  effects_.emplace_back(SendSyncRequest{peer, std::move(request)});
}

void Distributor::TickSynchronisation(MonotonicTime now) {
  if (synchronisation_.has_value()) {
    if (now - synchronisation_->sent_at < kSyncTimeout) return;
    const std::uint32_t bucket = synchronisation_->next_bucket;
    synchronisation_.reset();
    if (!has_table_) BeginSynchronisation(now, bucket, ChooseSyncPeer());
    return;
  }
  if (!has_table_) {
    if (is_joined_) BeginSynchronisation(now, 0, ChooseSyncPeer());
    return;
  }
  if (!options_.repair_enabled || differing_peer_.empty() ||
      now < next_synchronisation_) {
    return;
  }
  next_synchronisation_ =
      now + WithJitter(random_, options_.synchronisation_interval);
  BeginSynchronisation(now, repair_bucket_, std::exchange(differing_peer_, {}));
}

SyncReply Distributor::OnSyncRequest(const SyncRequest& request) const {
  const std::span<const std::uint32_t> known(
      request.known.data(),
      std::min(request.known.size(), kMaximumKnownHashes));
  const membership::TablePart part = table_.DifferingPart(
      request.hashes, request.first_bucket, known, options_.records_per_part);
  return SyncReply{part.records, static_cast<std::uint32_t>(part.next_bucket)};
}

Effects Distributor::OnSyncReply(MonotonicTime now, std::string_view from,
                                 const SyncReply& reply) {
  BeginStep(now);
  const std::size_t changes =
      MergeRecords(now, reply.records, kMaximumPartRecords, false);
  if (!synchronisation_.has_value() || synchronisation_->peer != from) {
    return EndStep(now);
  }
  const std::uint32_t bucket = synchronisation_->next_bucket;
  synchronisation_.reset();
  const bool is_last =
      reply.next_bucket >= membership::kBuckets || reply.next_bucket <= bucket;
  if (!has_table_) {
    if (is_last) {
      has_table_ = true;
      // The peers may have had incomplete tables themselves.
      next_synchronisation_ =
          now + WithJitter(random_, options_.fast_synchronisation_interval);
      needs_roles_ = true;
    } else {
      BeginSynchronisation(now, reply.next_bucket, ChooseSyncPeer());
    }
  } else {
    // One part per interval bounds the bytes while many records change.
    repair_bucket_ = is_last ? 0 : reply.next_bucket;
    if (changes >= kManyChanges || (!is_last && changes > 0)) {
      next_synchronisation_ =
          now + WithJitter(random_, options_.fast_synchronisation_interval);
      differing_peer_ = ChooseSyncPeer();
    }
  }
  return EndStep(now);
}

Effects Distributor::OnSyncFailed(MonotonicTime now, std::string_view from) {
  BeginStep(now);
  if (synchronisation_.has_value() && synchronisation_->peer == from) {
    // The next tick continues with another peer.
    synchronisation_->sent_at = now - kSyncTimeout;
  }
  return EndStep(now);
}

void Distributor::TickUnreachable(MonotonicTime now) {
  if (now < next_unreachable_) return;
  next_unreachable_ = now + kUnreachableInterval;
  for (const auto& [data_centre, region] : data_centres_) {
    if (data_centre == table_.own().data_centre) continue;
    const MonotonicTime heard =
        freshness_.HeardDataCentreAt(data_centre).value_or(started_at_);
    if (now - heard >= options_.table.dead_retention) {
      table_.ForgetDataCentre(data_centre);
    }
  }
}

}  // namespace oleandertide::distribution
