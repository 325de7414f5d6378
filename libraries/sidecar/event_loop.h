// The event loop of a node and what all its connections share.

#ifndef OLEANDERTIDE_SIDECAR_EVENT_LOOP_H_
#define OLEANDERTIDE_SIDECAR_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

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
// or without, and sends small messages at once. Precondition: limit is at
// least a second.
void SetConnectionOptions(Tcp::socket& socket, Duration limit);

// Opens a listening socket.
Result<Tcp::acceptor> Listen(EventLoop& loop, const Address& address);

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_EVENT_LOOP_H_
