#include "membership/member_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/hash.h"

namespace oleandertide::membership {
namespace {

// Interval between searches for records to forget.
constexpr Duration kForgetInterval = std::chrono::seconds(60);

bool is_gone(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeft;
}

std::size_t BucketOf(std::string_view address) {
  return Hash64(address) % kBuckets;
}

std::uint64_t RingPosition(std::string_view address, std::uint64_t ring) {
  // The offset keeps ring positions independent of the bucket hash.
  return Hash64(address, ring + 1);
}

}  // namespace

MemberTable::MemberTable(Member own, TableOptions options)
    : options_(options), own_(std::make_shared<const Member>(std::move(own))) {
  Store(MonotonicTime(), own_, false);
}

void MemberTable::SetOwnState(MonotonicTime now, MemberState state) {
  if (own_->state == state) return;
  Member changed = *own_;
  changed.state = state;
  ++changed.incarnation;
  ReplaceOwn(now, std::move(changed));
}

void MemberTable::SetOwnBackend(MonotonicTime now,
                                std::string_view backend_address,
                                std::uint32_t slots,
                                std::uint32_t connections) {
  if (own_->backend_address == backend_address && own_->slots == slots &&
      own_->connections == connections) {
    return;
  }
  Member changed = *own_;
  changed.backend_address = backend_address;
  changed.slots = slots;
  changed.connections = connections;
  ++changed.incarnation;
  ReplaceOwn(now, std::move(changed));
}

void MemberTable::ReplaceOwn(MonotonicTime now, Member own) {
  own_ = std::make_shared<const Member>(std::move(own));
  Store(now, own_, false);
}

MergeOutcome MemberTable::Merge(MonotonicTime now,
                                const MemberPointer& record) {
  if (record == nullptr) return MergeOutcome::kRejected;
  if (record->address == own_->address) {
    if (record == own_) return MergeOutcome::kKnown;
    if (!is_valid(*record)) return MergeOutcome::kRejected;
    return MergeOwn(now, *record);
  }
  const auto found = entries_.find(record->address);
  if (found != entries_.end() && found->second.member == record) {
    return MergeOutcome::kKnown;
  }
  if (!is_valid(*record)) return MergeOutcome::kRejected;
  if (found == entries_.end()) {
    if (entries_.size() >= options_.maximum_members) {
      return MergeOutcome::kRejected;
    }
    Store(now, record, false);
    return MergeOutcome::kAdded;
  }
  if (!is_newer(*record, *found->second.member)) return MergeOutcome::kKnown;
  Store(now, record, false);
  return MergeOutcome::kUpdated;
}

MergeOutcome MemberTable::MergeOwn(MonotonicTime now, const Member& record) {
  const bool same_life = record.life == own_->life;
  if (same_life && !is_newer(record, *own_)) return MergeOutcome::kKnown;
  if (!same_life && record.incarnation < own_->incarnation) {
    return MergeOutcome::kKnown;
  }
  Member changed = *own_;
  changed.incarnation = std::max(record.incarnation, own_->incarnation) + 1;
  ReplaceOwn(now, std::move(changed));
  ++refutations_;
  return MergeOutcome::kRefuted;
}

bool MemberTable::Suspect(MonotonicTime now, std::string_view address) {
  if (address == own_->address) return false;
  const auto found = entries_.find(address);
  if (found == entries_.end()) return false;
  if (found->second.member->state == MemberState::kSuspect) {
    found->second.own_suspicion = true;
    return false;
  }
  if (!is_alive(*found->second.member)) return false;
  Member changed = *found->second.member;
  changed.state = MemberState::kSuspect;
  Store(now, std::make_shared<const Member>(std::move(changed)), true);
  return true;
}

void MemberTable::Tick(MonotonicTime now) {
  if (suspects_ > 0) {
    std::vector<MemberPointer> expired;
    for (const auto& [address, entry] : entries_) {
      if (entry.member->state != MemberState::kSuspect) continue;
      const Duration limit = entry.own_suspicion
                                 ? options_.suspicion_time
                                 : options_.remote_suspicion_time;
      if (now - entry.since >= limit) expired.push_back(entry.member);
    }
    for (const MemberPointer& member : expired) {
      Member changed = *member;
      changed.state = MemberState::kDead;
      Store(now, std::make_shared<const Member>(std::move(changed)), false);
      ++deaths_declared_;
    }
  }
  if (now < next_forget_) return;
  next_forget_ = now + kForgetInterval;
  std::vector<std::string> forgotten;
  for (const auto& [address, entry] : entries_) {
    if (is_gone(entry.member->state) && entry.member != own_ &&
        now - entry.since >= options_.dead_retention) {
      forgotten.push_back(address);
    }
  }
  for (const std::string& address : forgotten) {
    entries_.erase(address);
    ++change_count_;
  }
}

void MemberTable::ForgetDataCentre(std::string_view data_centre) {
  if (data_centre == own_->data_centre) return;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->second.member->data_centre != data_centre) {
      ++entry;
      continue;
    }
    ToggleHash(entry->second);
    if (entry->second.member->state == MemberState::kSuspect) --suspects_;
    entry = entries_.erase(entry);
    ++change_count_;
    ++liveness_count_;
  }
}

