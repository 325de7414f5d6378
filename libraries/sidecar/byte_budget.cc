#include "sidecar/byte_budget.h"

#include <algorithm>
#include <utility>

namespace oleandertide::sidecar {
namespace {

constexpr std::int64_t kMegabyte = 1'000'000;

// What a process needs beside buffers: program, configuration, links. An idle
// node holds 8 MB.
constexpr std::int64_t kOverheadPart = 8;
constexpr std::int64_t kLeastOverhead = 12 * kMegabyte;
constexpr std::int64_t kMostOverhead = 64 * kMegabyte;

// Bytes that the system keeps unread.
constexpr std::int64_t kUnreadPart = 16;

ByteHolder HolderOf(ByteBudget::Owner owner) {
  switch (owner) {
    case ByteBudget::Owner::kClient:
      return ByteHolder::kConnections;
    case ByteBudget::Owner::kMesh:
      return ByteHolder::kLinks;
    case ByteBudget::Owner::kAnswer:
      return ByteHolder::kAnswers;
    case ByteBudget::Owner::kCall:
      return ByteHolder::kCalls;
  }
  return ByteHolder::kLinks;
}

bool IsForClients(ByteHolder holder) {
  return holder == ByteHolder::kConnections || holder == ByteHolder::kRequests;
}

}  // namespace

std::string_view ToString(ByteHolder holder) {
  switch (holder) {
    case ByteHolder::kConnections:
      return "connections";
    case ByteHolder::kRequests:
      return "requests";
    case ByteHolder::kCalls:
      return "calls";
    case ByteHolder::kLinks:
      return "links";
    case ByteHolder::kAnswers:
      return "answers";
  }
  return "unknown-holder";
}

void detail::ByteTotals::Change(ByteHolder holder, const std::string& client,
                                std::size_t before, std::size_t after) {
  used = used - before + after;
  std::size_t& own = held[static_cast<std::size_t>(holder)];
  own = own - before + after;
  if (!IsForClients(holder)) return;
  used_by_clients = used_by_clients - before + after;
  const auto entry = clients.try_emplace(client, 0).first;
  entry->second = entry->second - before + after;
  if (entry->second == 0) clients.erase(entry);
}

ByteCharge::ByteCharge(std::shared_ptr<detail::ByteTotals> totals,
                       ByteHolder holder, std::string client, std::size_t bytes)
    : totals_(std::move(totals)), holder_(holder), client_(std::move(client)) {
  Resize(bytes);
}

ByteCharge::ByteCharge(ByteCharge&& other) noexcept
    : totals_(std::move(other.totals_)),
      holder_(other.holder_),
      client_(std::move(other.client_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

ByteCharge& ByteCharge::operator=(ByteCharge&& other) noexcept {
  if (this == &other) return *this;
  Release();
  totals_ = std::move(other.totals_);
  holder_ = other.holder_;
  client_ = std::move(other.client_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void ByteCharge::Resize(std::size_t bytes) {
  if (!totals_ || bytes == bytes_) return;
  totals_->Change(holder_, client_, bytes_, bytes);
  bytes_ = bytes;
}

void ByteCharge::Release() {
  Resize(0);
  totals_ = nullptr;
}

ByteBudget::Options ByteBudget::ForMemory(std::int64_t memory_mb) {
  Options options;
  if (memory_mb <= 0) return options;
  const std::int64_t memory = memory_mb * kMegabyte;
  const std::int64_t overhead =
      std::clamp(memory / kOverheadPart, kLeastOverhead, kMostOverhead);
  // Less than twice the overhead is no machine of the users; half remains.
  options.capacity = static_cast<std::size_t>(
      std::max(memory - overhead - memory / kUnreadPart, memory / 2));
  options.reserve = options.capacity / kReservePart;
  return options;
}

std::size_t ByteBudget::UnreadBytesForMemory(std::int64_t memory_mb) {
  if (memory_mb <= 0) return 0;
  return static_cast<std::size_t>(memory_mb * kMegabyte / kUnreadPart);
}

ByteBudget::AccountId ByteBudget::Open(const std::string& client,
                                       std::function<void()> on_evict,
                                       MonotonicTime now) {
  const AccountId id = next_id_++;
  accounts_.emplace(id, Account{.client = client,
                                .on_evict = std::move(on_evict),
                                .progress_at = now});
  return id;
}

ByteBudget::AccountId ByteBudget::OpenMesh(MonotonicTime now) {
  const AccountId id = next_id_++;
  accounts_.emplace(id, Account{.owner = Owner::kMesh, .progress_at = now});
  return id;
}

ByteBudget::AccountId ByteBudget::OpenAnswer(std::function<void()> on_evict,
                                             MonotonicTime now) {
  const AccountId id = next_id_++;
  accounts_.emplace(id, Account{.owner = Owner::kAnswer,
                                .on_evict = std::move(on_evict),
                                .progress_at = now});
  return id;
}

void ByteBudget::Close(AccountId id) {
  Account& account = accounts_.at(id);
  Apply(id, account, 0);
  accounts_.erase(id);
}

std::size_t ByteBudget::Limit(Owner owner, std::size_t bytes) const {
  const bool may_use_reserve =
      owner == Owner::kMesh || bytes <= options_.small_bytes;
  return options_.capacity - (may_use_reserve ? 0 : options_.reserve);
}

bool ByteBudget::IsGranted(const Account& account, std::size_t bytes) const {
  if (options_.capacity == 0 || bytes <= account.bytes) return true;
  const std::size_t others = totals_->used - account.bytes;
  if (others + bytes > Limit(account.owner, bytes)) return false;
  if (account.owner != Owner::kClient || bytes <= options_.small_bytes) {
    return true;
  }
  const auto found = totals_->clients.find(account.client);
  const std::size_t own = found == totals_->clients.end() ? 0 : found->second;
  if (own == totals_->used_by_clients) return true;
  return static_cast<double>(own - account.bytes + bytes) <=
         options_.client_share * static_cast<double>(options_.capacity);
}

std::optional<ByteBudget::AccountId> ByteBudget::FindStalled(
    AccountId except, MonotonicTime now) const {
  for (const auto& [progress_at, id] : waiting_) {
    if (now - progress_at < options_.stall_limit) break;
    if (id != except) return id;
  }
  return std::nullopt;
}

std::optional<ByteBudget::AccountId> ByteBudget::FindSubordinate(
    const Account& account, std::size_t bytes) const {
  if (account.owner == Owner::kClient) return std::nullopt;
  std::size_t left = totals_->used - account.bytes + bytes;
  const std::size_t limit = Limit(account.owner, bytes);
  std::optional<AccountId> first;
  for (const auto& [progress_at, id] : waiting_) {
    const Account& other = accounts_.at(id);
    if (!other.is_for_body || other.bytes <= options_.small_bytes) continue;
    if (!first) first = id;
    left -= other.bytes;
    if (left <= limit) return first;
  }
  return std::nullopt;
}

std::optional<ByteBudget::AccountId> ByteBudget::FindLargestAnswer(
    AccountId id, std::size_t bytes) const {
  const Account& account = accounts_.at(id);
  if (account.owner == Owner::kClient || account.owner == Owner::kCall) {
    return std::nullopt;
  }
  std::size_t most =
      account.owner == Owner::kAnswer ? bytes : options_.small_bytes;
  std::optional<AccountId> largest;
  for (const auto& [other_id, other] : accounts_) {
    if (other.owner != Owner::kAnswer || other_id == id) continue;
    if (other.bytes <= most) continue;
    most = other.bytes;
    largest = other_id;
  }
  return largest;
}

bool ByteBudget::MakeRoom(AccountId id, std::size_t bytes, MonotonicTime now) {
  while (true) {
    const auto found = accounts_.find(id);
    if (found == accounts_.end()) return false;
    if (IsGranted(found->second, bytes)) return true;
    auto victim = FindStalled(id, now);
    if (!victim) victim = FindSubordinate(found->second, bytes);
    if (!victim) victim = FindLargestAnswer(id, bytes);
    if (!victim) return false;
    ++evicted_count_;
    Account& account = accounts_.at(*victim);
    Apply(*victim, account, 0);
    // A copy: the callback may close the account.
    const auto on_evict = account.on_evict;
    if (on_evict) on_evict();
  }
}

bool ByteBudget::Set(AccountId id, std::size_t bytes, MonotonicTime now) {
  if (!MakeRoom(id, bytes, now)) {
    ++refused_count_;
    return false;
  }
  Apply(id, accounts_.at(id), bytes);
  return true;
}

void ByteBudget::Force(AccountId id, std::size_t bytes) {
  Apply(id, accounts_.at(id), bytes);
}

ByteCharge ByteBudget::Detach(AccountId id, std::size_t bytes) {
  Account& account = accounts_.at(id);
  Apply(id, account, account.bytes - bytes);
  return {totals_, ByteHolder::kRequests, account.client, bytes};
}

std::optional<ByteCharge> ByteBudget::ChargeCall(std::size_t bytes,
                                                 MonotonicTime now) {
  return Charge(Owner::kCall, ByteHolder::kCalls, bytes, now);
}

std::optional<ByteCharge> ByteBudget::ChargeFrame(std::size_t bytes,
                                                  MonotonicTime now) {
  return Charge(Owner::kMesh, ByteHolder::kLinks, bytes, now);
}

ByteCharge ByteBudget::ForceCharge(ByteHolder holder, std::size_t bytes) {
  return {totals_, holder, {}, bytes};
}

std::optional<ByteCharge> ByteBudget::Charge(Owner owner, ByteHolder holder,
                                             std::size_t bytes,
                                             MonotonicTime now) {
  if (!IsGranted(Account{.owner = owner}, bytes)) {
    // An account while others are evicted in its favour.
    const AccountId id = next_id_++;
    accounts_.emplace(id, Account{.owner = owner, .progress_at = now});
    const bool is_granted = MakeRoom(id, bytes, now);
    accounts_.erase(id);
    if (!is_granted) {
      ++refused_count_;
      return std::nullopt;
    }
  }
  return ForceCharge(holder, bytes);
}

void ByteBudget::Apply(AccountId id, Account& account, std::size_t bytes) {
  if (account.bytes == bytes) return;
  const bool was_listed = IsListed(account);
  totals_->Change(HolderOf(account.owner), account.client, account.bytes,
                  bytes);
  account.bytes = bytes;
  if (was_listed == IsListed(account)) return;
  if (was_listed) {
    waiting_.erase({account.progress_at, id});
  } else {
    waiting_.insert({account.progress_at, id});
  }
}

void ByteBudget::SetWaiting(AccountId id, bool is_waiting, MonotonicTime now,
                            bool is_for_body) {
  Account& account = accounts_.at(id);
  if (IsListed(account)) waiting_.erase({account.progress_at, id});
  account.is_waiting = is_waiting;
  account.is_for_body = is_for_body;
  account.progress_at = now;
  if (IsListed(account)) waiting_.insert({account.progress_at, id});
}

void ByteBudget::RecordProgress(AccountId id, MonotonicTime now) {
  const Account& account = accounts_.at(id);
  SetWaiting(id, account.is_waiting, now, account.is_for_body);
}

}  // namespace oleandertide::sidecar
