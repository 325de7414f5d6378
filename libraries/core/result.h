// The result type of every fallible function.

#ifndef OLEANDERTIDE_CORE_RESULT_H_
#define OLEANDERTIDE_CORE_RESULT_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <system_error>

#include "core/error.h"

namespace oleandertide {

// A value of type T, or the std::error_code that explains its absence.
template <typename T>
using Result = boost::outcome_v2::result<T, std::error_code>;

// Makes a successful Result<void>.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace oleandertide

// Assigns the value of `expression` to the new variable `name`, or returns its
// error from the enclosing function.
#define OLEANDERTIDE_TRY(name, expression) BOOST_OUTCOME_TRY(name, expression)

// Returns the error of `expression` from the enclosing function, if it has one.
#define OLEANDERTIDE_CHECK(expression) BOOST_OUTCOME_TRYV(expression)

#endif  // OLEANDERTIDE_CORE_RESULT_H_
