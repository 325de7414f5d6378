#include "idempotency/claim_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oleandertide::idempotency {
namespace {

using store::RowVersion;

enum class Phase { kIdle, kReading, kWriting };

// Estimated memory of a cached row without its strings.
constexpr std::size_t kCachedRowOverheadBytes = 400;

// The commit interval grows by a quarter when the platform limits the rate and
// shrinks by 1/1024 with each commit. Of tried pairs of growth by 1/4, 1/2 or 1
// and a decay by 1/32 to 1/1024, this pair has the lowest p99 latency at the
// platform's rate limit in idempotency_bench; with a decay of 1/32 the writers
// lose claims to rate limits.
constexpr int kIntervalGrowthDivisor = 4;
constexpr int kIntervalDecayDivisor = 1024;

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

// A claim that was answered while its write could still take effect. The writer
// releases it in the table.
struct Withdrawal {
  ClaimRequest request;
  // Row version on which the write is conditional, if it may still take effect.
  std::optional<RowVersion> uncertain_base;
  MonotonicTime expires;
};

// `arrived_after` is the last operation sent before the completion arrived.
// Only the outcome of a later operation can show that there is nothing to
// record: the row content that this writer knows may be older than the claim.
struct WaitingCompletion {
  Completion completion;
  MonotonicTime expires;
  OperationId arrived_after = 0;
};

struct WaitingRelease {
  Release release;
  MonotonicTime expires;
  OperationId arrived_after = 0;
};

bool IsClaimOf(const ClaimRecord& record, const ClaimRequest& request) {
  return record.state == ClaimState::kClaimed && record.key == request.key &&
         record.token == request.token && record.claimant == request.claimant;
}

Release ReleaseOf(const ClaimRequest& request) {
  return Release{
      .key = request.key, .token = request.token, .claimant = request.claimant};
}

std::size_t AnswerBytes(const Completion& completion) {
  return completion.answer ? AnswerBytes(*completion.answer) : 0;
}

std::size_t CachedBytes(const std::optional<ClaimRecord>& record) {
  std::size_t bytes = kCachedRowOverheadBytes;
  if (record) bytes += record->key.size();
  if (record && record->answer) bytes += AnswerBytes(*record->answer);
  return bytes;
}

void KeepEarliest(std::optional<MonotonicTime>& earliest, MonotonicTime time) {
  if (!earliest || time < *earliest) earliest = time;
}

}  // namespace

struct ClaimWriter::WaitingClaim {
  ClaimId id = 0;
  ClaimRequest request;
  MonotonicTime deadline;
  // Row version on which a write with a lost answer is conditional, if that
  // write may still take effect.
  std::optional<RowVersion> uncertain_base;
};

struct ClaimWriter::KeyState {
  std::string row_key;
  Phase phase = Phase::kIdle;
  Queue queue = Queue::kNone;

  // Content of the row at `checked_at`; nullopt: absent.
  bool is_known = false;
  RowVersion version = store::kAbsent;
  std::optional<ClaimRecord> record;
  MonotonicTime checked_at;
  // Operation in flight, and the operation that returned the known content.
  OperationId operation = 0;
  OperationId known_operation = 0;
  // False: a claim of an unknown row is first written as if the row were
  // absent. True: the row must be read first, because the outcome of the last
  // write left its content unknown.
  bool must_read = false;

  std::deque<WaitingClaim> claims;
  std::vector<Withdrawal> withdrawals;
  std::vector<WaitingCompletion> completions;
  std::vector<WaitingRelease> releases;

  // The write in flight in phase kWriting.
  ClaimRecord proposed;
  RowVersion base = store::kAbsent;

  bool is_cached = false;
  std::list<KeyState*>::iterator cache_position;
  std::size_t cached_bytes = 0;

  bool has_background_work() const {
    return !withdrawals.empty() || !completions.empty() || !releases.empty();
  }
  bool has_release_of_row() const {
    return record && std::any_of(releases.begin(), releases.end(),
                                 [this](const WaitingRelease& waiting) {
                                   return DecideRelease(record, waiting.release,
                                                        WallTime())
                                       .has_value();
                                 });
  }
};

