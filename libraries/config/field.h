// Tables of the keys that a section may hold.

#ifndef OLEANDERTIDE_CONFIG_FIELD_H_
#define OLEANDERTIDE_CONFIG_FIELD_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "config/diagnostic.h"
#include "config/environment.h"
#include "config/ini_reader.h"
#include "config/value.h"

namespace oleandertide::config {

// A key of a section: what it allows, what it means and where its value goes.
struct FieldSpecification {
  std::string_view section;
  std::string_view key;
  Rule rule;
  std::string_view meaning;
  // Text of the value if the key is missing.
  std::optional<std::string_view> default_text = std::nullopt;
  // What a missing key without default text stands for; if this is empty too,
  // the key is required.
  std::string_view when_missing = {};
  // Variable of the environment that goes before the text.
  std::string_view variable = {};

  bool is_required() const { return !default_text && when_missing.empty(); }
};

// How values of a text are taken.
struct ReadingRules {
  // Whether empty values and `null` count as missing: who writes settings by a
  // template has no value for some keys.
  bool skips_empty = false;
  // Read for keys that have a variable.
  const Environment* environment = nullptr;
  // Receives values that are not allowed, which then count as missing. Null, or
  // a required key, makes them errors.
  DiagnosticList* ignored = nullptr;
};

// Whether `text` stands for the absence of a value: it is empty or `null`.
// Thread-safe.
bool IsNoValue(std::string_view text);

template <typename Owner>
struct Field {
  FieldSpecification specification;
  // Precondition: the value has the type that the rule gives.
  void (*assign)(Owner&, const Value&);
};

namespace detail {

// Type of the value that a member takes: of an optional one, what it holds.
template <typename Member>
struct ValueType {
  using Type = Member;
};
template <typename Held>
struct ValueType<std::optional<Held>> {
  using Type = Held;
};

}  // namespace detail

// Assigns to a member of Owner, e.g. Assign<&Route::path>, or to a member of a
// member, e.g. Assign<&NodeSettings::peers, &PeerSettings::fanout>. An optional
// member stays empty if the key is missing and has no default.
template <auto... Members>
struct Assign {
  template <typename Owner>
  static void To(Owner& owner, const Value& value) {
    auto& target = (owner.*....*Members);
    using Member = std::decay_t<decltype(target)>;
    target = std::get<typename detail::ValueType<Member>::Type>(value);
  }
};

namespace detail {

// Finds the value of one field: of its variable, of its entry, or its default.
// Adds a diagnostic if the value is not allowed or a required key is missing
// from a section that is no duplicate.
std::optional<Value> FindValue(const FieldSpecification& specification,
                               const IniSection& section,
                               const ReadingRules& rules,
                               DiagnosticList& diagnostics);

// Adds a diagnostic for each entry that is not among the known keys.
void ReportUnknownKeys(std::span<const std::string_view> known,
                       const IniSection& section, DiagnosticList& diagnostics);

}  // namespace detail

// Assigns the values of the fields of the kind of `section` to `owner`. Adds a
// diagnostic for each entry that no field names, each value that is not
// allowed and each required key that is missing. Thread-safe.
template <typename Owner>
void ReadFields(std::span<const Field<Owner>> fields, const IniSection& section,
                Owner& owner, DiagnosticList& diagnostics,
                const ReadingRules& rules = {}) {
  std::vector<std::string_view> known;
  for (const Field<Owner>& field : fields) {
    if (field.specification.section != section.kind) continue;
    known.push_back(field.specification.key);
    const auto value =
        detail::FindValue(field.specification, section, rules, diagnostics);
    if (value) field.assign(owner, *value);
  }
  detail::ReportUnknownKeys(known, section, diagnostics);
}

// Describes key, default, range and meaning in one line. Thread-safe.
std::string Describe(const FieldSpecification& specification);

// Describes the fields, with a heading for each section. Thread-safe.
template <typename Owner>
std::string DescribeFields(std::span<const Field<Owner>> fields) {
  std::string text;
  std::string_view section;
  for (const Field<Owner>& field : fields) {
    if (field.specification.section != section) {
      section = field.specification.section;
      text += (text.empty() ? "[" : "\n[") + std::string(section) + "]\n";
    }
    text += "  " + Describe(field.specification) + "\n";
  }
  return text;
}

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_FIELD_H_
