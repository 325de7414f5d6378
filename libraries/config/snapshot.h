// An accepted document in the form that the request path reads.

#ifndef OLEANDERTIDE_CONFIG_SNAPSHOT_H_
#define OLEANDERTIDE_CONFIG_SNAPSHOT_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"
#include "core/result.h"

namespace oleandertide::config {

// Immutable, thus thread-safe. Pointers and spans are valid as long as the
// snapshot.
class Snapshot {
 public:
  // Compiles a validated document as a whole. Error kInvalidArgument if
  // `sequence` is 0 or `digest` is not 32 lower-case hexadecimal characters.
  // The caller has verified that the digest belongs to the document.
  // Thread-safe.
  static Result<std::unique_ptr<const Snapshot>> Compile(
      std::uint64_t sequence, std::string_view digest, Document document);

  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  // Finds the route that has `method` and the longest path that is a prefix of
  // `path` in whole segments; the query is ignored. Paths are compared byte by
  // byte. Returns null if there is none, or if IsNormalPath does not hold: a
  // backend server could take such a path for that of another route, whose
  // class requires a claim.
  const Route* FindRoute(std::string_view method, std::string_view path) const;

  // Returns the route of that name, or null.
  const Route* route(std::string_view name) const;

  // Returns the job of that name, or null.
  const Job* job(std::string_view name) const;

  // Whether the document names the service.
  bool has_service(std::string_view name) const;

  // Ordered by name.
  std::span<const Service> services() const { return document_.services(); }
  std::span<const Route> routes() const { return document_.routes(); }
  std::span<const Job> jobs() const { return document_.jobs(); }

  const Document& document() const { return document_; }
  std::uint64_t sequence() const { return sequence_; }
  const std::string& digest() const { return digest_; }

 private:
  Snapshot(std::uint64_t sequence, std::string_view digest, Document document);

  const std::uint64_t sequence_;
  const std::string digest_;
  const Document document_;
  // Routes with the same path have different methods. Keys point into
  // document_.
  absl::flat_hash_map<std::string_view, std::vector<const Route*>> paths_;
  // Longer prefixes of a request's path need no look-up.
  std::size_t longest_path_ = 0;
};

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_SNAPSHOT_H_
