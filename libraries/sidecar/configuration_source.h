// Brings the configuration from the store and from other nodes.

#ifndef OLEANDERTIDE_SIDECAR_CONFIGURATION_SOURCE_H_
#define OLEANDERTIDE_SIDECAR_CONFIGURATION_SOURCE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "coordination/store_clock.h"
#include "core/random.h"
#include "core/time.h"
#include "mesh/configuration_holder.h"
#include "mesh/reader_election.h"
#include "platform/store_codec.h"
#include "rollout/order_book.h"
#include "sidecar/event_loop.h"
#include "sidecar/link_client.h"
#include "sidecar/node_identity.h"
#include "sidecar/node_metrics.h"
#include "sidecar/store_client.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// Follows the configuration at the store when this node is to, and takes newer
// versions from other nodes. The store's word that a version was accepted is
// enough to act on it. Not thread-safe.
class ConfigurationSource {
 public:
  struct Parts {
    EventLoop& loop;
    StoreClient& store;
    mesh::ConfigurationHolder& holder;
    NodeMetrics& metrics;
    RandomSource& random;
    coordination::StoreClock& clock;
    // Where orders to roll out a version are put; nullptr if the deployment has
    // none.
    rollout::OrderBook* orders = nullptr;
  };

  // What becomes of the orders.
  struct OrderCallbacks {
    // The store told all orders in the answer to a call sent at `sent_at`.
    std::function<void(BootTime sent_at)> on_read;
    // Whether the store should be asked now, whoever else reads it.
    std::function<bool()> needs_read;
  };

  // `self` is this node; `on_changed` is called when a version comes in force.
  // At the first start of the whole system the links to other nodes are waited
  // for, so that not all nodes read the store.
  ConfigurationSource(const Parts& parts, NodeIdentity self,
                      bool is_first_start, std::function<void()> on_changed);

  // Sets where newer versions of other nodes are asked for.
  // Precondition: `links` outlives this object; called before Start.
  void set_links(LinkClient& links) { links_ = &links; }

  // Sets what becomes of orders. Precondition: called before Start.
  void set_on_orders(OrderCallbacks callbacks) {
    order_callbacks_ = std::move(callbacks);
  }

  // Reads the store now if the orders ask for it.
  void ReadOrders();

  // Starts to read the store.
  void Start();

  // Another node told its version and how fresh it is.
  void OnPeerStatus(const NodeIdentity& peer, const NodeStatus& status);

  // Takes in what another node sent.
  void OnUpdate(const mesh::ConfigurationUpdate& update);

 private:
  void ScheduleTick(Duration interval);
  void Tick();
  // Rows of a table, over one or several answers.
  struct Reading {
    BootTime sent_at{};
    StoreMoment moment{};
    std::vector<platform::Row> rows{};
    std::string first_key{};
  };
  using OnTable = std::function<void(const Result<Reading>&)>;

  // Reads the table from a key on.
  void ReadTable(Reading reading, OnTable on_table);
  void ReadAll();
  void Follow();
  void OnReadFailed(std::error_code error);
  void PutAllOrders(const Reading& reading);
  // Takes in an order; a removal if the row is deleted.
  void PutOrder(const platform::Row& row, StoreMoment moment);
  void Offer(mesh::Configuration configuration, std::string_view source);
  void OnText(std::string_view text);
  // Nodes of the own data centre with an open link.
  std::vector<mesh::ReaderCandidate> PeersOfDataCentre() const;
  // Version from which other nodes are to tell what changed; 0 asks for all.
  std::uint64_t base_version() const;
  // Whether a node was asked and may still answer.
  bool is_request_pending(MonotonicTime now) const;
  void Request(const std::string& node);
  void OnRows(const Result<platform::RowList>& rows);
  // Whether changes can be followed on with an answer of `era`. If the era is a
  // new one, the store is to be read afresh.
  bool ContinuesEra(std::uint64_t era);

  const Parts parts_;
  const NodeIdentity self_;
  std::function<void()> on_changed_;
  OrderCallbacks order_callbacks_;
  LinkClient* links_ = nullptr;
  Timer timer_;
  // Until a node of another data centre is asked.
  Timer request_timer_;
  // Changes at the store are followed from here; unknown at first, when the
  // store has forgotten its history, and when it has begun a new era.
  std::optional<StorePosition> followed_;
  // When the call in progress was sent.
  BootTime asked_at_{};
  bool is_reading_ = false;
  bool is_reading_orders_ = false;
  MonotonicTime order_backoff_until_;
  bool is_request_scheduled_ = false;
  MonotonicTime backoff_until_;
  // Until then, a missing confirmation does not make this node read.
  MonotonicTime patient_until_;
  // Calls to the store that failed one after the other.
  int failures_ = 0;
  // When a node was last asked, until it has answered.
  std::optional<MonotonicTime> requested_at_;
  // The last update did not fit; the whole configuration is asked for.
  bool needs_whole_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_CONFIGURATION_SOURCE_H_
