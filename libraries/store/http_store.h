// Client of the platform's HTTP protocol (docs/design.md, section 4.1).

#ifndef OLEANDERTIDE_STORE_HTTP_STORE_H_
#define OLEANDERTIDE_STORE_HTTP_STORE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "store/store.h"

namespace oleandertide::store {

struct HttpStoreOptions {
  // Longest wait for a TCP connection.
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Longest wait for the platform to accept or produce the next bytes, and
  // longest time for a whole answer body.
  Duration request_timeout = std::chrono::seconds(2);
  // An idle connection older than this is closed instead of used again, so
  // that a request rarely meets a connection that the platform is closing.
  Duration idle_limit = std::chrono::seconds(2);
  // Connections kept open between requests.
  std::size_t maximum_idle_connections = 4;
  // An answer with a larger body is refused with kTooLarge.
  std::size_t maximum_answer_bytes = std::size_t{16} * 1024 * 1024;
};

// Traffic since the store was made. Bytes are those of HTTP, without TCP and
// IP headers; a request that failed counts as sent in full.
struct HttpStoreStatistics {
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

// Thread-safe; each request in progress has a connection of its own. Blocks
// the calling thread for at most about the connect timeout plus a few request
// timeouts. Reads and PutObject are sent again once, on a new connection, if a
// kept connection failed; Transact never is.
class HttpStore final : public Store {
 public:
  // `address` is "IP:port" ("[IP]:port" for IPv6). Error kInvalidArgument if it
  // is malformed. Does not connect. Sets SIGPIPE to be ignored in the process,
  // because the HTTP library writes to sockets that the peer may have closed.
  static Result<std::unique_ptr<HttpStore>> Make(
      std::string_view address, const HttpStoreOptions& options = {});

  HttpStore(const HttpStore&) = delete;
  HttpStore& operator=(const HttpStore&) = delete;
  ~HttpStore() override;

  // Errors beside those of Store: kDataDamaged for an answer that does not
  // follow the protocol, kTooLarge, and kInvalidArgument if the platform
  // rejects the request as malformed.
  Result<ReadOutcome> ReadRow(std::string_view key,
                              std::optional<RowVersion> known_version) override;
  // kUnavailable only if no connection was made or the platform answered 503.
  // Every other failure without a usable answer gives kOutcomeUnknown.
  Result<TransactionOutcome> Transact(std::span<const Condition> conditions,
                                      std::span<const Write> writes) override;
  Result<void> PutObject(std::string_view digest,
                         std::string_view bytes) override;
  Result<std::string> FetchObject(std::string_view digest) override;

  // Thread-safe; the counters are read one by one.
  HttpStoreStatistics statistics() const;

 private:
  struct Connection;
  struct Request;
  struct Answer;
  struct Exchange;

  HttpStore(std::string host, int port, const HttpStoreOptions& options);

  std::unique_ptr<Connection> TakeConnection(bool fresh);
  void KeepConnection(std::unique_ptr<Connection> connection);
  Exchange SendOnce(const Request& request, bool fresh);
  Result<Answer> SendRepeatable(const Request& request);

  const std::string host_;
  const int port_;
  const HttpStoreOptions options_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> idle_;  // Guarded by mutex_.
  std::atomic<std::uint64_t> requests_{0};
  std::atomic<std::uint64_t> failures_{0};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
};

}  // namespace oleandertide::store

#endif  // OLEANDERTIDE_STORE_HTTP_STORE_H_
