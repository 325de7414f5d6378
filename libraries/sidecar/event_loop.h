// The event loop of a node and what all its connections share.

#ifndef OLEANDERTIDE_SIDECAR_EVENT_LOOP_H_
#define OLEANDERTIDE_SIDECAR_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

#include "core/address.h"
#include "core/result.h"
#include "core/time.h"

namespace oleandertide::sidecar {

// One thread runs everything: a node has a share of one core, so further
// threads would add wake-ups and no speed.
using EventLoop = boost::asio::io_context;
using Tcp = boost::asio::ip::tcp;

// Converts an address with an IPv4 or IPv6 number. Error kInvalidArgument.
Result<Tcp::endpoint> ToEndpoint(const Address& address);

// Makes a connection that went silent fail after `limit`, with bytes on the way
// or without, sends small messages at once and bounds what the system keeps
// unread. Precondition: limit is at least a second.
void SetConnectionOptions(Tcp::socket& socket, Duration limit);

// Bounds the bytes that the system keeps unread for a socket, or for those that
// a listening socket will accept; it may round the bound up to what it needs
// itself.
void SetReceiveBuffer(int socket, std::size_t bytes);

// Makes those that connect to a listening socket send small segments: they wait
// with segments that do not fit into what is left of a small receive buffer,
// and on a loopback device a segment has 64 KiB.
void BoundSegments(Tcp::acceptor& acceptor);

// Opens a listening socket.
Result<Tcp::acceptor> Listen(EventLoop& loop, const Address& address);

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_EVENT_LOOP_H_
