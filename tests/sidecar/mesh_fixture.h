// Nodes, their backend servers and a store on one event loop.

#ifndef OLEANDERTIDE_TESTS_SIDECAR_MESH_FIXTURE_H_
#define OLEANDERTIDE_TESTS_SIDECAR_MESH_FIXTURE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/address.h"
#include "core/time.h"
#include "mesh/deployment.h"
#include "sidecar/event_loop.h"
#include "sidecar/fake_store.h"
#include "sidecar/http_connection.h"
#include "sidecar/raw_server.h"
#include "sidecar/sidecar.h"

namespace oleandertide::sidecar {

// Returns an address of this machine that no other call, also of another
// process, returns.
Address UnusedAddress();

// A configuration with the routes /idem/ and /once/ of service `booking` and
// /room/ of service `rooms`, as the operator writes it.
std::string ConfigurationText(int version, std::string_view further_route = {});

// The same with organisations; `organisations` is the list as the operator
// writes it.
std::string ConfigurationWithOrganisations(int version,
                                           std::string_view organisations);

// How a client's request ended.
struct ClientAnswer {
  // 0 if the connection ended without answer.
  int status = 0;
  std::string body;
  std::string stamp;
  std::string retry_after;
};

// One node with its backend server.
struct Instance {
  SidecarSettings settings;
  std::unique_ptr<RawServer> backend;
  std::unique_ptr<Sidecar> node;
  std::string backend_id;
  std::uint64_t sequence = 0;
};

class MeshFixture {
 public:
  MeshFixture();
  ~MeshFixture();

  // Starts a backend server of `service` with its node. The script answers its
  // requests; health checks are answered with 200. The node uses another store
  // than the others if one is given.
  Instance& AddInstance(const std::string& service, RawServer::Script script,
                        const std::string& data_centre = "dc-1",
                        const std::optional<Address>& store = std::nullopt);
  // Rules of the deployment for instances added from now on, e.g. limits.
  void set_deployment(const mesh::Deployment& deployment) {
    deployment_ = deployment;
  }
  // Slots that backend servers announce from now on.
  void set_slots(int slots) { slots_ = slots; }
  // Requests from now on carry this key; none if it is empty.
  void set_key(std::string key) { key_ = std::move(key); }

  // Ends the process of a node without notice.
  void KillNode(Instance& instance) { instance.node.reset(); }
  // Starts it again, as a node of a system that runs.
  void StartNode(Instance& instance);

  // The backend server announces itself; waits for the acknowledgement.
  int Announce(Instance& instance, std::string_view state = "ready");
  int AnnounceText(Instance& instance, const std::string& body);
  // The backend server departs; its start is said unless it is 0.
  int Depart(Instance& instance, std::int64_t started_at_ms = 0);

  // Sends a request to the node of an instance and waits for its end.
  ClientAnswer Send(Instance& instance, const std::string& method,
                    const std::string& target, const std::string& body = {},
                    int deadline_ms = 1000);
  // Starts a request; the answer appears at the pointer.
  std::shared_ptr<std::optional<ClientAnswer>> Begin(
      Instance& instance, const std::string& method, const std::string& target,
      const std::string& body = {}, int deadline_ms = 1000);
  // Sends bytes as they are and returns all that comes back until the node
  // closes the connection or `limit` passes.
  std::string SendRaw(const Address& address, const std::string& bytes,
                      Duration limit = std::chrono::seconds(2));
  int CheckReadiness(Instance& instance);
  std::string ReadMetrics(Instance& instance);

  // Runs the loop until the condition holds; fails the test if it does not
  // within `limit`.
  void RunUntil(const std::function<bool()>& condition,
                Duration limit = std::chrono::seconds(5));
  void RunFor(Duration duration);

  // Waits until requests from `from` to service of `target` are answered 200.
  void AwaitService(Instance& from, const std::string& target);

  EventLoop& loop() { return loop_; }
  FakeStore& store() { return *store_; }

 private:
  ClientAnswer Call(const Address& address, const std::string& head,
                    const std::string& body);

  EventLoop loop_;
  std::unique_ptr<FakeStore> store_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::shared_ptr<HttpConnection>> clients_;
  int next_request_ = 1;
  mesh::Deployment deployment_;
  int slots_ = 2;
  std::string key_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_TESTS_SIDECAR_MESH_FIXTURE_H_
