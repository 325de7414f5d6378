// Errors that a reader of configuration text reports.

#ifndef OLEANDERTIDE_CONFIG_DIAGNOSTIC_H_
#define OLEANDERTIDE_CONFIG_DIAGNOSTIC_H_

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oleandertide::config {

// One error in a configuration text.
struct Diagnostic {
  std::string file;
  // Counted from 1. An error that concerns the text as a whole has line 1; a
  // missing key has the line of its section.
  std::size_t line = 1;
  // The key or section that is wrong.
  std::string key;
  // What is wrong and what is allowed.
  std::string message;

  bool operator==(const Diagnostic&) const = default;
};

using Diagnostics = std::vector<Diagnostic>;

// A value of type T, or all errors of its text, ordered by line and never
// empty. value() of a result without a value stops the process.
template <typename T>
using Checked = boost::outcome_v2::result<T, Diagnostics,
                                          boost::outcome_v2::policy::terminate>;

// More errors than this are counted in one last diagnostic instead of listed.
inline constexpr std::size_t kMaximumDiagnostics = 10'000;

// Formats as `file:line: key: message`. Thread-safe.
std::string ToString(const Diagnostic& diagnostic);

// Formats one diagnostic per line. Thread-safe.
std::string ToString(std::span<const Diagnostic> diagnostics);

// Collects the errors of one text. Not thread-safe.
class DiagnosticList {
 public:
  explicit DiagnosticList(std::string_view file) : file_(file) {}

  // Adds an error; beyond kMaximumDiagnostics it is only counted.
  void Add(std::size_t line, std::string_view key, std::string message);

  bool is_empty() const { return entries_.empty(); }

  // Returns the errors ordered by line and leaves the list empty.
  Diagnostics Take();

 private:
  std::string file_;
  Diagnostics entries_;
  std::size_t omitted_ = 0;
};

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_DIAGNOSTIC_H_
