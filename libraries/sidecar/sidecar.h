// A node beside a backend server on the users' platform.

#ifndef OLEANDERTIDE_SIDECAR_SIDECAR_H_
#define OLEANDERTIDE_SIDECAR_SIDECAR_H_

#include <memory>
#include <string>

#include "core/result.h"
#include "sidecar/event_loop.h"
#include "sidecar/settings.h"

namespace oleandertide::sidecar {

// Owns all parts of a node and connects them. Not thread-safe.
class Sidecar {
 public:
  // Opens the listening sockets and starts all activity on `loop`, which
  // outlives the result. Errors of the system, e.g. that an address is in use.
  static Result<std::unique_ptr<Sidecar>> Create(
      EventLoop& loop, const SidecarSettings& settings);
  ~Sidecar();

  // Takes in settings that may change while the node runs; others are logged
  // and take effect at the next start.
  void Reload(const SidecarSettings& settings);

  // Begins to end: the node is not ready any more, takes requests for a while,
  // finishes those in flight and stops the loop.
  void Stop();

 private:
  class Parts;

  explicit Sidecar(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> parts_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_SIDECAR_H_
