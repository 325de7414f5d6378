// Table of all known members of the mesh.

#ifndef OLEANDERTIDE_MEMBERSHIP_MEMBER_TABLE_H_
#define OLEANDERTIDE_MEMBERSHIP_MEMBER_TABLE_H_

#include <absl/container/btree_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "membership/member.h"
#include "membership/member_view.h"
#include "membership/rendezvous.h"

namespace oleandertide::membership {

// Number of parts that a table comparison distinguishes.
inline constexpr std::size_t kBuckets = 128;

// One hash per bucket; records are assigned by the hash of their address.
using BucketHashes = std::array<std::uint32_t, kBuckets>;

struct TableOptions {
  // A member that the node itself suspects is declared dead after this time.
  Duration suspicion_time = std::chrono::seconds(3);
  // Time after which a suspicion learned from others becomes a death. Longer,
  // so that a refutation on its way arrives before.
  Duration remote_suspicion_time = std::chrono::seconds(10);
  // Dead members count in N for this time (design, 4.4).
  Duration dead_counted_time = std::chrono::seconds(30);
  // Dead and left records are kept for this time.
  Duration dead_retention = std::chrono::hours(2);
  // Bounds memory against damaged input; about four times the planned fleet.
  std::size_t maximum_members = 4096;
  // Factor of log2(N+1) transmissions of each change.
  double transmission_factor = 3.0;
};

enum class MergeOutcome {
  kAdded,
  kUpdated,
  kKnown,     // the stored record is the same or newer
  kRefuted,   // concerned the own address; the own incarnation was raised
  kRejected,  // out of bounds, or the table is full
};

// A bounded part of a table for full synchronisation.
struct TablePart {
  std::vector<MemberPointer> records;
  // First bucket that was not considered; kBuckets at the end of the table.
  std::size_t next_bucket = kBuckets;
};

// Not thread-safe. Does no input or output.
class MemberTable {
 public:
  // Precondition: is_valid(own).
  MemberTable(Member own, TableOptions options);

  const Member& own() const { return *own_; }
  const MemberPointer& own_pointer() const { return own_; }

  // Replaces the state or the backend server of the own record and queues the
  // change for dissemination.
  void SetOwnState(MonotonicTime now, MemberState state);
  void SetOwnBackend(MonotonicTime now, std::string_view backend_address,
                     std::uint32_t slots, std::uint32_t connections);

  // Merges a record from a peer. Null and invalid records are rejected. With
  // `spreads`, a change is passed on; records from a full synchronisation are
  // not, because their source spreads them already.
  MergeOutcome Merge(MonotonicTime now, const MemberPointer& record,
                     bool spreads = true);

  // Marks a member as suspect, by the node's own observation. Returns false
  // if it is unknown, not alive or the node itself.
  bool Suspect(MonotonicTime now, std::string_view address);

  // Declares expired suspicions dead and forgets old dead records.
  void Tick(MonotonicTime now);

  // Returns up to `limit` queued changes for one message to `target` and
  // counts the transmission.
  std::vector<MemberPointer> TakeDeltas(std::size_t limit,
                                        std::string_view target);
  // Counts a transmission of all queued changes: a peer had the same hash, so
  // it knows them.
  void NoteEqualTable() { ++equal_tables_; }
  bool has_deltas() const { return !queue_.empty(); }

  // Hash over all records that are neither dead nor left. Dead and left
  // records expire by local time and would otherwise differ at the end.
  std::uint64_t hash() const { return hash_; }
  const BucketHashes& bucket_hashes() const { return bucket_hashes_; }

  // Returns the records of the buckets from `first_bucket` on that differ from
  // `theirs`, at most about `limit` of them (whole buckets). Records whose
  // short hash is in `known` are left out.
  TablePart DifferingPart(const BucketHashes& theirs, std::size_t first_bucket,
                          std::span<const std::uint32_t> known,
                          std::size_t limit) const;

  // Short hashes of the own records from `first_bucket` on, at most `limit`.
  std::vector<std::uint32_t> ShortHashes(std::size_t first_bucket,
                                         std::size_t limit) const;

  // Returns the record of `address`, or null.
  MemberPointer Find(std::string_view address) const;
  std::size_t size() const { return entries_.size(); }

  // N of the commit rule: records of the data centre that are starting, ready,
  // draining or suspect, and those dead for less than dead_counted_time.
  std::size_t CountedMembers(std::string_view data_centre,
                             MonotonicTime now) const;
  // Alive members of a data centre, the node itself included.
  std::size_t AliveMembers(std::string_view data_centre) const;
  // Records of a data centre that have not left; dead ones count until they
  // are forgotten.
  std::size_t KnownMembers(std::string_view data_centre) const;

