// Address of a process.

#ifndef OLEANDERTIDE_CONFIG_ADDRESS_H_
#define OLEANDERTIDE_CONFIG_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "core/result.h"

namespace oleandertide::config {

// IP number (IPv4 or IPv6) and TCP or UDP port.
struct Address {
  // Without brackets, as inet_ntop(3) writes it.
  std::string ip;
  std::uint16_t port = 0;

  // Reads `1.2.3.4:80` or `[::1]:80`; host names are refused. Error
  // kInvalidArgument. Thread-safe.
  static Result<Address> Parse(std::string_view text);

  // Whether the IP number stands for all addresses of the instance.
  bool is_wildcard() const { return ip == "0.0.0.0" || ip == "::"; }

  bool operator==(const Address&) const = default;
  bool operator<(const Address& other) const {
    return std::tie(ip, port) < std::tie(other.ip, other.port);
  }
};

// Writes the form that Address::Parse reads. Thread-safe.
std::string ToString(const Address& address);

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_ADDRESS_H_
