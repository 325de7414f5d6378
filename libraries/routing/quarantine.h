// Quarantine of requests that crash backend servers.

#ifndef OLEANDERTIDE_ROUTING_QUARANTINE_H_
#define OLEANDERTIDE_ROUTING_QUARANTINE_H_

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/inlined_vector.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"

namespace oleandertide::routing {

// Hash of method, path and body of a request; well mixed.
using Fingerprint = std::uint64_t;

// What nodes tell each other about a fingerprint.
struct CrashReport {
  Fingerprint fingerprint = 0;
  // The backend server that died while it ran the request. Empty in reports of
  // completions.
  std::string backend_address;
  // Distinguishes the starts of a backend server; 0 if they are not told apart.
  std::uint64_t incarnation = 0;
  // Time since the death or completion.
  Duration age{0};
  // The request completed somewhere; earlier deaths are not held against it.
  bool is_completion = false;
};

// Refuses fingerprints that were in flight when 2 different backend servers
// died, for 10 minutes after the latest death.
//
// Up to a slot count of innocent requests is in flight beside the one that
// crashes a backend server, and all of them are reported. They are told apart
// by these rules, which every node applies to the reports that it holds. A
// death is known by address and incarnation; without the latter, deaths at
// one address within some seconds are taken to be one.
//
// 1. A completion clears all earlier deaths. Deaths are ignored at a node that
//    saw the same fingerprint complete within 10 s before; this covers popular
//    lookups, which are in flight at every death.
// 2. A death does not count for a fingerprint if another one in flight at the
//    same death has been at more deaths: that one explains it better.
// 3. If several fingerprints have the same number of deaths and share those
//    that count, one of them is the cause. Each is admitted in turn, alone, for
//    5 s; the others are refused meanwhile. An innocent one completes and is
//    cleared by rule 1. The cause kills one more backend server, and rule 2
//    releases the others. An innocent request therefore waits at most
//    5 s × (1 + number of equals, at most 12), not 10 minutes.
//
// Thread-safe. Bounded: 10,000 fingerprints (those with the oldest deaths are
// dropped first), 8 deaths each, 10,000 reports to pass on.
class Quarantine {
 public:
  static constexpr std::size_t kMaximumFingerprints = 10'000;
  static constexpr std::size_t kDefaultThreshold = 2;
  // Deaths of a fingerprint count together within this time, and it is refused
  // for this time after the latest one.
  static constexpr Duration kDefaultQuarantineTime = std::chrono::minutes(10);
  static constexpr Duration kTrialSlotTime = std::chrono::seconds(5);

  // Each report is passed on `retransmissions` times by each node that learns
  // of it; 3·log2(N+1) reaches a fleet of N nodes with high probability.
  explicit Quarantine(int retransmissions = 31,
                      std::size_t threshold = kDefaultThreshold,
                      Duration quarantine_time = kDefaultQuarantineTime)
      : threshold_(threshold),
        quarantine_time_(quarantine_time),
        retransmissions_(retransmissions) {}

  // Adapts the number of retransmissions to the size of the fleet.
  void set_retransmissions(int retransmissions);

  // Records that a backend server died (not that it stopped as planned) with
  // these requests in flight. `incarnation` is as in CrashReport.
  void RecordCrash(MonotonicTime now, std::span<const Fingerprint> in_flight,
                   std::string_view backend_address,
                   std::uint64_t incarnation = 0);

  // Records that a backend server answered the request.
  void RecordCompletion(MonotonicTime now, Fingerprint fingerprint);

  // Returns true if the request must be refused with kQuarantined.
  bool IsRefused(MonotonicTime now, Fingerprint fingerprint) const;

  // Returns up to `maximum` reports to send to one partner and counts them as
  // sent once. Those that were sent least recently come first.
  std::vector<CrashReport> TakeReports(MonotonicTime now,
                                       std::size_t max_reports);

  // Takes over reports of another node; returns the number that were new.
  // Those are passed on in turn.
  int Merge(MonotonicTime now, std::span<const CrashReport> reports);

  // Returns the number of fingerprints held.
  std::size_t size() const;

 private:
  // A start of a backend server that ended with a death.
  struct BackendIncarnation {
    std::string backend_address;
    std::uint64_t incarnation = 0;

    bool operator==(const BackendIncarnation&) const = default;
    template <typename H>
    friend H AbslHashValue(H hash, const BackendIncarnation& backend) {
      return H::combine(std::move(hash), backend.backend_address,
                        backend.incarnation);
    }
  };
  struct Crash {
    BackendIncarnation backend;
    MonotonicTime time;
  };
  // Deaths are held in the order in which they were learnt.
  struct Entry {
    absl::InlinedVector<Crash, 2> crashes;
    std::optional<MonotonicTime> completed;
    std::list<Fingerprint>::iterator position;  // In order_.
  };
  struct PendingReport {
    CrashReport report;
    MonotonicTime time;
    int sends_left;
  };
  struct Completion {
    Fingerprint fingerprint = 0;
    MonotonicTime time;
  };

  // The functions below require mutex_.
  bool AddCrash(MonotonicTime now, Fingerprint fingerprint,
                BackendIncarnation backend, MonotonicTime time);
  bool AddCompletion(Fingerprint fingerprint, MonotonicTime time);
  bool CompletedShortlyBefore(Fingerprint fingerprint,
                              MonotonicTime time) const;
  Entry& FindOrAdd(Fingerprint fingerprint);
  void Remove(Fingerprint fingerprint);
  void RemoveFromIndex(Fingerprint fingerprint, const Entry& entry);
  // Forgets the deaths up to and including `until`.
  void EraseCrashes(Fingerprint fingerprint, Entry& entry, MonotonicTime until);
  void Enqueue(CrashReport report, MonotonicTime time);
  std::vector<const Crash*> UnexplainedCrashes(MonotonicTime now,
                                               Fingerprint fingerprint,
                                               const Entry& entry) const;
  static bool IsSameCrash(const Crash& first, const Crash& second);
  bool IsExplained(Fingerprint fingerprint, const Entry& entry,
                   const Crash& crash) const;
  bool IsInOwnTrialSlot(MonotonicTime now, Fingerprint fingerprint,
                        const Entry& entry,
                        std::span<const Crash* const> crashes) const;

  static constexpr std::size_t kRecentCompletionSlots = 4096;

  const std::size_t threshold_;
  const Duration quarantine_time_;
  mutable std::mutex mutex_;
  int retransmissions_;
  absl::flat_hash_map<Fingerprint, Entry> entries_;
  std::list<Fingerprint> update_order_;  // Oldest change first.
  absl::flat_hash_map<BackendIncarnation, absl::flat_hash_set<Fingerprint>>
      fingerprints_by_backend_;
  std::deque<PendingReport> pending_reports_;
  // The latest completion of each value of fingerprint modulo the size. A
  // collision only loses the knowledge that spares an innocent request.
  std::vector<Completion> recent_completions_ =
      std::vector<Completion>(kRecentCompletionSlots);
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_QUARANTINE_H_
