// Rows that describe the accepted documents of an environment
// (docs/design.md, section 4.2). This file alone defines their format.

#ifndef OLEANDERTIDE_ACCEPTANCE_ENVIRONMENT_RECORD_H_
#define OLEANDERTIDE_ACCEPTANCE_ENVIRONMENT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "core/result.h"

namespace oleandertide::acceptance {

inline constexpr std::string_view kTrial = "trial";
inline constexpr std::string_view kProduction = "production";

// Position in an environment's history. The first accepted document has 1;
// 0 stands for "nothing accepted yet".
using Sequence = std::uint64_t;

// Value of the rows `environment/{name}` and `history/{name}/{sequence}`.
struct EnvironmentRecord {
  Sequence sequence = 0;
  // Content digest of the document.
  std::string digest;
  // Digest of the document before this one; empty for the first.
  std::string parent;
  // Production's sequence when the document was drafted.
  Sequence base = 0;
  // Chosen at random for each attempt; tells whose write took effect.
  std::string nonce;
  // Name of the person or program that made the change.
  std::string operator_name;

  friend bool operator==(const EnvironmentRecord&,
                         const EnvironmentRecord&) = default;
};

// A named part of a document, such as {"route", "book-slot"}.
struct DocumentItem {
  std::string kind;
  std::string name;

  friend bool operator==(const DocumentItem&, const DocumentItem&) = default;
  friend bool operator<(const DocumentItem& left, const DocumentItem& right) {
    return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
  }
};

// Formats as one line of JSON. Text that is not UTF-8 is replaced by U+FFFD.
// Thread-safe.
std::string FormatEnvironmentRecord(const EnvironmentRecord& record);

// Error kDataDamaged if the text is no record, or if its sequence is 0 or its
// digest is not a content digest. Thread-safe.
Result<EnvironmentRecord> ParseEnvironmentRecord(std::string_view text);

// Value of `retired/{environment}/{kind}/{name}`: the sequence that retired
// the item, or 0 once it has been revived (rows cannot be deleted).
std::string FormatRetirement(Sequence sequence);

// Error kDataDamaged if the text is no sequence. Thread-safe.
Result<Sequence> ParseRetirement(std::string_view text);

// Keys of the rows. Thread-safe.
std::string EnvironmentKey(std::string_view environment);
std::string HistoryKey(std::string_view environment, Sequence sequence);
std::string RetiredKey(std::string_view environment, const DocumentItem& item);

}  // namespace oleandertide::acceptance

#endif  // OLEANDERTIDE_ACCEPTANCE_ENVIRONMENT_RECORD_H_
