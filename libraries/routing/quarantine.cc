#include "routing/quarantine.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace oleandertide::routing {
namespace {

constexpr std::size_t kMaximumCrashesPerFingerprint = 8;
constexpr std::size_t kMaximumReports = 10'000;
constexpr std::int64_t kMaximumTrialSlots = 12;

// A crash is ignored if the fingerprint completed within this time before it.
constexpr Duration kCompletionValidity = std::chrono::seconds(10);

// Reported ages become inaccurate when they pass through paused nodes. Without
// an incarnation, two crashes at the same address within this time are regarded
// as the same crash.
constexpr Duration kSameCrashWindow = std::chrono::seconds(5);

// Without an incarnation, a crash at a known address counts as a new one, and
// is forwarded to other nodes, only if it is at least this much later than the
// known one. The same applies to completions of a fingerprint without earlier
// crashes. A shorter time could let reports with drifting ages circulate
// forever.
constexpr Duration kMinimumCrashInterval = std::chrono::seconds(30);

Duration AbsoluteDifference(MonotonicTime a, MonotonicTime b) {
  return a > b ? a - b : b - a;
}

}  // namespace

void Quarantine::set_retransmissions(int retransmissions) {
  const std::lock_guard lock(mutex_);
  retransmissions_ = retransmissions;
}

void Quarantine::RecordCrash(MonotonicTime now,
                             std::span<const Fingerprint> in_flight,
                             std::string_view backend_address,
                             std::uint64_t incarnation) {
  const std::lock_guard lock(mutex_);
  const BackendIncarnation backend{std::string(backend_address), incarnation};
  for (const Fingerprint fingerprint : in_flight) {
    if (!AddCrash(now, fingerprint, backend, now)) continue;
    Enqueue({.fingerprint = fingerprint,
             .backend_address = backend.backend_address,
             .incarnation = incarnation},
            now);
  }
}

void Quarantine::RecordCompletion(MonotonicTime now, Fingerprint fingerprint) {
  const std::lock_guard lock(mutex_);
  recent_completions_[fingerprint % kRecentCompletionSlots] = {fingerprint,
                                                               now};
  // Other nodes need the completion only if crashes of the fingerprint are
  // known.
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || found->second.crashes.empty()) return;
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
  if (entry.crashes.size() < threshold_) return false;
  const auto crashes = UnexplainedCrashes(now, fingerprint, entry);
  // Crashes are counted per address because one server may crash repeatedly for
  // reasons of its own.
  absl::flat_hash_set<std::string_view> addresses;
  for (const Crash* crash : crashes) {
    addresses.insert(crash->backend.backend_address);
  }
  if (addresses.size() < threshold_) return false;
  return !IsInOwnTrialSlot(now, fingerprint, entry, crashes);
}

