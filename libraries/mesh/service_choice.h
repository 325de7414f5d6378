// Chooses among the weighted services of a route.

#ifndef OLEANDERTIDE_MESH_SERVICE_CHOICE_H_
#define OLEANDERTIDE_MESH_SERVICE_CHOICE_H_

#include <absl/container/flat_hash_map.h>

#include <string>

#include "core/random.h"
#include "mesh/configuration.h"

namespace oleandertide::mesh {

// Follows the weights more closely than independent random choices would, by a
// low-discrepancy sequence for each route. A service without capacity keeps its
// share: requests beyond its capacity are rejected, not moved to another
// service. Not thread-safe.
class ServiceChoice {
 public:
  // Returns the service for the next request of `route`.
  // Precondition: the route has a service with a positive weight.
  const std::string& Choose(const Route& route, RandomSource& random);

 private:
  // Last value of the sequence, by path prefix of the route.
  absl::flat_hash_map<std::string, double> positions_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_SERVICE_CHOICE_H_
