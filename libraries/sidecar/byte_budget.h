// Memory that a process may hold for its clients and for other nodes.
//
// Load pattern: clients send many large bodies at once and stop just short of
// their end, so that nothing of what is buffered can be released. The sum of
// what all connections hold is bounded, and when it is short, connections that
// make no progress give way.
//
// Load pattern: clients of several nodes send whole bodies at once, which meet
// at the nodes that run them. Bytes are counted where they lie, from their
// arrival until the last holder has released them: a node that has no room for
// the body of another node's call refuses the call.
//
// Load pattern: a backend server sends answers without end. Among answers that
// are being read, the largest gives way, also to links: answers that end are
// smaller.
//
// Order of precedence when it is short: links between nodes, small requests of
// clients, answers that are being read, calls of other nodes, large requests of
// clients.

#ifndef OLEANDERTIDE_SIDECAR_BYTE_BUDGET_H_
#define OLEANDERTIDE_SIDECAR_BYTE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "core/time.h"

namespace oleandertide::sidecar {

// Who holds bytes that are in the account.
enum class ByteHolder : std::uint8_t {
  // Connections of clients: bodies that arrive, unparsed bytes, answers.
  kConnections,
  // Bodies of clients' requests, while anybody may need them.
  kRequests,
  // Bodies of other nodes' calls, until the backend server has taken them.
  kCalls,
  // Frames of links: what is being received, and answers in parts.
  kLinks,
  // Answers that are being read.
  kAnswers,
};

inline constexpr std::size_t kByteHolderCount = 5;

// Stable name for logs and metrics. Thread-safe.
std::string_view ToString(ByteHolder holder);

namespace detail {

// Sums of what is held; shared with charges, which may outlive the budget.
struct ByteTotals {
  void Change(ByteHolder holder, const std::string& client, std::size_t before,
              std::size_t after);

  std::size_t used = 0;
  // Part of `used` that is held for clients, and that of each client.
  std::size_t used_by_clients = 0;
  std::unordered_map<std::string, std::size_t> clients{};
  std::array<std::size_t, kByteHolderCount> held{};
};

}  // namespace detail

// Counts bytes for as long as it lives; it travels with them. Not thread-safe.
class ByteCharge {
 public:
  // Counts nothing.
  ByteCharge() = default;
  ByteCharge(ByteCharge&& other) noexcept;
  ByteCharge& operator=(ByteCharge&& other) noexcept;
  ByteCharge(const ByteCharge&) = delete;
  ByteCharge& operator=(const ByteCharge&) = delete;
  ~ByteCharge() { Release(); }

  std::size_t bytes() const { return bytes_; }

  // Changes the number of bytes, which exist already. No effect on a charge
  // that was made without a budget.
  void Resize(std::size_t bytes);

 private:
  friend class ByteBudget;

  ByteCharge(std::shared_ptr<detail::ByteTotals> totals, ByteHolder holder,
             std::string client, std::size_t bytes);
  void Release();

  std::shared_ptr<detail::ByteTotals> totals_;
  ByteHolder holder_ = ByteHolder::kConnections;
  // Empty for bytes that are not a client's.
  std::string client_;
  std::size_t bytes_ = 0;
};

// Without input and output. Not thread-safe.
class ByteBudget {
 public:
  struct Options {
    // Bytes that all accounts may hold together; 0 is no limit.
    std::size_t capacity = 0;
    // Part of the capacity that only accounts of at most `small_bytes` may use.
    // Ordinary requests are served beside any number of large ones.
    std::size_t reserve = 0;
    std::size_t small_bytes = std::size_t{128} << 10U;
    // Part of the capacity that one client may hold while others hold any.
    double client_share = 0.5;
    // An account gives way if it made no progress for this time.
    Duration stall_limit = std::chrono::seconds(1);
  };

  // One part of the capacity in 32 is the reserve: 30 requests of 128 KiB in
  // 160 MB.
  static constexpr std::size_t kReservePart = 32;

  // Returns the options for a process with this much memory; no limit if it is
  // 0. Thread-safe.
  static Options ForMemory(std::int64_t memory_mb);

  // Returns the part of a process's memory that is left to bytes that the
  // system keeps unread for its connections; 0 if the memory is 0. Thread-safe.
  static std::size_t UnreadBytesForMemory(std::int64_t memory_mb);

  using AccountId = std::uint64_t;

  // Whose bytes an account holds.
  enum class Owner : std::uint8_t {
    kClient,
    // Another node: may use the reserve, has no share, and large answers that
    // are being read and large bodies that arrive give way to it.
    kMesh,
    // The backend server or the store, whose answer is being read: the same,
    // but a large answer leaves the reserve to others, and only larger answers
    // give way to it.
    kAnswer,
    // A call of another node, which can be refused: the same, but no answer
    // gives way to it.
    kCall,
  };

