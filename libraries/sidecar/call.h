// A request on its way from the node that received it to the one that runs it.

#ifndef OLEANDERTIDE_SIDECAR_CALL_H_
#define OLEANDERTIDE_SIDECAR_CALL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/time.h"
#include "mesh/outcome.h"
#include "routing/quarantine.h"
#include "sidecar/shared_body.h"

namespace oleandertide::sidecar {

struct Call {
  std::string request_id{};
  std::string method{};
  std::string target{};
  // Lines as in HTTP/1.1, each with its line end.
  std::string headers{};
  SharedBody body{};
  // Service on whose instance the request began.
  std::string caller_service{};
  // Organisation of the client; empty if there is none.
  std::string organisation{};
  // Service that is to run the request.
  std::string service{};
  // Time left until the answer is of no use.
  Duration remaining{};
  // Time for which the request may wait for a slot.
  Duration wait_allowance{};
  // Longest time that the sender's link may need for what is promised before
  // the answer, if that matters.
  std::optional<Duration> link_allowance{};
  // Mean run time of the route; zero if unknown.
  Duration expected_run{};
  // Mean size of the route's answers in bytes; zero if unknown.
  std::size_t expected_bytes = 0;
  routing::Fingerprint fingerprint = 0;
  // Rank; 0 is the most urgent.
  int priority = 0;
  // Whether a backend server made the call while it ran another request.
  bool is_backend_server_call = false;
  // Whether the request may run more than once.
  bool is_repeatable = false;
};

// Called once with the outcome, unless the call is cancelled before.
using OnOutcome = std::function<void(mesh::Outcome)>;

// Names a call within the node or link that carries it.
using CallId = std::uint64_t;

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_CALL_H_