ClaimWriter::ClaimWriter(ClaimWriterOptions options)
    : options_(std::move(options)),
      commit_interval_(options_.commit_interval) {}

ClaimWriter::~ClaimWriter() = default;

ClaimWriterEffects ClaimWriter::AddClaim(ClaimId id, ClaimRequest request,
                                         MonotonicTime deadline, Moment now) {
  now_ = now;
  ++counters_.claims;
  WaitingClaim claim{id, std::move(request), deadline, std::nullopt};
  if (deadlines_.size() >= options_.maximum_waiting_claims) {
    Answer(claim, StoreUnavailable{});
    return FlushEffects();
  }
  KeyState& state =
      FindOrCreate(ClaimRowKey(options_.environment, claim.request.key));
  deadlines_.emplace(std::pair(deadline, id), state.row_key);
  const bool was_known = state.is_known && !is_down();
  state.claims.push_back(std::move(claim));
  Process(state);
  if (was_known && !deadlines_.contains({deadline, id})) ++counters_.cache_hits;
  return FlushEffects();
}

ClaimWriterEffects ClaimWriter::AddCompletion(Completion completion,
                                              Moment now) {
  now_ = now;
  if (waiting_answer_bytes_ + AnswerBytes(completion) >
      options_.maximum_waiting_answer_bytes) {
    completion.answer.reset();
  }
  waiting_answer_bytes_ += AnswerBytes(completion);
  KeyState& state =
      FindOrCreate(ClaimRowKey(options_.environment, completion.key));
  const MonotonicTime expires = now.monotonic + options_.background_timeout;
  state.completions.push_back(
      {std::move(completion), expires, last_operation_});
  expiries_.push_back({state.row_key, expires});
  Process(state);
  return FlushEffects();
}

ClaimWriterEffects ClaimWriter::AddRelease(Release release, Moment now) {
  now_ = now;
  KeyState& state =
      FindOrCreate(ClaimRowKey(options_.environment, release.key));
  const MonotonicTime expires = now.monotonic + options_.background_timeout;
  state.releases.push_back({std::move(release), expires, last_operation_});
  expiries_.push_back({state.row_key, expires});
  Process(state);
  return FlushEffects();
}

ClaimWriterEffects ClaimWriter::HandleRead(
    OperationId operation, const Result<store::ReadOutcome>& outcome,
    Moment now) {
  now_ = now;
  const auto found = reads_in_flight_.find(operation);
  if (found == reads_in_flight_.end()) return FlushEffects();
  const std::string row_key = std::move(found->second);
  reads_in_flight_.erase(found);
  KeyState* state = Find(row_key);
  if (state == nullptr || state->phase != Phase::kReading)
    return FlushEffects();
  if (outcome.has_error() && outcome.error() == Error::kRateLimited) {
    ++counters_.rate_limited;
    blocked_until_ = now.monotonic + commit_interval_;
    reads_waiting_.push_back(row_key);
    return FlushEffects();
  }
  state->phase = Phase::kIdle;
  if (outcome.has_error()) {
    MarkPlatformDown();
    state = Find(row_key);
    if (state != nullptr) Process(*state);
    return FlushEffects();
  }
  UpdateRowFromRead(*state, outcome.value());
  Process(*state);
  return FlushEffects();
}

ClaimWriterEffects ClaimWriter::HandleTransaction(
    OperationId operation, const Result<store::TransactionOutcome>& outcome,
    Moment now) {
  now_ = now;
  if (commit_in_flight_ != operation) return FlushEffects();
  commit_in_flight_.reset();
  if (outcome.has_value()) {
    std::visit(Overloaded{[this](const store::Committed& committed) {
                            HandleCommitted(committed);
                          },
                          [this](const store::Refused& refused) {
                            HandleRefused(refused);
                          }},
               outcome.value());
  } else if (outcome.error() == Error::kRateLimited) {
    ++counters_.rate_limited;
    commit_interval_ =
        std::min(commit_interval_ + commit_interval_ / kIntervalGrowthDivisor,
                 options_.maximum_commit_interval);
    blocked_until_ = now.monotonic + commit_interval_;
    HandleNotWritten();
  } else if (outcome.error() == Error::kUnavailable) {
    MarkPlatformDown();
    HandleNotWritten();
  } else {
    HandleLostAnswer();
  }
  rows_in_flight_.clear();
  return FlushEffects();
}

