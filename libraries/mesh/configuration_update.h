// Differences between two versions of the configuration.

#ifndef OLEANDERTIDE_MESH_CONFIGURATION_UPDATE_H_
#define OLEANDERTIDE_MESH_CONFIGURATION_UPDATE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/result.h"
#include "mesh/configuration.h"

namespace oleandertide::mesh {

// The difference between two versions. A configuration of 1,600 routes takes
// some 300 kB and a typical change less than 1 kB, so nodes send each other
// only differences.
struct ConfigurationUpdate {
  struct RemovedRoute {
    std::string host;
    std::string path_prefix;
  };
  struct PutRoute {
    std::string host;
    std::shared_ptr<const Route> route;
  };

  // 0 if the update holds the whole configuration.
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  // Of the resulting configuration.
  std::uint64_t digest = 0;
  std::vector<Service> services{};
  ClientLimits limits{};
  std::vector<RemovedRoute> removed{};
  std::vector<PutRoute> put{};
  std::vector<std::string> removed_organisations{};
  std::vector<std::shared_ptr<const Organisation>> put_organisations{};
};

// Returns a hash of everything but the version, the same at every node.
// Thread-safe.
std::uint64_t Digest(const Configuration& configuration);

// Returns the update from `base` to `target`, or the whole configuration if
// `base` is nullptr.
// Thread-safe.
ConfigurationUpdate MakeUpdate(const Configuration* base,
                               const Configuration& target);

// Applies an update to a copy of its base. Errors: kConflict if `base` is not
// the version that the update starts from, kDataDamaged if the result differs
// from the sender's configuration. Thread-safe.
Result<Configuration> ApplyUpdate(const Configuration* base,
                                  const ConfigurationUpdate& update);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_CONFIGURATION_UPDATE_H_
