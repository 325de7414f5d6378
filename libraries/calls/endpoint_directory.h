// The endpoints of all services, for the request path.

#ifndef OLEANDERTIDE_CALLS_ENDPOINT_DIRECTORY_H_
#define OLEANDERTIDE_CALLS_ENDPOINT_DIRECTORY_H_

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "membership/member_view.h"
#include "routing/endpoint_table.h"

namespace oleandertide::calls {

// Published as a whole whenever members change. Thread-safe.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(Duration slow_start) : slow_start_(slow_start) {}

  // Builds the tables from the members; those of `unreachable` data centres
  // are left out. Must be called by one thread at a time.
  void Update(const membership::MemberView& members,
              const std::vector<std::string>& unreachable, MonotonicTime now);

  // The endpoints of a service, or null if there are none.
  std::shared_ptr<const routing::EndpointTable> Find(
      std::string_view service) const;

 private:
  using Tables =
      absl::flat_hash_map<std::string,
                          std::shared_ptr<const routing::EndpointTable>>;
  struct Seen {
    std::uint64_t life = 0;
    std::string backend_address;
    MonotonicTime ready_since;
  };

  MonotonicTime ReadySince(const membership::Member& member, MonotonicTime now);

  std::shared_ptr<const Tables> Load() const;

  const Duration slow_start_;
  // FIXME: Publish by read-copy-update like the snapshot. libstdc++ 12's
  // std::atomic<std::shared_ptr> has a data race, so a mutex guards the copy.
  mutable std::mutex mutex_;
  std::shared_ptr<const Tables> tables_;
  // Of the updating thread: when each member became ready.
  absl::flat_hash_map<std::string, Seen> seen_;
  bool is_first_update_ = true;
};

}  // namespace oleandertide::calls

#endif  // OLEANDERTIDE_CALLS_ENDPOINT_DIRECTORY_H_
