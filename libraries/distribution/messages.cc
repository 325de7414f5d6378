#include "distribution/messages.h"

#include <algorithm>

namespace oleandertide::distribution {
namespace {

// Ethernet, IP and TCP headers with timestamps (66), stream framing (8) and the
// call or return message of Cap'n Proto RPC around the parameters (about 80).
constexpr std::size_t kOverheadBytes = 154;
constexpr std::size_t kWord = 8;

using membership::EstimatedTextBytes;

std::size_t RecordBytes(const std::vector<membership::MemberPointer>& records) {
  std::size_t bytes = kWord;
  for (const membership::MemberPointer& record : records) {
    if (record != nullptr) bytes += membership::EstimatedBytes(*record);
  }
  return bytes;
}

std::size_t DigestBytes(const Digest& digest) {
  // Sequence, committed, row and usable sequence, ages with N, table hash, id.
  constexpr std::size_t kDataBytes = 7 * kWord;
  std::size_t bytes = kDataBytes + kWord;
  if (digest.sender != nullptr) {
    bytes += kWord + membership::EstimatedBytes(*digest.sender);
  }
  bytes += EstimatedTextBytes(digest.held.digest);
  for (const HeardEntry& entry : digest.heard) {
    bytes += kWord + EstimatedTextBytes(entry.data_centre);
  }
  return bytes + RecordBytes(digest.deltas);
}

}  // namespace

bool is_valid(const Version& version) {
  return version.sequence > 0 && version.digest.size() == kDigestCharacters &&
         std::all_of(version.digest.begin(), version.digest.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

std::size_t EstimatedBytes(const Exchange& message) {
  return kOverheadBytes + DigestBytes(message.digest);
}

std::size_t EstimatedBytes(const ExchangeReply& message) {
  return kOverheadBytes + DigestBytes(message.digest);
}

std::size_t EstimatedBytes(const SyncRequest& message) {
  const std::size_t sender = message.sender == nullptr
                                 ? 0
                                 : membership::EstimatedBytes(*message.sender);
  return kOverheadBytes + 2 * kWord + sender + sizeof(message.hashes) + kWord +
         message.known.size() * sizeof(std::uint32_t);
}

std::size_t EstimatedBytes(const SyncReply& message) {
  return kOverheadBytes + 2 * kWord + RecordBytes(message.records);
}

std::size_t EstimatedBytes(const Message& message) {
  return std::visit([](const auto& value) { return EstimatedBytes(value); },
                    message);
}

}  // namespace oleandertide::distribution
