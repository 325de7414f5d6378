#include "acceptance/environment_record.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "core/json.h"

namespace oleandertide::acceptance {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kDigestCharacters = 32;

bool IsContentDigest(std::string_view text) {
  return text.size() == kDigestCharacters &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= '0' && character <= '9') ||
                  (character >= 'a' && character <= 'f');
         });
}

}  // namespace

std::string FormatEnvironmentRecord(const EnvironmentRecord& record) {
  const Json body = {
      {"sequence", record.sequence}, {"digest", record.digest},
      {"parent", record.parent},     {"base", record.base},
      {"nonce", record.nonce},       {"operator", record.operator_name}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<EnvironmentRecord> ParseEnvironmentRecord(std::string_view text) {
  const auto body = ParseJson(text);
  if (!body) return Error::kDataDamaged;
  OLEANDERTIDE_TRY(sequence, ReadUnsigned(*body, "sequence"));
  OLEANDERTIDE_TRY(digest, ReadText(*body, "digest"));
  OLEANDERTIDE_TRY(parent, ReadText(*body, "parent"));
  OLEANDERTIDE_TRY(base, ReadUnsigned(*body, "base"));
  OLEANDERTIDE_TRY(nonce, ReadText(*body, "nonce"));
  OLEANDERTIDE_TRY(operator_name, ReadText(*body, "operator"));
  EnvironmentRecord record;
  record.sequence = sequence;
  record.digest = digest;
  record.parent = parent;
  record.base = base;
  record.nonce = nonce;
  record.operator_name = operator_name;
  if (record.sequence == 0 || !IsContentDigest(record.digest)) {
    return Error::kDataDamaged;
  }
  return record;
}

std::string FormatRetirement(Sequence sequence) {
  return std::to_string(sequence);
}

Result<Sequence> ParseRetirement(std::string_view text) {
  Sequence sequence = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), sequence);
  if (error != std::errc() || end != text.data() + text.size()) {
    return Error::kDataDamaged;
  }
  return sequence;
}

std::string EnvironmentKey(std::string_view environment) {
  return "environment/" + std::string(environment);
}

std::string HistoryKey(std::string_view environment, Sequence sequence) {
  return "history/" + std::string(environment) + '/' + std::to_string(sequence);
}

std::string RetiredKey(std::string_view environment, const DocumentItem& item) {
  return "retired/" + std::string(environment) + '/' + item.kind + '/' +
         item.name;
}

}  // namespace oleandertide::acceptance
