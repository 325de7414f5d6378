// Submission and promotion of documents (docs/design.md, section 4.3).

#ifndef OLEANDERTIDE_ACCEPTANCE_ACCEPTANCE_H_
#define OLEANDERTIDE_ACCEPTANCE_ACCEPTANCE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acceptance/environment_record.h"
#include "acceptance/waiter.h"
#include "core/random.h"
#include "core/result.h"
#include "core/time.h"
#include "store/store.h"

namespace oleandertide::acceptance {

// What acceptance needs to know about documents. Both functions must be set.
struct DocumentInspector {
  // Services, routes and jobs that a document names. Error kInvalidArgument if
  // the document is not valid.
  std::function<Result<std::vector<DocumentItem>>(std::string_view document)>
      items;
  // Readable difference between two documents; empty if there is none. An
  // empty `before` stands for "no document".
  std::function<std::string(std::string_view before, std::string_view after)>
      difference;
};

struct AcceptanceOptions {
  // How long the outcome of a transaction whose answer was lost is looked up.
  Duration resolve_timeout = std::chrono::seconds(10);
  // Time between two such reads.
  Duration resolve_interval = std::chrono::milliseconds(250);
};

struct SubmitRequest {
  std::string_view document;
  std::string_view operator_name;
  // Production's sequence that the draft started from. The submission is
  // refused if production has another one. Unset: the current one.
  std::optional<Sequence> drafted_on;
};

struct PromoteRequest {
  std::string_view operator_name;
  // Retired names that may return: "name" or "kind/name".
  std::span<const std::string> revive;
  // Sequence of trial to promote; refused if trial has another one. Unset:
  // the current one.
  std::optional<Sequence> trial_sequence;
};

// The record is the environment's, though a later one may have followed it.
struct Accepted {
  std::string environment;
  EnvironmentRecord record;
  // Items that this change retired or revived; only promotions do.
  std::vector<DocumentItem> retired;
  std::vector<DocumentItem> revived;
};

// Nothing was written: `environment` was not at `expected`.
struct Conflict {
  std::string environment;
  Sequence expected = 0;
  // What followed `expected`, or the current record if nothing did. Unset if
  // it could not be read.
  std::optional<EnvironmentRecord> winner;
  // The environment's record when the request was refused.
  std::optional<EnvironmentRecord> current;
  // Difference from the current document to the refused one; empty if they
  // are equal or if one could not be read.
  std::string difference;
};

// Nothing was written: the document names items that were retired earlier and
// that the request does not revive.
struct RetiredItems {
  std::vector<DocumentItem> items;
};

// The answer was lost and the history did not show the outcome in time. The
// record may still take effect; it has done so if history/{environment}/
// {sequence} holds its nonce.
struct Undecided {
  std::string environment;
  EnvironmentRecord record;
};

using Outcome = std::variant<Accepted, Conflict, RetiredItems, Undecided>;

// Not thread-safe; several instances, in several processes, may work on the
// same store. Every error that a method returns means that nothing was
// accepted: kUnavailable, kRateLimited and kTimeout for the platform,
// kDataDamaged for a row or document that is damaged or missing there.
class Acceptance {
 public:
  // The references must outlive the object. `random` must be seeded
  // differently in each process, because nonces come from it.
  Acceptance(store::Store& store, Waiter& waiter, RandomSource& random,
             DocumentInspector inspector,
             const AcceptanceOptions& options = {});

  // Makes the document the trial's. Errors beside the common ones:
  // kInvalidArgument if the document is not valid.
  Result<Outcome> Submit(const SubmitRequest& request);

  // Makes the trial's document production's, provided that production is
  // still the one that the trial was drafted on. Errors beside the common
  // ones: kNotFound if nothing was submitted; kTooLarge if the change retires
  // and revives more items than one transaction may write.
  Result<Outcome> Promote(const PromoteRequest& request);

  // The environment's current record. Error kNotFound if there is none.
  Result<EnvironmentRecord> Status(std::string_view environment);

  // Records of the environment, newest first, at most `limit`.
  Result<std::vector<EnvironmentRecord>> History(std::string_view environment,
                                                 std::size_t limit);

  // Reads a document and verifies its digest. Error kDataDamaged if the bytes
  // do not match it or if there are none.
  Result<std::string> FetchDocument(std::string_view digest);

 private:
  // An environment's row as read; the default stands for an absent row.
  struct Position {
    EnvironmentRecord record;
    store::RowVersion version = store::kAbsent;
  };

  // One conditional move of an environment to its next record.
  struct Move {
    std::string environment;
    Position from;
    EnvironmentRecord to;
    // Trial's sequence, if the move requires it.
    std::optional<Sequence> trial_sequence;
    std::vector<store::Condition> conditions;
    std::vector<store::Write> writes;
  };

  // Names that a promotion retires and revives.
  struct ItemChanges {
    std::vector<DocumentItem> retired;
    std::vector<DocumentItem> revived;
    // Retired earlier and not named in the request.
    std::vector<DocumentItem> blocked;
  };

  // Whether the record of a move is the environment's at that sequence.
  enum class Fate { kTookEffect, kAnotherDid, kNotYet };

  Result<Position> ReadPosition(std::string_view environment);
  Result<std::optional<EnvironmentRecord>> ReadHistory(
      std::string_view environment, Sequence sequence);
  Result<std::string> FetchDocumentOf(const Position& position);
  Result<bool> IsRetired(const DocumentItem& item);
  Result<ItemChanges> FindItemChanges(const Position& production,
                                      std::string_view after,
                                      std::span<const std::string> revive);
  Move MakeMove(std::string_view environment, const Position& from,
                std::string_view digest, Sequence base,
                std::string_view operator_name);
  Result<Outcome> Commit(const Move& move, std::string_view document);
  Result<Fate> ReadFate(const Move& move);
  Outcome ResolveLostAnswer(const Move& move, std::string_view document);
  Outcome ResolveRefusal(const Move& move,
                         std::span<const std::string> failed_keys,
                         std::string_view document);
  Conflict MakeConflict(std::string_view environment, Sequence expected,
                        std::string_view document);
  std::string MakeNonce();

  store::Store& store_;
  Waiter& waiter_;
  RandomSource& random_;
  const DocumentInspector inspector_;
  const AcceptanceOptions options_;
};

}  // namespace oleandertide::acceptance

#endif  // OLEANDERTIDE_ACCEPTANCE_ACCEPTANCE_H_
