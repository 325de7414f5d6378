// Drives many distributors over a fake network and platform with a virtual
// clock. Used by tests and benchmarks; does not model more than they need.

#ifndef OLEANDERTIDE_TESTS_DISTRIBUTION_FAKE_MESH_H_
#define OLEANDERTIDE_TESTS_DISTRIBUTION_FAKE_MESH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "distribution/distributor.h"

namespace oleandertide::distribution {

struct MeshConfig {
  // Name and region of each data centre.
  std::vector<std::pair<std::string, std::string>> data_centres = {
      {"dc1", "r1"}};
  std::size_t nodes_per_data_centre = 5;
  Options options;
  std::uint64_t seed = 1;
  double loss = 0.0;
  double duplication = 0.0;
  // Each message is delayed by its latency and up to this time; a delay above
  // the interval between messages reorders them.
  Duration jitter = std::chrono::microseconds(200);
  Duration local_latency = std::chrono::microseconds(250);
  Duration remote_latency = std::chrono::milliseconds(1);
  Duration platform_latency = std::chrono::milliseconds(5);
  std::size_t document_bytes = 20000;
  // The first nodes of each data centre, named in the settings of all nodes.
  std::size_t contacts_per_data_centre = 2;
};

enum class ObjectState { kStored, kMissing, kDamaged, kInvalid };

class FakeMesh {
 public:
  struct Node {
    std::string address;
    std::string data_centre;
    std::string region;
    std::unique_ptr<Distributor> distributor;  // null while not running
    std::uint64_t life = 0;
    MonotonicTime started_at;
    std::uint64_t active = 0;           // in this life
    std::uint64_t highest = 0;          // over all lives
    std::set<std::uint64_t> documents;  // validated in this life
    std::optional<MonotonicTime> paused_until;
    std::vector<std::size_t> held_back;  // events that arrived in a pause
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
  };

  explicit FakeMesh(MeshConfig config);

  // Starts, kills or restarts one node; a new life has no state.
  void StartNode(std::size_t index);
  void Kill(std::size_t index);
  void Restart(std::size_t index);
  void StartAll();
  // Stops a node for a time; messages to it wait.
  void Pause(std::size_t index, Duration duration);

  // Accepts a new version and returns its sequence.
  std::uint64_t Promote(ObjectState state = ObjectState::kStored);
  void SetObject(std::uint64_t sequence, ObjectState state);

  void RunFor(Duration duration);
  // Runs until `condition` holds, checked every 10 ms. Returns the time taken,
  // or nothing if it does not hold within `limit`.
  std::optional<Duration> RunUntil(const std::function<bool()>& condition,
                                   Duration limit);

  // True if all running nodes are ready with a sequence of at least this.
  bool AllActive(std::uint64_t sequence) const;
  bool AllStanding(Standing standing) const;
  std::size_t CountReady() const;

  std::vector<Node>& nodes() { return nodes_; }
  MonotonicTime now() const { return now_; }
  RandomSource& random() { return random_; }
  // Broken invariants, one description each.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t accepted() const { return row_.sequence; }

  std::uint64_t platform_reads() const { return platform_reads_; }
  std::uint64_t platform_writes() const { return platform_writes_; }
  // Most reads in one second of virtual time.
  std::uint64_t peak_reads() const { return peak_reads_; }
  void ResetMeasures();

  // Faults, to be changed at any time.
  bool platform_is_up = true;
  // True if a node cannot reach the platform.
  std::function<bool(const Node&)> is_cut_from_platform;
  Duration platform_delay{};
  double loss = 0.0;
  // True if messages between the nodes are lost.
  std::function<bool(const Node&, const Node&)> is_cut;
  // Called for each message that is sent; returns false to lose it.
  std::function<bool(const Node&, const Node&, const Message&)> passes;

 private:
  struct TickEvent {};
  struct PlatformEvent {
    MonotonicTime started_at;
    RowResult result;
  };
  struct ContactsEvent {
    std::string data_centre;
    std::vector<std::string> addresses;
  };
  struct FetchEvent {  // a request that arrived at a peer
    std::string requester;
    Version version;
  };
  struct DocumentEvent {
    Version version;
    std::string from;
    DocumentOutcome outcome;
  };
  struct MessageEvent {
    std::string from;
    Message message;
  };
  using Payload = std::variant<TickEvent, PlatformEvent, ContactsEvent,
                               FetchEvent, DocumentEvent, MessageEvent>;
  struct Event {
    std::size_t node = 0;
    std::uint64_t life = 0;  // 0: any life
    Payload payload;
  };
  struct Scheduled {
    MonotonicTime at;
    std::uint64_t order = 0;
    std::size_t slot = 0;
    bool operator>(const Scheduled& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Schedule(MonotonicTime at, Event event);
  void Deliver(std::size_t slot);
  void Handle(Node& node, Payload& payload);
  void HandleMessage(Node& node, const MessageEvent& event);
  void Perform(Node& node, Effects effects);
  void Send(Node& from, const std::string& to, const Message& message);
  void SendOnce(Node& from, std::size_t to, const Message& message);
  void Fetch(Node& node, const FetchDocument& fetch);
  void ReadRow(Node& node, const ReadEnvironmentRow& read);
  void NoteActive(Node& node, const Version& version);
  void CheckStanding(const Node& node);
  bool PlatformAnswers(const Node& node) const {
    return platform_is_up &&
           !(is_cut_from_platform && is_cut_from_platform(node));
  }
  void CountRead(Node& node);
  Duration Latency(const Node& from, const Node& to);
  bool Loses(const Node& from, const Node& to, const Message* message);
  std::size_t IndexOf(const Node& node) const {
    return static_cast<std::size_t>(&node - nodes_.data());
  }

  MeshConfig config_;
  RandomSource random_;
  MonotonicTime now_{std::chrono::seconds(100)};
  std::vector<Node> nodes_;
  std::map<std::string, std::size_t> index_;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue_;
  std::vector<Event> slots_;
  std::vector<std::size_t> free_slots_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_life_ = 1;
  Version row_;
  struct Accepted {
    std::string digest;
    MonotonicTime at;
  };
  std::map<std::uint64_t, Accepted> accepted_;
  std::map<std::uint64_t, ObjectState> objects_;
  std::map<std::string, std::vector<std::string>> contacts_;
  std::vector<std::string> violations_;
  std::uint64_t platform_reads_ = 0;
  std::uint64_t platform_writes_ = 0;
  std::uint64_t peak_reads_ = 0;
  std::uint64_t second_reads_ = 0;
  std::int64_t second_ = 0;
};

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_TESTS_DISTRIBUTION_FAKE_MESH_H_
