// RapidCheck properties over seeds with a fixed number of cases.

#ifndef OLEANDERTIDE_TESTS_SUPPORT_PROPERTY_H_
#define OLEANDERTIDE_TESTS_SUPPORT_PROPERTY_H_

#include <rapidcheck.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace oleandertide::testing {

// Returns whether `check` returned true for `cases` seeds. A seed is not
// shrunk, because a smaller one is no simpler case.
inline bool HoldsForSeeds(const std::string& name, int cases,
                          const std::function<bool(std::uint64_t)>& check) {
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = cases;
  params.disableShrinking = true;
  const rc::detail::TestResult result = rc::detail::checkTestable(
      [&check] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 40);
        RC_ASSERT(check(seed));
      },
      metadata, params);
  if (result.template is<rc::detail::SuccessResult>()) return true;
  rc::detail::printResultMessage(result, std::cerr);
  return false;
}

}  // namespace oleandertide::testing

#endif  // OLEANDERTIDE_TESTS_SUPPORT_PROPERTY_H_
