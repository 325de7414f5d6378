#include "routing/endpoint_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace oleandertide::routing {
namespace {

bool IsValid(std::span<const Endpoint> endpoints) {
  absl::flat_hash_set<EndpointId> ids;
  return std::ranges::all_of(endpoints, [&ids](const Endpoint& endpoint) {
    return endpoint.slots >= 1 && ids.insert(endpoint.id).second;
  });
}

void FillStatistics(std::span<Endpoint> endpoints,
                    const EndpointTable* previous) {
  absl::flat_hash_map<EndpointId, const Endpoint*> known;
  if (previous != nullptr) {
    for (const Endpoint& endpoint : previous->all()) {
      known.emplace(endpoint.id, &endpoint);
    }
  }
  for (Endpoint& endpoint : endpoints) {
    if (endpoint.statistics != nullptr) continue;
    const auto old = known.find(endpoint.id);
    const bool is_same_life =
        old != known.end() && old->second->life == endpoint.life;
    endpoint.statistics = is_same_life ? old->second->statistics
                                       : std::make_shared<EndpointStatistics>();
  }
}

}  // namespace

Result<std::shared_ptr<const EndpointTable>> EndpointTable::Build(
    std::vector<Endpoint> endpoints, std::string_view local_data_centre,
    const EndpointTable* previous) {
  if (!IsValid(endpoints)) return Error::kInvalidArgument;
  std::erase_if(endpoints, [](const Endpoint& endpoint) {
    return endpoint.state != EndpointState::kReady;
  });
  FillStatistics(endpoints, previous);
  const auto remote =
      std::partition(endpoints.begin(), endpoints.end(),
                     [local_data_centre](const Endpoint& endpoint) {
                       return endpoint.data_centre == local_data_centre;
                     });
  const auto local_count = static_cast<std::size_t>(remote - endpoints.begin());
  return std::shared_ptr<const EndpointTable>(
      new EndpointTable(std::move(endpoints), local_count));
}

}  // namespace oleandertide::routing
