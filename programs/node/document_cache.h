// Documents that the node holds.

#ifndef OLEANDERTIDE_NODE_DOCUMENT_CACHE_H_
#define OLEANDERTIDE_NODE_DOCUMENT_CACHE_H_

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "config/snapshot.h"
#include "distribution/document_tracker.h"
#include "distribution/messages.h"

namespace oleandertide::node {

// Keeps the text of the latest documents for peers, and the snapshots that are
// compiled and not yet in force. Thread-safe.
class DocumentCache {
 public:
  // Verifies the digest, parses and compiles the text, and keeps both if the
  // document is valid. `*explanation` receives the first error otherwise.
  distribution::DocumentOutcome Add(const distribution::Version& version,
                                    std::string text, std::string* explanation);

  // The text of a held version.
  std::optional<std::string> Find(const distribution::Version& version) const;

  // Hands out the compiled snapshot of a version, once; null if there is none.
  std::unique_ptr<const config::Snapshot> Take(
      const distribution::Version& version);

 private:
  // A version waits for its commit for about a second; many more promotions
  // than this would have to be accepted meanwhile to lose one.
  static constexpr std::size_t kMaximumDocuments = 16;

  struct Held {
    distribution::Version version;
    std::string text;
    std::unique_ptr<const config::Snapshot> snapshot;
  };

  mutable std::mutex mutex_;
  std::deque<Held> held_;
};

}  // namespace oleandertide::node

#endif  // OLEANDERTIDE_NODE_DOCUMENT_CACHE_H_
