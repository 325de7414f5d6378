#include "mesh/configuration_update.h"

#include <bit>
#include <string_view>

#include "core/hash.h"

namespace oleandertide::mesh {
namespace {

// Mixes values into one hash; the order matters.
class Hasher {
 public:
  void Add(std::string_view text) {
    value_ = CombineHashes(value_, Hash64(text));
  }
  void Add(std::uint64_t number) { value_ = CombineHashes(value_, number); }
  void Add(Duration duration) {
    Add(static_cast<std::uint64_t>(duration.count()));
  }

  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

std::uint64_t HashRoute(std::string_view host, const Route& route) {
  Hasher hasher;
  hasher.Add(host);
  hasher.Add(route.name);
  hasher.Add(route.path_prefix);
  hasher.Add(static_cast<std::uint64_t>(route.kind));
  hasher.Add(route.timeout);
  hasher.Add(route.target_latency);
  hasher.Add(static_cast<std::uint64_t>(route.priority));
  hasher.Add(static_cast<std::uint64_t>(route.maximum_attempts));
  for (const WeightedService& weighted_service : route.services) {
    hasher.Add(weighted_service.service);
    hasher.Add(std::bit_cast<std::uint64_t>(weighted_service.weight));
  }
  // Added only if set: nodes of an earlier build do not know the field.
  if (route.is_public) hasher.Add("public");
  return hasher.value();
}

std::uint64_t HashOrganisation(const Organisation& organisation) {
  Hasher hasher;
  hasher.Add(organisation.name);
  for (const std::string& key : organisation.keys) hasher.Add(key);
  hasher.Add(static_cast<std::uint64_t>(organisation.priority.has_value()));
  hasher.Add(static_cast<std::uint64_t>(organisation.priority.value_or(0)));
  hasher.Add(std::bit_cast<std::uint64_t>(organisation.rate));
  hasher.Add(std::bit_cast<std::uint64_t>(organisation.burst));
  return hasher.value();
}

const RouteMap& FindRoutes(const Configuration* configuration,
                           std::string_view host) {
  static const RouteMap no_routes;
  if (configuration == nullptr) return no_routes;
  const auto found = configuration->hosts.find(host);
  return found == configuration->hosts.end() ? no_routes : found->second;
}

bool IsSame(const std::shared_ptr<const Route>& first, const Route& second) {
  return first.get() == &second || *first == second;
}

}  // namespace

std::uint64_t Digest(const Configuration& configuration) {
  Hasher hasher;
  for (const Service& service : configuration.services) {
    hasher.Add(service.name);
    hasher.Add(service.health_path);
    hasher.Add(service.maximum_connections);
  }
  const ClientLimits& limits = configuration.limits;
  hasher.Add(limits.maximum_header_bytes);
  hasher.Add(limits.maximum_body_bytes);
  hasher.Add(limits.header_timeout);
  hasher.Add(limits.idle_timeout);
  for (const auto& [host, routes] : configuration.hosts) {
    for (const auto& [prefix, route] : routes) {
      hasher.Add(HashRoute(host, *route));
    }
  }
  for (const auto& [name, organisation] : configuration.organisations) {
    hasher.Add(HashOrganisation(*organisation));
  }
  return hasher.value();
}

ConfigurationUpdate MakeUpdate(const Configuration* base,
                               const Configuration& target) {
  ConfigurationUpdate update{
      .base_version = base == nullptr ? 0 : base->version,
      .version = target.version,
      .digest = Digest(target),
      .services = target.services,
      .limits = target.limits};
  for (const auto& [host, routes] : target.hosts) {
    const RouteMap& before = FindRoutes(base, host);
    for (const auto& [prefix, route] : routes) {
      const auto found = before.find(prefix);
      if (found != before.end() && IsSame(found->second, *route)) continue;
      update.put.push_back({host, route});
    }
  }
  for (const auto& [name, organisation] : target.organisations) {
    if (base != nullptr) {
      const auto found = base->organisations.find(name);
      if (found != base->organisations.end() &&
          *found->second == *organisation) {
        continue;
      }
    }
    update.put_organisations.push_back(organisation);
  }
  if (base == nullptr) return update;
  for (const auto& [name, organisation] : base->organisations) {
    if (!target.organisations.contains(name)) {
      update.removed_organisations.push_back(name);
    }
  }
  for (const auto& [host, routes] : base->hosts) {
    const RouteMap& after = FindRoutes(&target, host);
    for (const auto& [prefix, route] : routes) {
      if (!after.contains(prefix)) update.removed.push_back({host, prefix});
    }
  }
  return update;
}

Result<Configuration> ApplyUpdate(const Configuration* base,
                                  const ConfigurationUpdate& update) {
  Configuration result;
  if (update.base_version != 0) {
    if (base == nullptr || base->version != update.base_version) {
      return make_error_code(Error::kConflict);
    }
    result.hosts = base->hosts;
    result.organisations = base->organisations;
  }
  result.version = update.version;
  result.services = update.services;
  result.limits = update.limits;
  for (const auto& removed : update.removed) {
    const auto routes = result.hosts.find(removed.host);
    if (routes == result.hosts.end()) continue;
    routes->second.erase(removed.path_prefix);
    if (routes->second.empty()) result.hosts.erase(routes);
  }
  for (const auto& put : update.put) {
    result.hosts[put.host][put.route->path_prefix] = put.route;
  }
  for (const std::string& name : update.removed_organisations) {
    result.organisations.erase(name);
  }
  for (const auto& organisation : update.put_organisations) {
    result.organisations[organisation->name] = organisation;
  }
  result.keys = KeyIndex(result.organisations);
  if (Digest(result) != update.digest) {
    return make_error_code(Error::kDataDamaged);
  }
  return result;
}

}  // namespace oleandertide::mesh
