#include "membership/member_table.h"

#include <absl/container/flat_hash_set.h>

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

std::uint64_t KeyOf(std::string_view address) { return Hash64(address); }

// The highest bits, so that a bucket is a range of keys.
std::size_t BucketOf(std::uint64_t key) {
  return static_cast<std::size_t>(key / (~std::uint64_t{0} / kBuckets + 1));
}

std::uint64_t FirstKeyOf(std::size_t bucket) {
  return bucket * (~std::uint64_t{0} / kBuckets + 1);
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

MergeOutcome MemberTable::Merge(MonotonicTime now, const MemberPointer& record,
                                bool spreads) {
  if (record == nullptr) return MergeOutcome::kRejected;
  if (record == own_) return MergeOutcome::kKnown;
  const auto found = entries_.find(KeyOf(record->address));
  if (found != entries_.end() && *found->second.member == *record) {
    if (spreads) NoteKnown(found->second);
    return MergeOutcome::kKnown;
  }
  if (!is_valid(*record)) return MergeOutcome::kRejected;
  if (record->address == own_->address) return MergeOwn(now, *record);
  if (found == entries_.end()) {
    if (entries_.size() >= options_.maximum_members) {
      return MergeOutcome::kRejected;
    }
    Store(now, record, false, spreads);
    return MergeOutcome::kAdded;
  }
  const Member& stored = *found->second.member;
  // Two addresses with one hash; the first keeps the entry.
  if (stored.address != record->address) return MergeOutcome::kRejected;
  if (!is_newer(*record, stored)) return MergeOutcome::kKnown;
  Store(now, record, false, spreads);
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
  const auto found = entries_.find(KeyOf(address));
  if (found == entries_.end() || found->second.member == own_) return false;
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
  while (!recent_deaths_.empty() &&
         now - recent_deaths_.front().at >= options_.dead_counted_time) {
    recent_deaths_.pop_front();
  }
  if (suspects_ > 0) {
    std::vector<MemberPointer> expired;
    for (const auto& [key, entry] : entries_) {
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
  std::vector<std::uint64_t> forgotten;
  for (const auto& [key, entry] : entries_) {
    if (is_gone(entry.member->state) && entry.member != own_ &&
        now - entry.since >= options_.dead_retention) {
      forgotten.push_back(key);
    }
  }
  for (const std::uint64_t key : forgotten) Remove(key);
}

void MemberTable::ForgetDataCentre(std::string_view data_centre) {
  if (data_centre == own_->data_centre) return;
  std::vector<std::uint64_t> forgotten;
  for (const auto& [key, entry] : entries_) {
    if (entry.member->data_centre == data_centre) forgotten.push_back(key);
  }
  for (const std::uint64_t key : forgotten) Remove(key);
}

void MemberTable::Remove(std::uint64_t key) {
  const auto found = entries_.find(key);
  ToggleHash(found->second);
  Count(*found->second.member, -1);
  if (found->second.member->state == MemberState::kSuspect) --suspects_;
  entries_.erase(found);
  ++change_count_;
  ++liveness_count_;
}

void MemberTable::Store(MonotonicTime now, MemberPointer member,
                        bool own_suspicion, bool spreads) {
  const std::uint64_t key = KeyOf(member->address);
  Entry& entry = entries_[key];
  const bool is_new = entry.member == nullptr;
  const bool changes_state = is_new || entry.member->state != member->state;
  if (!is_new) {
    ToggleHash(entry);
    Count(*entry.member, -1);
    if (entry.member->state == MemberState::kSuspect) --suspects_;
  }
  entry.data_centre = Count(*member, 1);
  if (member->state == MemberState::kSuspect) ++suspects_;
  if (changes_state) {
    entry.since = now;
    ++liveness_count_;
    if (member->state == MemberState::kDead) {
      recent_deaths_.push_back(Death{now, key});
    }
  }
  entry.own_suspicion = own_suspicion;
  entry.member = std::move(member);
  entry.hash = RecordHash(*entry.member);
  ToggleHash(entry);
  ++change_count_;
  if (spreads) Queue(key, entry);
}

const MemberTable::DataCentreCount* MemberTable::Count(const Member& member,
                                                       std::ptrdiff_t change) {
  auto& count = data_centres_[member.data_centre];
  if (count.region.empty()) count.region = member.region;
  const auto add = [change](std::size_t& value) {
    value =
        static_cast<std::size_t>(static_cast<std::ptrdiff_t>(value) + change);
  };
  if (is_alive(member)) add(count.alive);
  if (!is_gone(member.state)) add(count.present);
  if (member.state != MemberState::kLeft) add(count.known);
  return &count;
}

void MemberTable::ToggleHash(const Entry& entry) {
  if (is_gone(entry.member->state)) return;
  hash_ ^= entry.hash;
  bucket_hashes_[BucketOf(KeyOf(entry.member->address))] ^=
      static_cast<std::uint32_t>(entry.hash);
}

int MemberTable::TransmissionsPerChange() const {
  return static_cast<int>(
      std::ceil(options_.transmission_factor *
                std::log2(static_cast<double>(entries_.size()) + 1.0)));
}

void MemberTable::NoteKnown(Entry& entry) const {
  // A change that comes back is known to others already.
  constexpr std::uint64_t kTransmissionsSaved = 3;
  entry.transmissions_end -=
      std::min(entry.transmissions_end, kTransmissionsSaved);
}

void MemberTable::Queue(std::uint64_t key, Entry& entry) {
  // Transmissions are counted down against equal_tables_, so that one equal
  // table counts for all queued changes. Only the latest record of a member is
  // transmitted; its count restarts.
  entry.transmissions_end =
      equal_tables_ + static_cast<std::uint64_t>(TransmissionsPerChange());
  if (entry.is_queued) return;
  entry.is_queued = true;
  queue_.push_front(key);
}

std::vector<MemberPointer> MemberTable::TakeDeltas(std::size_t limit,
                                                   std::string_view target) {
  std::vector<MemberPointer> deltas;
  for (std::size_t i = queue_.size(); i > 0 && deltas.size() < limit; --i) {
    const std::uint64_t key = queue_.front();
    queue_.pop_front();
    const auto found = entries_.find(key);
    if (found == entries_.end()) continue;
    Entry& entry = found->second;
    if (entry.transmissions_end <= equal_tables_) {
      entry.is_queued = false;
      continue;
    }
    --entry.transmissions_end;
    queue_.push_back(key);
    const bool is_target = entry.member->address == target;
    if (!is_target || !is_alive(*entry.member)) deltas.push_back(entry.member);
  }
  return deltas;
}

TablePart MemberTable::DifferingPart(const BucketHashes& theirs,
                                     std::size_t first_bucket,
                                     std::span<const std::uint32_t> known,
                                     std::size_t limit) const {
  const absl::flat_hash_set<std::uint32_t> known_set(known.begin(),
                                                     known.end());
  TablePart part;
  std::vector<MemberPointer> records;
  std::size_t bucket = first_bucket;
  for (; bucket < kBuckets; ++bucket) {
    if (theirs[bucket] == bucket_hashes_[bucket]) continue;
    const auto begin = entries_.lower_bound(FirstKeyOf(bucket));
    const auto end = bucket + 1 == kBuckets
                         ? entries_.end()
                         : entries_.lower_bound(FirstKeyOf(bucket + 1));
    records.clear();
    for (auto entry = begin; entry != end; ++entry) {
      const auto hash = static_cast<std::uint32_t>(entry->second.hash);
      if (!known_set.contains(hash)) records.push_back(entry->second.member);
    }
    if (!part.records.empty() && part.records.size() + records.size() > limit) {
      break;
    }
    part.records.insert(part.records.end(), records.begin(), records.end());
  }
  part.next_bucket = bucket;
  return part;
}

std::vector<std::uint32_t> MemberTable::ShortHashes(std::size_t first_bucket,
                                                    std::size_t limit) const {
  std::vector<std::uint32_t> hashes;
  for (auto entry = entries_.lower_bound(FirstKeyOf(first_bucket));
       entry != entries_.end() && hashes.size() < limit; ++entry) {
    hashes.push_back(static_cast<std::uint32_t>(entry->second.hash));
  }
  return hashes;
}

MemberPointer MemberTable::Find(std::string_view address) const {
  const auto found = entries_.find(KeyOf(address));
  if (found == entries_.end() || found->second.member->address != address) {
    return nullptr;
  }
  return found->second.member;
}

std::size_t MemberTable::CountedMembers(std::string_view data_centre,
                                        MonotonicTime now) const {
  const auto count = data_centres_.find(data_centre);
  if (count == data_centres_.end()) return 0;
  std::size_t counted = count->second.present;
  for (const Death& death : recent_deaths_) {
    if (now - death.at >= options_.dead_counted_time) continue;
    const auto found = entries_.find(death.key);
    // A later death of the same member has its own item.
    if (found != entries_.end() && found->second.since == death.at &&
        found->second.member->state == MemberState::kDead &&
        found->second.member->data_centre == data_centre) {
      ++counted;
    }
  }
  return counted;
}

std::size_t MemberTable::AliveMembers(std::string_view data_centre) const {
  const auto count = data_centres_.find(data_centre);
  return count == data_centres_.end() ? 0 : count->second.alive;
}

std::size_t MemberTable::KnownMembers(std::string_view data_centre) const {
  const auto count = data_centres_.find(data_centre);
  return count == data_centres_.end() ? 0 : count->second.known;
}

std::vector<std::pair<std::string, std::string>> MemberTable::DataCentres()
    const {
  std::vector<std::pair<std::string, std::string>> found;
  for (const auto& [data_centre, count] : data_centres_) {
    if (count.present > 0) found.emplace_back(data_centre, count.region);
  }
  return found;
}

std::vector<std::string> MemberTable::Successors(std::size_t count) const {
  return AfterPoint(
      KeyOf(own_->address), own_->data_centre,
      [](const Member& member) { return !is_gone(member.state); }, count);
}

std::vector<std::string> MemberTable::RingPartners(std::string_view data_centre,
                                                   std::uint64_t number,
                                                   const MemberFilter& filter,
                                                   std::size_t count) const {
  const std::uint64_t point = CombineHashes(
      KeyOf(own_->address), CombineHashes(Hash64(data_centre), number));
  return AfterPoint(point, data_centre, filter, count);
}

std::vector<std::string> MemberTable::AfterPoint(std::uint64_t point,
                                                 std::string_view data_centre,
                                                 const MemberFilter& filter,
                                                 std::size_t count) const {
  std::vector<std::string> addresses;
  const auto wanted = data_centres_.find(data_centre);
  if (wanted == data_centres_.end()) return addresses;
  auto entry = entries_.lower_bound(point);
  for (std::size_t i = 0; i < entries_.size() && addresses.size() < count;
       ++i, ++entry) {
    if (entry == entries_.end()) entry = entries_.begin();
    const MemberPointer& member = entry->second.member;
    if (entry->second.data_centre == &wanted->second && member != own_ &&
        filter(*member)) {
      addresses.push_back(member->address);
    }
  }
  return addresses;
}

std::vector<std::string> MemberTable::ReadersOf(std::string_view data_centre,
                                                std::size_t count) const {
  std::vector<std::string> addresses;
  const auto wanted = data_centres_.find(data_centre);
  if (wanted == data_centres_.end()) return addresses;
  RendezvousRank rank(data_centre, count);
  for (const auto& [key, entry] : entries_) {
    if (entry.data_centre != &wanted->second) continue;
    const MemberState state = entry.member->state;
    if (state == MemberState::kStarting || state == MemberState::kReady) {
      rank.Offer(entry.member);
    }
  }
  for (const MemberPointer& member : rank.Take()) {
    addresses.push_back(member->address);
  }
  return addresses;
}

std::vector<MemberPointer> MemberTable::RankByRendezvous(
    std::string_view key, const MemberFilter& filter, std::size_t count) const {
  RendezvousRank rank(key, count);
  for (const auto& [key, entry] : entries_) {
    if (filter(*entry.member)) rank.Offer(entry.member);
  }
  return rank.Take();
}

MemberPointer MemberTable::RandomMember(RandomSource& random,
                                        const MemberFilter& filter) const {
  // Chosen by number, not by key: the table of a joining node is a dense range
  // of keys, and most random keys would lead to the same member after it.
  auto entry = entries_.begin();
  std::advance(entry, random.Below(entries_.size()));
  for (std::size_t i = 0; i < entries_.size(); ++i, ++entry) {
    if (entry == entries_.end()) entry = entries_.begin();
    const MemberPointer& member = entry->second.member;
    if (member != own_ && filter(*member)) return member;
  }
  return nullptr;
}

std::shared_ptr<const MemberView> MemberTable::view() const {
  if (view_ == nullptr || view_change_count_ != change_count_) {
    std::vector<MemberPointer> members;
    members.reserve(entries_.size());
    for (const auto& [key, entry] : entries_) {
      members.push_back(entry.member);
    }
    view_ = std::make_shared<const MemberView>(own_, std::move(members));
    view_change_count_ = change_count_;
  }
  return view_;
}

}  // namespace oleandertide::membership
