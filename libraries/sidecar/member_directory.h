// How nodes find each other: by rows in the store.

#ifndef OLEANDERTIDE_SIDECAR_MEMBER_DIRECTORY_H_
#define OLEANDERTIDE_SIDECAR_MEMBER_DIRECTORY_H_

#include <functional>
#include <string>

#include "core/random.h"
#include "sidecar/event_loop.h"
#include "sidecar/node_identity.h"
#include "sidecar/store_client.h"

namespace oleandertide::sidecar {

// Each node has a row with its address, written when it differs from what the
// store holds: a restart writes nothing. A node reads the rows once, after its
// own was written, and opens links; the others learn of it by these links. Of
// two nodes that start together, at least one sees the other's row, and a second
// read some time after the start shows both. Not thread-safe.
class MemberDirectory {
 public:
  using OnMember = std::function<void(const NodeIdentity&)>;

  MemberDirectory(EventLoop& loop, StoreClient& store, RandomSource& random,
                  NodeIdentity self, OnMember on_member);

  // Reads and writes until both have succeeded.
  void Start();

 private:
  void Read(std::string first_key);
  void OnRows(const Result<platform::RowList>& rows);
  void Write();
  void StartAfter(Duration delay);

  StoreClient& store_;
  RandomSource& random_;
  const NodeIdentity self_;
  OnMember on_member_;
  Timer timer_;
  // What the store holds of this node.
  std::string own_value_;
  std::uint64_t own_version_ = 0;
  bool is_own_row_seen_ = false;
  bool is_second_read_done_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_MEMBER_DIRECTORY_H_
