#include "command/document_inspector.h"

#include <utility>
#include <vector>

#include "config/difference.h"
#include "config/document.h"

namespace oleandertide::command {
namespace {

using acceptance::DocumentItem;

template <typename Parts>
void AppendItems(config::ItemKind kind, const Parts& parts,
                 std::vector<DocumentItem>& items) {
  for (const auto& part : parts) {
    items.push_back({std::string(config::ToString(kind)), part.name});
  }
}

std::vector<DocumentItem> ItemsOf(const config::Document& document) {
  std::vector<DocumentItem> items;
  AppendItems(config::ItemKind::kService, document.services(), items);
  AppendItems(config::ItemKind::kRoute, document.routes(), items);
  AppendItems(config::ItemKind::kJob, document.jobs(), items);
  return items;
}

// All items of a document, as additions to none.
std::string DescribeAll(const config::Document& document) {
  std::string text;
  for (const DocumentItem& item : ItemsOf(document)) {
    text += "added " + item.kind + ' ' + item.name + '\n';
  }
  return text;
}

}  // namespace

acceptance::DocumentInspector ConfigInspector() {
  acceptance::DocumentInspector inspector;
  inspector.items =
      [](std::string_view text) -> Result<std::vector<DocumentItem>> {
    const auto document = config::Document::Parse(text, "document");
    if (!document.has_value()) return Error::kInvalidArgument;
    return ItemsOf(document.value());
  };
  inspector.difference = DescribeDifference;
  return inspector;
}

std::string DescribeDifference(std::string_view before,
                               std::string_view after) {
  const auto new_document = config::Document::Parse(after, "new document");
  if (!new_document.has_value()) return "the new document is not valid\n";
  if (before.empty()) return DescribeAll(new_document.value());
  const auto old_document = config::Document::Parse(before, "old document");
  if (!old_document.has_value()) return "the old document is not valid\n";
  return config::Difference::Between(old_document.value(), new_document.value())
      .ToText();
}

}  // namespace oleandertide::command
