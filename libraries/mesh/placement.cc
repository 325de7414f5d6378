#include "mesh/placement.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <numeric>
#include <utility>

#include "mesh/link_backlog.h"

namespace oleandertide::mesh {
namespace {

// Round trip between data centres. Users' sites have 1 to 2.8 ms.
constexpr double kCrossDataCentreRoundTripUs = 2'800;

// Bytes of a request and its answer beside their bodies.
constexpr double kOverheadBytes = 900;

// Share of its value that a late answer loses. Users' sites lose 0.5 to 0.9.
constexpr double kLateLoss = 0.6;
// Value that an answer loses by taking its whole target latency. It orders
// candidates that are all likely to answer in time, or all too late.
constexpr double kTimeLoss = 0.1;
// Value that an answer loses with a backend server that refuses or fails every
// request: some of them succeed elsewhere.
constexpr double kFailureLoss = 0.6;
// Share of refused and failed requests up to which a backend server counts as
// sound: two of the window from which the share is computed.
constexpr double kMaxSoundFailureShare = 0.08;

// Maximum random addition to a time, as a share of the mean run time.
constexpr double kJitterShare = 0.15;
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
                       MonotonicTime now, std::string_view version) {
  auto found = candidates_.find(node);
  if (found == candidates_.end()) {
    found = candidates_.emplace(node, Candidate{}).first;
  }
  Candidate& candidate = found->second;
  candidate.service = service;
  candidate.version = version;
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

Duration Placement::EstimateWait(const Candidate& candidate,
                                 const Request& request) {
  const int priority = request.priority;
  const BackendLoad& load = candidate.load;
  // Waiting requests of less urgent routes do not delay this one.
  const int unreported = std::accumulate(
      candidate.unreported.begin(),
      candidate.unreported.begin() + ToPriorityClass(priority) + 1, 0);
  int ahead = load.running + load.waiting_before(priority) + unreported -
              load.slots + 1;
  if (request.is_displaced) ahead -= load.waiting[ToPriorityClass(priority)];
  if (ahead <= 0) return Duration::zero();
  return load.mean_run_time * ahead / std::max(load.slots, 1);
}

Duration Placement::EstimateLinkWait(const Candidate& candidate) {
  // The node's own instance does not use its link.
  if (candidate.location.link_mbps <= 0) return Duration::zero();
  return candidate.load.link_wait +
         TransferTime(candidate.unreported_bytes, candidate.location.link_mbps);
}

Duration Placement::Excess(const Candidate& candidate, const Request& request) {
  const Duration excess =
      EstimateWait(candidate, request) - request.wait_allowance;
  if (!request.link_allowance) return excess;
  // The link has worked since the report. What others promised on it meanwhile
  // is not known here: the node itself refuses what exceeds the allowance, and
  // such a refusal costs less than room that is left unused.
  const Duration link_wait =
      EstimateLinkWait(candidate) - (request.now - candidate.reported_at);
  return std::max(excess, link_wait - *request.link_allowance);
}

double Placement::Cost(const Candidate& candidate, const Request& request,
                       Duration wait) const {
  const BackendLoad& load = candidate.load;
  const int unreported = std::accumulate(candidate.unreported.begin(),
                                         candidate.unreported.end(), 0);
  const double load_share =
      static_cast<double>(load.running + load.total_waiting() + unreported) /
      std::max(load.slots, 1);
  const double run = ToMicroseconds(request.expected_run) * load.slowness *
                     (1 + kNearFullPenaltyShare *
                              std::max(0.0, load_share - kNearFullLoadShare));
  double before_run = ToMicroseconds(wait);
  if (candidate.location.link_mbps > 0) {
    const double link_wait =
        ToMicroseconds(EstimateLinkWait(candidate)) +
        ToMicroseconds(
            TransferTime(request.expected_bytes, candidate.location.link_mbps));
    before_run += request.expected_bytes > kMaxSmallAnswerBytes
                      ? link_wait
                      : std::min(link_wait, kMaxSmallAnswerWaitUs);
  }
  double cost =
      kFailureLoss * std::max(0.0, load.failure_share - kMaxSoundFailureShare);
  if (!candidate.location.is_in_own_data_centre) {
    before_run += kCrossDataCentreRoundTripUs;
    cost += options_.crossing_cost_per_byte *
            (request.request_bytes + request.expected_bytes + kOverheadBytes);
  }
  const double target = std::max(ToMicroseconds(request.target_latency), 1.0);
  const double time_for_run =
      target - ToMicroseconds(request.elapsed) - before_run;
  // Run times are taken as exponentially distributed.
  const double late_share =
      time_for_run > 0 ? std::exp(-time_for_run / std::max(run, 1.0)) : 1;
  return cost + kLateLoss * late_share +
         kTimeLoss * (before_run + run) / target;
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
  std::vector<CandidateMap::iterator> own;
  std::vector<CandidateMap::iterator> other;
  Duration least_excess = Duration::max();
  bool is_any_accepting = false;
  int considered = 0;
  for (auto entry = candidates_.begin(); entry != candidates_.end(); ++entry) {
    const auto& [node, candidate] = *entry;
    if (candidate.service != request.service) continue;
    if (!candidate.load.accepts_requests) continue;
    if (!request.version.empty() &&
        (candidate.version == request.version) == request.is_version_excluded) {
      continue;
    }
    if (!request.withheld_version.empty() &&
        candidate.version == request.withheld_version) {
      continue;
    }
    if (IsReportStale(candidate, request.now) && !includes_stale) continue;
    if (request.max_nodes > 0 && ++considered > request.max_nodes) break;
    if (std::ranges::find(excluded, node) != excluded.end()) continue;
    is_any_accepting = true;
    const Duration excess = Excess(candidate, request);
    least_excess = std::min(least_excess, excess);
    if (excess > Duration::zero()) continue;
    (candidate.location.is_in_own_data_centre ? own : other).push_back(entry);
  }
  if (own.empty() && other.empty()) {
    if (!is_any_accepting) return NoBackendServer{};
    return NoRoom{least_excess};
  }
  Sample(own, random);
  Sample(other, random);
  own.insert(own.end(), other.begin(), other.end());
  auto best = own.front();
  double lowest_cost = std::numeric_limits<double>::infinity();
  for (const auto& entry : own) {
    const Candidate& candidate = entry->second;
    const Duration wait = EstimateWait(candidate, request);
    const Duration jitter(static_cast<std::int64_t>(
        random.Unit() * kJitterShare *
        std::max(ToMicroseconds(candidate.load.mean_run_time),
                 kMinJitterRunTimeUs)));
    const double cost = Cost(candidate, request, wait + jitter);
    if (cost >= lowest_cost) continue;
    best = entry;
    lowest_cost = cost;
  }
  Candidate& chosen = best->second;
  const Duration wait = EstimateWait(chosen, request);
  ++chosen.unreported[ToPriorityClass(request.priority)];
  chosen.unreported_bytes += request.expected_bytes;
  return Choice{best->first, wait};
}

void Placement::Sample(std::vector<CandidateMap::iterator>& candidates,
                       RandomSource& random) const {
  const auto size = static_cast<std::size_t>(options_.sample);
  if (size == 0 || candidates.size() <= size ||
      candidates_.size() < static_cast<std::size_t>(options_.sample_from)) {
    return;
  }
  for (std::size_t i = 0; i < size; ++i) {
    std::swap(candidates[i],
              candidates[i + random.Below(candidates.size() - i)]);
  }
  candidates.resize(size);
}

bool Placement::has_other_version(std::string_view service,
                                  std::string_view version,
                                  std::string_view withheld_version) const {
  return std::ranges::any_of(candidates_, [&](const auto& entry) {
    const Candidate& candidate = entry.second;
    return candidate.service == service && candidate.version != version &&
           (withheld_version.empty() || candidate.version != withheld_version);
  });
}

std::size_t Placement::CountAccepting(std::string_view service,
                                      std::string_view version) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(candidates_, [&](const auto& entry) {
        const Candidate& candidate = entry.second;
        return candidate.service == service && candidate.version == version &&
               candidate.load.accepts_requests;
      }));
}

std::string_view Placement::version(std::string_view node) const {
  const auto found = candidates_.find(node);
  return found == candidates_.end() ? std::string_view()
                                    : found->second.version;
}

bool Placement::has_backend_server(std::string_view service) const {
  return std::ranges::any_of(candidates_, [&](const auto& entry) {
    return entry.second.service == service &&
           entry.second.load.accepts_requests;
  });
}

}  // namespace oleandertide::mesh
