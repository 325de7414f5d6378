#include "idempotency/claim_record.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace oleandertide::idempotency {
namespace {

// Guards against encoding that changes answers, also those with bytes that JSON
// cannot represent.
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

// Guards against treating a damaged row as absent.
TEST_CASE("damaged claim records are errors") {
  for (const char* value :
       {"", "[]", "{}", R"({"key":1})", R"({"key":"\\x","state":"claimed"})"}) {
    REQUIRE(DecodeClaimRecord(value).error() == Error::kDataDamaged);
  }
}

// Guards against a second run, or the answer of another request, when two keys
// share a row or an answer is too large for it.
TEST_CASE("a row decides only on its own key and keeps small answers") {
  const ClaimRequest request{"key", 1, 2, 3};
  const ClaimRecord claimed =
      std::get<ClaimRecord>(DecideClaim(std::nullopt, request, WallTime()));
  const ClaimRequest collision{"other key", 1, 2, 4};
  REQUIRE(std::holds_alternative<KeyReused>(
      std::get<ClaimResult>(DecideClaim(claimed, collision, WallTime()))));
  REQUIRE_FALSE(DecideCompletion(claimed, {"other key", 2, Answered{}}, {}));
  REQUIRE_FALSE(DecideRelease(claimed, {"other key", 2, 3}, WallTime()));

  const std::string body(kMaximumAnswerBytes, 'x');
  const ClaimRequest repeat{"key", 1, 5, 6};
  for (const std::string& header : {std::string(), std::string("x")}) {
    const auto completed = DecideCompletion(
        claimed, {"key", 2, Answered{200, {{header, ""}}, body}}, WallTime());
    const ClaimResult result =
        std::get<ClaimResult>(DecideClaim(completed, repeat, WallTime()));
    REQUIRE(std::holds_alternative<Answered>(result) == header.empty());
    REQUIRE(std::holds_alternative<AnswerNotKept>(result) == !header.empty());
  }
}

}  // namespace
}  // namespace oleandertide::idempotency
