#include "mesh/organisation_policy.h"

#include <algorithm>

namespace oleandertide::mesh {
namespace {

// Priority that the sites configure for routes of calls that backend servers
// make while they run a request.
constexpr int kBackendServerCallPriority = 1;

void SortDistinct(std::vector<int>& values) {
  std::ranges::sort(values);
  values.erase(std::unique(values.begin(), values.end()), values.end());
}

int IndexOf(const std::vector<int>& values, int value) {
  return static_cast<int>(std::ranges::lower_bound(values, value) -
                          values.begin());
}

}  // namespace

OrganisationPolicy::OrganisationPolicy(const Configuration& configuration)
    : has_organisations_(!configuration.organisations.empty()) {
  if (!has_organisations_) return;
  double rates = 0;
  int limited = 0;
  for (const auto& [name, organisation] : configuration.organisations) {
    if (organisation->priority) {
      organisation_priorities_.push_back(*organisation->priority);
    }
    if (!organisation->is_limited()) continue;
    rates += organisation->rate;
    ++limited;
  }
  if (limited > 0) mean_rate_ = rates / limited;
  for (const auto& [host, routes] : configuration.hosts) {
    for (const auto& [prefix, route] : routes) {
      route_priorities_.push_back(route->priority);
    }
  }
  SortDistinct(organisation_priorities_);
  SortDistinct(route_priorities_);
}

Rank OrganisationPolicy::ChooseRank(const Route& route,
                                    const Organisation* organisation,
                                    bool has_key) const {
  if (!has_organisations_) {
    return {
        .priority = route.priority,
        .is_backend_server_call = route.priority == kBackendServerCallPriority};
  }
  if (route.is_public && !has_key &&
      route.priority == kBackendServerCallPriority) {
    return {.priority = 0, .is_backend_server_call = true};
  }
  const int levels =
      std::max(static_cast<int>(organisation_priorities_.size()), 1);
  const int level =
      organisation != nullptr && organisation->priority
          ? IndexOf(organisation_priorities_, *organisation->priority)
          : levels - 1;
  const int routes = static_cast<int>(route_priorities_.size());
  return {.priority =
              1 + level * routes + IndexOf(route_priorities_, route.priority),
          .is_backend_server_call = false};
}

double OrganisationPolicy::ChooseWeight(
    const Organisation* organisation) const {
  return organisation != nullptr && organisation->is_limited()
             ? organisation->rate
             : mean_rate_;
}

}  // namespace oleandertide::mesh