ClaimWriterEffects ClaimWriter::Advance(Moment now) {
  now_ = now;
  return FlushEffects();
}

std::optional<MonotonicTime> ClaimWriter::next_wake_time() const {
  std::optional<MonotonicTime> earliest = NextBatchTime();
  if (!deadlines_.empty()) {
    KeepEarliest(earliest, deadlines_.begin()->first.first);
  }
  if (!expiries_.empty()) KeepEarliest(earliest, expiries_.front().time);
  if (!reads_waiting_.empty() &&
      reads_in_flight_.size() < options_.maximum_reads) {
    KeepEarliest(earliest, blocked_until_);
  }
  return earliest;
}

bool ClaimWriter::is_idle() const { return states_.size() == cached_.size(); }

ClaimWriter::KeyState& ClaimWriter::FindOrCreate(const std::string& row_key) {
  std::unique_ptr<KeyState>& state = states_[row_key];
  if (!state) {
    state = std::make_unique<KeyState>();
    state->row_key = row_key;
  }
  if (state->is_cached) {
    cached_.erase(state->cache_position);
    cached_bytes_ -= state->cached_bytes;
    state->is_cached = false;
  }
  return *state;
}

ClaimWriter::KeyState* ClaimWriter::Find(const std::string& row_key) {
  const auto found = states_.find(row_key);
  return found == states_.end() ? nullptr : found->second.get();
}

// Answers decided claims, then queues the next read or write of the key. May
// destroy `state`.
void ClaimWriter::Process(KeyState& state) {
  ResolvePending(state);
  if (state.phase != Phase::kIdle) return;
  const Action action = NextAction(state);
  if (std::holds_alternative<ReadRow>(action)) {
    state.phase = Phase::kReading;
    reads_waiting_.push_back(state.row_key);
  } else if (std::holds_alternative<ClaimRecord>(action)) {
    const bool is_urgent = !state.claims.empty() || !state.releases.empty();
    Enqueue(state, is_urgent ? Queue::kUrgent : Queue::kDeferred);
  } else {
    CacheOrErase(state);
  }
}

void ClaimWriter::ResolvePending(KeyState& state) {
  if (state.is_known && state.phase != Phase::kWriting)
    RemoveFinishedBackground(state);
  AnswerDecidedClaims(state);
}

void ClaimWriter::RemoveFinishedBackground(KeyState& state) {
  std::erase_if(state.withdrawals, [&](const Withdrawal& withdrawal) {
    return !withdrawal.uncertain_base &&
           !(state.record && IsClaimOf(*state.record, withdrawal.request));
  });
  std::erase_if(state.completions, [&](const WaitingCompletion& waiting) {
    if (DecideCompletion(state.record, waiting.completion, now_.wall)) {
      return false;
    }
    if (waiting.arrived_after >= state.known_operation) return false;
    const bool is_recorded = state.record &&
                             state.record->state == ClaimState::kCompleted &&
                             state.record->token == waiting.completion.token;
    if (!is_recorded) ++counters_.unmatched;
    waiting_answer_bytes_ -= AnswerBytes(waiting.completion);
    return true;
  });
  std::erase_if(state.releases, [&](const WaitingRelease& waiting) {
    if (DecideRelease(state.record, waiting.release, now_.wall)) return false;
    if (waiting.arrived_after >= state.known_operation) return false;
    const bool is_recorded =
        state.record && state.record->claimant == waiting.release.claimant;
    if (!is_recorded) ++counters_.unmatched;
    return true;
  });
}

