#include "routing/quarantine.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace oleandertide::routing {
namespace {

constexpr std::size_t kMaximumDeaths = 8;
constexpr std::size_t kMaximumPending = 10'000;
constexpr std::int64_t kMaximumTurns = 12;

// A completion this long before a death still clears the fingerprint.
constexpr Duration kRecentCompletion = std::chrono::seconds(10);

// Ages grow inexact on their way through paused nodes. Two reports of the same
// backend server within this time are taken to be of the same death.
constexpr Duration kSameDeath = std::chrono::seconds(5);

// A later death of the same backend server replaces the earlier one, and is
// passed on, only after this time. A shorter one could let reports whose ages
// drift circulate for ever.
constexpr Duration kNewDeath = std::chrono::seconds(30);

Duration Distance(MonotonicTime a, MonotonicTime b) {
  return a > b ? a - b : b - a;
}

}  // namespace

void Quarantine::set_retransmissions(int retransmissions) {
  const std::lock_guard lock(mutex_);
  retransmissions_ = retransmissions;
}

void Quarantine::RecordDeath(MonotonicTime now,
                             std::span<const Fingerprint> in_flight,
                             std::string_view backend_address,
                             std::uint64_t incarnation) {
  const std::lock_guard lock(mutex_);
  const Life life{std::string(backend_address), incarnation};
  for (const Fingerprint fingerprint : in_flight) {
    if (!AddDeath(now, fingerprint, life, now)) continue;
    Enqueue({.fingerprint = fingerprint,
             .backend_address = life.backend_address,
             .incarnation = incarnation},
            now);
  }
}

void Quarantine::RecordCompletion(MonotonicTime now, Fingerprint fingerprint) {
  const std::lock_guard lock(mutex_);
  recent_completions_[fingerprint % kRecentCompletions] = {fingerprint, now};
  // Other nodes need to know only about a fingerprint under suspicion.
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || found->second.deaths.empty()) return;
  if (!AddCompletion(fingerprint, now)) return;
  Enqueue({.fingerprint = fingerprint,
           .backend_address = {},
           .age = {},
           .is_completion = true},
          now);
}

bool Quarantine::IsRefused(MonotonicTime now, Fingerprint fingerprint) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) return false;
  const Entry& entry = found->second;
  if (entry.deaths.size() < threshold_) return false;
  const auto deaths = CountingDeaths(now, fingerprint, entry);
  // A server that goes up and down by itself proves nothing.
  absl::flat_hash_set<std::string_view> addresses;
  for (const Death* death : deaths) {
    addresses.insert(death->life.backend_address);
  }
  if (addresses.size() < threshold_) return false;
  return !IsItsTurn(now, fingerprint, entry, deaths);
}

std::vector<CrashReport> Quarantine::TakeReports(MonotonicTime now,
                                                 std::size_t maximum) {
  const std::lock_guard lock(mutex_);
  std::vector<CrashReport> reports;
  const std::size_t count = std::min(maximum, pending_.size());
  reports.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    Pending next = std::move(pending_.front());
    pending_.pop_front();
    reports.push_back(next.report);
    reports.back().age = now - next.time;
    if (--next.sends_left > 0) pending_.push_back(std::move(next));
  }
  return reports;
}

int Quarantine::Merge(MonotonicTime now, std::span<const CrashReport> reports) {
  const std::lock_guard lock(mutex_);
  int added = 0;
  for (const CrashReport& report : reports) {
    const Duration age = std::max(report.age, Duration(0));
    if (age >= quarantine_time_) continue;
    const MonotonicTime time = now - age;
    const bool is_new =
        report.is_completion
            ? AddCompletion(report.fingerprint, time)
            : AddDeath(now, report.fingerprint,
                       {report.backend_address, report.incarnation}, time);
    if (!is_new) continue;
    ++added;
    Enqueue(report, time);
  }
  return added;
}

std::size_t Quarantine::size() const {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

bool Quarantine::AddDeath(MonotonicTime now, Fingerprint fingerprint, Life life,
                          MonotonicTime time) {
  if (life.backend_address.empty()) return false;
  if (CompletedJustBefore(fingerprint, time)) return false;
  Entry& entry = FindOrAdd(fingerprint);
  if (entry.completed.has_value() && time <= *entry.completed) return false;
  EraseDeaths(fingerprint, entry, now - quarantine_time_);
  const auto known = std::ranges::find(entry.deaths, life, &Death::life);
  if (known != entry.deaths.end()) {
    const bool is_same =
        life.incarnation != 0 || time - known->time < kNewDeath;
    if (is_same) return false;
    known->time = time;
  } else {
    if (entry.deaths.size() >= kMaximumDeaths) return false;
    entry.deaths.push_back({life, time});
  }
  by_life_[std::move(life)].insert(fingerprint);
  order_.splice(order_.end(), order_, entry.position);
  return true;
}

bool Quarantine::AddCompletion(Fingerprint fingerprint, MonotonicTime time) {
  Entry& entry = FindOrAdd(fingerprint);
  const bool is_new =
      !entry.completed.has_value() || time - *entry.completed >= kNewDeath ||
      std::ranges::any_of(entry.deaths, [time](const Death& death) {
        return death.time <= time;
      });
  if (!is_new) return false;
  entry.completed = std::max(entry.completed.value_or(time), time);
  EraseDeaths(fingerprint, entry, time);
  return true;
}

bool Quarantine::CompletedJustBefore(Fingerprint fingerprint,
                                     MonotonicTime time) const {
  const Completion& completion =
      recent_completions_[fingerprint % kRecentCompletions];
  return completion.fingerprint == fingerprint &&
         time - completion.time <= kRecentCompletion &&
         completion.time != MonotonicTime();
}

Quarantine::Entry& Quarantine::FindOrAdd(Fingerprint fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end()) return found->second;
  while (entries_.size() >= kMaximumFingerprints) Remove(order_.front());
  Entry& entry = entries_[fingerprint];
  entry.position = order_.insert(order_.end(), fingerprint);
  return entry;
}

