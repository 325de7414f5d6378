// Watches the connections of requests in progress.

#ifndef OLEANDERTIDE_HTTP_HANG_UP_MONITOR_H_
#define OLEANDERTIDE_HTTP_HANG_UP_MONITOR_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <stop_token>
#include <thread>

namespace oleandertide::http {

// Cancels requests whose peer closed the connection, within about 20 ms. The
// library's server offers no such notice while a handler runs. Thread-safe.
class HangUpMonitor {
 public:
  HangUpMonitor();
  ~HangUpMonitor();

  HangUpMonitor(const HangUpMonitor&) = delete;
  HangUpMonitor& operator=(const HangUpMonitor&) = delete;

  // Starts watching `socket`. Precondition: it is not watched yet.
  void Watch(int socket, std::stop_source request);

  // Stops watching; after the return the socket may be closed.
  void Unwatch(int socket);

 private:
  void Run();
  void CancelClosed();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<int, std::stop_source> watched_;
  // The thread sleeps until the next Watch, instead of looking regularly.
  bool is_asleep_ = false;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace oleandertide::http

#endif  // OLEANDERTIDE_HTTP_HANG_UP_MONITOR_H_
