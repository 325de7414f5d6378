#include "idempotency/blocking_claim_writer.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace oleandertide::idempotency {
namespace {

// Limit of the input queue, which fills while the thread runs a store
// operation.
constexpr std::size_t kMaxQueuedInputs = 16384;

// How long Claim waits past the deadline. Normally the writer, which knows
// whether the write may still take effect, answers at the deadline.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(5);

// Upper bound of the time until the deadline of a claim.
constexpr Duration kMaxClaimWait = std::chrono::hours(1);

// How long Stop keeps writing queued inputs to the table.
constexpr Duration kStopTimeout = std::chrono::seconds(1);

Moment ReadClocks() {
  return {MonotonicClock::now(), std::chrono::floor<std::chrono::seconds>(
                                     std::chrono::system_clock::now())};
}

}  // namespace

// A call of Claim that waits for its result. Guarded by the writer's mutex.
struct BlockingClaimWriter::PendingClaim {
  std::condition_variable answered;
  std::optional<ClaimResult> result;
  // The thread has passed the claim to the ClaimWriter, so from now on its
  // write may take effect.
  bool is_submitted = false;
  // Claim has returned without a result.
  bool is_abandoned = false;
};

// State of the writer's thread; accessed by that thread only.
struct BlockingClaimWriter::Worker {
  explicit Worker(BlockingClaimWriter& owner)
      : owner(owner), writer(owner.options_) {}

  void ProcessInputs(std::vector<Input> inputs);
  void HandleEffects(ClaimWriterEffects effects);
  void RunNextOperation();
  void DeliverAnswer(const AnswerClaim& answer);
  void PublishCounters();

  bool has_operations() const { return !commits.empty() || !reads.empty(); }

  BlockingClaimWriter& owner;
  ClaimWriter writer;
  ClaimId last_claim = 0;
  absl::flat_hash_map<ClaimId, ClaimInput> waiting;
  std::deque<CommitClaims> commits;
  std::deque<ReadClaimRow> reads;
};

void BlockingClaimWriter::Worker::ProcessInputs(std::vector<Input> inputs) {
  for (Input& input : inputs) {
    const Moment now = ReadClocks();
    if (ClaimInput* claim = std::get_if<ClaimInput>(&input)) {
      const ClaimId id = ++last_claim;
      ClaimRequest request = claim->request;
      const MonotonicTime deadline = claim->deadline;
      waiting.emplace(id, std::move(*claim));
      HandleEffects(writer.AddClaim(id, std::move(request), deadline, now));
    } else if (Completion* completion = std::get_if<Completion>(&input)) {
      HandleEffects(writer.AddCompletion(std::move(*completion), now));
    } else {
      HandleEffects(writer.AddRelease(
          std::move(std::get<idempotency::Release>(input)), now));
    }
  }
}

void BlockingClaimWriter::Worker::HandleEffects(ClaimWriterEffects effects) {
  for (ClaimWriterEffect& effect : effects) {
    if (CommitClaims* commit = std::get_if<CommitClaims>(&effect)) {
      commits.push_back(std::move(*commit));
    } else if (ReadClaimRow* read = std::get_if<ReadClaimRow>(&effect)) {
      reads.push_back(std::move(*read));
    } else {
      DeliverAnswer(std::get<AnswerClaim>(effect));
    }
  }
}

// Runs one store operation. Commits precede reads because more claims depend on
// them.
void BlockingClaimWriter::Worker::RunNextOperation() {
  if (!commits.empty()) {
    const CommitClaims commit = std::move(commits.front());
    commits.pop_front();
    const Result<store::TransactionOutcome> outcome =
        owner.store_.Transact(commit.conditions, commit.writes);
    HandleEffects(
        writer.HandleTransaction(commit.operation, outcome, ReadClocks()));
    return;
  }
  const ReadClaimRow read = std::move(reads.front());
  reads.pop_front();
  const Result<store::ReadOutcome> outcome =
      owner.store_.ReadRow(read.key, std::nullopt);
  HandleEffects(writer.HandleRead(read.operation, outcome, ReadClocks()));
}

void BlockingClaimWriter::Worker::DeliverAnswer(const AnswerClaim& answer) {
  const auto found = waiting.find(answer.claim);
  if (found == waiting.end()) return;
  const ClaimInput claim = std::move(found->second);
  waiting.erase(found);
  const std::lock_guard lock(owner.mutex_);
  if (!claim.pending->is_abandoned) {
    claim.pending->result = answer.result;
    claim.pending->answered.notify_one();
    return;
  }
  // Claim has returned AlreadyRunning, so the receiver will not run the
  // request. Releasing the claim lets a repeat of the request run.
  if (std::holds_alternative<Granted>(answer.result)) {
    owner.inputs_.emplace_back(
        idempotency::Release{.key = claim.request.key,
                             .token = claim.request.token,
                             .claimant = claim.request.claimant});
  }
}

