#include "config/difference.h"

#include <array>
#include <span>
#include <utility>

#include "config/value.h"

namespace oleandertide::config {
namespace {

// Indexed by ItemKind.
constexpr std::array<std::string_view, 3> kKindWords = {"service", "route",
                                                        "job"};

// Key and value of each key of an item, in a fixed order.
using KeyValues = std::vector<std::pair<std::string, std::string>>;

KeyValues ListKeys(const Service& /*service*/) { return {}; }

KeyValues ListKeys(const Route& route) {
  return {
      {"service", route.service},
      {"path", route.path},
      {"methods", ToString(route.methods)},
      {"class", std::string(ToString(route.route_class))},
      {"repeatable", route.is_repeatable ? "true" : "false"},
      {"timeout", route.timeout ? FormatDuration(*route.timeout) : "unset"}};
}

KeyValues ListKeys(const Job& job) {
  return {{"route", job.route},
          {"every", FormatDuration(job.every)},
          {"offset", FormatDuration(job.offset)},
          {"missed", std::string(ToString(job.missed))}};
}

// Precondition: both list the same keys.
std::vector<KeyChange> CompareKeys(KeyValues before, KeyValues after) {
  std::vector<KeyChange> changes;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].second == after[i].second) continue;
    changes.push_back({std::move(before[i].first), std::move(before[i].second),
                       std::move(after[i].second)});
  }
  return changes;
}

// Merges two lists that are ordered by name.
template <typename Item>
void Compare(ItemKind kind, std::span<const Item> before,
             std::span<const Item> after, Difference& difference) {
  while (!before.empty() || !after.empty()) {
    if (after.empty() ||
        (!before.empty() && before.front().name < after.front().name)) {
      difference.removed.push_back({kind, before.front().name});
      before = before.subspan(1);
    } else if (before.empty() || after.front().name < before.front().name) {
      difference.added.push_back({kind, after.front().name});
      after = after.subspan(1);
    } else {
      auto changes =
          CompareKeys(ListKeys(before.front()), ListKeys(after.front()));
      if (!changes.empty()) {
        difference.changed.push_back(
            {{kind, after.front().name}, std::move(changes)});
      }
      before = before.subspan(1);
      after = after.subspan(1);
    }
  }
}

std::string Line(std::string_view verb, const ItemName& item) {
  return std::string(verb) + " " + std::string(ToString(item.kind)) + " " +
         item.name;
}

}  // namespace

std::string_view ToString(ItemKind kind) {
  return kKindWords[static_cast<std::size_t>(kind)];
}

Difference Difference::Between(const Document& before, const Document& after) {
  Difference difference;
  Compare(ItemKind::kService, before.services(), after.services(), difference);
  Compare(ItemKind::kRoute, before.routes(), after.routes(), difference);
  Compare(ItemKind::kJob, before.jobs(), after.jobs(), difference);
  return difference;
}

std::string Difference::ToText() const {
  std::string text;
  for (const ItemName& item : added) text += Line("added", item) + "\n";
  for (const ItemName& item : removed) text += Line("removed", item) + "\n";
  for (const ItemChange& change : changed) {
    text += Line("changed", change.item) + ":";
    std::string_view separator = " ";
    for (const KeyChange& key : change.changes) {
      text += std::string(separator) + key.key + " " + key.before + " -> " +
              key.after;
      separator = ", ";
    }
    text += "\n";
  }
  return text;
}

}  // namespace oleandertide::config
