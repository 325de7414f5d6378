#include "peers/codec.h"

#include <algorithm>
#include <span>
#include <string>
#include <utility>
#include <variant>

namespace oleandertide::peers {
namespace {

capnp::Data::Reader ToData(std::string_view bytes) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()),
                      bytes.size());
}

std::string ToString(capnp::Data::Reader bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

capnp::Text::Reader ToText(std::string_view text) {
  return {text.data(), text.size()};
}

std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

using HeaderPair = std::pair<std::string, std::string>;

const std::string& NameOf(const calls::Header& header) { return header.name; }
const std::string& NameOf(const HeaderPair& header) { return header.first; }
const std::string& ValueOf(const calls::Header& header) { return header.value; }
const std::string& ValueOf(const HeaderPair& header) { return header.second; }

// `init` allocates the list with a given size.
template <typename HeaderType, typename Init>
void EncodeHeaders(const std::vector<HeaderType>& headers, Init init) {
  capnp::List<wire::Header>::Builder list =
      init(static_cast<unsigned>(headers.size()));
  unsigned index = 0;
  for (const HeaderType& header : headers) {
    list[index].setName(NameOf(header));
    list[index].setValue(ValueOf(header));
    ++index;
  }
}

template <typename HeaderType>
std::vector<HeaderType> DecodeHeaders(capnp::List<wire::Header>::Reader list) {
  std::vector<HeaderType> headers;
  headers.reserve(list.size());
  for (const auto header : list) {
    headers.push_back(
        {ToString(header.getName()), ToString(header.getValue())});
  }
  return headers;
}

void EncodeMember(const membership::Member& member,
                  wire::Member::Builder builder) {
  builder.setAddress(member.address);
  builder.setLife(member.life);
  builder.setDataCentre(member.data_centre);
  builder.setRegion(member.region);
  builder.setService(member.service);
  builder.setBackendAddress(member.backend_address);
  builder.setSlots(member.slots);
  builder.setConnections(member.connections);
  builder.setState(static_cast<std::uint8_t>(member.state));
  builder.setIncarnation(member.incarnation);
}

membership::MemberPointer DecodeMember(wire::Member::Reader reader) {
  membership::Member member;
  member.address = ToString(reader.getAddress());
  member.life = reader.getLife();
  member.data_centre = ToString(reader.getDataCentre());
  member.region = ToString(reader.getRegion());
  member.service = ToString(reader.getService());
  member.backend_address = ToString(reader.getBackendAddress());
  member.slots = reader.getSlots();
  member.connections = reader.getConnections();
  member.state = static_cast<membership::MemberState>(reader.getState());
  member.incarnation = reader.getIncarnation();
  return std::make_shared<const membership::Member>(std::move(member));
}

template <typename Init>
void EncodeMembers(std::span<const membership::MemberPointer> members,
                   Init init) {
  capnp::List<wire::Member>::Builder list =
      init(static_cast<unsigned>(members.size()));
  unsigned index = 0;
  for (const auto& member : members) EncodeMember(*member, list[index++]);
}

std::vector<membership::MemberPointer> DecodeMembers(
    capnp::List<wire::Member>::Reader list) {
  std::vector<membership::MemberPointer> members;
  members.reserve(list.size());
  for (const auto member : list) members.push_back(DecodeMember(member));
  return members;
}

void EncodeDigest(const distribution::Digest& digest,
                  wire::Gossip::Builder builder) {
  if (digest.sender) EncodeMember(*digest.sender, builder.initSender());
  builder.setHeldSequence(digest.held.sequence);
  builder.setHeldDigest(digest.held.digest);
  builder.setCommitted(digest.committed);
  if (digest.confirmation) {
    auto confirmation = builder.initConfirmation();
    confirmation.setRowSequence(digest.confirmation->row_sequence);
    confirmation.setUsableSequence(digest.confirmation->usable_sequence);
    confirmation.setAgeMilliseconds(digest.confirmation->age_milliseconds);
  }
  builder.setCountedMembers(digest.counted_members);
  auto heard = builder.initHeard(static_cast<unsigned>(digest.heard.size()));
  for (unsigned i = 0; i < heard.size(); ++i) {
    heard[i].setDataCentre(digest.heard[i].data_centre);
    heard[i].setAgeMilliseconds(digest.heard[i].age_milliseconds);
  }
  builder.setTableHash(digest.table_hash);
  EncodeMembers(digest.deltas,
                [&](unsigned size) { return builder.initDeltas(size); });
}

distribution::Digest DecodeDigest(wire::Gossip::Reader reader) {
  distribution::Digest digest;
  if (reader.hasSender()) digest.sender = DecodeMember(reader.getSender());
  digest.held = {reader.getHeldSequence(), ToString(reader.getHeldDigest())};
  digest.committed = reader.getCommitted();
  if (reader.hasConfirmation()) {
    const auto confirmation = reader.getConfirmation();
    digest.confirmation = distribution::Confirmation{
        confirmation.getRowSequence(), confirmation.getUsableSequence(),
        confirmation.getAgeMilliseconds()};
  }
  digest.counted_members = reader.getCountedMembers();
  for (const auto entry : reader.getHeard()) {
    digest.heard.push_back(
        {ToString(entry.getDataCentre()), entry.getAgeMilliseconds()});
  }
  digest.table_hash = reader.getTableHash();
  digest.deltas = DecodeMembers(reader.getDeltas());
  return digest;
}

void EncodeCrashReports(std::span<const routing::CrashReport> reports,
                        wire::Gossip::Builder builder) {
  auto list = builder.initCrashReports(static_cast<unsigned>(reports.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setFingerprint(reports[i].fingerprint);
    list[i].setBackendAddress(reports[i].backend_address);
    list[i].setAgeMilliseconds(static_cast<std::uint32_t>(
        std::max<std::int64_t>(ToMilliseconds(reports[i].age), 0)));
    list[i].setIsCompletion(reports[i].is_completion);
  }
}

std::vector<routing::CrashReport> DecodeCrashReports(
    wire::Gossip::Reader reader) {
  std::vector<routing::CrashReport> reports;
  for (const auto report : reader.getCrashReports()) {
    if (reports.size() == kMaximumCrashReports) break;
    reports.push_back(
        {.fingerprint = report.getFingerprint(),
         .backend_address = ToString(report.getBackendAddress()),
         .age = std::chrono::milliseconds(report.getAgeMilliseconds()),
         .is_completion = report.getIsCompletion()});
  }
  return reports;
}

// Fills a union of the claim protocol from the result's alternative.
struct ClaimResultEncoder {
  wire::ClaimResponse::Builder builder;

  void operator()(const idempotency::Granted& /*result*/) {
    builder.setGranted();
  }
  void operator()(const idempotency::Answered& result) {
    auto answered = builder.initAnswered();
    answered.setStatus(static_cast<std::uint16_t>(result.status));
    EncodeHeaders(result.headers,
                  [&](unsigned size) { return answered.initHeaders(size); });
    answered.setBody(ToData(result.body));
  }
  void operator()(const idempotency::AlreadyRunning& /*result*/) {
    builder.setAlreadyRunning();
  }
  void operator()(const idempotency::AnswerNotKept& /*result*/) {
    builder.setAnswerNotKept();
  }
  void operator()(const idempotency::KeyReused& /*result*/) {
    builder.setKeyReused();
  }
  void operator()(const idempotency::StoreUnavailable& /*result*/) {
    builder.setStoreUnavailable();
  }
};

struct CallResultEncoder {
  wire::CallResponse::Builder builder;

  void operator()(const calls::Answer& result) {
    auto answer = builder.initAnswer();
    answer.setStatus(static_cast<std::uint16_t>(result.status));
    EncodeHeaders(result.headers,
                  [&](unsigned size) { return answer.initHeaders(size); });
    answer.setBody(ToData(result.body));
  }
  void operator()(const calls::Refusal& result) {
    auto refusal = builder.initRefusal();
    refusal.setReason(ToText(routing::ReasonName(result.reason)));
    refusal.setOutcome(static_cast<std::uint8_t>(result.outcome));
  }
};

}  // namespace

void Encode(const calls::ForwardedRequest& request, MonotonicTime now,
            wire::CallRequest::Builder builder) {
  builder.setId(request.id);
  builder.setSequence(request.sequence);
  builder.setRoute(request.policy.route);
  builder.setService(request.policy.service);
  builder.setRequestClass(
      static_cast<std::uint8_t>(request.policy.request_class));
  builder.setIsRepeatable(request.policy.is_repeatable);
  builder.setMethod(request.request.method);
  builder.setTarget(request.request.target);
  EncodeHeaders(request.request.headers,
                [&](unsigned size) { return builder.initHeaders(size); });
  builder.setBody(ToData(request.request.body));
  builder.setIdempotencyKey(request.request.idempotency_key);
  builder.setFingerprint(request.fingerprint);
  builder.setToken(request.token);
  const Duration remaining =
      std::max(request.request.deadline - now, Duration(0));
  builder.setRemainingMicroseconds(
      static_cast<std::uint64_t>(remaining.count()));
  builder.setIsRetry(request.is_retry);
  builder.setJob(request.job);
}

Result<calls::ForwardedRequest> Decode(wire::CallRequest::Reader reader,
                                       MonotonicTime now) {
  constexpr Duration kMaximumRemaining = std::chrono::hours(1);
  const std::uint8_t request_class = reader.getRequestClass();
  if (request_class >= routing::kAllRequestClasses.size()) {
    return Error::kInvalidArgument;
  }
  if (reader.getRemainingMicroseconds() >
      static_cast<std::uint64_t>(kMaximumRemaining.count())) {
    return Error::kInvalidArgument;
  }
  calls::ForwardedRequest request;
  request.id = reader.getId();
  request.sequence = reader.getSequence();
  request.policy = {ToString(reader.getRoute()), ToString(reader.getService()),
                    routing::kAllRequestClasses[request_class],
                    reader.getIsRepeatable()};
  request.job = ToString(reader.getJob());
  request.fingerprint = reader.getFingerprint();
  request.token = reader.getToken();
  request.is_retry = reader.getIsRetry();
  request.request.method = ToString(reader.getMethod());
  request.request.target = ToString(reader.getTarget());
  request.request.headers = DecodeHeaders<calls::Header>(reader.getHeaders());
  request.request.body = ToString(reader.getBody());
  request.request.idempotency_key = ToString(reader.getIdempotencyKey());
  request.request.deadline =
      now +
      Duration(static_cast<std::int64_t>(reader.getRemainingMicroseconds()));
  return request;
}

void Encode(const calls::CallResult& result,
            wire::CallResponse::Builder builder) {
  std::visit(CallResultEncoder{builder}, result);
}

Result<calls::CallResult> Decode(wire::CallResponse::Reader reader) {
  if (reader.isAnswer()) {
    const auto answer = reader.getAnswer();
    return calls::Answer{answer.getStatus(),
                         DecodeHeaders<calls::Header>(answer.getHeaders()),
                         ToString(answer.getBody())};
  }
  const auto refusal = reader.getRefusal();
  const auto reason = routing::FindReason(ToString(refusal.getReason()));
  const std::uint8_t outcome = refusal.getOutcome();
  const bool is_known =
      outcome <= static_cast<std::uint8_t>(routing::Outcome::kUnknown);
  if (!reason || !is_known) return Error::kInvalidArgument;
  return calls::Refusal{*reason, static_cast<routing::Outcome>(outcome)};
}

void Encode(const idempotency::ClaimRequest& request, Duration remaining,
            wire::ClaimRequest::Builder builder) {
  builder.setKey(request.key);
  builder.setFingerprint(request.fingerprint);
  builder.setToken(request.token);
  builder.setClaimant(request.claimant);
  builder.setRemainingMicroseconds(
      static_cast<std::uint64_t>(std::max(remaining, Duration(0)).count()));
}

idempotency::ClaimRequest Decode(wire::ClaimRequest::Reader reader) {
  return {ToString(reader.getKey()), reader.getFingerprint(), reader.getToken(),
          reader.getClaimant()};
}

void Encode(const idempotency::ClaimResult& result,
            wire::ClaimResponse::Builder builder) {
  std::visit(ClaimResultEncoder{builder}, result);
}

idempotency::ClaimResult Decode(wire::ClaimResponse::Reader reader) {
  switch (reader.which()) {
    case wire::ClaimResponse::GRANTED:
      return idempotency::Granted{};
    case wire::ClaimResponse::ANSWERED: {
      const auto answered = reader.getAnswered();
      return idempotency::Answered{
          answered.getStatus(),
          DecodeHeaders<HeaderPair>(answered.getHeaders()),
          ToString(answered.getBody())};
    }
    case wire::ClaimResponse::ANSWER_NOT_KEPT:
      return idempotency::AnswerNotKept{};
    case wire::ClaimResponse::KEY_REUSED:
      return idempotency::KeyReused{};
    case wire::ClaimResponse::STORE_UNAVAILABLE:
      return idempotency::StoreUnavailable{};
    case wire::ClaimResponse::ALREADY_RUNNING:
      break;
  }
  // An alternative of a later version is treated as the cautious one.
  return idempotency::AlreadyRunning{};
}

void Encode(const idempotency::Completion& completion,
            wire::CompletionRequest::Builder builder) {
  builder.setKey(completion.key);
  builder.setToken(completion.token);
  builder.setHasAnswer(completion.answer.has_value());
  if (!completion.answer) return;
  builder.setStatus(static_cast<std::uint16_t>(completion.answer->status));
  EncodeHeaders(completion.answer->headers,
                [&](unsigned size) { return builder.initHeaders(size); });
  builder.setBody(ToData(completion.answer->body));
}

idempotency::Completion Decode(wire::CompletionRequest::Reader reader) {
  idempotency::Completion completion{
      ToString(reader.getKey()), reader.getToken(), {}};
  if (reader.getHasAnswer()) {
    completion.answer = idempotency::Answered{
        reader.getStatus(), DecodeHeaders<HeaderPair>(reader.getHeaders()),
        ToString(reader.getBody())};
  }
  return completion;
}

void Encode(const GossipRequest& request, wire::Gossip::Builder builder) {
  builder.setId(request.exchange.id);
  EncodeDigest(request.exchange.digest, builder);
  EncodeCrashReports(request.crash_reports, builder);
}

GossipRequest DecodeRequest(wire::Gossip::Reader reader) {
  return {{reader.getId(), DecodeDigest(reader)}, DecodeCrashReports(reader)};
}

void Encode(const GossipReply& reply, wire::Gossip::Builder builder) {
  builder.setId(reply.exchange.id);
  EncodeDigest(reply.exchange.digest, builder);
  EncodeCrashReports(reply.crash_reports, builder);
}

GossipReply DecodeReply(wire::Gossip::Reader reader) {
  return {{reader.getId(), DecodeDigest(reader)}, DecodeCrashReports(reader)};
}

void Encode(const distribution::SyncRequest& request,
            wire::SyncRequest::Builder builder) {
  if (request.sender) EncodeMember(*request.sender, builder.initSender());
  builder.setFirstBucket(request.first_bucket);
  auto hashes =
      builder.initHashes(static_cast<unsigned>(request.hashes.size()));
  for (unsigned i = 0; i < hashes.size(); ++i) hashes.set(i, request.hashes[i]);
}

distribution::SyncRequest Decode(wire::SyncRequest::Reader reader) {
  distribution::SyncRequest request;
  if (reader.hasSender()) request.sender = DecodeMember(reader.getSender());
  request.first_bucket = reader.getFirstBucket();
  const auto hashes = reader.getHashes();
  const std::size_t count =
      std::min<std::size_t>(hashes.size(), request.hashes.size());
  for (std::size_t i = 0; i < count; ++i) {
    request.hashes[i] = hashes[static_cast<unsigned>(i)];
  }
  return request;
}

void Encode(const distribution::SyncReply& reply,
            wire::SyncReply::Builder builder) {
  EncodeMembers(reply.records,
                [&](unsigned size) { return builder.initRecords(size); });
  builder.setNextBucket(reply.next_bucket);
}

distribution::SyncReply Decode(wire::SyncReply::Reader reader) {
  return {DecodeMembers(reader.getRecords()), reader.getNextBucket()};
}

}  // namespace oleandertide::peers
