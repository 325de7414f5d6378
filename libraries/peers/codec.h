// Conversion between Cap'n Proto messages and the structs of the packages.

#ifndef OLEANDERTIDE_PEERS_CODEC_H_
#define OLEANDERTIDE_PEERS_CODEC_H_

#include "calls/call.h"
#include "core/result.h"
#include "distribution/messages.h"
#include "idempotency/claim.h"
#include "peers/gossip.h"
#include "peers/peer.capnp.h"

namespace oleandertide::peers {

// All functions are thread-safe. Cap'n Proto has rejected what is malformed or
// too large. Decoding a call gives kInvalidArgument for values out of range;
// the packages check the values of all other messages themselves.

void Encode(const calls::ForwardedRequest& request, MonotonicTime now,
            wire::CallRequest::Builder builder);
Result<calls::ForwardedRequest> Decode(wire::CallRequest::Reader reader,
                                       MonotonicTime now);

void Encode(const calls::CallResult& result,
            wire::CallResponse::Builder builder);
Result<calls::CallResult> Decode(wire::CallResponse::Reader reader);

void Encode(const idempotency::ClaimRequest& request, Duration remaining,
            wire::ClaimRequest::Builder builder);
idempotency::ClaimRequest Decode(wire::ClaimRequest::Reader reader);

void Encode(const idempotency::ClaimResult& result,
            wire::ClaimResponse::Builder builder);
idempotency::ClaimResult Decode(wire::ClaimResponse::Reader reader);

void Encode(const idempotency::Completion& completion,
            wire::CompletionRequest::Builder builder);
idempotency::Completion Decode(wire::CompletionRequest::Reader reader);

void Encode(const GossipRequest& request, wire::Gossip::Builder builder);
GossipRequest DecodeRequest(wire::Gossip::Reader reader);

void Encode(const GossipReply& reply, wire::Gossip::Builder builder);
GossipReply DecodeReply(wire::Gossip::Reader reader);

void Encode(const distribution::SyncRequest& request,
            wire::SyncRequest::Builder builder);
distribution::SyncRequest Decode(wire::SyncRequest::Reader reader);

void Encode(const distribution::SyncReply& reply,
            wire::SyncReply::Builder builder);
distribution::SyncReply Decode(wire::SyncReply::Reader reader);

}  // namespace oleandertide::peers

#endif  // OLEANDERTIDE_PEERS_CODEC_H_