void ClaimWriter::AnswerDecidedClaims(KeyState& state) {
  std::erase_if(state.claims, [&](WaitingClaim& claim) {
    std::optional<ClaimResult> result = TryDecide(state, claim);
    if (!result) return false;
    Answer(claim, *std::move(result));
    return true;
  });
}

// Returns the answer to a claim if the content of the row, or the state of the
// platform, decides it now.
std::optional<ClaimResult> ClaimWriter::TryDecide(
    const KeyState& state, const WaitingClaim& claim) const {
  if (state.is_known) {
    ClaimDecision decision =
        DecideClaim(EffectiveRecord(state), claim.request, now_.wall);
    ClaimResult* result = std::get_if<ClaimResult>(&decision);
    if (result != nullptr) {
      if (!std::holds_alternative<AlreadyRunning>(*result)) return *result;
      const bool is_fresh =
          now_.monotonic - state.checked_at <= options_.recheck_interval;
      if (is_fresh && !state.has_release_of_row()) return *result;
    }
  }
  if (is_down() && !IsWritePossible(state, claim)) return StoreUnavailable{};
  return std::nullopt;
}

// Returns the row with the waiting completion applied. The request has run, so
// its answer is valid even if the write of the completion fails.
std::optional<ClaimRecord> ClaimWriter::EffectiveRecord(
    const KeyState& state) const {
  for (const WaitingCompletion& waiting : state.completions) {
    std::optional<ClaimRecord> completed =
        DecideCompletion(state.record, waiting.completion, now_.wall);
    if (completed) return completed;
  }
  return state.record;
}

// Precondition: ResolvePending removed everything that needs no further write.
ClaimWriter::Action ClaimWriter::NextAction(const KeyState& state) const {
  if (state.claims.empty() && !state.has_background_work()) return NoAction{};
  if (!state.is_known && (state.must_read || state.has_background_work())) {
    return ReadRow{};
  }
  if (!state.withdrawals.empty()) {
    const ClaimRequest& request = state.withdrawals.front().request;
    std::optional<ClaimRecord> released =
        DecideRelease(state.record, ReleaseOf(request), now_.wall);
    if (released) return *std::move(released);
    return WithdrawnClaim(request, now_.wall);
  }
  for (const WaitingCompletion& waiting : state.completions) {
    std::optional<ClaimRecord> completed =
        DecideCompletion(state.record, waiting.completion, now_.wall);
    if (completed) return *std::move(completed);
  }
  for (const WaitingClaim& claim : state.claims) {
    ClaimDecision decision =
        DecideClaim(state.record, claim.request, now_.wall);
    ClaimRecord* claimed = std::get_if<ClaimRecord>(&decision);
    if (claimed != nullptr) return std::move(*claimed);
  }
  for (const WaitingRelease& waiting : state.releases) {
    std::optional<ClaimRecord> released =
        DecideRelease(state.record, waiting.release, now_.wall);
    if (released) return *std::move(released);
  }
  return ReadRow{};
}

void ClaimWriter::Enqueue(KeyState& state, Queue queue) {
  const bool is_promoted =
      state.queue == Queue::kDeferred && queue == Queue::kUrgent;
  if (state.queue != Queue::kNone && !is_promoted) return;
  state.queue = queue;
  std::deque<QueuedRow>& rows = queue == Queue::kUrgent     ? urgent_
                                : queue == Queue::kDeferred ? deferred_
                                                            : retry_;
  rows.push_back({state.row_key, now_.monotonic});
}

// Caches the state of a key that needs no operation, or erases it if the row is
// not known. May destroy `state`.
void ClaimWriter::CacheOrErase(KeyState& state) {
  if (state.is_cached) return;
  state.queue = Queue::kNone;
  if (!state.is_known) {
    states_.erase(std::string(state.row_key));
    return;
  }
  cached_.push_front(&state);
  state.cache_position = cached_.begin();
  state.is_cached = true;
  state.cached_bytes = CachedBytes(state.record);
  cached_bytes_ += state.cached_bytes;
  TrimCache();
}

