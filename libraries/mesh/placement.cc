#include "mesh/placement.h"

#include <algorithm>
#include <numeric>

#include "mesh/link_backlog.h"

namespace oleandertide::mesh {
namespace {

// Round trip between data centres. Users' sites have 1 to 2.8 ms.
constexpr double kCrossDataCentreRoundTripUs = 2'800;

// Penalty for each byte sent between data centres. Users price 90 kB of such
// traffic about as high as a whole answer. An answer of that size therefore
// crosses only if it would otherwise be late by most of its target latency of
// 600 to 1,000 ms.
constexpr double kCrossDataCentreUsPerByte = 5;

// Maximum random addition to a score, as a share of the mean run time.
constexpr double kScoreJitterShare = 0.15;
// Minimum run time from which jitter is computed. Run times are unknown at
// first, and without jitter all ingresses would choose the same node.
constexpr double kMinJitterRunTimeUs = 20'000;

// Answers up to this size overtake large ones on a link. They wait for about
// two parts of a large answer (see bulk_schedule.h).
constexpr double kMaxSmallAnswerBytes = 4096;
constexpr double kMaxSmallAnswerWaitUs = 20'000;

// Penalty per unit of load share above kNearFullLoadShare, as a share of the
// expected run time. Backend servers slow down when nearly all slots are in
// use, and reports lag behind.
constexpr double kNearFullPenaltyShare = 0.8;
// Requests per slot above which the penalty applies.
constexpr double kNearFullLoadShare = 0.5;

// Reports arrive every 300 ms, and every 450 ms from nodes with many links.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(600);

// Penalty for a refused or failed attempt, as a share of the target latency.
constexpr double kFailurePenaltyShare = 1.0;

double ToMicroseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace

void Placement::Candidate::SetReport(const BackendLoad& reported,
                                     MonotonicTime now) {
  load = reported;
  reported_at = now;
  unreported = {};
  unreported_bytes = 0;
}

void Placement::Update(std::string_view node, std::string_view service,
                       const Location& location, const BackendLoad& load,
                       MonotonicTime now) {
  auto found = candidates_.find(node);
  if (found == candidates_.end()) {
    found = candidates_.emplace(node, Candidate{}).first;
  }
  Candidate& candidate = found->second;
  candidate.service = service;
  candidate.location = location;
  candidate.SetReport(load, now);
}

void Placement::UpdateLoad(std::string_view node, const BackendLoad& load,
                           MonotonicTime now) {
  const auto found = candidates_.find(node);
  if (found == candidates_.end()) return;
  found->second.SetReport(load, now);
}

void Placement::Remove(std::string_view node) {
  const auto found = candidates_.find(node);
  if (found != candidates_.end()) candidates_.erase(found);
}

bool Placement::IsReportStale(const Candidate& candidate, MonotonicTime now) {
  return now - candidate.reported_at > kMaxReportAge;
}

Duration Placement::EstimateWait(const Candidate& candidate, int priority) {
  const BackendLoad& load = candidate.load;
  // Waiting requests of less urgent routes do not delay this one.
  const int unreported = std::accumulate(
      candidate.unreported.begin(),
      candidate.unreported.begin() + ToPriorityClass(priority) + 1, 0);
  const int ahead = load.running + load.waiting_before(priority) + unreported -
                    load.slots + 1;
  if (ahead <= 0) return Duration::zero();
  return load.mean_run_time * ahead / std::max(load.slots, 1);
}

double Placement::Score(const Candidate& candidate, const Request& request,
                        Duration wait) {
  const BackendLoad& load = candidate.load;
  const double run = ToMicroseconds(request.expected_run) * load.slowness;
  const int unreported = std::accumulate(candidate.unreported.begin(),
                                         candidate.unreported.end(), 0);
  const double load_share =
      static_cast<double>(load.running + load.total_waiting() + unreported) /
      std::max(load.slots, 1);
  double score = ToMicroseconds(wait) + run;
  score += run * kNearFullPenaltyShare *
           std::max(0.0, load_share - kNearFullLoadShare);
  score += load.failure_share * kFailurePenaltyShare *
           ToMicroseconds(request.target_latency);
  if (candidate.location.link_mbps > 0) {
    const double link_wait =
        ToMicroseconds(
            TransferTime(request.expected_bytes + candidate.unreported_bytes,
                         candidate.location.link_mbps)) +
        ToMicroseconds(load.link_wait);
    score += request.expected_bytes > kMaxSmallAnswerBytes
                 ? link_wait
                 : std::min(link_wait, kMaxSmallAnswerWaitUs);
  }
  if (!candidate.location.is_in_own_data_centre) {
    score += kCrossDataCentreRoundTripUs +
             request.expected_bytes * kCrossDataCentreUsPerByte;
  }
  return score;
}

Placement::Decision Placement::Choose(const Request& request,
                                      std::span<const std::string> excluded,
                                      RandomSource& random) {
  auto decision = ChooseAmong(request, excluded, random, false);
  if (std::holds_alternative<Choice>(decision)) return decision;
  const bool is_any_stale =
      std::ranges::any_of(candidates_, [&](const auto& entry) {
        return entry.second.service == request.service &&
               IsReportStale(entry.second, request.now);
      });
  if (!is_any_stale) return decision;
  return ChooseAmong(request, excluded, random, true);
}

Placement::Decision Placement::ChooseAmong(
    const Request& request, std::span<const std::string> excluded,
    RandomSource& random, bool includes_stale) {
  Candidate* best = nullptr;
  const std::string* best_node = nullptr;
  double best_score = 0;
  Duration shortest_wait = Duration::max();
  bool is_any_accepting = false;
  for (auto& [node, candidate] : candidates_) {
    if (candidate.service != request.service) continue;
    if (!candidate.load.accepts_requests) continue;
    if (std::ranges::find(excluded, node) != excluded.end()) continue;
    if (IsReportStale(candidate, request.now) && !includes_stale) continue;
    is_any_accepting = true;
    const Duration wait = EstimateWait(candidate, request.priority);
    shortest_wait = std::min(shortest_wait, wait);
    if (wait > request.wait_allowance) continue;
    const double score =
        Score(candidate, request, wait) +
        random.Unit() * kScoreJitterShare *
            std::max(ToMicroseconds(candidate.load.mean_run_time),
                     kMinJitterRunTimeUs);
    if (best != nullptr && score >= best_score) continue;
    best = &candidate;
    best_node = &node;
    best_score = score;
  }
  if (best != nullptr) {
    const Duration wait = EstimateWait(*best, request.priority);
    ++best->unreported[ToPriorityClass(request.priority)];
    best->unreported_bytes += request.expected_bytes;
    return Choice{*best_node, wait};
  }
  if (!is_any_accepting) return NoBackendServer{};
  return NoRoom{shortest_wait - request.wait_allowance};
}

bool Placement::has_backend_server(std::string_view service) const {
  return std::ranges::any_of(candidates_, [&](const auto& entry) {
    return entry.second.service == service &&
           entry.second.load.accepts_requests;
  });
}

}  // namespace oleandertide::mesh
