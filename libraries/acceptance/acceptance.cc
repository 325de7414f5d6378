#include "acceptance/acceptance.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/hash.h"

namespace oleandertide::acceptance {
namespace {

// Before the transaction is sent nothing can have been accepted, so an error
// up to then must not read as an unknown outcome.
std::error_code NothingAccepted(std::error_code error) {
  if (error == Error::kOutcomeUnknown) return Error::kUnavailable;
  return error;
}

// Only these errors of Store::Transact say that nothing was written.
bool IsCertainlyNotWritten(std::error_code error) {
  return error == Error::kUnavailable || error == Error::kRateLimited;
}

bool IsNamed(const DocumentItem& item, std::span<const std::string> names) {
  const std::string qualified = item.kind + '/' + item.name;
  return std::any_of(names.begin(), names.end(), [&](const std::string& name) {
    return name == item.name || name == qualified;
  });
}

void AppendHexadecimal(std::string& text, std::uint64_t value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(value >> shift) & 15];
  }
}

}  // namespace

Acceptance::Acceptance(store::Store& store, Waiter& waiter,
                       RandomSource& random, DocumentInspector inspector,
                       const AcceptanceOptions& options)
    : store_(store),
      waiter_(waiter),
      random_(random),
      inspector_(std::move(inspector)),
      options_(options) {}

Result<Outcome> Acceptance::Submit(const SubmitRequest& request) {
  OLEANDERTIDE_CHECK(inspector_.items(request.document));
  OLEANDERTIDE_TRY(production, ReadPosition(kProduction));
  const Sequence base = production.record.sequence;
  if (request.drafted_on.value_or(base) != base) {
    return MakeConflict(kProduction, *request.drafted_on, request.document);
  }
  OLEANDERTIDE_TRY(trial, ReadPosition(kTrial));
  const std::string digest = ContentDigest(request.document);
  if (const auto stored = store_.PutObject(digest, request.document);
      !stored.has_value()) {
    return NothingAccepted(stored.error());
  }
  return Commit(MakeMove(kTrial, trial, digest, base, request.operator_name),
                request.document);
}

Result<Outcome> Acceptance::Promote(const PromoteRequest& request) {
  OLEANDERTIDE_TRY(trial, ReadPosition(kTrial));
  if (trial.version == store::kAbsent) return Error::kNotFound;
  OLEANDERTIDE_TRY(document, FetchDocumentOf(trial));
  const Sequence trial_sequence = trial.record.sequence;
  if (request.trial_sequence.value_or(trial_sequence) != trial_sequence) {
    return MakeConflict(kTrial, *request.trial_sequence, document);
  }
  OLEANDERTIDE_TRY(production, ReadPosition(kProduction));
  if (production.record.sequence != trial.record.base) {
    return MakeConflict(kProduction, trial.record.base, document);
  }
  OLEANDERTIDE_TRY(changes,
                   FindItemChanges(production, document, request.revive));
  if (!changes.blocked.empty()) return RetiredItems{changes.blocked};

  Move move = MakeMove(kProduction, production, trial.record.digest,
                       trial.record.base, request.operator_name);
  // The trial must still be the one that was read and compared.
  move.trial_sequence = trial_sequence;
  move.conditions.push_back({EnvironmentKey(kTrial), trial.version});
  for (const DocumentItem& item : changes.retired) {
    move.writes.push_back(
        {RetiredKey(kProduction, item), FormatRetirement(move.to.sequence)});
  }
  for (const DocumentItem& item : changes.revived) {
    move.writes.push_back({RetiredKey(kProduction, item), FormatRetirement(0)});
  }
  // The trial's row is named by a condition only.
  if (move.writes.size() + 1 > store::kMaximumTransactionRows) {
    return Error::kTooLarge;
  }
  OLEANDERTIDE_TRY(outcome, Commit(move, document));
  if (auto* accepted = std::get_if<Accepted>(&outcome)) {
    accepted->retired = changes.retired;
    accepted->revived = changes.revived;
  }
  return std::move(outcome);
}

Result<EnvironmentRecord> Acceptance::Status(std::string_view environment) {
  OLEANDERTIDE_TRY(position, ReadPosition(environment));
  if (position.version == store::kAbsent) return Error::kNotFound;
  return std::move(position.record);
}

