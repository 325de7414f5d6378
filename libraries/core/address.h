// An IP number and port.

#ifndef OLEANDERTIDE_CORE_ADDRESS_H_
#define OLEANDERTIDE_CORE_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"

namespace oleandertide {

// An IPv4 number and a port, as settings and member records name them.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  // Parses "IP:port". Error kInvalidArgument for anything else. Thread-safe.
  static Result<Address> Parse(std::string_view text);

  // The form that Parse reads.
  std::string ToString() const { return ip + ":" + std::to_string(port); }

  friend bool operator==(const Address&, const Address&) = default;
};

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_ADDRESS_H_
