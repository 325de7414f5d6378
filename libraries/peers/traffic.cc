#include "peers/traffic.h"

#include <linux/tcp.h>
#include <netinet/in.h>

namespace oleandertide::peers {

Traffic& Traffic::operator+=(const Traffic& other) {
  bytes_sent += other.bytes_sent;
  bytes_received += other.bytes_received;
  packets += other.packets;
  connections += other.connections;
  return *this;
}

Traffic ReadTraffic(kj::AsyncIoStream& stream) {
  tcp_info info{};
  auto length = static_cast<kj::uint>(sizeof(info));
  try {
    stream.getsockopt(IPPROTO_TCP, TCP_INFO, &info, &length);
  } catch (const kj::Exception&) {
    return {};
  }
  return {info.tcpi_bytes_acked, info.tcpi_bytes_received,
          std::uint64_t{info.tcpi_segs_out} + info.tcpi_segs_in, 1};
}

}  // namespace oleandertide::peers
