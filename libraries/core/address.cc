#include "core/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace oleandertide {

Result<Address> Address::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return Error::kInvalidArgument;

  Address address;
  address.ip = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
    return Error::kInvalidArgument;
  }

  const std::string_view digits = text.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  const auto [stop, status] = std::from_chars(digits.data(), end, address.port);
  if (status != std::errc() || stop != end) return Error::kInvalidArgument;
  return address;
}

}  // namespace oleandertide
