#include "sidecar/node_identity.h"

#include <utility>

namespace oleandertide::sidecar {

Result<NodeIdentity> NodeIdentity::Create(const Text& text) {
  OLEANDERTIDE_TRY(address, Address::Parse(text.address));
  if (address.port == 0 || text.name.empty() || text.link_mbps == 0) {
    return Error::kInvalidArgument;
  }
  return NodeIdentity{.name = std::string(text.name),
                      .data_centre = std::string(text.data_centre),
                      .address = std::move(address),
                      .service = std::string(text.service),
                      .link_mbps = text.link_mbps};
}

}  // namespace oleandertide::sidecar
