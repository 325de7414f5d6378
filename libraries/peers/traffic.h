// Traffic of connections, as the kernel counts it.

#ifndef OLEANDERTIDE_PEERS_TRAFFIC_H_
#define OLEANDERTIDE_PEERS_TRAFFIC_H_

#include <kj/async-io.h>

#include <cstdint>

namespace oleandertide::peers {

// Bytes are those of TCP's payload.
struct Traffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t packets = 0;  // Segments sent and received.
  std::uint64_t connections = 0;

  Traffic& operator+=(const Traffic& other);
};

// Reads TCP_INFO of a connection; all zero if the kernel refuses.
// Precondition: called on the event loop of `stream`.
Traffic ReadTraffic(kj::AsyncIoStream& stream);

}  // namespace oleandertide::peers

#endif  // OLEANDERTIDE_PEERS_TRAFFIC_H_
