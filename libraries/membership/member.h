// Record of one member of the mesh.

#ifndef OLEANDERTIDE_MEMBERSHIP_MEMBER_H_
#define OLEANDERTIDE_MEMBERSHIP_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace oleandertide::membership {

// The values are part of the peer protocol.
enum class MemberState : std::uint8_t {
  kStarting = 0,
  kReady = 1,
  kDraining = 2,
  kLeft = 3,
  kSuspect = 4,
  kDead = 5,
};

// Longest string accepted in a record, in bytes.
inline constexpr std::size_t kMaximumStringBytes = 64;

// Records above this incarnation are rejected, so that damaged input cannot
// exhaust the range in which the owner can still refute.
inline constexpr std::uint64_t kMaximumIncarnation = std::uint64_t{1} << 48;

// One member. `address` is the identity; a restarted process keeps it and
// takes a new `life`.
struct Member {
  std::string address;  // "IP:port" for peers.
  std::uint64_t life = 0;
  std::string data_centre;
  std::string region;
  std::string service;
  // "IP:port"; empty while no backend server has announced itself.
  std::string backend_address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  MemberState state = MemberState::kStarting;
  // Raised by the owner with each change; a higher value replaces a lower one.
  std::uint64_t incarnation = 0;

  bool operator==(const Member&) const = default;
};

// Records are immutable and shared between tables, views and messages.
using MemberPointer = std::shared_ptr<const Member>;

// Returns a stable lower-case name for logs and status pages.
std::string_view ToString(MemberState state);

// Starting, ready or draining: the process is running and reachable.
inline bool is_alive(const Member& member) {
  return member.state == MemberState::kStarting ||
         member.state == MemberState::kReady ||
         member.state == MemberState::kDraining;
}

// True if the record is within all bounds: a nonempty address and data centre,
// no string above kMaximumStringBytes, a known state and a permitted
// incarnation. Input from peers must pass this before it is used.
bool is_valid(const Member& member);

// True if `candidate` replaces `current` for the same address: a higher
// incarnation wins; at equal incarnations dead replaces suspect, which
// replaces the states that the owner sets. Remaining ties are decided by life
// and then by content, so that all tables converge to one record.
bool is_newer(const Member& candidate, const Member& current);

// Hash over all fields. Stable within one build of the project.
std::uint64_t RecordHash(const Member& member);

// Size in bytes of the record in the peer protocol (Cap'n Proto, unpacked).
std::size_t EstimatedBytes(const Member& member);

// Size in bytes of one text field including its pointer.
inline std::size_t EstimatedTextBytes(std::string_view text) {
  constexpr std::size_t kWord = 8;
  return text.empty() ? kWord
                      : kWord + (text.size() + 1 + kWord - 1) / kWord * kWord;
}

}  // namespace oleandertide::membership

#endif  // OLEANDERTIDE_MEMBERSHIP_MEMBER_H_
