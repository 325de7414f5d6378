// The configuration in force at a node, and how fresh it is.

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

// Never moves to an older version. Keeps the last versions, to tell other nodes
// what changed since theirs. Not thread-safe; configurations are immutable.
class ConfigurationHolder {
 public:
  // Versions that are kept: a node is seldom further behind, and gets the whole
  // configuration if it is.
  static constexpr std::size_t kMaxKeptVersions = 8;

  // Puts a configuration in force if it is newer; returns whether it was.
  bool InstallIfNewer(Configuration configuration);

  // The store, `age` ago and at `store_time` by its own clock, had no newer
  // version than `version`. Only a later time by the store's clock renews the
  // confirmation: ages do not count the way between nodes, so nodes that pass
  // an old confirmation to and fro would keep it fresh.
  void Confirm(std::uint64_t version, std::uint64_t store_time,
               MonotonicTime now, Duration age);

  // Time by the store's clock of the last confirmation; 0 without any.
  std::uint64_t confirmed_store_time() const { return confirmed_store_time_; }

  // Returns what a node that has `version` needs; the whole configuration if
  // that version is not kept. Precondition: current() is not nullptr.
  ConfigurationUpdate MakeUpdateSince(std::uint64_t version) const;

  // nullptr until the first one is known.
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
