// Address of a process.

#ifndef OLEANDERTIDE_CORE_ADDRESS_H_
#define OLEANDERTIDE_CORE_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "core/result.h"

namespace oleandertide {

// IP number (IPv4 or IPv6) and TCP or UDP port.
struct Address {
  // Without brackets, as inet_ntop(3) writes it.
  std::string ip;
  std::uint16_t port = 0;

  // Reads `1.2.3.4:80` or `[::1]:80`; host names are refused. Error
  // kInvalidArgument. Thread-safe.
  static Result<Address> Parse(std::string_view text);

  // Writes the form that Parse reads. Thread-safe.
  std::string ToString() const;

  // Whether the IP number is one of IPv6.
  bool is_ipv6() const { return ip.find(':') != std::string::npos; }

  // Whether the IP number stands for all addresses of the instance.
  bool is_wildcard() const { return ip == "0.0.0.0" || ip == "::"; }

  bool operator==(const Address&) const = default;
  bool operator<(const Address& other) const {
    return std::tie(ip, port) < std::tie(other.ip, other.port);
  }
};

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_ADDRESS_H_
