#include "idempotency/claim_writer.h"

#include <catch2/catch.hpp>
#include <map>

#include "support/fake_table.h"

namespace oleandertide::idempotency {
namespace {

using std::chrono::milliseconds;

// Claimants must be unique over all writers.
std::uint64_t NextClaimant() {
  static std::uint64_t last = 0;
  return ++last;
}

// One writer with a fake table. Tests run its effects step by step and can add
// inputs in between.
class ClaimWriterHarness {
 public:
  explicit ClaimWriterHarness(testing::FakeTable& table)
      : table_(table), writer_([] {
          ClaimWriterOptions options;
          options.environment = "trial";
          return options;
        }()) {}

  ClaimId Claim(const std::string& key, std::uint64_t token,
                std::uint64_t fingerprint = 1) {
    claimant_ = NextClaimant();
    HandleEffects(writer_.AddClaim(++last_claim_,
                                   {key, fingerprint, token, claimant_},
                                   now_.monotonic + milliseconds(50), now_));
    return last_claim_;
  }
  void Complete(const std::string& key, std::uint64_t token, std::string body) {
    HandleEffects(writer_.AddCompletion(
        {key, token, Answered{200, {}, std::move(body)}}, now_));
  }
  void Release(const std::string& key, std::uint64_t token,
               std::uint64_t claimant) {
    HandleEffects(writer_.AddRelease({key, token, claimant}, now_));
  }
  // Advances time in steps of 1 ms and runs operations without delay.
  void Run(Duration time) {
    const MonotonicTime end = now_.monotonic + time;
    while (now_.monotonic < end) {
      now_.monotonic += milliseconds(1);
      HandleEffects(writer_.Advance(now_));
      while (RunNextOperation()) {
      }
    }
  }
  // Advances time without running operations.
  void AdvanceTime(Duration time) {
    now_.monotonic += time;
    HandleEffects(writer_.Advance(now_));
  }
  // Answers all operations in flight with an error; the table stays as it is.
  void Fail(Error error) {
    auto commits = std::exchange(commits_, {});
    auto reads = std::exchange(reads_, {});
    for (const auto& commit : commits) {
      HandleEffects(writer_.HandleTransaction(commit.operation, error, now_));
    }
    for (const auto& read : reads) {
      HandleEffects(writer_.HandleRead(read.operation, error, now_));
    }
  }
  bool RunNextOperation() {
    if (!commits_.empty()) {
      const CommitClaims commit = commits_.front();
      commits_.pop_front();
      HandleEffects(writer_.HandleTransaction(
          commit.operation, table_.Transact(commit.conditions, commit.writes),
          now_));
      return true;
    }
    if (reads_.empty()) return false;
    const ReadClaimRow read = reads_.front();
    reads_.pop_front();
    HandleEffects(writer_.HandleRead(
        read.operation, table_.ReadRow(read.key, std::nullopt), now_));
    return true;
  }

  template <typename T>
  bool HasResult(ClaimId id) const {
    const auto found = answers_.find(id);
    return found != answers_.end() && std::holds_alternative<T>(found->second);
  }
  bool has_answer(ClaimId id) const { return answers_.contains(id); }
  const ClaimResult& answer(ClaimId id) const { return answers_.at(id); }
  std::uint64_t claimant() const { return claimant_; }
  std::deque<CommitClaims>& commits() { return commits_; }
  const ClaimWriter& writer() const { return writer_; }

 private:
  void HandleEffects(ClaimWriterEffects effects) {
    for (ClaimWriterEffect& effect : effects) {
      if (auto* commit = std::get_if<CommitClaims>(&effect)) {
        commits_.push_back(*commit);
      } else if (auto* read = std::get_if<ReadClaimRow>(&effect)) {
        reads_.push_back(*read);
      } else {
        const auto& answer = std::get<AnswerClaim>(effect);
        REQUIRE(answers_.emplace(answer.claim, answer.result).second);
      }
    }
  }

