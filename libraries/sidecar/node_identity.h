// A node as other nodes know it.

#ifndef OLEANDERTIDE_SIDECAR_NODE_IDENTITY_H_
#define OLEANDERTIDE_SIDECAR_NODE_IDENTITY_H_

#include <cstdint>
#include <string>

namespace oleandertide::sidecar {

// A node as other nodes reach it.
struct NodeIdentity {
  std::string name{};
  std::string data_centre{};
  // Where it accepts links.
  std::string address{};
  // Service of the instance.
  std::string service{};
  // Bandwidth of the instance's link in Mbit/s.
  std::uint32_t link_mbps = 1;

  bool operator==(const NodeIdentity&) const = default;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_NODE_IDENTITY_H_
