// Connects acceptance with the configuration document.

#ifndef OLEANDERTIDE_COMMAND_DOCUMENT_INSPECTOR_H_
#define OLEANDERTIDE_COMMAND_DOCUMENT_INSPECTOR_H_

#include <string>
#include <string_view>

#include "acceptance/acceptance.h"

namespace oleandertide::command {

// Thread-safe.
acceptance::DocumentInspector ConfigInspector();

// Difference between two document texts, one line for each item; an empty
// `before` stands for a document without items. If one is not valid, the text
// says so. Thread-safe.
std::string DescribeDifference(std::string_view before, std::string_view after);

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_DOCUMENT_INSPECTOR_H_
