// What a node tells others of its load.

#include <capnp/message.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "sidecar/framed_connection.h"
#include "sidecar/link_codec.h"
#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A link of a node that counts what it is told.
class Listener {
 public:
  Listener(EventLoop& loop, const Instance& instance,
           const std::string& data_centre) {
    Tcp::socket socket(loop);
    socket.connect(ToEndpoint(instance.settings.listen.peers).value());
    connection_ = std::make_shared<FramedConnection>(std::move(socket));
    connection_->Start(
        [this](wire::Frame::Reader frame, std::string_view /*body*/) {
          if (frame.which() != wire::Frame::STATUS) return;
          ++count_;
          accepts_ = Decode(frame.getStatus()).load.accepts_requests;
        },
        [] {});
    capnp::MallocMessageBuilder message;
    Encode(NodeIdentity{.name = "listener-" + data_centre,
                        .data_centre = data_centre,
                        .address = {.ip = "127.0.0.1", .port = 1},
                        .service = "rooms",
                        .link_mbps = 1000},
           message.initRoot<wire::Frame>().initHello());
    connection_->Send(message);
  }
  ~Listener() { connection_->Close(); }

  int count() const { return count_; }
  bool accepts() const { return accepts_; }

 private:
  std::shared_ptr<FramedConnection> connection_;
  int count_ = 0;
  bool accepts_ = false;
};

// Guards against status messages that fill the links between data centres: a
// busy node told every change of its load to all of them.
TEST_CASE("changes of the load are told at once within the data centre only") {
  MeshFixture mesh;
  Instance& instance =
      mesh.AddInstance("booking", [](const RawRequest& request) {
        return RawReply{.bytes = StampedAnswer(request.target()),
                        .delay = milliseconds(60)};
      });
  REQUIRE(mesh.Announce(instance) == 200);
  mesh.AwaitService(instance, "/idem/0");
  Listener own(mesh.loop(), instance, "dc-1");
  Listener other(mesh.loop(), instance, "dc-2");
  mesh.RunUntil([&] { return own.count() > 0 && other.count() > 0; });
  const int own_before = own.count();
  const int other_before = other.count();
  // The two slots fill and empty ten times.
  for (int i = 0; i < 10; ++i) {
    const auto first = mesh.Begin(instance, "GET", "/idem/1");
    const auto second = mesh.Begin(instance, "GET", "/idem/2");
    mesh.RunFor(milliseconds(150));
    REQUIRE(first->has_value());
    REQUIRE(second->has_value());
  }
  REQUIRE(own.count() - own_before >= 10);
  // One each 300 ms, and one more at the borders of the interval.
  REQUIRE(other.count() - other_before <= 6);
  REQUIRE(other.count() - other_before >= 4);
  // A backend server that leaves is told to all at once.
  REQUIRE(other.accepts());
  REQUIRE(mesh.Announce(instance, "draining") == 200);
  mesh.RunUntil([&] { return !other.accepts(); }, milliseconds(100));
}

}  // namespace
}  // namespace oleandertide::sidecar
