#include "core/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <utility>

namespace oleandertide {
namespace {

// Writes the IP number in its one usual form, so that equal addresses compare
// equal.
Result<std::string> NormalizeIp(const std::string& text, int family) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  std::array<char, INET6_ADDRSTRLEN> normal{};
  if (inet_pton(family, text.c_str(), bytes.data()) != 1 ||
      inet_ntop(family, bytes.data(), normal.data(), normal.size()) ==
          nullptr) {
    return Error::kInvalidArgument;
  }
  return std::string(normal.data());
}

Result<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, code] = std::from_chars(text.data(), end, port);
  if (code != std::errc() || rest != end) return Error::kInvalidArgument;
  return port;
}

}  // namespace

Result<Address> Address::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return Error::kInvalidArgument;
  std::string_view ip = text.substr(0, colon);
  const bool is_bracketed = ip.starts_with('[') && ip.ends_with(']');
  if (is_bracketed) ip = ip.substr(1, ip.size() - 2);
  OLEANDERTIDE_TRY(port, ParsePort(text.substr(colon + 1)));
  OLEANDERTIDE_TRY(
      normal, NormalizeIp(std::string(ip), is_bracketed ? AF_INET6 : AF_INET));
  return Address{std::move(normal), port};
}

std::string Address::ToString() const {
  return (is_ipv6() ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

}  // namespace oleandertide
