// HTTP server of the platform's protocol (docs/design.md, section 4.1).

#ifndef OLEANDERTIDE_TESTS_STAND_INS_PLATFORM_PLATFORM_SERVER_H_
#define OLEANDERTIDE_TESTS_STAND_INS_PLATFORM_PLATFORM_SERVER_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "stand_ins/platform/rate_limit.h"
#include "support/memory_store/memory_store.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace oleandertide::stand_ins {

// Holds rows and objects in memory. Faults are set through POST /control and
// counters are read through GET /control/statistics; neither is limited or
// affected by the faults. Thread-safe.
class PlatformServer {
 public:
  // Limits are in requests a second; 0 means no limit. A transaction counts as
  // one write, whatever the number of its rows.
  PlatformServer(std::uint64_t writes_per_second,
                 std::uint64_t reads_per_second);

  // Adds the protocol's and the control endpoints. Precondition: `server`
  // is not used after this object is gone.
  void Register(httplib::Server& server);

 private:
  using Counter = std::atomic<std::uint64_t>;

  // Delays the request and refuses it if the platform is down or `limit` is
  // reached.
  bool Admit(RateLimit& limit, httplib::Response& response);
  void HandleReadRow(const httplib::Request& request,
                     httplib::Response& response);
  void HandleTransaction(const httplib::Request& request,
                         httplib::Response& response);
  void HandlePutObject(const httplib::Request& request,
                       httplib::Response& response);
  void HandleFetchObject(const httplib::Request& request,
                         httplib::Response& response);
  void HandleControl(const httplib::Request& request,
                     httplib::Response& response);
  void HandleStatistics(httplib::Response& response) const;
  // Closes the connection if an answer is to be lost.
  void MaybeLoseAnswer(const httplib::Request& request);

  store::MemoryStore store_;
  RateLimit write_limit_;
  RateLimit read_limit_;
  std::atomic<bool> is_down_{false};
  std::atomic<bool> damages_objects_{false};
  std::atomic<bool> hides_objects_{false};
  std::atomic<std::int64_t> delay_milliseconds_{0};
  std::atomic<std::int64_t> answers_to_lose_{0};
  Counter row_reads_{0};
  Counter unchanged_row_reads_{0};
  Counter object_reads_{0};
  Counter transactions_{0};
  Counter written_rows_{0};
  Counter object_writes_{0};
  Counter refused_conditions_{0};
  Counter refused_rate_{0};
  Counter refused_down_{0};
  Counter lost_answers_{0};
};

}  // namespace oleandertide::stand_ins

#endif  // OLEANDERTIDE_TESTS_STAND_INS_PLATFORM_PLATFORM_SERVER_H_
