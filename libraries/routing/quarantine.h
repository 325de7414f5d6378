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

// Hash of the method, path and body of a request. Its bits are evenly
// distributed, so it can be reduced modulo a table size.
using Fingerprint = std::uint64_t;

// Report of a crash or a completion that nodes exchange.
struct CrashReport {
  Fingerprint fingerprint = 0;
  // Address of the backend server that crashed while it ran the request. Empty
  // in reports of completions.
  std::string backend_address;
  // Identifies one start of the backend server; 0 if unknown.
  std::uint64_t incarnation = 0;
  // Time since the crash or completion.
  Duration age{0};
  // The request completed at a backend server, which clears its earlier
  // crashes.
  bool is_completion = false;
};

// Refuses fingerprints that were in flight when 2 different backend servers
// crashed, for 10 minutes after the latest crash.
//
// A crash report is created for every request in flight at the crash: the one
// that causes it and harmless ones, up to the number of slots. Every node
// applies these rules to the reports that it stores, to find the cause. A crash
// is identified by address and incarnation; if the incarnation is unknown,
// crashes at one address within 5 s are regarded as one.
//
// 1. A completion clears all earlier crashes. A node ignores a crash if the
//    fingerprint completed at its backend server within 10 s before; this
//    covers popular lookups, which are in flight at every crash.
// 2. A crash does not count for a fingerprint if another one that was in flight
//    at the same crash has more crashes: that one is the more likely cause.
// 3. If several fingerprints have the same number of crashes and share those
//    that count, they are tied and one of them is the cause. Each is admitted
//    alone in a trial slot of 5 s, in turn; the others are refused in that
//    time. A harmless one completes and is cleared by rule 1. The cause crashes
//    one more backend server, and rule 2 clears the others. A harmless request
//    is therefore refused for at most 5 s × (1 + number of tied fingerprints,
//    at most 12), not 10 minutes.
//
// Thread-safe. Bounded: 10,000 fingerprints (the one that was added or gained a
// crash least recently is evicted first), 8 crashes each, 10,000 reports to
// forward.
class Quarantine {
 public:
  static constexpr std::size_t kMaximumFingerprints = 10'000;
  static constexpr std::size_t kDefaultThreshold = 2;
  // Crashes count for this time after they happened, so a fingerprint is
  // refused for this time after the latest one.
  static constexpr Duration kDefaultQuarantineTime = std::chrono::minutes(10);
  static constexpr Duration kTrialSlotTime = std::chrono::seconds(5);

  // Each node sends each report `retransmissions` times; 3·log2(N+1) times
  // reach all of N nodes with high probability. A fingerprint is refused when
  // it was in flight at crashes of `threshold` different backend servers.
  explicit Quarantine(int retransmissions = 31,
                      std::size_t threshold = kDefaultThreshold,
                      Duration quarantine_time = kDefaultQuarantineTime)
      : threshold_(threshold),
        quarantine_time_(quarantine_time),
        retransmissions_(retransmissions) {}

  // Sets how often each new report is sent, which depends on the number of
  // nodes.
  void set_retransmissions(int retransmissions);

  // Records that a backend server crashed, as opposed to a planned stop, while
  // the requests `in_flight` ran. `incarnation` is as in CrashReport.
  void RecordCrash(MonotonicTime now, std::span<const Fingerprint> in_flight,
                   std::string_view backend_address,
                   std::uint64_t incarnation = 0);

  // Records that a backend server answered the request.
  void RecordCompletion(MonotonicTime now, Fingerprint fingerprint);

  // Returns true if the request must be refused with kQuarantined.
  bool IsRefused(MonotonicTime now, Fingerprint fingerprint) const;

  // Returns up to `max_reports` reports to send to one node and counts each of
  // them as sent once. Those that were sent least recently come first.
  std::vector<CrashReport> TakeReports(MonotonicTime now,
                                       std::size_t max_reports);

  // Stores reports of another node and returns the number of new ones, which
  // are also queued for forwarding.
  int Merge(MonotonicTime now, std::span<const CrashReport> reports);

  // Returns the number of stored fingerprints.
  std::size_t size() const;

 private:
  // One start of a backend server, which ended in a crash.
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
  // Crashes and the latest completion of a fingerprint. Crashes are in the
  // order in which they became known at this node.
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
  // Erases the crashes up to and including the time `until`.
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
  std::list<Fingerprint> update_order_;  // Least recent first.
  absl::flat_hash_map<BackendIncarnation, absl::flat_hash_set<Fingerprint>>
      fingerprints_by_backend_;
  std::deque<PendingReport> pending_reports_;
  // Hash table of completions, indexed by fingerprint modulo its size. A newer
  // completion replaces the one in its slot; the replaced fingerprint then only
  // loses the protection by the 10 s of rule 1.
  std::vector<Completion> recent_completions_ =
      std::vector<Completion>(kRecentCompletionSlots);
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_QUARANTINE_H_
