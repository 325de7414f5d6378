// What a backend server tells the node beside it.

#ifndef OLEANDERTIDE_BACKEND_SERVERS_ANNOUNCEMENT_H_
#define OLEANDERTIDE_BACKEND_SERVERS_ANNOUNCEMENT_H_

#include <string>
#include <string_view>

#include "core/address.h"
#include "core/result.h"

namespace oleandertide::backend_servers {

// Sent at least every second as `PUT /backend-server` with a JSON object:
//   service      name of the service, required
//   address      "IP:port" where it serves, required
//   slots        requests that run at a time, 1 to 10,000, required
//   connections  connections that it takes, slots to 100,000, required
//   leaving      true once it is about to stop; default false
//   life         any text that differs after a restart; default empty
struct Announcement {
  std::string service;
  Address address;
  int slots = 0;
  int connections = 0;
  bool is_leaving = false;
  std::string life;

  // Parses the JSON object. On errors, `*explanation` names the field and what
  // is allowed; kInvalidArgument. Thread-safe.
  static Result<Announcement> Parse(std::string_view json,
                                    std::string* explanation);
};

}  // namespace oleandertide::backend_servers

#endif  // OLEANDERTIDE_BACKEND_SERVERS_ANNOUNCEMENT_H_