void ClaimWriter::TrimCache() {
  while (cached_.size() > options_.maximum_cached_rows ||
         cached_bytes_ > options_.maximum_cached_bytes) {
    KeyState* oldest = cached_.back();
    cached_bytes_ -= oldest->cached_bytes;
    cached_.pop_back();
    states_.erase(std::string(oldest->row_key));
  }
}

void ClaimWriter::UpdateRow(KeyState& state, RowVersion version,
                            std::optional<ClaimRecord> record) {
  state.is_known = true;
  state.must_read = false;
  state.version = version;
  state.record = std::move(record);
  state.checked_at = now_.monotonic;
  state.known_operation = state.operation;
  // A delayed write is conditional on its base version, so it fails after the
  // row version has changed.
  for (WaitingClaim& claim : state.claims) {
    if (claim.uncertain_base != version) claim.uncertain_base.reset();
  }
  for (Withdrawal& withdrawal : state.withdrawals) {
    if (withdrawal.uncertain_base != version) withdrawal.uncertain_base.reset();
  }
}

void ClaimWriter::UpdateRowFromRead(KeyState& state,
                                    const store::ReadOutcome& outcome) {
  const store::Row* row = std::get_if<store::Row>(&outcome);
  if (row == nullptr) {
    UpdateRow(state, store::kAbsent, std::nullopt);
    return;
  }
  Result<ClaimRecord> record = DecodeClaimRecord(row->value);
  if (record.has_value()) {
    UpdateRow(state, row->version, std::move(record).value());
    return;
  }
  // The damaged row does not show whether the request ran, so it must not be
  // overwritten.
  ++counters_.damaged_rows;
  for (const WaitingClaim& claim : state.claims) {
    Answer(claim, AnswerNotKept{});
  }
  for (const WaitingCompletion& waiting : state.completions) {
    waiting_answer_bytes_ -= AnswerBytes(waiting.completion);
  }
  state.claims.clear();
  state.withdrawals.clear();
  state.completions.clear();
  state.releases.clear();
}

void ClaimWriter::Answer(const WaitingClaim& claim, ClaimResult result) {
  std::visit(
      Overloaded{
          [this](const Granted&) { ++counters_.granted; },
          [this](const Answered&) { ++counters_.answered; },
          [this](const AlreadyRunning&) { ++counters_.already_running; },
          [this](const AnswerNotKept&) { ++counters_.answer_not_kept; },
          [this](const KeyReused&) { ++counters_.key_reused; },
          [this](const StoreUnavailable&) { ++counters_.store_unavailable; }},
      result);
  deadlines_.erase({claim.deadline, claim.id});
  effects_.emplace_back(AnswerClaim{claim.id, std::move(result)});
}

void ClaimWriter::AnswerAndWithdraw(KeyState& state, WaitingClaim& claim) {
  ++counters_.withdrawn;
  Answer(claim, AlreadyRunning{});
  const MonotonicTime expires = now_.monotonic + options_.background_timeout;
  state.withdrawals.push_back(
      {std::move(claim.request),
       claim.uncertain_base ? claim.uncertain_base : state.base, expires});
  expiries_.push_back({state.row_key, expires});
}

bool ClaimWriter::IsWritePossible(const KeyState& state,
                                  const WaitingClaim& claim) const {
  return claim.uncertain_base.has_value() ||
         (state.phase == Phase::kWriting &&
          IsClaimOf(state.proposed, claim.request));
}

void ClaimWriter::MarkPlatformDown() {
  ++counters_.unavailable;
  down_until_ = now_.monotonic + options_.down_interval;
  blocked_until_ = down_until_;
  ProcessWaitingClaims();
}

void ClaimWriter::ProcessWaitingClaims() {
  std::vector<std::string> row_keys;
  row_keys.reserve(deadlines_.size());
  for (const auto& [deadline, row_key] : deadlines_) {
    row_keys.push_back(row_key);
  }
  for (const std::string& row_key : row_keys) {
    KeyState* state = Find(row_key);
    if (state != nullptr) Process(*state);
  }
}

