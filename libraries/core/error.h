// Error codes shared by all packages.

#ifndef OLEANDERTIDE_CORE_ERROR_H_
#define OLEANDERTIDE_CORE_ERROR_H_

#include <system_error>

namespace oleandertide {

// Values of the project's error category. Zero is reserved for success.
enum class Error {
  kInvalidArgument = 1,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kRateLimited,
  kDataDamaged,
  kTooLarge,
  kOutcomeUnknown,
  kCancelled,
  kInternal,
};

// The category that explains `Error`. Thread-safe; never fails.
const std::error_category& OleandertideErrorCategory();

// Converts for std::error_code's implicit constructor. Thread-safe.
std::error_code make_error_code(Error error);

}  // namespace oleandertide

template <>
struct std::is_error_code_enum<oleandertide::Error> : std::true_type {};

#endif  // OLEANDERTIDE_CORE_ERROR_H_
