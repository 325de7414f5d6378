// The thread that runs Cap'n Proto's event loop.

#ifndef OLEANDERTIDE_PEERS_EVENT_LOOP_H_
#define OLEANDERTIDE_PEERS_EVENT_LOOP_H_

#include <kj/async-io.h>
#include <kj/async.h>

#include <memory>
#include <thread>

namespace oleandertide::peers {

// Owns one thread with an event loop. All Cap'n Proto objects of a node live
// on it; other threads reach them through executor().
class EventLoop {
 public:
  // Starts the thread and waits until its loop accepts work.
  EventLoop();

  // Stops the loop. Everything that was created on it must be destroyed
  // before, from the loop itself.
  ~EventLoop();

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs functions on the loop. Thread-safe.
  const kj::Executor& executor() const { return *executor_; }

  // The loop's input and output. Precondition: called on the loop's thread.
  kj::AsyncIoProvider& provider() { return *provider_; }
  kj::Timer& timer() { return provider_->getTimer(); }

 private:
  kj::Own<const kj::Executor> executor_;
  kj::AsyncIoProvider* provider_ = nullptr;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
  std::thread thread_;
};

}  // namespace oleandertide::peers

#endif  // OLEANDERTIDE_PEERS_EVENT_LOOP_H_
