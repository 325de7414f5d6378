// Outcomes of an attempt to run a request, and loads of backend servers.

#ifndef OLEANDERTIDE_MESH_OUTCOME_H_
#define OLEANDERTIDE_MESH_OUTCOME_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string>
#include <string_view>
#include <variant>

#include "core/time.h"

namespace oleandertide::mesh {

// Why a request was not run, or why its outcome is not known.
enum class Reason : std::uint8_t {
  kNone,
  // The node holds no configuration yet.
  kNoConfiguration,
  // No known backend server of the service accepts requests.
  kNoBackendServer,
  // The wait for a slot would exceed the request's wait allowance.
  kNoRoom,
  // The backend server of the receiver is leaving, down or of another service.
  kBackendServerAway,
  // The backend server answered that it did not run the request.
  kBackendServerRefused,
  // No connection to the backend server could be opened.
  kConnectFailed,
  // The connection ended before the answer was complete.
  kConnectionLost,
  // The answer belonged to another request, could not be parsed, or there was
  // no memory for it.
  kAnswerUnusable,
  // The deadline of the request passed.
  kDeadlinePassed,
  // The connection to the receiver was lost.
  kLinkLost,
  // The request was in flight when several backend servers crashed.
  kQuarantined,
  // The client disconnected.
  kCancelled,
  // The receiver is about to stop.
  kStopping,
  // No coordinator told whether the organisation is within its limit.
  kLimitUnknown,
  // The receiver has no memory for the body of the request.
  kNoMemory,
};

inline constexpr int kReasonCount = static_cast<int>(Reason::kNoMemory) + 1;

// Stable name for logs and metrics. Thread-safe.
std::string_view ToString(Reason reason);

// An answer of the backend server, success or failure.
struct Completed {
  int status = 0;
  // Header lines as in HTTP/1.1, each with its line end, without the
  // connection-specific ones.
  std::string headers{};
  std::string body{};
  // Time for which the request held a slot.
  Duration run_time{};
};

// The request has not run and never will by this attempt.
struct NotRun {
  Reason reason = Reason::kNone;
  // Whether it was sent to a backend server, which refused it.
  bool has_reached_backend_server = false;
};

// The request may have run.
struct Unknown {
  Reason reason = Reason::kNone;
};

using Outcome = std::variant<Completed, NotRun, Unknown>;

// Number of priority classes in a load report. Less urgent priorities count in
// the last class.
inline constexpr std::size_t kPriorityClassCount = 4;

// Number of requests by priority class, the most urgent first.
using PriorityClassCounts = std::array<int, kPriorityClassCount>;

// Returns the index of a route's priority in PriorityClassCounts. Thread-safe.
inline std::size_t ToPriorityClass(int priority) {
  return static_cast<std::size_t>(
      std::clamp(priority, 0, static_cast<int>(kPriorityClassCount) - 1));
}

// Load of a backend server, as the node on its instance measures it.
struct BackendLoad {
  bool accepts_requests = false;
  int slots = 0;
  int running = 0;
  PriorityClassCounts waiting{};
  // Mean time for which a request holds a slot; zero if unknown.
  Duration mean_run_time{};
  // Ratio of its run times to those of other backend servers of the service.
  double slowness = 1;
  // Share, from 0 to 1, of requests that it refuses or fails without need.
  double failure_share = 0;
  // Time that the instance's link needs for the answers due on it.
  Duration link_wait{};

  // Number of waiting requests that run before a new one of `priority`.
  int waiting_before(int priority) const {
    return std::accumulate(waiting.begin(),
                           waiting.begin() + ToPriorityClass(priority) + 1, 0);
  }

  int total_waiting() const { return waiting_before(kPriorityClassCount); }

  bool operator==(const BackendLoad&) const = default;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_OUTCOME_H_
