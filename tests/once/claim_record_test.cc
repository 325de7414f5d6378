#include "once/claim_record.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace oleandertide::once {
namespace {

// Guards against answers that change on their way through the table, also if
// they hold bytes that JSON cannot.
TEST_CASE("claim records survive encoding") {
  REQUIRE(rc::check(
      "encode and decode",
      [](const std::string& key, const std::string& body, std::uint64_t token) {
        ClaimRecord record;
        record.key = key;
        record.fingerprint = ~token;
        record.token = token;
        record.claimant = token / 2;
        record.state = ClaimState::kCompleted;
        record.answer = Answered{201, {{"content-type", body}}, "\xff" + body};
        record.changed = WallTime(std::chrono::seconds(1'800'000'000));
        const Result<ClaimRecord> decoded =
            DecodeClaimRecord(EncodeClaimRecord(record));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == record);
      }));
}

// Guards against a damaged row that is taken for an absent one.
TEST_CASE("damaged claim records are errors") {
  for (const char* value :
       {"", "[]", "{}", R"({"key":1})", R"({"key":"\\x","state":"claimed"})"}) {
    REQUIRE(DecodeClaimRecord(value).error() == Error::kDataDamaged);
  }
}

}  // namespace
}  // namespace oleandertide::once
