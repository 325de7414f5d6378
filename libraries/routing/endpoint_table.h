// The endpoints of one service, as an immutable table.

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

// A backend server with the node beside it.
struct Endpoint {
  EndpointId id = 0;
  std::uint64_t life = 0;  // Differs after each restart.
  std::string address;
  std::string data_centre;
  int slots = 1;
  EndpointState state = EndpointState::kReady;
  // When it became ready; the slow start counts from here.
  MonotonicTime ready_since;
  // Time over which a cold backend server gets its full share.
  Duration slow_start = std::chrono::seconds(10);
  // Load it reports about itself, 0 to 1. A hint: it may be late or wrong.
  float reported_load = 0;
  // Filled by EndpointTable::Build(); never null in a table.
  std::shared_ptr<EndpointStatistics> statistics;
};

// Immutable, hence thread-safe. The owner builds a new table when the members
// change and swaps a std::shared_ptr<const EndpointTable>. Draining and dead
// endpoints are left out, so that no choice has to skip them.
class EndpointTable {
 public:
  // Builds a table as seen from `local_data_centre`. Statistics are taken over
  // from `previous` for endpoints of the same id and life; `previous` may be
  // null. Fails with kInvalidArgument for duplicate ids and for slots < 1.
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

  // Returns the usual latency of the service in microseconds, 0 if unknown.
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