  explicit ByteBudget(const Options& options)
      : options_(options), totals_(std::make_shared<detail::ByteTotals>()) {}

  // Opens an account that holds nothing. `on_evict` is to release the bytes; it
  // may close any account.
  AccountId Open(const std::string& client, std::function<void()> on_evict,
                 MonotonicTime now);
  // The same for another node; it is never evicted.
  AccountId OpenMesh(MonotonicTime now);
  // The same for answers that are being read.
  AccountId OpenAnswer(std::function<void()> on_evict, MonotonicTime now);

  // Precondition of all: the account is open.
  void Close(AccountId id);

  // Changes what an account holds; returns whether that is granted. Less is
  // always granted. Evicts accounts that make no progress, the longest first.
  // Returns false if one that was evicted closed this one.
  bool Set(AccountId id, std::size_t bytes, MonotonicTime now);

  // Whether so many bytes would be granted without an eviction.
  bool HasRoom(AccountId id, std::size_t bytes) const {
    return IsGranted(accounts_.at(id), bytes);
  }

  // The same as Set for bytes that exist already, such as an answer that is
  // ready.
  void Force(AccountId id, std::size_t bytes);

  // Moves bytes of a client's account into a charge for kRequests.
  // Precondition: the account holds them.
  ByteCharge Detach(AccountId id, std::size_t bytes);

  // Returns a charge for the body of another node's call, or nothing if there
  // is no room for it. Evicts as Set does.
  std::optional<ByteCharge> ChargeCall(std::size_t bytes, MonotonicTime now);

  // The same for the body of any other frame of another node.
  std::optional<ByteCharge> ChargeFrame(std::size_t bytes, MonotonicTime now);

  // Returns a charge for bytes that exist already. Precondition: `holder` is
  // not that of a client's bytes.
  ByteCharge ForceCharge(ByteHolder holder, std::size_t bytes);

  // Sets whether the account, which is a client's, waits for it and may be
  // evicted; that counts as progress. One that waits for a body also gives way
  // to other owners while it makes progress: its request has not run, and no
  // answer is lost.
  void SetWaiting(AccountId id, bool is_waiting, MonotonicTime now,
                  bool is_for_body = false);

  // The client of a waiting account has sent or taken bytes.
  void RecordProgress(AccountId id, MonotonicTime now);

  std::size_t used() const { return totals_->used; }
  std::size_t held(ByteHolder holder) const {
    return totals_->held[static_cast<std::size_t>(holder)];
  }
  std::size_t capacity() const { return options_.capacity; }
  std::uint64_t refused_count() const { return refused_count_; }
  std::uint64_t evicted_count() const { return evicted_count_; }

 private:
  struct Account {
    Owner owner = Owner::kClient;
    std::string client{};
    std::function<void()> on_evict{};
    std::size_t bytes = 0;
    bool is_waiting = false;
    bool is_for_body = false;
    MonotonicTime progress_at{};
  };
  // Accounts that wait for their clients, the longest without progress first.
  using Waiting = std::pair<MonotonicTime, AccountId>;

  // Returns what all may hold together if `owner` is granted `bytes`.
  std::size_t Limit(Owner owner, std::size_t bytes) const;
  bool IsGranted(const Account& account, std::size_t bytes) const;
  std::optional<AccountId> FindStalled(AccountId except,
                                       MonotonicTime now) const;
  // Returns the large account of a client that is to give way to `account`
  // although it is not stalled; nothing if all of them together would not make
  // room for `bytes`.
  std::optional<AccountId> FindSubordinate(const Account& account,
                                           std::size_t bytes) const;
  // Returns the largest answer that is being read if it gives way to `id` with
  // so many bytes: to a link if it is not small, to an answer if it is larger.
  std::optional<AccountId> FindLargestAnswer(AccountId id,
                                             std::size_t bytes) const;
  // Evicts until `bytes` are granted; returns whether they are.
  bool MakeRoom(AccountId id, std::size_t bytes, MonotonicTime now);
  std::optional<ByteCharge> Charge(Owner owner, ByteHolder holder,
                                   std::size_t bytes, MonotonicTime now);
  void Apply(AccountId id, Account& account, std::size_t bytes);
  bool IsListed(const Account& account) const {
    return account.is_waiting && account.bytes > 0;
  }

  const Options options_;
  const std::shared_ptr<detail::ByteTotals> totals_;
  std::unordered_map<AccountId, Account> accounts_;
  std::set<Waiting> waiting_;
  AccountId next_id_ = 1;
  std::uint64_t refused_count_ = 0;
  std::uint64_t evicted_count_ = 0;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_BYTE_BUDGET_H_
