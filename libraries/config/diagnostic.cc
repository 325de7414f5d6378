#include "config/diagnostic.h"

#include <algorithm>
#include <utility>

namespace oleandertide::config {

std::string ToString(const Diagnostic& diagnostic) {
  return diagnostic.file + ":" + std::to_string(diagnostic.line) + ": " +
         diagnostic.key + ": " + diagnostic.message;
}

std::string ToString(std::span<const Diagnostic> diagnostics) {
  std::string text;
  for (const Diagnostic& diagnostic : diagnostics) {
    text += ToString(diagnostic);
    text += '\n';
  }
  return text;
}

void DiagnosticList::Add(std::size_t line, std::string_view key,
                         std::string message) {
  if (entries_.size() >= kMaximumDiagnostics) {
    ++omitted_;
    return;
  }
  entries_.push_back({file_, line, std::string(key), std::move(message)});
}

Diagnostics DiagnosticList::Take() {
  std::ranges::stable_sort(entries_, {}, &Diagnostic::line);
  if (omitted_ > 0) {
    entries_.push_back({file_, entries_.back().line, "text",
                        std::to_string(omitted_) + " more errors, at most " +
                            std::to_string(kMaximumDiagnostics) +
                            " are listed"});
    omitted_ = 0;
  }
  return std::exchange(entries_, {});
}

}  // namespace oleandertide::config