  testing::FakeTable& table_;
  ClaimWriter writer_;
  Moment now_{MonotonicTime(std::chrono::hours(1)), WallTime()};
  ClaimId last_claim_ = 0;
  std::uint64_t claimant_ = 0;
  std::deque<CommitClaims> commits_;
  std::deque<ReadClaimRow> reads_;
  std::map<ClaimId, ClaimResult> answers_;
};

// Guards against a platform write for every claim.
TEST_CASE("claims that arrive together share transactions of 128 rows") {
  testing::FakeTable table;
  ClaimWriterHarness harness(table);
  std::vector<ClaimId> claims;
  claims.reserve(300);
  for (std::uint64_t i = 0; i < 300; ++i) {
    claims.push_back(harness.Claim("key" + std::to_string(i), i));
  }
  harness.Run(milliseconds(20));
  for (const ClaimId claim : claims) REQUIRE(harness.HasResult<Granted>(claim));
  // The first claim does not wait for the others.
  REQUIRE(table.transactions() == 4);
  REQUIRE(table.reads() == 0);
}

// Guards against one repeated key that fails the claims of its batch.
TEST_CASE("a refused row is resolved alone") {
  testing::FakeTable table;
  ClaimWriterHarness first(table);
  ClaimWriterHarness second(table);
  first.Claim("taken", 1);
  first.Run(milliseconds(10));
  const ClaimId fresh = second.Claim("fresh", 2);
  const ClaimId repeated = second.Claim("taken", 3);
  const ClaimId other = second.Claim("taken", 4, /*fingerprint=*/9);
  second.Run(milliseconds(10));
  REQUIRE(second.HasResult<Granted>(fresh));
  REQUIRE(second.HasResult<AlreadyRunning>(repeated));
  REQUIRE(second.HasResult<KeyReused>(other));
  first.Complete("taken", 1, "booked");
  first.Run(milliseconds(60));
  second.Run(milliseconds(200));
  const ClaimId late = second.Claim("taken", 5);
  second.Run(milliseconds(10));
  REQUIRE(std::get<Answered>(second.answer(late)).body == "booked");
}

// Guards against a repeat that waits for the table although the writer has the
// answer in memory, in particular while the platform is down.
TEST_CASE("a completed key is answered from memory") {
  testing::FakeTable table;
  ClaimWriterHarness harness(table);
  harness.Claim("key", 1);
  harness.Run(milliseconds(10));
  harness.Complete("key", 1, "booked");
  const ClaimId before = harness.Claim("key", 2);
  REQUIRE(harness.HasResult<Answered>(before));
  harness.AdvanceTime(milliseconds(60));
  harness.Fail(Error::kUnavailable);
  REQUIRE(harness.HasResult<Answered>(harness.Claim("key", 3)));
  REQUIRE(harness.HasResult<StoreUnavailable>(harness.Claim("other", 4)));
  harness.Run(milliseconds(300));
  REQUIRE(harness.writer().is_idle());
  REQUIRE(harness.writer().counters().rows_written == 2);
}

// Guards against claims that wait while the platform is known to be down.
TEST_CASE("platform down refuses waiting claims as not run") {
  testing::FakeTable table;
  ClaimWriterHarness harness(table);
  const ClaimId sent = harness.Claim("sent", 1);
  harness.AdvanceTime(milliseconds(5));
  const ClaimId waiting = harness.Claim("waiting", 2);
  harness.Fail(Error::kUnavailable);
  REQUIRE(harness.HasResult<StoreUnavailable>(sent));
  REQUIRE(harness.HasResult<StoreUnavailable>(waiting));
  harness.Run(milliseconds(200));
  const ClaimId again = harness.Claim("sent", 3);
  harness.Run(milliseconds(10));
  REQUIRE(harness.HasResult<Granted>(again));
}

// Guards against "not run" for a claim whose write takes effect afterwards,
// and against a key that stays claimed by an attempt that never ran.
TEST_CASE("a claim with a lost answer is resolved by its token") {
  testing::FakeTable table;
  ClaimWriterHarness harness(table);
  const ClaimId claim = harness.Claim("key", 1);
  harness.AdvanceTime(milliseconds(5));
  const CommitClaims late = harness.commits().front();
  harness.Fail(Error::kOutcomeUnknown);
  REQUIRE_FALSE(harness.has_answer(claim));

  SECTION("the write took effect") {
    REQUIRE(table.Transact(late.conditions, late.writes).has_value());
    harness.Run(milliseconds(10));
    REQUIRE(harness.HasResult<Granted>(claim));
    REQUIRE(table.transactions() == 1);
  }
  SECTION("the write did not take effect") {
    harness.Run(milliseconds(10));
    REQUIRE(harness.HasResult<Granted>(claim));
  }
  SECTION("the platform is down until the deadline") {
    harness.Fail(Error::kUnavailable);
    REQUIRE_FALSE(harness.has_answer(claim));
    harness.AdvanceTime(milliseconds(60));
    REQUIRE(harness.HasResult<AlreadyRunning>(claim));
    harness.Run(milliseconds(200));
    REQUIRE(std::holds_alternative<store::Refused>(
        table.Transact(late.conditions, late.writes).value()));
    const ClaimId repeat = harness.Claim("key", 2);
    harness.Run(milliseconds(10));
    REQUIRE(harness.HasResult<Granted>(repeat));
  }
}

// Guards against the delayed release of an earlier attempt that releases the
// claim of a later attempt of the same request.
TEST_CASE("a release frees only the claim of its own attempt") {
  testing::FakeTable table;
  ClaimWriterHarness first(table);
  ClaimWriterHarness second(table);
  first.Claim("key", 1);
  const std::uint64_t attempt = first.claimant();
  first.Run(milliseconds(10));
  const ClaimId retry = second.Claim("key", 1);
  second.Run(milliseconds(10));
  REQUIRE(second.HasResult<Granted>(retry));
  first.Release("key", 1, attempt);
  first.Run(milliseconds(60));
  const ClaimId other = first.Claim("key", 2);
  first.Run(milliseconds(10));
  REQUIRE(first.HasResult<AlreadyRunning>(other));
}

// Guards against lost claims and against a writer that does not slow down while
// the platform limits its rate.
TEST_CASE("a rate limit lengthens the commit interval") {
  testing::FakeTable table;
  ClaimWriterHarness harness(table);
  const ClaimId claim = harness.Claim("key", 1);
  harness.AdvanceTime(milliseconds(5));
  harness.Fail(Error::kRateLimited);
  harness.AdvanceTime(milliseconds(6));
  REQUIRE(harness.commits().empty());
  harness.Run(milliseconds(2));
  REQUIRE(harness.HasResult<Granted>(claim));
}

}  // namespace
}  // namespace oleandertide::idempotency
