// Number of requests that the local backend server takes at once.

#ifndef OLEANDERTIDE_MESH_BACKEND_ROOM_H_
#define OLEANDERTIDE_MESH_BACKEND_ROOM_H_

#include "core/time.h"

namespace oleandertide::mesh {

// Learns how many requests may be handed over at once from refusals and
// connection resets, never more than the announced slots. The announced number
// is used until the backend server refuses a request while it runs many.
//
// Two refusals without an answer to as many requests in between set the limit
// to one below the number at which they occurred. It holds for some run times
// and then grows in steps of 1, 2, 4. A refusal of a trial beyond the safe
// number lowers it at once and doubles the time for which it holds, so a
// backend server with fewer slots than announced is seldom sent one too many. A
// request that must not run twice is handed over only up to the safe number:
// if a full backend server resets its connection, it is not known whether the
// request ran. A number becomes safe when a request that may be repeated was
// answered there, or if none was refused for some seconds.
//
// Expected load: backend servers that shed load or reset connections when they
// are full, and count requests that the node has already given up.
//
// Not thread-safe.
class BackendRoom {
 public:
  // Sets the announced number of slots. A changed number resets the limit.
  // Precondition: slots >= 0.
  void set_announced(int slots);

  // Forgets what was learnt, after another backend server has replaced this
  // one.
  void Reset();

  // A request that the backend server refused, by an answer or a reset of the
  // connection.
  struct Refused {
    // Requests at the backend server when this one was handed over, with it.
    int in_hand = 0;
    // Time since it was handed over.
    Duration elapsed{};
    // Mean run time at the backend server; zero if unknown.
    Duration run_time{};
  };

  // Records a refusal. Returns whether it is a sign that the backend server was
  // full.
  bool RecordRefusal(MonotonicTime now, const Refused& refused);

  // Records that a request was answered, which was the `in_hand`th when it was
  // handed over.
  void RecordAnswer(int in_hand);

  // Returns the number of requests that may be handed over at once.
  int limit(MonotonicTime now);

  // Returns the number of requests up to which those that must not run twice
  // may be handed over; at most limit().
  int safe_limit(MonotonicTime now);

 private:
  int announced_ = 0;
  int limit_ = 0;
  int safe_ = 0;
  int step_ = 1;
  Duration interval_{};
  MonotonicTime refused_at_{};
  MonotonicTime next_growth_{};
  bool was_refused_ = false;
  // Refusals that may show a full backend server.
  struct Suspicion {
    int in_hand = 0;
    int refusals = 0;
  };
  Suspicion suspicion_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_BACKEND_ROOM_H_