Result<std::vector<EnvironmentRecord>> Acceptance::History(
    std::string_view environment, std::size_t limit) {
  OLEANDERTIDE_TRY(position, ReadPosition(environment));
  std::vector<EnvironmentRecord> records;
  Sequence sequence = position.record.sequence;
  while (sequence > 0 && records.size() < limit) {
    OLEANDERTIDE_TRY(record, ReadHistory(environment, sequence));
    if (!record.has_value()) return Error::kDataDamaged;
    records.push_back(*std::move(record));
    --sequence;
  }
  return records;
}

Result<std::string> Acceptance::FetchDocument(std::string_view digest) {
  auto fetched = store_.FetchObject(digest);
  if (!fetched.has_value()) {
    const std::error_code error = NothingAccepted(fetched.error());
    if (error == Error::kNotFound) return Error::kDataDamaged;
    return error;
  }
  if (ContentDigest(fetched.value()) != digest) return Error::kDataDamaged;
  return std::move(fetched).value();
}

Result<Acceptance::Position> Acceptance::ReadPosition(
    std::string_view environment) {
  const auto read = store_.ReadRow(EnvironmentKey(environment), std::nullopt);
  if (!read.has_value()) return NothingAccepted(read.error());
  const auto* row = std::get_if<store::Row>(&read.value());
  if (row == nullptr) return Position{};
  OLEANDERTIDE_TRY(record, ParseEnvironmentRecord(row->value));
  return Position{std::move(record), row->version};
}

Result<std::optional<EnvironmentRecord>> Acceptance::ReadHistory(
    std::string_view environment, Sequence sequence) {
  const auto read =
      store_.ReadRow(HistoryKey(environment, sequence), std::nullopt);
  if (!read.has_value()) return NothingAccepted(read.error());
  const auto* row = std::get_if<store::Row>(&read.value());
  if (row == nullptr) return std::nullopt;
  OLEANDERTIDE_TRY(record, ParseEnvironmentRecord(row->value));
  return std::optional(std::move(record));
}

Result<std::string> Acceptance::FetchDocumentOf(const Position& position) {
  if (position.version == store::kAbsent) return std::string();
  return FetchDocument(position.record.digest);
}

Result<bool> Acceptance::IsRetired(const DocumentItem& item) {
  const auto read = store_.ReadRow(RetiredKey(kProduction, item), std::nullopt);
  if (!read.has_value()) return NothingAccepted(read.error());
  const auto* row = std::get_if<store::Row>(&read.value());
  if (row == nullptr) return false;
  OLEANDERTIDE_TRY(sequence, ParseRetirement(row->value));
  return sequence != 0;
}

// Rows of retired items change only together with production's row, so the
// transaction's condition on that row also covers what is read here.
Result<Acceptance::ItemChanges> Acceptance::FindItemChanges(
    const Position& production, std::string_view after,
    std::span<const std::string> revive) {
  ItemChanges changes;
  // Only promotions retire items. A large first document would otherwise cost
  // a read for each of its items.
  if (production.version == store::kAbsent) return changes;
  OLEANDERTIDE_TRY(before, FetchDocumentOf(production));
  OLEANDERTIDE_TRY(before_items, inspector_.items(before));
  OLEANDERTIDE_TRY(after_items, inspector_.items(after));
  const std::set<DocumentItem> old_items(before_items.begin(),
                                         before_items.end());
  const std::set<DocumentItem> new_items(after_items.begin(),
                                         after_items.end());
  std::set_difference(old_items.begin(), old_items.end(), new_items.begin(),
                      new_items.end(), std::back_inserter(changes.retired));
  for (const DocumentItem& item : new_items) {
    if (old_items.contains(item)) continue;
    OLEANDERTIDE_TRY(is_retired, IsRetired(item));
    if (!is_retired) continue;
    auto& list = IsNamed(item, revive) ? changes.revived : changes.blocked;
    list.push_back(item);
  }
  return changes;
}

