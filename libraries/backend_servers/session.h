// One life of the local backend server.

#ifndef OLEANDERTIDE_BACKEND_SERVERS_SESSION_H_
#define OLEANDERTIDE_BACKEND_SERVERS_SESSION_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <stop_token>
#include <vector>

#include "backend_servers/announcement.h"
#include "calls/call.h"
#include "core/result.h"
#include "core/size.h"
#include "core/time.h"
#include "http/client_pool.h"
#include "routing/admission_gate.h"

namespace oleandertide::backend_servers {

struct SessionOptions {
  int queue_length = 64;
  std::size_t maximum_answer_bytes = 8 * kMebibyte;
};

// Connections, admission and requests in flight of one backend server process.
// A restarted backend server gets a new session. Thread-safe.
class Session {
 public:
  static Result<std::shared_ptr<Session>> Create(
      const Announcement& announcement, const SessionOptions& options);

  const Announcement& announcement() const { return announcement_; }
  routing::AdmissionGate& gate() { return gate_; }

  // Hands a request over to the backend server and blocks until its answer,
  // its deadline or its cancellation. Precondition: the caller holds a ticket
  // of gate(). Refusals: kConnectFailed is not-run; kConnectionLost,
  // kBackendServerDied, kDeadlineInFlight and kCallerGone are unknown.
  calls::CallResult Send(const calls::ForwardedRequest& request,
                         std::stop_token cancelled);

  // Whether the process was found dead: it accepted no connection.
  bool is_dead() const;

  // Closes admission if the process accepts no connection within `timeout`.
  // Returns is_dead().
  bool Probe(Duration timeout);

  // The fingerprints that were in flight when the process was found dead;
  // empty on later calls.
  std::vector<std::uint64_t> TakeSuspects();

 private:
  Session(Announcement announcement, const SessionOptions& options,
          routing::Admission admission);

  calls::Refusal Classify(http::Failure failure);
  void MarkDead();

  const Announcement announcement_;
  http::ClientPool pool_;
  routing::AdmissionGate gate_;
  mutable std::mutex mutex_;
  std::multiset<std::uint64_t> in_flight_;
  std::vector<std::uint64_t> suspects_;
  bool is_dead_ = false;
};

}  // namespace oleandertide::backend_servers

#endif  // OLEANDERTIDE_BACKEND_SERVERS_SESSION_H_
