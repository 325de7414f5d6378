#include "config/difference.h"

#include <catch2/catch.hpp>
#include <string>

#include "sample_document.h"

namespace oleandertide::config {
namespace {

Document Replace(std::string_view from, std::string_view to) {
  std::string text(kSampleDocument);
  return ParseValid(text.replace(text.find(from), from.size(), to));
}

// Guards against a retired item that is not listed: acceptance records retired
// names from this list.
TEST_CASE("removed and added items are listed by kind") {
  const Document before = ParseValid(kSampleDocument);
  const Document after = Replace("[job nightly-close]", "[job late-close]");
  const Difference difference = Difference::Between(before, after);
  REQUIRE(difference.added ==
          std::vector<ItemName>{{ItemKind::kJob, "late-close"}});
  REQUIRE(difference.removed ==
          std::vector<ItemName>{{ItemKind::kJob, "nightly-close"}});
  REQUIRE(difference.changed.empty());
  REQUIRE(difference.ToText() ==
          "added job late-close\nremoved job nightly-close\n");
}

// Guards against a changed key that operators do not see.
TEST_CASE("changed keys are listed with both values") {
  const Document before = ParseValid(kSampleDocument);
  const Document after =
      Replace("timeout = 3s", "repeatable = true\ntimeout = 90s");
  const Difference difference = Difference::Between(before, after);
  REQUIRE(difference.changed.size() == 1);
  REQUIRE(difference.changed[0].item == ItemName{ItemKind::kRoute, "book"});
  REQUIRE(difference.ToText() ==
          "changed route book: repeatable false -> true, timeout 3s -> 90s\n");
  REQUIRE(Difference::Between(before, Replace("timeout = 3s", "")).ToText() ==
          "changed route book: timeout 3s -> unset\n");
}

// Guards against differences that come from order, comments or written-out
// defaults.
TEST_CASE("documents with the same meaning do not differ") {
  const Document before = ParseValid(kSampleDocument);
  const Document after = ParseValid(before.ToText() + "; comment\n");
  REQUIRE(Difference::Between(before, after).is_empty());
  REQUIRE(Difference::Between(before, after).ToText().empty());
}

}  // namespace
}  // namespace oleandertide::config