void ClaimWriter::ApplyDeadlines() {
  while (!deadlines_.empty() &&
         deadlines_.begin()->first.first <= now_.monotonic) {
    const ClaimId id = deadlines_.begin()->first.second;
    KeyState& state = *Find(deadlines_.begin()->second);
    const auto claim = std::find_if(
        state.claims.begin(), state.claims.end(),
        [id](const WaitingClaim& waiting) { return waiting.id == id; });
    if (IsWritePossible(state, *claim)) {
      AnswerAndWithdraw(state, *claim);
    } else {
      Answer(*claim, StoreUnavailable{});
    }
    state.claims.erase(claim);
    Process(state);
  }
}

void ClaimWriter::ApplyExpiry() {
  while (!expiries_.empty() && expiries_.front().time <= now_.monotonic) {
    KeyState* state = Find(expiries_.front().row_key);
    expiries_.pop_front();
    if (state == nullptr || state->is_cached) continue;
    const auto is_expired = [this](const auto& item) {
      return item.expires <= now_.monotonic;
    };
    for (const WaitingCompletion& waiting : state->completions) {
      if (is_expired(waiting)) {
        waiting_answer_bytes_ -= AnswerBytes(waiting.completion);
      }
    }
    counters_.expired += std::erase_if(state->completions, is_expired) +
                         std::erase_if(state->releases, is_expired) +
                         std::erase_if(state->withdrawals, is_expired);
    Process(*state);
  }
}

void ClaimWriter::SendReads() {
  while (!is_blocked() && !reads_waiting_.empty() &&
         reads_in_flight_.size() < options_.maximum_reads) {
    const std::string row_key = std::move(reads_waiting_.front());
    reads_waiting_.pop_front();
    KeyState* state = Find(row_key);
    if (state == nullptr || state->phase != Phase::kReading) continue;
    if (state->claims.empty() && !state->has_background_work()) {
      state->phase = Phase::kIdle;
      CacheOrErase(*state);
      continue;
    }
    ++counters_.reads;
    state->operation = ++last_operation_;
    reads_in_flight_.emplace(last_operation_, row_key);
    effects_.emplace_back(ReadClaimRow{last_operation_, row_key});
  }
}

void ClaimWriter::SendBatch() {
  const std::optional<MonotonicTime> due = NextBatchTime();
  if (!due || *due > now_.monotonic) return;
  CommitClaims commit;
  commit.operation = ++last_operation_;
  FillBatch(retry_, Queue::kRetry, commit);
  if (commit.writes.empty()) {
    FillBatch(urgent_, Queue::kUrgent, commit);
    FillBatch(deferred_, Queue::kDeferred, commit);
  }
  if (commit.writes.empty()) return;
  ++counters_.transactions;
  commit_in_flight_ = commit.operation;
  last_commit_ = now_.monotonic;
  effects_.emplace_back(std::move(commit));
}

void ClaimWriter::FillBatch(std::deque<QueuedRow>& rows, Queue queue,
                            CommitClaims& commit) {
  std::size_t bytes = 0;
  for (const store::Write& write : commit.writes) bytes += write.value.size();
  while (!rows.empty() && commit.writes.size() < options_.maximum_batch_rows &&
         bytes < options_.maximum_batch_bytes) {
    KeyState* state = Find(rows.front().row_key);
    rows.pop_front();
    if (state == nullptr || state->queue != queue) continue;
    state->queue = Queue::kNone;
    if (state->phase != Phase::kIdle) continue;
    Action action = NextAction(*state);
    ClaimRecord* record = std::get_if<ClaimRecord>(&action);
    if (record == nullptr) {
      Process(*state);
      continue;
    }
    state->phase = Phase::kWriting;
    state->operation = commit.operation;
    state->base = state->is_known ? state->version : store::kAbsent;
    state->proposed = std::move(*record);
    rows_in_flight_.push_back(state->row_key);
    commit.conditions.push_back({state->row_key, state->base});
    commit.writes.push_back(
        {state->row_key, EncodeClaimRecord(state->proposed)});
    bytes += commit.writes.back().value.size();
  }
}

