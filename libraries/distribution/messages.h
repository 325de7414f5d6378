// Messages between nodes for dissemination and membership.

#ifndef OLEANDERTIDE_DISTRIBUTION_MESSAGES_H_
#define OLEANDERTIDE_DISTRIBUTION_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "membership/member.h"
#include "membership/member_table.h"

namespace oleandertide::distribution {

// Bounds on what is accepted from a peer; the rest is dropped and counted.
inline constexpr std::size_t kMaximumDeltas = 64;
inline constexpr std::size_t kMaximumPartRecords = 1024;
inline constexpr std::size_t kMaximumHeardEntries = 32;
inline constexpr std::size_t kMaximumKnownHashes = 1024;
inline constexpr std::size_t kDigestCharacters = 32;

// A version of the environment's document. Sequence 0 stands for none.
struct Version {
  std::uint64_t sequence = 0;
  std::string digest;

  bool operator==(const Version&) const = default;
};

// True for a sequence above 0 with a digest of 32 lower-case hexadecimal
// characters.
bool is_valid(const Version& version);

// What a read of the environment's row showed. The age counts from the start
// of the read.
struct Confirmation {
  std::uint64_t row_sequence = 0;
  // Highest sequence up to row_sequence whose document the reader could use.
  // Lower than row_sequence if the document is invalid, missing or damaged.
  std::uint64_t usable_sequence = 0;
  std::uint32_t age_milliseconds = 0;
};

// Time since some node had a reply from a data centre.
struct HeardEntry {
  std::string data_centre;
  std::uint32_t age_milliseconds = 0;
};

// The part that requests and replies have in common.
struct Digest {
  membership::MemberPointer sender;
  // Highest version whose document the sender has validated.
  Version held;
  // Highest sequence known to be committed in the sender's data centre.
  std::uint64_t committed = 0;
  std::optional<Confirmation> confirmation;
  // N of the sender's data centre as the sender counts it.
  std::uint32_t counted_members = 0;
  std::vector<HeardEntry> heard;
  std::uint64_t table_hash = 0;
  std::vector<membership::MemberPointer> deltas;
};

struct Exchange {
  std::uint64_t id = 0;  // echoed by the reply
  Digest digest;
};

struct ExchangeReply {
  std::uint64_t id = 0;
  Digest digest;
};

// Requests the records that differ, from one bucket on.
struct SyncRequest {
  membership::MemberPointer sender;
  std::uint32_t first_bucket = 0;
  membership::BucketHashes hashes{};
  // Short hashes of records from first_bucket on that the sender has. While
  // most buckets differ, they keep the reply from repeating known records.
  std::vector<std::uint32_t> known;
};

struct SyncReply {
  std::vector<membership::MemberPointer> records;
  std::uint32_t next_bucket = membership::kBuckets;
};

using Message = std::variant<Exchange, ExchangeReply, SyncRequest, SyncReply>;

// Estimated size on the wire in bytes: the Cap'n Proto encoding, the framing of
// its remote calls, and the TCP/IP and Ethernet headers of one packet.
std::size_t EstimatedBytes(const Exchange& message);
std::size_t EstimatedBytes(const ExchangeReply& message);
std::size_t EstimatedBytes(const SyncRequest& message);
std::size_t EstimatedBytes(const SyncReply& message);
std::size_t EstimatedBytes(const Message& message);

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_MESSAGES_H_