void MemberTable::Store(MonotonicTime now, MemberPointer member,
                        bool own_suspicion) {
  Entry& entry = entries_[member->address];
  const bool was_usable = entry.member != nullptr && is_alive(*entry.member);
  const MemberState old_state =
      entry.member != nullptr ? entry.member->state : MemberState::kLeft;
  if (entry.member != nullptr) ToggleHash(entry);
  if (old_state == MemberState::kSuspect) --suspects_;
  if (member->state == MemberState::kSuspect) ++suspects_;
  if (entry.member == nullptr || old_state != member->state) entry.since = now;
  entry.own_suspicion = own_suspicion;
  entry.member = std::move(member);
  entry.hash = RecordHash(*entry.member);
  ToggleHash(entry);
  if (was_usable != is_alive(*entry.member) ||
      old_state != entry.member->state) {
    ++liveness_count_;
  }
  ++change_count_;
  Queue(entry.member->address);
}

void MemberTable::ToggleHash(const Entry& entry) {
  if (is_gone(entry.member->state)) return;
  hash_ ^= entry.hash;
  bucket_hashes_[BucketOf(entry.member->address)] ^=
      static_cast<std::uint32_t>(entry.hash);
}

int MemberTable::TransmissionsPerChange() const {
  return static_cast<int>(
      std::ceil(options_.transmission_factor *
                std::log2(static_cast<double>(entries_.size()) + 1.0)));
}

void MemberTable::Queue(const std::string& address) {
  const int transmissions = TransmissionsPerChange();
  if (queued_.insert(address).second) {
    queue_.push_front(Queued{address, transmissions});
    return;
  }
  // Only the latest record of an address is transmitted; its count restarts.
  for (Queued& queued : queue_) {
    if (queued.address == address) {
      queued.remaining = transmissions;
      return;
    }
  }
}

std::vector<MemberPointer> MemberTable::TakeDeltas(std::size_t limit,
                                                   std::string_view target) {
  std::vector<MemberPointer> deltas;
  const std::size_t considered = std::min(queue_.size(), limit);
  for (std::size_t i = 0; i < considered; ++i) {
    Queued queued = std::move(queue_.front());
    queue_.pop_front();
    const auto found = entries_.find(queued.address);
    const bool is_target = queued.address == target;
    if (found != entries_.end() &&
        (!is_target || !is_alive(*found->second.member))) {
      deltas.push_back(found->second.member);
    }
    --queued.remaining;
    if (found == entries_.end() || queued.remaining <= 0) {
      queued_.erase(queued.address);
    } else {
      queue_.push_back(std::move(queued));
    }
  }
  return deltas;
}

TablePart MemberTable::DifferingPart(const BucketHashes& theirs,
                                     std::size_t first_bucket,
                                     std::size_t limit) const {
  std::array<std::vector<MemberPointer>, kBuckets> differing;
  for (const auto& [address, entry] : entries_) {
    const std::size_t bucket = BucketOf(address);
    if (bucket < first_bucket || theirs[bucket] == bucket_hashes_[bucket]) {
      continue;
    }
    differing[bucket].push_back(entry.member);
  }
  TablePart part;
  std::size_t bucket = first_bucket;
  for (; bucket < kBuckets; ++bucket) {
    const auto& records = differing[bucket];
    if (!part.records.empty() && part.records.size() + records.size() > limit) {
      break;
    }
    part.records.insert(part.records.end(), records.begin(), records.end());
  }
  part.next_bucket = bucket;
  return part;
}

