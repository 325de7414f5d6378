// Conversions between the node's types and the messages of links.

#ifndef OLEANDERTIDE_SIDECAR_LINK_CODEC_H_
#define OLEANDERTIDE_SIDECAR_LINK_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/election.h"
#include "core/time.h"
#include "mesh/configuration_update.h"
#include "mesh/outcome.h"
#include "rollout/order.h"
#include "routing/quarantine.h"
#include "sidecar/call.h"
#include "sidecar/link.capnp.h"
#include "sidecar/node_identity.h"

namespace oleandertide::sidecar {

// A message between a node and the coordinator of the fleet.
struct CoordinationMessage {
  // Term of the coordinator that it goes to or comes from.
  std::uint64_t term = 0;
  std::uint8_t subject = 0;
  std::string payload{};
};

// What a node tells of itself to those that opened a connection to it.
struct NodeStatus {
  std::string service{};
  // Version of the backend server's software; empty if it does not tell.
  std::string backend_version{};
  mesh::BackendLoad load;
  std::uint64_t configuration_version = 0;
  // The maximum if the store never confirmed the version.
  Duration confirmation_age = Duration::max();
  // The same moment by the store's clock in milliseconds; 0 if there was none.
  std::uint64_t confirmed_store_time = 0;
  std::vector<routing::CrashReport> crash_reports{};
  // The coordinator as the node knows it; term 0 if it knows none.
  coordination::Holder coordinator{};
  // Orders to roll out a version, as the node knows them.
  std::vector<rollout::OrderState> rollouts{};
};

void Encode(const NodeIdentity& node, wire::Hello::Builder builder);
// An error if it names no node that could be reached.
Result<NodeIdentity> Decode(wire::Hello::Reader reader);

void Encode(const mesh::ConfigurationUpdate& update,
            wire::ConfigurationUpdate::Builder builder);
mesh::ConfigurationUpdate Decode(wire::ConfigurationUpdate::Reader reader);

void Encode(const mesh::BackendLoad& load, wire::Load::Builder builder);
mesh::BackendLoad Decode(wire::Load::Reader reader);

void Encode(const NodeStatus& status, wire::Status::Builder builder);
NodeStatus Decode(wire::Status::Reader reader);

void Encode(const CoordinationMessage& message,
            wire::CoordinationMessage::Builder builder);
CoordinationMessage Decode(wire::CoordinationMessage::Reader reader);

// The body travels beside the message.
void Encode(CallId id, const Call& call, wire::Call::Builder builder);
Call Decode(wire::Call::Reader reader, SharedBody body);

// The body of a completed answer travels beside the message.
void Encode(CallId id, const mesh::Outcome& outcome,
            const mesh::BackendLoad& load, wire::Answer::Builder builder);
mesh::Outcome Decode(wire::Answer::Reader reader, std::string body);

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_LINK_CODEC_H_
