// Writes how an order ended to the store.

#ifndef OLEANDERTIDE_ROLLOUT_STATUS_WRITER_H_
#define OLEANDERTIDE_ROLLOUT_STATUS_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/result.h"
#include "core/store_position.h"

namespace oleandertide::rollout {

enum class Status : std::uint8_t { kRunning, kCompleted, kRolledBack };

// Value of a status row.
struct StatusRow {
  Status status = Status::kRunning;
  std::string to{};
  // Of the order's row; 0 if the value does not tell. A row of an earlier
  // version of this project tells no era.
  StorePosition order{};
  // Version of the row itself.
  std::uint64_t version = 0;
};

// Writes `running` and then one final status for one order. Each write is under
// the condition that the row is as it was read, and a row with a final status
// of the order is never written over by its deciders. So whatever number of
// deciders act, and whenever their writes are performed, at most one final
// status is ever written for an order. After a write without answer the row is
// read again.
//
// Load pattern: two deciders that take each other for gone; a paused one that
// continues; a store that loses answers or performs writes seconds later.
//
// Not thread-safe.
class StatusWriter {
 public:
  // What is to be done at the store. Exactly one OnRead or OnWritten answers.
  struct Read {};
  struct Write {
    StatusRow row;
    // Version that the row must have, 0 if it must not exist.
    std::uint64_t expected_version = 0;
  };
  using Effect = std::variant<std::monostate, Read, Write>;

  StatusWriter(std::string to, StorePosition order)
      : to_(std::move(to)), order_(order) {}

  // Returns what to do now. `wanted` is the status that the row should have; a
  // final one is only written over `running`.
  Effect Tick(Status wanted);

  // The store answered a read; nothing if the row does not exist.
  void OnRead(const Result<std::optional<StatusRow>>& row);

  // The store answered a write with the new version of the row.
  void OnWritten(const Result<std::uint64_t>& version);

  // The status that the store is known to have for the order.
  std::optional<Status> status() const { return status_; }
  bool is_final() const { return status_ && *status_ != Status::kRunning; }

  // A later order has a status; this one must not write any more.
  bool is_superseded() const { return is_superseded_; }

 private:
  std::string to_;
  StorePosition order_;
  // Version of the row as it was read or written; nothing if it must be read.
  std::optional<std::uint64_t> row_version_;
  std::optional<Status> status_;
  // Status of the write in progress.
  std::optional<Status> writing_;
  bool is_busy_ = false;
  bool is_superseded_ = false;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_STATUS_WRITER_H_
