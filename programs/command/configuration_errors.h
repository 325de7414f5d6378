// Finds the places of a configuration that the nodes' decoder rejects.

#ifndef OLEANDERTIDE_COMMAND_CONFIGURATION_ERRORS_H_
#define OLEANDERTIDE_COMMAND_CONFIGURATION_ERRORS_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <unordered_set>

#include "command/check_finding.h"

namespace oleandertide::command {

using KeySet = std::unordered_set<std::string>;

// Returns all keys of organisations in a document, whether it is valid or not.
// Thread-safe.
KeySet CollectKeys(const nlohmann::json& document);

// Returns the errors of a document that the decoder rejects with `reason`;
// never empty. Each part is decoded among valid ones by the decoder itself, so
// no rule of it is repeated here. Thread-safe.
Findings FindErrors(const nlohmann::json& document, const std::string& reason);

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_CONFIGURATION_ERRORS_H_