MemberPointer MemberTable::Find(std::string_view address) const {
  const auto found = entries_.find(address);
  return found == entries_.end() ? nullptr : found->second.member;
}

std::size_t MemberTable::CountedMembers(std::string_view data_centre,
                                        MonotonicTime now) const {
  std::size_t count = 0;
  for (const auto& [address, entry] : entries_) {
    const Member& member = *entry.member;
    if (member.data_centre != data_centre) continue;
    const bool counted = member.state == MemberState::kDead
                             ? now - entry.since < options_.dead_counted_time
                             : member.state != MemberState::kLeft;
    if (counted) ++count;
  }
  return count;
}

std::size_t MemberTable::AliveMembers(std::string_view data_centre) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        return item.second.member->data_centre == data_centre &&
               is_alive(*item.second.member);
      }));
}

std::size_t MemberTable::KnownMembers(std::string_view data_centre) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        return item.second.member->data_centre == data_centre &&
               item.second.member->state != MemberState::kLeft;
      }));
}

std::vector<std::pair<std::string, std::string>> MemberTable::DataCentres()
    const {
  std::vector<std::pair<std::string, std::string>> found;
  for (const auto& [address, entry] : entries_) {
    const Member& member = *entry.member;
    if (is_gone(member.state)) continue;
    const bool known = std::any_of(
        found.begin(), found.end(),
        [&](const auto& item) { return item.first == member.data_centre; });
    if (!known) found.emplace_back(member.data_centre, member.region);
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::vector<std::string> MemberTable::Successors(std::uint64_t ring,
                                                 std::size_t count) const {
  const std::uint64_t own_position = RingPosition(own_->address, ring);
  std::vector<std::pair<std::uint64_t, const std::string*>> best;
  for (const auto& [address, entry] : entries_) {
    const Member& member = *entry.member;
    if (is_gone(member.state) || entry.member == own_ ||
        member.data_centre != own_->data_centre) {
      continue;
    }
    const std::uint64_t distance = RingPosition(address, ring) - own_position;
    if (best.size() == count && distance >= best.back().first) continue;
    const auto place = std::upper_bound(
        best.begin(), best.end(), distance,
        [](std::uint64_t key, const auto& item) { return key < item.first; });
    best.insert(place, {distance, &address});
    if (best.size() > count) best.pop_back();
  }
  std::vector<std::string> addresses;
  addresses.reserve(best.size());
  for (const auto& [distance, address] : best) addresses.push_back(*address);
  return addresses;
}

std::vector<std::string> MemberTable::ReadersOf(std::string_view data_centre,
                                                std::size_t count) const {
  const auto can_read = [&](const Member& member) {
    return member.data_centre == data_centre &&
           (member.state == MemberState::kStarting ||
            member.state == MemberState::kReady);
  };
  std::vector<std::string> addresses;
  for (const MemberPointer& member :
       RankByRendezvous(data_centre, can_read, count)) {
    addresses.push_back(member->address);
  }
  return addresses;
}

std::vector<MemberPointer> MemberTable::RankByRendezvous(
    std::string_view key, const MemberFilter& filter, std::size_t count) const {
  RendezvousRank rank(key, count);
  for (const auto& [address, entry] : entries_) {
    if (filter(*entry.member)) rank.Offer(entry.member);
  }
  return rank.Take();
}

MemberPointer MemberTable::RandomMember(RandomSource& random,
                                        const MemberFilter& filter) const {
  // The iteration order of the table is not reproducible, so the choice is
  // made by rank for a random key.
  const std::string key = std::to_string(random.Next());
  const auto chosen = RankByRendezvous(
      key,
      [&](const Member& member) {
        return member.address != own_->address && filter(member);
      },
      1);
  return chosen.empty() ? nullptr : chosen.front();
}

std::shared_ptr<const MemberView> MemberTable::view() const {
  if (view_ == nullptr || view_change_count_ != change_count_) {
    std::vector<MemberPointer> members;
    members.reserve(entries_.size());
    for (const auto& [address, entry] : entries_) {
      members.push_back(entry.member);
    }
    view_ = std::make_shared<const MemberView>(own_, std::move(members));
    view_change_count_ = change_count_;
  }
  return view_;
}

}  // namespace oleandertide::membership
