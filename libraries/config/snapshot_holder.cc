#include "config/snapshot_holder.h"

#include <urcu/urcu-memb.h>

#include <utility>

namespace oleandertide::config {
namespace {

// Registers the thread on construction and unregisters it when it ends.
class ThreadRegistration {
 public:
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
  ThreadRegistration(const ThreadRegistration&) = delete;
  ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

void RegisterThread() {
  [[maybe_unused]] static thread_local const ThreadRegistration registration;
}

}  // namespace

SnapshotHolder::~SnapshotHolder() { delete current_.load(); }

Result<void> SnapshotHolder::Publish(std::unique_ptr<const Snapshot> snapshot) {
  if (snapshot == nullptr || urcu_memb_read_ongoing() != 0) {
    return Error::kInvalidArgument;
  }
  const std::lock_guard lock(publish_mutex_);
  if (snapshot->sequence() <= sequence()) {
    refused_count_.fetch_add(1, std::memory_order_relaxed);
    return Error::kConflict;
  }
  const std::uint64_t next = snapshot->sequence();
  const std::unique_ptr<const Snapshot> previous(
      current_.exchange(snapshot.release(), std::memory_order_acq_rel));
  sequence_.store(next, std::memory_order_release);
  urcu_memb_synchronize_rcu();
  return Success();
}

SnapshotReader::SnapshotReader(const SnapshotHolder& holder) {
  RegisterThread();
  urcu_memb_read_lock();
  snapshot_ = holder.current_.load(std::memory_order_acquire);
}

SnapshotReader::~SnapshotReader() { urcu_memb_read_unlock(); }

}  // namespace oleandertide::config
