// Ranks and weights that a configuration gives to requests of organisations.

#ifndef OLEANDERTIDE_MESH_ORGANISATION_POLICY_H_
#define OLEANDERTIDE_MESH_ORGANISATION_POLICY_H_

#include <string_view>
#include <vector>

#include "mesh/configuration.h"

namespace oleandertide::mesh {

// Place of a request among others.
struct Rank {
  // 0 is the most urgent.
  int priority = 0;
  // Whether a backend server made the call while it ran another request.
  bool is_backend_server_call = false;

  bool operator==(const Rank&) const = default;
};

// Without organisations, a request has the priority of its route, and a route
// of priority 1 carries calls of backend servers.
//
// With organisations, calls of backend servers come before everything else.
// They arrive without a key on public routes of priority 1. Other requests are
// ordered by the priority of the organisation and then by that of the route.
// The distinct pairs that the configuration allows are numbered without gaps
// from 1, so that the usual ones fit into the priority classes of load reports.
// Requests without an organisation, and organisations without a priority, have
// the least urgent priority of all organisations: omitting a key must not be an
// advantage.
//
// Load pattern: organisations of different importance share backend servers,
// which also call each other while they hold a slot.
//
// Immutable; thread-safe.
class OrganisationPolicy {
 public:
  // The policy of a configuration without organisations.
  OrganisationPolicy() = default;
  explicit OrganisationPolicy(const Configuration& configuration);

  // Whether the configuration has organisations.
  bool has_organisations() const { return has_organisations_; }

  // Returns the rank of a request for `route`. `organisation` is the holder of
  // its key or null; `has_key` says whether it carried any key. Precondition:
  // both belong to the configuration of the policy.
  Rank ChooseRank(const Route& route, const Organisation* organisation,
                  bool has_key) const;

  // Returns the share of the capacity, relative to others, that an organisation
  // is entitled to when there is not enough for all: its rate, or the mean rate
  // if it has no limit. `organisation` may be null. Greater than zero.
  double ChooseWeight(const Organisation* organisation) const;

 private:
  bool has_organisations_ = false;
  // Distinct values in ascending order.
  std::vector<int> organisation_priorities_;
  std::vector<int> route_priorities_;
  double mean_rate_ = 1;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_ORGANISATION_POLICY_H_
