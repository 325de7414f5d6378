#include "routing/endpoint_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace oleandertide::routing {
namespace {

bool IsValid(std::span<const Endpoint> endpoints) {
  absl::flat_hash_set<EndpointId> ids;
  return std::ranges::all_of(endpoints, [&ids](const Endpoint& endpoint) {
    return endpoint.slots >= 1 && ids.insert(endpoint.id).second;
  });
}

}  // namespace

Result<std::shared_ptr<const EndpointTable>> EndpointTable::Build(
    std::vector<Endpoint> endpoints, std::string_view local_data_centre,
    const EndpointTable* previous) {
  if (!IsValid(endpoints)) return Error::kInvalidArgument;
  std::erase_if(endpoints, [](const Endpoint& endpoint) {
    return endpoint.state != EndpointState::kReady;
  });
  const auto remote =
      std::partition(endpoints.begin(), endpoints.end(),
                     [local_data_centre](const Endpoint& endpoint) {
                       return endpoint.data_centre == local_data_centre;
                     });
  const std::shared_ptr<EndpointTable> table(new EndpointTable());
  table->local_count_ = static_cast<std::size_t>(remote - endpoints.begin());
  table->endpoints_ = std::move(endpoints);
  table->AssignStatistics(previous);
  return std::shared_ptr<const EndpointTable>(table);
}

void EndpointTable::AssignStatistics(const EndpointTable* previous) {
  absl::flat_hash_map<EndpointId, const Endpoint*> known;
  if (previous == nullptr) {
    service_latency_ = std::make_shared<ServiceLatency>();
  } else {
    service_latency_ = previous->service_latency_;
    for (const Endpoint& endpoint : previous->all()) {
      known.emplace(endpoint.id, &endpoint);
    }
  }
  for (Endpoint& endpoint : endpoints_) {
    const auto old = known.find(endpoint.id);
    const bool is_same_life =
        old != known.end() && old->second->life == endpoint.life;
    endpoint.statistics =
        is_same_life ? old->second->statistics
                     : std::make_shared<EndpointStatistics>(service_latency_);
  }
}

}  // namespace oleandertide::routing
