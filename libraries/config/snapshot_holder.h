// Publication of snapshots to the threads that serve requests.

#ifndef OLEANDERTIDE_CONFIG_SNAPSHOT_HOLDER_H_
#define OLEANDERTIDE_CONFIG_SNAPSHOT_HOLDER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

#include "config/snapshot.h"
#include "core/result.h"

namespace oleandertide::config {

// Holds the snapshot in force and replaces it by read-copy-update. All methods
// are thread-safe.
class SnapshotHolder {
 public:
  SnapshotHolder() = default;
  SnapshotHolder(const SnapshotHolder&) = delete;
  SnapshotHolder& operator=(const SnapshotHolder&) = delete;

  // Precondition: no SnapshotReader of this holder exists.
  ~SnapshotHolder();

  // Puts `snapshot` in force and deletes the one before it, once no reader
  // refers to it; waits for those readers. Errors: kConflict if the sequence
  // is not higher than the one in force, which is counted and changes nothing;
  // kInvalidArgument if `snapshot` is null, or if this thread has a
  // SnapshotReader, which the call would wait for forever.
  Result<void> Publish(std::unique_ptr<const Snapshot> snapshot);

  // Returns the sequence in force, or 0 before the first publication.
  std::uint64_t sequence() const {
    return sequence_.load(std::memory_order_acquire);
  }

  // Returns how many snapshots were refused for their sequence.
  std::uint64_t refused_count() const {
    return refused_count_.load(std::memory_order_relaxed);
  }

 private:
  friend class SnapshotReader;

  std::mutex publish_mutex_;
  std::atomic<const Snapshot*> current_ = nullptr;
  std::atomic<std::uint64_t> sequence_ = 0;
  std::atomic<std::uint64_t> refused_count_ = 0;
};

// Keeps the snapshot in force at its construction valid for its lifetime,
// without locks. The first reader of a thread registers the thread with
// liburcu until the thread ends.
//
// Publish waits for readers: keep one for the decision on a request, not while
// waiting for an answer. Must be destroyed by the thread that constructed it;
// readers may be nested.
class SnapshotReader {
 public:
  explicit SnapshotReader(const SnapshotHolder& holder);
  ~SnapshotReader();
  SnapshotReader(const SnapshotReader&) = delete;
  SnapshotReader& operator=(const SnapshotReader&) = delete;

  // Null before the first publication.
  const Snapshot* snapshot() const { return snapshot_; }

 private:
  const Snapshot* snapshot_;
};

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_SNAPSHOT_HOLDER_H_
