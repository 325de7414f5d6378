#include "mesh/configuration.h"

#include <algorithm>

namespace oleandertide::mesh {

const Route* Configuration::FindRoute(std::string_view host,
                                      std::string_view target) const {
  host = host.substr(0, host.find(':'));
  auto routes = hosts.find(host);
  if (routes == hosts.end()) {
    routes = hosts.find(ToLowerCase(host));
    if (routes == hosts.end()) return nullptr;
  }
  // Prefixes end with a slash, so the candidates end at the path's slashes.
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/')) {
    const auto route = routes->second.find(path.substr(0, slash + 1));
    if (route != routes->second.end()) return route->second.get();
    path = path.substr(0, slash);
  }
  return nullptr;
}

KeyIndex::KeyIndex(const OrganisationMap& organisations) {
  for (const auto& [name, organisation] : organisations) {
    for (const std::string& key : organisation->keys) {
      by_key_.emplace(key, organisation);
    }
  }
}

const Organisation* KeyIndex::Find(std::string_view key) const {
  const auto found = by_key_.find(std::string(key));
  return found == by_key_.end() ? nullptr : found->second.get();
}

std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

bool Configuration::has_limits() const {
  return std::ranges::any_of(organisations, [](const auto& entry) {
    return entry.second->is_limited();
  });
}

const Service* Configuration::FindService(std::string_view name) const {
  const auto found = std::ranges::find(services, name, &Service::name);
  return found == services.end() ? nullptr : &*found;
}

}  // namespace oleandertide::mesh
