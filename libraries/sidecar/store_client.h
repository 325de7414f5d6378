// Calls to the metadata store of the users' platform.

#ifndef OLEANDERTIDE_SIDECAR_STORE_CLIENT_H_
#define OLEANDERTIDE_SIDECAR_STORE_CLIENT_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "coordination/store_clock.h"
#include "core/result.h"
#include "core/time.h"
#include "platform/store_codec.h"
#include "sidecar/event_loop.h"
#include "sidecar/http_connection.h"
#include "sidecar/node_metrics.h"

namespace oleandertide::sidecar {

// Sends calls one after the other on a kept connection, and a call that waits
// for changes on another one. Not thread-safe.
class StoreClient {
 public:
  // Errors: kUnavailable (refused, nothing was done), kRateLimited, kConflict
  // (a condition did not hold), kNotFound (the history is gone),
  // kOutcomeUnknown (no answer, the call may still be performed),
  // kConnectFailed as kUnavailable, kDataDamaged.
  using OnRows = std::function<void(Result<platform::RowList>)>;
  using OnWritten = std::function<void(Result<platform::WriteReceipt>)>;

  StoreClient(EventLoop& loop, Tcp::endpoint endpoint, std::string host,
              NodeMetrics& metrics, coordination::StoreClock& clock);
  ~StoreClient();

  // Sets the account for large answers; outlives the client. Precondition: no
  // call has begun.
  void set_budget(ByteBudget* budget) { budget_ = budget; }

  // Reads the rows of a table from `first_key` on.
  void ReadRows(std::string_view table, std::string_view first_key,
                OnRows on_rows);

  // Waits up to `wait` for changes of a table after a version. Precondition: no
  // other such call is in progress.
  void AwaitChanges(std::string_view table, std::uint64_t after, Duration wait,
                    OnRows on_rows);

  // Writes a row under a condition. A success whose receipt cannot be read is
  // kDataDamaged, and the row was written; after a malformed answer the outcome
  // is unknown.
  void Write(const platform::ConditionalWrite& write, OnWritten on_written);

 private:
  HttpExchange MakeExchange(
      std::string_view head, std::string body, Duration limit,
      const std::function<void(Result<std::string>)>& on_body);
  std::shared_ptr<HttpConnection> Open() const;
  // Takes in the time and the era of an answer to a call sent at `sent_at`.
  void Observe(std::uint64_t store_time_ms, BootTime sent_at);
  void ObserveEra(const HttpResponse& response);
  void Enqueue(HttpExchange exchange);
  void StartNext();

  EventLoop& loop_;
  const Tcp::endpoint endpoint_;
  const std::string host_;
  NodeMetrics& metrics_;
  // Learns the store's time from all answers, before the caller has them.
  coordination::StoreClock& clock_;
  ByteBudget* budget_ = nullptr;
  // Era of the answer that is being handled. An answer that tells none is of
  // the last one told.
  std::uint64_t era_ = 0;
  std::shared_ptr<HttpConnection> calls_connection_;
  std::shared_ptr<HttpConnection> changes_connection_;
  std::deque<HttpExchange> queue_;
  bool is_busy_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_STORE_CLIENT_H_
