#include "node/document_cache.h"

#include <utility>

#include "core/hash.h"

namespace oleandertide::node {

using distribution::DocumentOutcome;

DocumentOutcome DocumentCache::Add(const distribution::Version& version,
                                   std::string text, std::string* explanation) {
  if (ContentDigest(text) != version.digest) {
    *explanation = "the content does not match its digest";
    return DocumentOutcome::kDamaged;
  }
  auto document = config::Document::Parse(text, "document");
  if (!document) {
    *explanation = config::ToString(document.error().front());
    return DocumentOutcome::kInvalid;
  }
  auto snapshot = config::Snapshot::Compile(version.sequence, version.digest,
                                            std::move(document).value());
  if (!snapshot) {
    *explanation = snapshot.error().message();
    return DocumentOutcome::kInvalid;
  }
  std::lock_guard lock(mutex_);
  held_.push_back({version, std::move(text), std::move(snapshot).value()});
  if (held_.size() > kMaximumDocuments) held_.pop_front();
  return DocumentOutcome::kValid;
}

std::optional<std::string> DocumentCache::Find(
    const distribution::Version& version) const {
  std::lock_guard lock(mutex_);
  for (const Held& held : held_) {
    if (held.version == version) return held.text;
  }
  return std::nullopt;
}

std::unique_ptr<const config::Snapshot> DocumentCache::Take(
    const distribution::Version& version) {
  std::lock_guard lock(mutex_);
  for (Held& held : held_) {
    if (held.version == version && held.snapshot) {
      return std::move(held.snapshot);
    }
  }
  return nullptr;
}

}  // namespace oleandertide::node