Acceptance::Move Acceptance::MakeMove(std::string_view environment,
                                      const Position& from,
                                      std::string_view digest, Sequence base,
                                      std::string_view operator_name) {
  Move move;
  move.environment = environment;
  move.from = from;
  move.to.sequence = from.record.sequence + 1;
  move.to.digest = digest;
  move.to.parent = from.record.digest;
  move.to.base = base;
  move.to.nonce = MakeNonce();
  move.to.operator_name = operator_name;
  const std::string key = EnvironmentKey(environment);
  const std::string history_key = HistoryKey(environment, move.to.sequence);
  const std::string value = FormatEnvironmentRecord(move.to);
  move.conditions = {{key, from.version}, {history_key, store::kAbsent}};
  move.writes = {{key, value}, {history_key, value}};
  return move;
}

Result<Outcome> Acceptance::Commit(const Move& move,
                                   std::string_view document) {
  const auto answer = store_.Transact(move.conditions, move.writes);
  if (!answer.has_value()) {
    if (IsCertainlyNotWritten(answer.error())) return answer.error();
    return ResolveLostAnswer(move, document);
  }
  if (const auto* refused = std::get_if<store::Refused>(&answer.value())) {
    return ResolveRefusal(move, refused->failed_keys, document);
  }
  return Accepted{move.environment, move.to, {}, {}};
}

Result<Acceptance::Fate> Acceptance::ReadFate(const Move& move) {
  OLEANDERTIDE_TRY(record, ReadHistory(move.environment, move.to.sequence));
  if (!record.has_value()) return Fate::kNotYet;
  return record->nonce == move.to.nonce ? Fate::kTookEffect : Fate::kAnotherDid;
}

Outcome Acceptance::ResolveLostAnswer(const Move& move,
                                      std::string_view document) {
  const MonotonicTime deadline = waiter_.Now() + options_.resolve_timeout;
  for (;;) {
    // A failed read says nothing; the platform may return before the deadline.
    const auto fate = ReadFate(move);
    if (fate.has_value() && fate.value() == Fate::kTookEffect) {
      return Accepted{move.environment, move.to, {}, {}};
    }
    if (fate.has_value() && fate.value() == Fate::kAnotherDid) {
      return MakeConflict(move.environment, move.from.record.sequence,
                          document);
    }
    if (waiter_.Now() >= deadline) break;
    waiter_.Wait(std::min(options_.resolve_interval, deadline - waiter_.Now()));
  }
  return Undecided{move.environment, move.to};
}

Outcome Acceptance::ResolveRefusal(const Move& move,
                                   std::span<const std::string> failed_keys,
                                   std::string_view document) {
  // A transaction that the network duplicated is refused the second time
  // although it took effect.
  const auto fate = ReadFate(move);
  if (fate.has_value() && fate.value() == Fate::kTookEffect) {
    return Accepted{move.environment, move.to, {}, {}};
  }
  const bool only_trial_moved =
      failed_keys.size() == 1 && failed_keys.front() == EnvironmentKey(kTrial);
  if (only_trial_moved && move.trial_sequence.has_value()) {
    return MakeConflict(kTrial, *move.trial_sequence, document);
  }
  return MakeConflict(move.environment, move.from.record.sequence, document);
}

Conflict Acceptance::MakeConflict(std::string_view environment,
                                  Sequence expected,
                                  std::string_view document) {
  Conflict conflict;
  conflict.environment = environment;
  conflict.expected = expected;
  const auto current = ReadPosition(environment);
  if (!current.has_value()) return conflict;
  const Position& position = current.value();
  if (position.version == store::kAbsent) return conflict;
  conflict.current = position.record;
  conflict.winner = position.record;
  if (position.record.sequence > expected + 1) {
    const auto next = ReadHistory(environment, expected + 1);
    if (next.has_value() && next.value().has_value()) {
      conflict.winner = next.value();
    }
  }
  const auto text = FetchDocumentOf(position);
  if (text.has_value()) {
    conflict.difference = inspector_.difference(text.value(), document);
  }
  return conflict;
}

std::string Acceptance::MakeNonce() {
  std::string nonce;
  AppendHexadecimal(nonce, random_.Next());
  AppendHexadecimal(nonce, random_.Next());
  return nonce;
}

}  // namespace oleandertide::acceptance