void Quarantine::Remove(Fingerprint fingerprint) {
  const auto found = entries_.find(fingerprint);
  RemoveFromIndex(fingerprint, found->second);
  order_.erase(found->second.position);
  entries_.erase(found);
}

void Quarantine::RemoveFromIndex(Fingerprint fingerprint, const Entry& entry) {
  for (const Death& death : entry.deaths) {
    const auto found = by_life_.find(death.life);
    if (found == by_life_.end()) continue;
    found->second.erase(fingerprint);
    if (found->second.empty()) by_life_.erase(found);
  }
}

void Quarantine::EraseDeaths(Fingerprint fingerprint, Entry& entry,
                             MonotonicTime until) {
  const auto is_old = [until](const Death& death) {
    return death.time <= until;
  };
  if (std::ranges::none_of(entry.deaths, is_old)) return;
  RemoveFromIndex(fingerprint, entry);
  entry.deaths.erase(
      std::remove_if(entry.deaths.begin(), entry.deaths.end(), is_old),
      entry.deaths.end());
  for (const Death& death : entry.deaths) {
    by_life_[death.life].insert(fingerprint);
  }
}

void Quarantine::Enqueue(CrashReport report, MonotonicTime time) {
  if (retransmissions_ <= 0) return;
  if (pending_.size() >= kMaximumPending) pending_.pop_front();
  pending_.push_back({std::move(report), time, retransmissions_});
}

// Returns the recent deaths that no other fingerprint explains better (rule 2).
std::vector<const Quarantine::Death*> Quarantine::CountingDeaths(
    MonotonicTime now, Fingerprint fingerprint, const Entry& entry) const {
  std::vector<const Death*> deaths;
  for (const Death& death : entry.deaths) {
    if (now - death.time >= quarantine_time_) continue;
    if (!IsExplained(fingerprint, entry, death)) deaths.push_back(&death);
  }
  return deaths;
}

bool Quarantine::IsSame(const Death& first, const Death& second) {
  return first.life == second.life &&
         (first.life.incarnation != 0 ||
          Distance(first.time, second.time) <= kSameDeath);
}

bool Quarantine::IsExplained(Fingerprint fingerprint, const Entry& entry,
                             const Death& death) const {
  const auto others = by_life_.find(death.life);
  if (others == by_life_.end()) return false;
  return std::ranges::any_of(others->second, [&](Fingerprint other) {
    if (other == fingerprint) return false;
    const Entry& candidate = entries_.at(other);
    if (candidate.deaths.size() <= entry.deaths.size()) return false;
    return std::ranges::any_of(candidate.deaths, [&](const Death& known) {
      return IsSame(known, death);
    });
  });
}

// Returns true if equals exist and the current turn is this fingerprint's
// (rule 3). The first turn after the latest death is nobody's, so that
// completions in flight can arrive.
bool Quarantine::IsItsTurn(MonotonicTime now, Fingerprint fingerprint,
                           const Entry& entry,
                           std::span<const Death* const> deaths) const {
  const auto shares = [](const Entry& other, const Death& death) {
    return std::ranges::any_of(other.deaths, [&death](const Death& known) {
      return IsSame(known, death);
    });
  };
  std::int64_t equals = 0;
  std::int64_t rank = 0;
  for (const Fingerprint other : by_life_.at(deaths.front()->life)) {
    const Entry& candidate = entries_.at(other);
    if (candidate.deaths.size() != entry.deaths.size()) continue;
    if (!std::ranges::all_of(deaths, [&](const Death* death) {
          return shares(candidate, *death);
        })) {
      continue;
    }
    ++equals;
    if (other < fingerprint) ++rank;
  }
  if (equals < 2) return false;
  MonotonicTime latest = deaths.front()->time;
  for (const Death* death : deaths) latest = std::max(latest, death->time);
  const std::int64_t turn = (now - latest) / kTurn;
  const std::int64_t turns = std::min(equals, kMaximumTurns);
  return turn > 0 && (turn - 1) % turns == rank % turns;
}

}  // namespace oleandertide::routing