// Returns when the next batch is due, or nullopt if no batch can be sent.
std::optional<MonotonicTime> ClaimWriter::NextBatchTime() const {
  if (commit_in_flight_) return std::nullopt;
  std::optional<MonotonicTime> due;
  if (!retry_.empty() || urgent_.size() >= options_.maximum_batch_rows ||
      deferred_.size() >= options_.maximum_batch_rows) {
    due = now_.monotonic;
  }
  // A claim that arrives after an idle interval is sent at once. Under load the
  // interval spaces transactions, and each collects several claims.
  if (!urgent_.empty()) {
    KeepEarliest(due, std::max(urgent_.front().queued_at,
                               last_commit_ + commit_interval_));
  }
  if (!deferred_.empty()) {
    KeepEarliest(due, std::max(deferred_.front().queued_at +
                                   options_.completion_interval,
                               last_commit_ + commit_interval_));
  }
  if (due) due = std::max(*due, blocked_until_);
  return due;
}

void ClaimWriter::HandleCommitted(const store::Committed& committed) {
  counters_.rows_written += rows_in_flight_.size();
  commit_interval_ =
      std::max(options_.commit_interval,
               commit_interval_ - commit_interval_ / kIntervalDecayDivisor);
  for (const std::string& row_key : rows_in_flight_) {
    KeyState& state = *Find(row_key);
    state.phase = Phase::kIdle;
    const auto version = committed.versions.find(row_key);
    if (version == committed.versions.end()) {
      state.is_known = false;
      state.must_read = true;
    } else {
      UpdateRow(state, version->second, std::move(state.proposed));
    }
    Process(state);
  }
}

void ClaimWriter::HandleRefused(const store::Refused& refused) {
  const auto is_failed = [&refused](const std::string& row_key) {
    return std::find(refused.failed_keys.begin(), refused.failed_keys.end(),
                     row_key) != refused.failed_keys.end();
  };
  const bool is_cause_known =
      std::any_of(rows_in_flight_.begin(), rows_in_flight_.end(), is_failed);
  for (const std::string& row_key : rows_in_flight_) {
    KeyState& state = *Find(row_key);
    state.phase = Phase::kIdle;
    if (is_cause_known && !is_failed(row_key)) {
      Enqueue(state, Queue::kRetry);
      continue;
    }
    ++counters_.rows_refused;
    state.is_known = false;
    state.must_read = true;
    Process(state);
  }
}

// The batch was certainly not written. Its urgent rows return to the front of
// the queue.
void ClaimWriter::HandleNotWritten() {
  for (auto row = rows_in_flight_.rbegin(); row != rows_in_flight_.rend();
       ++row) {
    KeyState& state = *Find(*row);
    state.phase = Phase::kIdle;
    const std::size_t urgent_rows = urgent_.size();
    Process(state);
    if (urgent_.size() == urgent_rows) continue;
    urgent_.push_front(std::move(urgent_.back()));
    urgent_.pop_back();
  }
}

void ClaimWriter::HandleLostAnswer() {
  ++counters_.lost_answers;
  for (const std::string& row_key : rows_in_flight_) {
    KeyState& state = *Find(row_key);
    state.phase = Phase::kIdle;
    state.is_known = false;
    state.must_read = true;
    for (WaitingClaim& claim : state.claims) {
      if (IsClaimOf(state.proposed, claim.request)) {
        claim.uncertain_base = state.base;
      }
    }
    Process(state);
  }
}

ClaimWriterEffects ClaimWriter::FlushEffects() {
  ApplyDeadlines();
  ApplyExpiry();
  SendReads();
  SendBatch();
  return std::exchange(effects_, {});
}

}  // namespace oleandertide::idempotency
