// A node as other nodes know it.

#ifndef OLEANDERTIDE_SIDECAR_NODE_IDENTITY_H_
#define OLEANDERTIDE_SIDECAR_NODE_IDENTITY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/address.h"
#include "core/result.h"

namespace oleandertide::sidecar {

// A node as other nodes reach it.
struct NodeIdentity {
  // What another node or the store says of a node.
  struct Text {
    std::string_view name;
    std::string_view data_centre;
    std::string_view address;
    std::string_view service;
    std::uint32_t link_mbps = 0;
  };

  // Error kInvalidArgument if that names no node that could be reached: an
  // address without valid IP number and port, no name, or no bandwidth.
  // Thread-safe.
  static Result<NodeIdentity> Create(const Text& text);

  std::string name{};
  std::string data_centre{};
  // Where it accepts links.
  Address address{};
  // Service of the instance.
  std::string service{};
  // Bandwidth of the instance's link in Mbit/s.
  std::uint32_t link_mbps = 1;

  bool operator==(const NodeIdentity&) const = default;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_NODE_IDENTITY_H_
