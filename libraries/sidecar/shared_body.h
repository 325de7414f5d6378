// Body of a message that several holders share.

#ifndef OLEANDERTIDE_SIDECAR_SHARED_BODY_H_
#define OLEANDERTIDE_SIDECAR_SHARED_BODY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "sidecar/byte_budget.h"

namespace oleandertide::sidecar {

// Bytes that do not change. Copies refer to the same bytes, which are counted
// once until the last of them is gone. Not thread-safe.
class SharedBody {
 public:
  // Without bytes.
  SharedBody() = default;

  // `charge` counts the memory of `bytes`.
  explicit SharedBody(std::string bytes, ByteCharge charge = {}) {
    if (bytes.empty() && charge.bytes() == 0) return;
    content_ = std::make_shared<const Content>(
        Content{std::move(bytes), std::move(charge)});
  }

  // Valid while a copy of this object lives.
  std::string_view view() const {
    if (!content_) return {};
    return content_->bytes;
  }
  std::size_t size() const { return view().size(); }
  bool empty() const { return view().empty(); }

 private:
  struct Content {
    std::string bytes;
    ByteCharge charge;
  };

  std::shared_ptr<const Content> content_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_SHARED_BODY_H_