std::vector<CrashReport> Quarantine::TakeReports(MonotonicTime now,
                                                 std::size_t max_reports) {
  const std::lock_guard lock(mutex_);
  std::vector<CrashReport> reports;
  const std::size_t count = std::min(max_reports, pending_reports_.size());
  reports.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    PendingReport next = std::move(pending_reports_.front());
    pending_reports_.pop_front();
    reports.push_back(next.report);
    reports.back().age = now - next.time;
    if (--next.sends_left > 0) pending_reports_.push_back(std::move(next));
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
            : AddCrash(now, report.fingerprint,
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

bool Quarantine::AddCrash(MonotonicTime now, Fingerprint fingerprint,
                          BackendIncarnation backend, MonotonicTime time) {
  if (backend.backend_address.empty()) return false;
  if (CompletedShortlyBefore(fingerprint, time)) return false;
  Entry& entry = FindOrAdd(fingerprint);
  if (entry.completed.has_value() && time <= *entry.completed) return false;
  EraseCrashes(fingerprint, entry, now - quarantine_time_);
  const auto existing =
      std::ranges::find(entry.crashes, backend, &Crash::backend);
  if (existing != entry.crashes.end()) {
    const bool is_same = backend.incarnation != 0 ||
                         time - existing->time < kMinimumCrashInterval;
    if (is_same) return false;
    existing->time = time;
  } else {
    if (entry.crashes.size() >= kMaximumCrashesPerFingerprint) return false;
    entry.crashes.push_back({backend, time});
  }
  fingerprints_by_backend_[std::move(backend)].insert(fingerprint);
  update_order_.splice(update_order_.end(), update_order_, entry.position);
  return true;
}

bool Quarantine::AddCompletion(Fingerprint fingerprint, MonotonicTime time) {
  Entry& entry = FindOrAdd(fingerprint);
  const bool is_new =
      !entry.completed.has_value() ||
      time - *entry.completed >= kMinimumCrashInterval ||
      std::ranges::any_of(entry.crashes, [time](const Crash& crash) {
        return crash.time <= time;
      });
  if (!is_new) return false;
  entry.completed = std::max(entry.completed.value_or(time), time);
  EraseCrashes(fingerprint, entry, time);
  return true;
}

bool Quarantine::CompletedShortlyBefore(Fingerprint fingerprint,
                                        MonotonicTime time) const {
  const Completion& completion =
      recent_completions_[fingerprint % kRecentCompletionSlots];
  return completion.fingerprint == fingerprint &&
         time - completion.time <= kCompletionValidity &&
         completion.time != MonotonicTime();
}

Quarantine::Entry& Quarantine::FindOrAdd(Fingerprint fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end()) return found->second;
  while (entries_.size() >= kMaximumFingerprints) Remove(update_order_.front());
  Entry& entry = entries_[fingerprint];
  entry.position = update_order_.insert(update_order_.end(), fingerprint);
  return entry;
}

void Quarantine::Remove(Fingerprint fingerprint) {
  const auto found = entries_.find(fingerprint);
  RemoveFromIndex(fingerprint, found->second);
  update_order_.erase(found->second.position);
  entries_.erase(found);
}

void Quarantine::RemoveFromIndex(Fingerprint fingerprint, const Entry& entry) {
  for (const Crash& crash : entry.crashes) {
    const auto found = fingerprints_by_backend_.find(crash.backend);
    if (found == fingerprints_by_backend_.end()) continue;
    found->second.erase(fingerprint);
    if (found->second.empty()) fingerprints_by_backend_.erase(found);
  }
}

void Quarantine::EraseCrashes(Fingerprint fingerprint, Entry& entry,
                              MonotonicTime until) {
  const auto is_old = [until](const Crash& crash) {
    return crash.time <= until;
  };
  if (std::ranges::none_of(entry.crashes, is_old)) return;
  RemoveFromIndex(fingerprint, entry);
  entry.crashes.erase(
      std::remove_if(entry.crashes.begin(), entry.crashes.end(), is_old),
      entry.crashes.end());
  for (const Crash& crash : entry.crashes) {
    fingerprints_by_backend_[crash.backend].insert(fingerprint);
  }
}

void Quarantine::Enqueue(CrashReport report, MonotonicTime time) {
  if (retransmissions_ <= 0) return;
  if (pending_reports_.size() >= kMaximumReports) pending_reports_.pop_front();
  pending_reports_.push_back({std::move(report), time, retransmissions_});
}

// Returns the crashes within the quarantine time for which no other fingerprint
// is the more likely cause (rule 2).
std::vector<const Quarantine::Crash*> Quarantine::UnexplainedCrashes(
    MonotonicTime now, Fingerprint fingerprint, const Entry& entry) const {
  std::vector<const Crash*> crashes;
  for (const Crash& crash : entry.crashes) {
    if (now - crash.time >= quarantine_time_) continue;
    if (!IsExplained(fingerprint, entry, crash)) crashes.push_back(&crash);
  }
  return crashes;
}

bool Quarantine::IsSameCrash(const Crash& first, const Crash& second) {
  return first.backend == second.backend &&
         (first.backend.incarnation != 0 ||
          AbsoluteDifference(first.time, second.time) <= kSameCrashWindow);
}

bool Quarantine::IsExplained(Fingerprint fingerprint, const Entry& entry,
                             const Crash& crash) const {
  const auto others = fingerprints_by_backend_.find(crash.backend);
  if (others == fingerprints_by_backend_.end()) return false;
  return std::ranges::any_of(others->second, [&](Fingerprint other) {
    if (other == fingerprint) return false;
    const Entry& candidate = entries_.at(other);
    if (candidate.crashes.size() <= entry.crashes.size()) return false;
    return std::ranges::any_of(candidate.crashes, [&](const Crash& existing) {
      return IsSameCrash(existing, crash);
    });
  });
}

// Returns true if other fingerprints are tied with this one and the current
// trial slot belongs to it (rule 3). The first slot after the latest crash
// belongs to no fingerprint, which leaves time for reports of completions to
// arrive.
bool Quarantine::IsInOwnTrialSlot(MonotonicTime now, Fingerprint fingerprint,
                                  const Entry& entry,
                                  std::span<const Crash* const> crashes) const {
  const auto includes_crash = [](const Entry& other, const Crash& crash) {
    return std::ranges::any_of(other.crashes, [&crash](const Crash& existing) {
      return IsSameCrash(existing, crash);
    });
  };
  std::int64_t tied_count = 0;
  std::int64_t rank = 0;
  for (const Fingerprint other :
       fingerprints_by_backend_.at(crashes.front()->backend)) {
    const Entry& candidate = entries_.at(other);
    if (candidate.crashes.size() != entry.crashes.size()) continue;
    if (!std::ranges::all_of(crashes, [&](const Crash* crash) {
          return includes_crash(candidate, *crash);
        })) {
      continue;
    }
    ++tied_count;
    if (other < fingerprint) ++rank;
  }
  if (tied_count < 2) return false;
  MonotonicTime latest = crashes.front()->time;
  for (const Crash* crash : crashes) latest = std::max(latest, crash->time);
  const std::int64_t slot = (now - latest) / kTrialSlotTime;
  const std::int64_t slot_count = std::min(tied_count, kMaximumTrialSlots);
  return slot > 0 && (slot - 1) % slot_count == rank % slot_count;
}

}  // namespace oleandertide::routing