  // All data centres with a member that is not dead and has not left, each
  // with its region.
  std::vector<std::pair<std::string, std::string>> DataCentres() const;

  // The next `count` members after the node on the hash ring of its data
  // centre. Suspect members are included; they stay monitored until declared
  // dead.
  std::vector<std::string> Successors(std::size_t count) const;

  // The first `count` other members of a data centre that pass `filter`, after
  // a point on its hash ring that depends on the node and on `number`.
  std::vector<std::string> RingPartners(std::string_view data_centre,
                                        std::uint64_t number,
                                        const MemberFilter& filter,
                                        std::size_t count) const;

  // Addresses of the readers of a data centre, first in rank first: the
  // highest ranked members that are starting or ready.
  std::vector<std::string> ReadersOf(std::string_view data_centre,
                                     std::size_t count) const;

  std::vector<MemberPointer> RankByRendezvous(std::string_view key,
                                              const MemberFilter& filter,
                                              std::size_t count) const;

  // Returns a random record that passes `filter`, never the own one, or null.
  MemberPointer RandomMember(RandomSource& random,
                             const MemberFilter& filter) const;

  // Removes all records of another data centre that has been unreachable for
  // longer than dead records are kept.
  void ForgetDataCentre(std::string_view data_centre);

  // Grows with each change of any record.
  std::uint64_t change_count() const { return change_count_; }
  // Grows when a member becomes usable or unusable as a partner or reader.
  std::uint64_t liveness_count() const { return liveness_count_; }
  // Number of suspicions and deaths of the own record that were refuted.
  std::uint64_t refutations() const { return refutations_; }
  // Number of deaths declared by this node.
  std::uint64_t deaths_declared() const { return deaths_declared_; }

  // Returns a copy of all records; the same object until the next change.
  std::shared_ptr<const MemberView> view() const;

 private:
  struct DataCentreCount;
  struct Entry {
    MemberPointer member;
    std::uint64_t hash = 0;
    const DataCentreCount* data_centre = nullptr;
    MonotonicTime since;  // when the state was last changed in this table
    bool own_suspicion = false;
    bool is_queued = false;
    std::uint64_t transmissions_end = 0;  // see Queue
  };
  // Records of one data centre by state.
  struct DataCentreCount {
    std::string region;
    std::size_t alive = 0;
    std::size_t present = 0;  // neither dead nor left
    std::size_t known = 0;    // not left
  };
  struct Death {
    MonotonicTime at;
    std::uint64_t key;
  };

  void Store(MonotonicTime now, MemberPointer member, bool own_suspicion,
             bool spreads = true);
  const DataCentreCount* Count(const Member& member, std::ptrdiff_t change);
  std::vector<std::string> AfterPoint(std::uint64_t point,
                                      std::string_view data_centre,
                                      const MemberFilter& filter,
                                      std::size_t count) const;
  void Remove(std::uint64_t key);
  void ReplaceOwn(MonotonicTime now, Member own);
  MergeOutcome MergeOwn(MonotonicTime now, const Member& record);
  void ToggleHash(const Entry& entry);
  void Queue(std::uint64_t key, Entry& entry);
  // Shortens the retransmission of a change that a peer sent, too.
  void NoteKnown(Entry& entry) const;
  int TransmissionsPerChange() const;

  TableOptions options_;
  MemberPointer own_;
  // By the hash of the address. Ordered, so that runs with the same input are
  // the same, and so that each bucket is one range.
  absl::btree_map<std::uint64_t, Entry> entries_;
  // Entries point to these counts, which therefore must not move.
  std::map<std::string, DataCentreCount, std::less<>> data_centres_;
  std::deque<Death> recent_deaths_;
  std::deque<std::uint64_t> queue_;
  std::uint64_t equal_tables_ = 0;
  BucketHashes bucket_hashes_{};
  std::uint64_t hash_ = 0;
  std::size_t suspects_ = 0;
  MonotonicTime next_forget_;
  std::uint64_t change_count_ = 0;
  std::uint64_t liveness_count_ = 0;
  std::uint64_t refutations_ = 0;
  std::uint64_t deaths_declared_ = 0;
  mutable std::shared_ptr<const MemberView> view_;
  mutable std::uint64_t view_change_count_ = 0;
};

}  // namespace oleandertide::membership

#endif  // OLEANDERTIDE_MEMBERSHIP_MEMBER_TABLE_H_
