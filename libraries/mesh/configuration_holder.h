// The configuration in force at a node, and how fresh it is.

#ifndef OLEANDERTIDE_MESH_CONFIGURATION_HOLDER_H_
#define OLEANDERTIDE_MESH_CONFIGURATION_HOLDER_H_

#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "mesh/configuration.h"

namespace oleandertide::mesh {

// Never moves to an older version. Keeps the text as the store holds it, to
// pass it on to other nodes. Not thread-safe; snapshots are immutable.
class ConfigurationHolder {
 public:
  // Puts a configuration in force if it is newer; returns whether it was.
  bool Offer(Configuration configuration, std::string text);

  // The store, `age` ago, had no newer version than `version`.
  void Confirm(std::uint64_t version, MonotonicTime now, Duration age);

  // nullptr until the first one is known.
  const std::shared_ptr<const Configuration>& current() const {
    return current_;
  }

  // 0 until the first configuration is known.
  std::uint64_t version() const { return current_ ? current_->version : 0; }

  const std::string& text() const { return text_; }

  // Time since the store confirmed the version; the maximum if it never did.
  Duration confirmation_age(MonotonicTime now) const;

 private:
  std::shared_ptr<const Configuration> current_;
  std::string text_;
  std::optional<MonotonicTime> confirmed_at_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_CONFIGURATION_HOLDER_H_
