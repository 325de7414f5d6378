// The configuration in force at a node, and the age of its confirmation.

#ifndef OLEANDERTIDE_MESH_CONFIGURATION_HOLDER_H_
#define OLEANDERTIDE_MESH_CONFIGURATION_HOLDER_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

#include "core/time.h"
#include "mesh/configuration.h"
#include "mesh/configuration_update.h"

namespace oleandertide::mesh {

// Never moves to an older version. Keeps recent versions to compute updates for
// other nodes. Not thread-safe; configurations are immutable.
class ConfigurationHolder {
 public:
  // Number of versions kept. A node is seldom further behind; if it is, it gets
  // the whole configuration.
  static constexpr std::size_t kMaxKeptVersions = 8;

  // Puts a configuration in force if it is newer; returns whether it was.
  bool InstallIfNewer(Configuration configuration);

  // Records that the store had no newer version than `version` at `store_time`
  // by its own clock, which was `age` ago. Only a later time by the store's
  // clock renews the confirmation: ages exclude the transit time between nodes,
  // so nodes that send each other an old confirmation would keep it fresh.
  void Confirm(std::uint64_t version, std::uint64_t store_time,
               MonotonicTime now, Duration age);

  // Time by the store's clock of the last confirmation; 0 without any.
  std::uint64_t confirmed_store_time() const { return confirmed_store_time_; }

  // Returns the update from `version` to the current configuration, or the
  // whole configuration if that version is not kept. Precondition: current() is
  // not nullptr.
  ConfigurationUpdate MakeUpdateSince(std::uint64_t version) const;

  // nullptr until the first configuration is known.
  const std::shared_ptr<const Configuration>& current() const {
    return current_;
  }

  // 0 until the first configuration is known.
  std::uint64_t version() const { return current_ ? current_->version : 0; }

  // Time since the store confirmed the version; the maximum if it never did.
  Duration confirmation_age(MonotonicTime now) const;

 private:
  std::shared_ptr<const Configuration> current_;
  // Oldest first, the current one at the end.
  std::deque<std::shared_ptr<const Configuration>> recent_versions_;
  std::optional<MonotonicTime> confirmed_at_;
  std::uint64_t confirmed_store_time_ = 0;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_CONFIGURATION_HOLDER_H_
