// A scripted TCP server in place of a backend server.

#ifndef OLEANDERTIDE_TESTS_SIDECAR_RAW_SERVER_H_
#define OLEANDERTIDE_TESTS_SIDECAR_RAW_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "sidecar/event_loop.h"

namespace oleandertide::sidecar {

// A request as its bytes came.
struct RawRequest {
  std::string head;
  std::string body;

  // Value of a header; empty if missing.
  std::string header(std::string_view name) const;
  // The path and query.
  std::string target() const;
};

// What to do with a request.
struct RawReply {
  // Bytes to send; with {id} for the request's id.
  std::string bytes{};
  Duration delay{};
  // Close after the bytes; a reset loses what was not read.
  bool closes = false;
  bool resets = false;
  // The same behind the bytes.
  bool resets_after = false;
  // Answer as soon as the head is in.
  bool is_early = false;
  // Say behind the bytes that none follow, and read on.
  bool half_closes = false;
  // Sent once more after this time, if not empty, whatever the connection does
  // then.
  std::string late_bytes{};
  Duration late_delay{};
  // Sent again and again until the other side closes, if not empty.
  std::string endless_bytes{};
};

// Returns a complete answer of a backend server with its signature.
std::string StampedAnswer(std::string_view body, int status = 200);

// Accepts connections and answers each request as the script says. Not
// thread-safe.
class RawServer {
 public:
  using Script = std::function<RawReply(const RawRequest&)>;

  RawServer(EventLoop& loop, Script script);

  Tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

  // Requests that were read whole, in order.
  const std::vector<RawRequest>& requests() const { return requests_; }

  // Connections that the other side closed while a reply was due.
  int abandoned() const { return abandoned_; }

  int connections() const { return accepted_; }

  // Total of endless bytes that the system took.
  std::size_t endless_sent() const { return endless_sent_; }

  // Refuses connections from now on and resets the open ones.
  void Crash();

 private:
  struct Session;

  void Accept();
  void Read(const std::shared_ptr<Session>& session);
  void Handle(const std::shared_ptr<Session>& session);
  void Reply(const std::shared_ptr<Session>& session, const RawRequest& request,
             const RawReply& reply);

  EventLoop& loop_;
  Tcp::acceptor acceptor_;
  Script script_;
  std::vector<RawRequest> requests_;
  std::vector<std::weak_ptr<Session>> sessions_;
  void SendEndlessly(const std::shared_ptr<Session>& session,
                     const std::shared_ptr<std::string>& bytes);

  int abandoned_ = 0;
  std::size_t endless_sent_ = 0;
  int accepted_ = 0;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_TESTS_SIDECAR_RAW_SERVER_H_