void BlockingClaimWriter::Worker::PublishCounters() {
  const std::lock_guard lock(owner.mutex_);
  owner.counters_ = writer.counters();
}

BlockingClaimWriter::BlockingClaimWriter(ClaimWriterOptions options,
                                         store::Store& store)
    : store_(store), options_(std::move(options)), thread_([this] { Run(); }) {}

BlockingClaimWriter::~BlockingClaimWriter() { Stop(); }

ClaimResult BlockingClaimWriter::Claim(ClaimRequest request,
                                       MonotonicTime deadline) {
  const auto pending = std::make_shared<PendingClaim>();
  deadline = std::min(deadline, MonotonicClock::now() + kMaxClaimWait);
  if (!Push(ClaimInput{pending, std::move(request), deadline})) {
    return StoreUnavailable{};
  }
  const auto latest = std::chrono::steady_clock::time_point(
      (deadline + kDeadlineGrace).time_since_epoch());
  std::unique_lock lock(mutex_);
  pending->answered.wait_until(
      lock, latest, [&pending] { return pending->result.has_value(); });
  if (pending->result) return *pending->result;
  pending->is_abandoned = true;
  if (pending->is_submitted) return AlreadyRunning{};
  return StoreUnavailable{};
}

void BlockingClaimWriter::Complete(Completion completion) {
  Push(std::move(completion));
}

void BlockingClaimWriter::Release(idempotency::Release release) {
  Push(std::move(release));
}

void BlockingClaimWriter::Stop() {
  std::call_once(stopped_, [this] {
    {
      const std::lock_guard lock(mutex_);
      is_stopping_ = true;
    }
    wake_condition_.notify_one();
    thread_.join();
  });
}

ClaimWriterCounters BlockingClaimWriter::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

bool BlockingClaimWriter::has_inputs() const {
  const std::lock_guard lock(mutex_);
  return !inputs_.empty();
}

std::uint64_t BlockingClaimWriter::dropped_inputs() const {
  const std::lock_guard lock(mutex_);
  return dropped_inputs_;
}

bool BlockingClaimWriter::Push(Input input) {
  {
    const std::lock_guard lock(mutex_);
    if (is_stopping_ || inputs_.size() >= kMaxQueuedInputs) {
      if (!std::holds_alternative<ClaimInput>(input)) ++dropped_inputs_;
      return false;
    }
    inputs_.push_back(std::move(input));
  }
  wake_condition_.notify_one();
  return true;
}

std::vector<BlockingClaimWriter::Input> BlockingClaimWriter::WaitForInputs(
    const Worker& worker, bool& is_stopping) {
  std::unique_lock lock(mutex_);
  const auto should_wake = [this] { return !inputs_.empty() || is_stopping_; };
  if (!worker.has_operations() && !is_stopping_) {
    const std::optional<MonotonicTime> wake = worker.writer.next_wake_time();
    if (wake) {
      wake_condition_.wait_until(
          lock, std::chrono::steady_clock::time_point(wake->time_since_epoch()),
          should_wake);
    } else {
      wake_condition_.wait(lock, should_wake);
    }
  }
  is_stopping = is_stopping_;
  std::vector<Input> taken;
  taken.reserve(inputs_.size());
  for (Input& input : inputs_) {
    ClaimInput* claim = std::get_if<ClaimInput>(&input);
    if (claim != nullptr) {
      if (claim->pending->is_abandoned) continue;
      claim->pending->is_submitted = true;
    }
    taken.push_back(std::move(input));
  }
  inputs_.clear();
  return taken;
}

void BlockingClaimWriter::Run() {
  Worker worker(*this);
  std::optional<MonotonicTime> stop_at;
  while (true) {
    bool is_stopping = false;
    worker.ProcessInputs(WaitForInputs(worker, is_stopping));
    if (worker.has_operations()) worker.RunNextOperation();
    worker.HandleEffects(worker.writer.Advance(ReadClocks()));
    worker.PublishCounters();
    if (!is_stopping) continue;
    const MonotonicTime now = MonotonicClock::now();
    if (!stop_at) stop_at = now + kStopTimeout;
    const bool is_finished =
        worker.writer.is_idle() && !worker.has_operations() && !has_inputs();
    if (is_finished || now >= *stop_at) break;
    if (worker.has_operations() || has_inputs()) continue;
    const MonotonicTime wake =
        std::min(worker.writer.next_wake_time().value_or(*stop_at), *stop_at);
    std::this_thread::sleep_until(
        std::chrono::steady_clock::time_point(wake.time_since_epoch()));
  }
  // Answers the remaining claims by advancing past all deadlines.
  Moment end = ReadClocks();
  end.monotonic += 2 * kMaxClaimWait;
  worker.HandleEffects(worker.writer.Advance(end));
  worker.PublishCounters();
}

}  // namespace oleandertide::idempotency
