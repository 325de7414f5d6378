// cpp-httplib's client with a check of what it takes for a whole answer.

#ifndef OLEANDERTIDE_HTTP_CHECKED_CLIENT_H_
#define OLEANDERTIDE_HTTP_CHECKED_CLIENT_H_

#include <httplib.h>

#include <functional>

#include "core/address.h"
#include "core/time.h"

namespace oleandertide::http {

// The library ends a chunked body at any line that it does not expect, or at
// the end of the connection, and calls the answer a success; it also takes
// heads that HTTP does not have. This client knows better. One request at a
// time; stop() may be called by another thread.
class CheckedClient final : public httplib::ClientImpl {
 public:
  explicit CheckedClient(const Address& server);

  // Time that each read and write may take. Precondition: limit > 0.
  void set_limit(Duration limit);

  // Sends a request. Returns whether the answer is whole; `error` is kRead if
  // it was cut or its head is malformed.
  bool SendChecked(httplib::Request& request, httplib::Response& answer,
                   httplib::Error& error);

 private:
  bool process_socket(
      const Socket& socket,
      std::function<bool(httplib::Stream& stream)> callback) override;

  Duration limit_{};
  // Whether the library read the head of an answer.
  bool is_head_complete_ = false;
  // Whether the last bytes that the library took end a chunked body.
  bool is_chunked_end_ = false;
};

}  // namespace oleandertide::http

#endif  // OLEANDERTIDE_HTTP_CHECKED_CLIENT_H_
