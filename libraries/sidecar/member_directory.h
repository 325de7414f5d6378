// How nodes find each other: by rows in the store.

#ifndef OLEANDERTIDE_SIDECAR_MEMBER_DIRECTORY_H_
#define OLEANDERTIDE_SIDECAR_MEMBER_DIRECTORY_H_

#include <functional>
#include <string>
#include <string_view>

#include "core/random.h"
#include "sidecar/event_loop.h"
#include "sidecar/node_identity.h"
#include "sidecar/store_client.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// Each node has a row with its address, written when it differs from what the
// store holds: a restart writes nothing. A node reads the rows after its own
// was written, and opens links; the others learn of it by these links. When the
// whole system starts for the first time, a node writes its row, waits until
// the others have done so and reads once. Not thread-safe.
class MemberDirectory {
 public:
  using OnMember = std::function<void(const NodeIdentity&)>;

  MemberDirectory(EventLoop& loop, StoreClient& store, RandomSource& random,
                  NodeIdentity self, bool is_first_start, OnMember on_member);

  // Reads and writes until both have succeeded.
  void Start();

 private:
  void Read(std::string_view first_key);
  // Takes in the rows of a table from `first_key` on.
  void OnRows(const std::string& first_key,
              const Result<platform::RowList>& rows);
  void Write();
  void StartAfter(Duration delay);

  StoreClient& store_;
  RandomSource& random_;
  const NodeIdentity self_;
  OnMember on_member_;
  bool is_first_start_;
  Timer timer_;
  // What the store holds of this node.
  std::string own_value_;
  std::uint64_t own_version_ = 0;
  bool is_own_row_seen_ = false;
  bool waits_for_others_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_MEMBER_DIRECTORY_H_
