// Immutable table of the endpoints of one service.

#ifndef OLEANDERTIDE_ROUTING_ENDPOINT_TABLE_H_
#define OLEANDERTIDE_ROUTING_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "routing/endpoint_statistics.h"

namespace oleandertide::routing {

// Identifies an endpoint within a service, for example the hash of the address
// of its node.
using EndpointId = std::uint64_t;

enum class EndpointState { kReady, kDraining, kDead };

// A backend server together with the node that runs beside it.
struct Endpoint {
  EndpointId id = 0;
  std::uint64_t life = 0;  // Changes with each restart.
  std::string address;
  std::string data_centre;
  int slots = 1;
  EndpointState state = EndpointState::kReady;
  // When the endpoint became ready; its slow start begins then.
  MonotonicTime ready_since;
  // Time from `ready_since` until the endpoint gets its full share of calls.
  Duration slow_start = std::chrono::seconds(10);
  // Load that the endpoint reports about itself, 0 to 1. May be outdated or
  // wrong.
  float reported_load = 0;
  // Set by EndpointTable::Build(); never null in a table.
  std::shared_ptr<EndpointStatistics> statistics;
};

// Immutable, hence thread-safe. The owner builds a new table when the members
// change and swaps a std::shared_ptr<const EndpointTable>. The table omits
// draining and dead endpoints, so EndpointChooser need not check the state.
class EndpointTable {
 public:
  // Builds a table in which the endpoints in `local_data_centre` are local. An
  // endpoint with the same id and life as one in `previous` keeps its
  // statistics; `previous` may be null. Fails with kInvalidArgument for
  // duplicate ids and for slots < 1.
  static Result<std::shared_ptr<const EndpointTable>> Build(
      std::vector<Endpoint> endpoints, std::string_view local_data_centre,
      const EndpointTable* previous = nullptr);

  // Returns the ready endpoints in the local data centre.
  std::span<const Endpoint> local() const {
    return std::span(endpoints_).first(local_count_);
  }

  // Returns the ready endpoints in other data centres.
  std::span<const Endpoint> remote() const {
    return std::span(endpoints_).subspan(local_count_);
  }

  // Returns the typical latency of the service in microseconds, 0 if unknown.
  float typical_latency_us() const { return service_latency_->typical_us(); }

  // Returns all ready endpoints, the local ones first.
  std::span<const Endpoint> all() const { return endpoints_; }

 private:
  EndpointTable() = default;

  void AssignStatistics(const EndpointTable* previous);

  std::vector<Endpoint> endpoints_;
  std::size_t local_count_ = 0;
  std::shared_ptr<ServiceLatency> service_latency_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_ENDPOINT_TABLE_H_
