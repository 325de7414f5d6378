#include "core/error.h"

#include <string>

namespace oleandertide {
namespace {

class ErrorCategory final : public std::error_category {
 public:
  const char* name() const noexcept override { return "oleandertide"; }

  std::string message(int value) const override {
    switch (static_cast<Error>(value)) {
      case Error::kInvalidArgument:
        return "invalid argument";
      case Error::kNotFound:
        return "not found";
      case Error::kConflict:
        return "conflicting write";
      case Error::kUnavailable:
        return "service unavailable";
      case Error::kTimeout:
        return "timeout";
      case Error::kRateLimited:
        return "rate limit exceeded";
      case Error::kDataDamaged:
        return "data does not match its digest or format";
      case Error::kTooLarge:
        return "message or value too large";
      case Error::kOutcomeUnknown:
        return "outcome unknown";
      case Error::kCancelled:
        return "cancelled";
      case Error::kInternal:
        return "internal error";
    }
    return "unrecognised error";
  }
};

}  // namespace

const std::error_category& OleandertideErrorCategory() {
  static const ErrorCategory category;
  return category;
}

std::error_code make_error_code(Error error) {
  return {static_cast<int>(error), OleandertideErrorCategory()};
}

}  // namespace oleandertide
