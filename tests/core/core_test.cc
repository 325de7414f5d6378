#include <catch2/catch.hpp>
#include <string>

#include "core/hash.h"
#include "core/random.h"
#include "core/result.h"

namespace oleandertide {
namespace {

Result<int> FailEarly() {
  OLEANDERTIDE_TRY(value, Result<int>(Error::kTimeout));
  return value + 1;
}

// Guards against an error that is dropped on its way up.
TEST_CASE("an error travels through OLEANDERTIDE_TRY") {
  REQUIRE(FailEarly().error() == Error::kTimeout);
}

// Guards against nodes that disagree on a document's digest: the digest is
// part of the stored format and must not change between builds.
TEST_CASE("content digests are stable") {
  REQUIRE(ContentDigest("").size() == 32);
  REQUIRE(ContentDigest("") == "99aa06d3014798d86001c324468d497f");
  REQUIRE(ContentDigest("a") != ContentDigest("b"));
}

// Guards against jitter outside its bounds, which would break retry limits.
TEST_CASE("random durations stay within their bounds") {
  RandomSource random(7);
  for (int i = 0; i < 1000; ++i) {
    const Duration value = random.Between(Duration(10), Duration(12));
    REQUIRE(value >= Duration(10));
    REQUIRE(value <= Duration(12));
  }
}

}  // namespace
}  // namespace oleandertide
