// Difference between two documents.

#ifndef OLEANDERTIDE_CONFIG_DIFFERENCE_H_
#define OLEANDERTIDE_CONFIG_DIFFERENCE_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"

namespace oleandertide::config {

enum class ItemKind { kService, kRoute, kJob };

// Returns the kind as it stands in section titles. Thread-safe.
std::string_view ToString(ItemKind kind);

// A service, route or job that only one of two documents names.
struct ItemName {
  ItemKind kind = ItemKind::kService;
  std::string name;

  bool operator==(const ItemName&) const = default;
};

// A key whose value differs, with both values as they stand in a document.
struct KeyChange {
  std::string key;
  std::string before;
  std::string after;

  bool operator==(const KeyChange&) const = default;
};

// A route or job that both documents name. `changes` is not empty.
struct ItemChange {
  ItemName item;
  std::vector<KeyChange> changes;

  bool operator==(const ItemChange&) const = default;
};

// What changes from one document to another, ordered by kind and name. An item
// that is renamed counts as removed and added.
struct Difference {
  std::vector<ItemName> added;
  std::vector<ItemName> removed;
  std::vector<ItemChange> changed;

  // Compares two documents. Thread-safe.
  static Difference Between(const Document& before, const Document& after);

  bool is_empty() const {
    return added.empty() && removed.empty() && changed.empty();
  }

  // Writes one line for each item, e.g. `removed job nightly-close` or
  // `changed route book: timeout 2s -> 3s`. Empty without differences.
  std::string ToText() const;

  bool operator==(const Difference&) const = default;
};

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_DIFFERENCE_H_
