#include "mesh/fair_queue.h"

#include <algorithm>

namespace oleandertide::mesh {
namespace {

// Number of organisations without waiting requests that are remembered. A
// backend server starts some hundred requests a second, and an organisation is
// ahead of the others for about one run time.
constexpr std::size_t kMaxIdleFlows = 1024;

}  // namespace

Duration RunTimeEstimate::For(Duration expected_run) const {
  if (expected_run <= Duration::zero()) return mean;
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(expected_run.count()) * slowness));
}

FairQueue::FlowMap::iterator FairQueue::FindOrAdd(
    std::string_view organisation) {
  const auto found = flows_.find(organisation);
  if (found != flows_.end()) return found;
  const auto added = flows_.emplace(std::string(organisation), Flow{}).first;
  added->second.start = virtual_time_;
  idle_.emplace(added->second.start, added->first);
  return added;
}

void FairQueue::Add(const Position& position, double weight,
                    const Waiting& waiting) {
  const auto found = FindOrAdd(position.organisation);
  Flow& flow = found->second;
  flow.weight = weight;
  if (flow.waiting.empty()) {
    idle_.erase({flow.start, found->first});
    flow.start = std::max(flow.start, virtual_time_);
    active_.emplace(flow.start, found->first);
  }
  flow.waiting.emplace(position.key, waiting);
  ++size_;
}

const FairQueue::Waiting& FairQueue::Get(const Position& position) const {
  return flows_.find(position.organisation)->second.waiting.at(position.key);
}

void FairQueue::Remove(const Position& position) {
  const auto found = flows_.find(position.organisation);
  Flow& flow = found->second;
  flow.waiting.erase(position.key);
  --size_;
  if (!flow.waiting.empty()) return;
  active_.erase({flow.start, found->first});
  idle_.emplace(flow.start, found->first);
  TrimIdle();
}

void FairQueue::Charge(std::string_view organisation, double weight,
                       Duration run_time) {
  const auto found = FindOrAdd(organisation);
  Flow& flow = found->second;
  Order& order = flow.waiting.empty() ? idle_ : active_;
  order.erase({flow.start, found->first});
  flow.weight = weight;
  const double start = std::max(flow.start, virtual_time_);
  virtual_time_ = start;
  const auto cost = std::max<std::int64_t>(run_time.count(), 1);
  flow.start = start + static_cast<double>(cost) / weight;
  order.emplace(flow.start, found->first);
  TrimIdle();
}

void FairQueue::TrimIdle() {
  while (!idle_.empty() && (idle_.begin()->first <= virtual_time_ ||
                            idle_.size() > kMaxIdleFlows)) {
    const auto flow = flows_.find(idle_.begin()->second);
    idle_.erase(idle_.begin());
    flows_.erase(flow);
  }
}

FairQueue::Position FairQueue::FindNext(MonotonicTime now,
                                        Duration interval) const {
  const auto& first = *flows_.find(active_.begin()->second);
  Position front{first.first, first.second.waiting.begin()->first};
  for (const auto& [start, organisation] : active_) {
    const WaitingMap& waiting = flows_.find(organisation)->second.waiting;
    const auto in_time = waiting.lower_bound(Key{now, 0});
    if (in_time == waiting.end()) continue;
    if (in_time->first.first - now > interval) return front;
    return {std::string(organisation), in_time->first};
  }
  return front;
}

double FairQueue::SumWork(const WaitingMap& waiting, MonotonicTime now,
                          WaitingMap::const_iterator end,
                          const RunTimeEstimate& run_times) {
  double work = 0;
  for (auto next = waiting.begin(); next != end; ++next) {
    if (next->first.first < now) continue;
    work +=
        static_cast<double>(run_times.For(next->second.expected_run).count());
  }
  return work;
}

double FairQueue::WorkBefore(const Position& position, double weight,
                             MonotonicTime now,
                             const RunTimeEstimate& run_times) const {
  double own_work = 0;
  double own_start = virtual_time_;
  const auto own = flows_.find(position.organisation);
  if (own != flows_.end()) {
    const WaitingMap& waiting = own->second.waiting;
    own_work =
        SumWork(waiting, now, waiting.lower_bound(position.key), run_times);
    own_start = std::max(own->second.start, virtual_time_);
  }
  const double start = own_start + own_work / weight;
  double work = own_work;
  for (const auto& [other_start, organisation] : active_) {
    if (other_start > start) break;
    if (organisation == position.organisation) continue;
    const Flow& flow = flows_.find(organisation)->second;
    // Until the new request's turn the other organisation gets its share, and
    // the request with which it exceeds it.
    const double share =
        (start - other_start) * flow.weight +
        static_cast<double>(
            run_times.For(flow.waiting.begin()->second.expected_run).count());
    work += std::min(share,
                     SumWork(flow.waiting, now, flow.waiting.end(), run_times));
  }
  return work;
}

double FairQueue::TotalWork(MonotonicTime now,
                            const RunTimeEstimate& run_times) const {
  double work = 0;
  for (const auto& [start, organisation] : active_) {
    const WaitingMap& waiting = flows_.find(organisation)->second.waiting;
    work += SumWork(waiting, now, waiting.end(), run_times);
  }
  return work;
}

void FairQueue::ForEach(
    const std::function<void(const Position&, const Waiting&)>& visit) const {
  for (const auto& [start, organisation] : active_) {
    for (const auto& [key, waiting] :
         flows_.find(organisation)->second.waiting) {
      visit(Position{std::string(organisation), key}, waiting);
    }
  }
}

}  // namespace oleandertide::mesh
