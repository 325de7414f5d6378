// Frames between nodes.

#include "sidecar/framed_connection.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstring>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "sidecar/event_loop.h"
#include "sidecar/link_codec.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr int kRoutes = 1600;

// Two connected sockets.
struct SocketPair {
  SocketPair() {
    Tcp::acceptor acceptor(
        loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    first.connect(acceptor.local_endpoint());
    acceptor.accept(second);
  }

  EventLoop loop{1};
  Tcp::socket first{loop};
  Tcp::socket second{loop};
};

void FillConfiguration(capnp::MallocMessageBuilder& message) {
  auto update = message.initRoot<wire::Frame>().initConfiguration();
  update.setVersion(7);
  auto routes = update.initPut(kRoutes);
  for (int i = 0; i < kRoutes; ++i) {
    routes[i].setHost("host.example");
    routes[i].setName("route-" + std::to_string(i * 7919 % 100'003));
    routes[i].setPathPrefix("/route/" + std::to_string(i) + "/");
    routes[i].setTimeoutUs(800'000);
  }
}

// Guards against configurations that fill a narrow link for half a second.
TEST_CASE("a large message arrives whole and takes a third of its size") {
  SocketPair pair;
  const auto sender = std::make_shared<FramedConnection>(std::move(pair.first));
  const auto receiver =
      std::make_shared<FramedConnection>(std::move(pair.second));
  int received = 0;
  sender->Start([](auto, auto) {}, [] {});
  receiver->Start(
      [&](wire::Frame::Reader frame, std::string_view body) {
        REQUIRE(body == "and a body");
        const auto routes = frame.getConfiguration().getPut();
        REQUIRE(routes.size() == kRoutes);
        REQUIRE(std::string(routes[kRoutes - 1].getPathPrefix().cStr()) ==
                "/route/1599/");
        ++received;
      },
      [] {});
  capnp::MallocMessageBuilder message;
  FillConfiguration(message);
  std::size_t plain = 0;
  for (const auto& segment : message.getSegmentsForOutput()) {
    plain += segment.asBytes().size();
  }
  sender->Send(message, "and a body");
  REQUIRE(sender->queued_bytes() < plain / 3);
  pair.loop.run_for(milliseconds(300));
  REQUIRE(received == 1);
  sender->Close();
  receiver->Close();
  pair.loop.restart();
  pair.loop.run_for(milliseconds(10));
}

// Guards against status messages, sent several times a second, of which half
// are zeros.
TEST_CASE("a packed message arrives whole and takes half of its size") {
  SocketPair pair;
  const auto sender = std::make_shared<FramedConnection>(std::move(pair.first));
  const auto receiver =
      std::make_shared<FramedConnection>(std::move(pair.second));
  int received = 0;
  sender->Start([](auto, auto) {}, [] {});
  receiver->Start(
      [&](wire::Frame::Reader frame, std::string_view body) {
        REQUIRE(body == "and a body");
        const NodeStatus status = Decode(frame.getStatus());
        REQUIRE(status.service == "booking");
        REQUIRE(status.load.slots == 12);
        REQUIRE(status.configuration_version == 87);
        REQUIRE(frame.getStatus().getAcceptsPacked());
        ++received;
      },
      [] {});
  capnp::MallocMessageBuilder message;
  NodeStatus status;
  status.service = "booking";
  status.load = {.accepts_requests = true, .slots = 12, .running = 3};
  status.configuration_version = 87;
  Encode(status, message.initRoot<wire::Frame>().initStatus());
  sender->Send(message, "and a body");
  const auto plain = sender->queued_bytes();
  sender->set_packs(true);
  sender->Send(message, "and a body");
  REQUIRE(sender->queued_bytes() - plain < plain * 6 / 10);
  pair.loop.run_for(milliseconds(100));
  REQUIRE(received == 2);
  sender->Close();
  receiver->Close();
  pair.loop.restart();
  pair.loop.run_for(milliseconds(10));
}

// Guards against answers that have arrived and are dropped: the other process
// has ended, and a call is sent before they are read.
TEST_CASE("what arrived before a reset is read") {
  SocketPair pair;
  // More than a few reads take.
  constexpr std::size_t kAnswers = 12;
  const std::string body(10'000, 'x');
  const auto sender =
      std::make_shared<FramedConnection>(std::move(pair.second));
  sender->Start([](auto, auto) {}, [] {});
  capnp::MallocMessageBuilder answer;
  answer.initRoot<wire::Frame>().initAnswer().setId(1);
  for (std::size_t i = 0; i < kAnswers; ++i) sender->Send(answer, body);
  pair.loop.run_for(milliseconds(50));
  // Bytes that the sender has not read when it closes reset the connection.
  boost::asio::write(pair.first, boost::asio::buffer("unread", 6));
  sender->Close();
  pair.loop.restart();
  pair.loop.run_for(milliseconds(20));
  pair.loop.restart();
  const auto receiver =
      std::make_shared<FramedConnection>(std::move(pair.first));
  std::size_t received = 0;
  bool is_closed = false;
  receiver->Start([&](wire::Frame::Reader /*frame*/,
                      std::string_view bytes) { received += bytes.size(); },
                  [&] { is_closed = true; });
  capnp::MallocMessageBuilder call;
  call.initRoot<wire::Frame>().initCall().setId(2);
  receiver->Send(call);
  pair.loop.run_for(milliseconds(100));
  REQUIRE(received == kAnswers * body.size());
  REQUIRE(is_closed);
}

// Guards against memory of links that is in no account, and against an account
// that keeps what a large frame held.
TEST_CASE("a large frame is in the account until it has been handled") {
  SocketPair pair;
  ByteBudget budget({.capacity = 1'000'000});
  const auto sender = std::make_shared<FramedConnection>(std::move(pair.first));
  const auto receiver =
      std::make_shared<FramedConnection>(std::move(pair.second));
  receiver->set_budget(&budget);
  std::vector<std::size_t> used;
  sender->Start([](auto, auto) {}, [] {});
  receiver->Start([&](auto, auto) { used.push_back(budget.used()); }, [] {});
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::Frame>().initAnswer().setId(1);
  const auto send = [&](std::size_t bytes) {
    sender->Send(message, std::string(bytes, 'x'));
    pair.loop.restart();
    pair.loop.run_for(milliseconds(100));
  };
  send(300'000);
  REQUIRE(used.size() == 1);
  REQUIRE(used[0] >= 300'000);
  REQUIRE(used[0] < 400'000);
  REQUIRE(budget.used() == 0);
  send(20'000);
  REQUIRE(used.size() == 2);
  REQUIRE(used[1] == 0);
  sender->Close();
  receiver->Close();
  pair.loop.restart();
  pair.loop.run_for(milliseconds(10));
}

// Guards against frames that take more than the memory of the process, and
// against a link that is lost, with all its calls, for want of memory for one.
TEST_CASE("a body for which there is no memory is dropped at once") {
  SocketPair pair;
  ByteBudget budget({.capacity = 200'000});
  const auto receiver =
      std::make_shared<FramedConnection>(std::move(pair.second));
  receiver->set_budget(&budget);
  bool is_closed = false;
  std::vector<bool> dropped;
  receiver->Start(
      [&](wire::Frame::Reader frame, const ReceivedBody& body) {
        REQUIRE(frame.getCall().getId() == dropped.size());
        REQUIRE(body.view().size() == (dropped.empty() ? 0 : 5));
        dropped.push_back(body.is_dropped());
      },
      [&] { is_closed = true; });
  const auto message_bytes = [](CallId id, std::uint32_t body_size) {
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::Frame>().initCall().setId(id);
    const auto words = capnp::messageToFlatArray(message);
    std::string bytes(8, '\0');
    const auto size = static_cast<std::uint32_t>(words.asBytes().size());
    std::memcpy(bytes.data(), &size, sizeof(size));
    std::memcpy(bytes.data() + 4, &body_size, sizeof(body_size));
    return bytes.append(reinterpret_cast<const char*>(words.asBytes().begin()),
                        size);
  };
  const auto send = [&](const std::string& bytes) {
    boost::asio::write(pair.first, boost::asio::buffer(bytes));
    pair.loop.restart();
    pair.loop.run_for(milliseconds(50));
  };
  // The answer does not wait for the body.
  send(message_bytes(0, 300'000));
  REQUIRE(dropped == std::vector{true});
  send(std::string(299'999, 'x'));
  send("x" + message_bytes(1, 5) + "whole");
  REQUIRE(dropped == std::vector{true, false});
  REQUIRE_FALSE(is_closed);
  REQUIRE(budget.used() == 0);
  REQUIRE(budget.refused_count() == 1);
  receiver->Close();
  pair.loop.restart();
  pair.loop.run_for(milliseconds(10));
}

// Guards against a second copy of a body for each link, and against bytes that
// leave the account before the system has taken them.
TEST_CASE("a body that is sent is shared until it is written") {
  SocketPair pair;
  ByteBudget budget({.capacity = 100'000'000});
  const auto sender = std::make_shared<FramedConnection>(std::move(pair.first));
  const auto receiver =
      std::make_shared<FramedConnection>(std::move(pair.second));
  std::size_t received = 0;
  sender->Start([](auto, auto) {}, [] {});
  receiver->Start(
      [&](wire::Frame::Reader /*frame*/, const ReceivedBody& body) {
        received += body.view().size();
      },
      [] {});
  constexpr std::size_t kBytes = 20'000'000;
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::Frame>().initCall().setId(1);
  {
    const SharedBody body(std::string(kBytes, 'x'),
                          budget.ForceCharge(ByteHolder::kCalls, kBytes));
    sender->Send(message, body);
    sender->Send(message, body);
  }
  REQUIRE(budget.used() == kBytes);
  REQUIRE(sender->unsent_bytes() > 2 * kBytes);
  pair.loop.run_for(milliseconds(1000));
  REQUIRE(received == 2 * kBytes);
  REQUIRE(budget.used() == 0);
  REQUIRE(sender->unsent_bytes() == 0);
  sender->Close();
  receiver->Close();
  pair.loop.restart();
  pair.loop.run_for(milliseconds(10));
}

// Guards against messages that take more than the memory of the process.
TEST_CASE("a message for which there is no memory closes the connection") {
  SocketPair pair;
  ByteBudget budget({.capacity = 200'000});
  const auto sender = std::make_shared<FramedConnection>(std::move(pair.first));
  const auto receiver =
      std::make_shared<FramedConnection>(std::move(pair.second));
  receiver->set_budget(&budget);
  bool is_closed = false;
  int frames = 0;
  sender->Start([](auto, auto) {}, [] {});
  receiver->Start([&](auto, auto) { ++frames; }, [&] { is_closed = true; });
  capnp::MallocMessageBuilder message;
  std::mt19937 random(1);
  // Bytes that do not compress.
  std::string headers(300'000, ' ');
  for (char& each : headers) each = static_cast<char>('!' + random() % 90);
  message.initRoot<wire::Frame>().initAnswer().setHeaders(headers);
  sender->Send(message);
  pair.loop.run_for(milliseconds(100));
  REQUIRE(is_closed);
  REQUIRE(frames == 0);
  REQUIRE(budget.used() == 0);
  REQUIRE(budget.refused_count() == 1);
}

// Guards against packed messages that are cut, claim more words than they have,
// or expand without end.
TEST_CASE("malformed packed messages end the connection") {
  const std::vector<unsigned char> message = GENERATE(
      // A word of eight bytes of which two follow.
      std::vector<unsigned char>{0xff, 1, 2},
      // One segment of 2^31 words, and a run of zeros.
      std::vector<unsigned char>{0xf0, 0, 0, 0, 0x80, 0x00, 0xff, 0x00, 0xff},
      // 2^32 segments.
      std::vector<unsigned char>{0x0f, 0xff, 0xff, 0xff, 0xff},
      std::vector<unsigned char>{});
  SocketPair pair;
  const auto receiver =
      std::make_shared<FramedConnection>(std::move(pair.second));
  bool is_closed = false;
  int frames = 0;
  receiver->Start([&](auto, auto) { ++frames; }, [&] { is_closed = true; });
  std::vector<unsigned char> bytes = {
      static_cast<unsigned char>(message.size()), 0, 0, 0x40, 0, 0, 0, 0};
  bytes.insert(bytes.end(), message.begin(), message.end());
  boost::asio::write(pair.first, boost::asio::buffer(bytes));
  pair.loop.run_for(milliseconds(100));
  REQUIRE(is_closed);
  REQUIRE(frames == 0);
}

// Guards against bytes that claim to be compressed and are not.
TEST_CASE("bytes that do not decompress end the connection") {
  SocketPair pair;
  const auto receiver =
      std::make_shared<FramedConnection>(std::move(pair.second));
  bool is_closed = false;
  int frames = 0;
  receiver->Start([&](auto, auto) { ++frames; }, [&] { is_closed = true; });
  // Four bytes, marked as compressed, and no body.
  const std::array<unsigned char, 12> bytes = {4, 0, 0, 0x80, 0, 0,
                                               0, 0, 1, 2,    3, 4};
  boost::asio::write(pair.first, boost::asio::buffer(bytes));
  pair.loop.run_for(milliseconds(100));
  REQUIRE(is_closed);
  REQUIRE(frames == 0);
}

}  // namespace
}  // namespace oleandertide::sidecar
