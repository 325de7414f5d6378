#include "distribution/partner_set.h"

#include <algorithm>
#include <utility>

namespace oleandertide::distribution {
namespace {

// Least time between attempts when a connection is refused at once.
constexpr Duration kRetrySpacing = std::chrono::milliseconds(200);
// A remote partner that failed is replaced for this time.
constexpr Duration kAvoidTime = std::chrono::seconds(10);
constexpr int kFailuresBeforeAvoiding = 2;
constexpr std::size_t kMaximumAvoided = 256;

void AddOnce(std::vector<std::string>& list, const std::string& address) {
  if (std::find(list.begin(), list.end(), address) == list.end()) {
    list.push_back(address);
  }
}

}  // namespace

void PartnerSet::Refresh(MonotonicTime now,
                         const membership::MemberTable& table,
                         RandomSource& random) {
  const std::vector<std::string> successors =
      table.Successors(options_->monitored_successors);
  absl::btree_map<std::string, Monitored, std::less<>> monitored;
  for (const std::string& address : successors) {
    const auto known = monitored_.find(address);
    monitored[address] =
        known != monitored_.end()
            ? known->second
            : Monitored{now + random.Between(Duration::zero(),
                                             options_->monitor_interval),
                        0};
  }
  monitored_ = std::move(monitored);
  local_ = successors;
  gossip_.clear();
  const auto is_present = [](const membership::Member& member) {
    return member.state != membership::MemberState::kDead &&
           member.state != membership::MemberState::kLeft;
  };
  for (std::size_t ring = 1; ring <= options_->fanout; ++ring) {
    for (const std::string& address :
         table.RingPartners(table.own().data_centre, ring, is_present, 1)) {
      if (!monitored_.contains(address)) AddOnce(gossip_, address);
      AddOnce(local_, address);
    }
  }
  ChooseRemote(now, table);
  all_ = local_;
  for (const std::string& address : gossip_) AddOnce(all_, address);
}

void PartnerSet::ChooseRemote(MonotonicTime now,
                              const membership::MemberTable& table) {
  for (auto entry = avoided_.begin(); entry != avoided_.end();) {
    const bool is_over = entry->second.failures >= kFailuresBeforeAvoiding &&
                         now >= entry->second.until;
    entry = is_over ? avoided_.erase(entry) : std::next(entry);
  }
  const membership::Member& own = table.own();
  for (const auto& item : table.DataCentres()) {
    const std::string& data_centre = item.first;
    if (data_centre == own.data_centre) continue;
    const auto is_candidate = [&](const membership::Member& member) {
      if (member.data_centre != data_centre || !is_alive(member)) return false;
      const auto avoided = avoided_.find(member.address);
      return avoided == avoided_.end() ||
             avoided->second.failures < kFailuresBeforeAvoiding;
    };
    for (const std::string& address : table.RingPartners(
             data_centre, 0, is_candidate, options_->remote_partners)) {
      AddOnce(gossip_, address);
    }
  }
}

std::vector<std::string> PartnerSet::DueMonitored(MonotonicTime now) {
  std::vector<std::string> due;
  for (auto& [address, monitored] : monitored_) {
    if (now < monitored.next_at) continue;
    monitored.next_at = now + options_->monitor_interval;
    due.push_back(address);
  }
  return due;
}

std::string PartnerSet::NextGossip() {
  const std::vector<std::string>& list = gossip_.empty() ? all_ : gossip_;
  if (list.empty()) return {};
  next_gossip_ = (next_gossip_ + 1) % list.size();
  return list[next_gossip_];
}

void PartnerSet::Succeed(std::string_view address) {
  const auto monitored = monitored_.find(address);
  if (monitored != monitored_.end()) monitored->second.failures = 0;
  const auto avoided = avoided_.find(address);
  if (avoided != avoided_.end()) avoided_.erase(avoided);
}

bool PartnerSet::Fail(MonotonicTime now, std::string_view address,
                      MonotonicTime sent_at) {
  const auto found = monitored_.find(address);
  if (found != monitored_.end()) {
    Monitored& monitored = found->second;
    ++monitored.failures;
    monitored.next_at =
        std::min(monitored.next_at, std::max(now, sent_at + kRetrySpacing));
    return monitored.failures >=
           options_->attempts_per_monitored_exchange *
               options_->failed_exchanges_before_suspicion;
  }
  if (std::find(gossip_.begin(), gossip_.end(), address) != gossip_.end() &&
      avoided_.size() < kMaximumAvoided) {
    Avoided& avoided = avoided_[std::string(address)];
    ++avoided.failures;
    avoided.until = now + kAvoidTime;
  }
  return false;
}

void PartnerSet::ClearFailures(MonotonicTime now) {
  for (auto& [address, monitored] : monitored_) {
    monitored = Monitored{now, 0};
  }
  avoided_.clear();
}

}  // namespace oleandertide::distribution
