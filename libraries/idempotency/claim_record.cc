#include "idempotency/claim_record.h"

#include <absl/strings/escaping.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "core/hash.h"
#include "core/json.h"

namespace oleandertide::idempotency {
namespace {

using Json = nlohmann::json;

// The end of the year 9999, in seconds since the Unix epoch.
constexpr std::int64_t kMaxSeconds = 253'402'300'799;

constexpr std::string_view kStateNames[] = {"claimed", "completed", "released"};

std::string_view StateName(ClaimState state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

Result<ClaimState> ParseState(std::string_view name) {
  for (const ClaimState state :
       {ClaimState::kClaimed, ClaimState::kCompleted, ClaimState::kReleased}) {
    if (StateName(state) == name) return state;
  }
  return Error::kDataDamaged;
}

// Escapes arbitrary bytes to valid UTF-8. Printable ASCII stays readable.
std::string EscapeText(const std::string& text) { return absl::CEscape(text); }

Result<std::string> UnescapeText(const std::string& text) {
  std::string plain;
  if (!absl::CUnescape(text, &plain)) return Error::kDataDamaged;
  return plain;
}

Json EncodeAnswer(const Answered& answer) {
  Json headers = Json::array();
  for (const auto& [name, value] : answer.headers) {
    headers.push_back(Json::array({EscapeText(name), EscapeText(value)}));
  }
  return Json{{"status", answer.status},
              {"headers", std::move(headers)},
              {"body", absl::Base64Escape(answer.body)}};
}

Result<Answered> DecodeAnswer(const Json& json) {
  Answered answer;
  OLEANDERTIDE_TRY(status, ReadInteger(json, "status", 100, 999));
  answer.status = static_cast<int>(status);
  for (const Json& header : json.at("headers")) {
    OLEANDERTIDE_TRY(name, UnescapeText(header.at(0).get<std::string>()));
    OLEANDERTIDE_TRY(value, UnescapeText(header.at(1).get<std::string>()));
    answer.headers.emplace_back(std::move(name), std::move(value));
  }
  if (!absl::Base64Unescape(json.at("body").get<std::string>(), &answer.body)) {
    return Error::kDataDamaged;
  }
  return answer;
}

// Throws nlohmann::json exceptions on missing fields and wrong types.
Result<ClaimRecord> DecodeFields(const Json& json) {
  ClaimRecord record;
  OLEANDERTIDE_TRY(key, UnescapeText(json.at("key").get<std::string>()));
  record.key = std::move(key);
  OLEANDERTIDE_TRY(fingerprint, ReadUnsigned(json, "fingerprint"));
  record.fingerprint = fingerprint;
  OLEANDERTIDE_TRY(token, ReadUnsigned(json, "token"));
  record.token = token;
  OLEANDERTIDE_TRY(claimant, ReadUnsigned(json, "claimant"));
  record.claimant = claimant;
  OLEANDERTIDE_TRY(state, ParseState(json.at("state").get<std::string>()));
  record.state = state;
  OLEANDERTIDE_TRY(changed, ReadInteger(json, "changed", 0, kMaxSeconds));
  record.changed = WallTime(std::chrono::seconds(changed));
  if (json.contains("answer")) {
    OLEANDERTIDE_TRY(answer, DecodeAnswer(json.at("answer")));
    record.answer = std::move(answer);
  }
  return record;
}

ClaimRecord NewClaim(const ClaimRequest& request, WallTime now) {
  return ClaimRecord{.key = request.key,
                     .fingerprint = request.fingerprint,
                     .token = request.token,
                     .claimant = request.claimant,
                     .state = ClaimState::kClaimed,
                     .answer = std::nullopt,
                     .changed = now};
}

bool IsHeldBy(const ClaimRecord& row, std::string_view key,
              std::uint64_t token) {
  return row.key == key && row.token == token;
}

}  // namespace

std::string ClaimRowKey(std::string_view environment, std::string_view key) {
  std::string row_key = "claim/";
  row_key.append(environment).append("/").append(ContentDigest(key));
  return row_key;
}

std::string EncodeClaimRecord(const ClaimRecord& record) {
  Json json{{"key", EscapeText(record.key)},
            {"fingerprint", record.fingerprint},
            {"token", record.token},
            {"claimant", record.claimant},
            {"state", StateName(record.state)},
            {"changed", record.changed.time_since_epoch().count()}};
  if (record.answer) json["answer"] = EncodeAnswer(*record.answer);
  return json.dump();
}

Result<ClaimRecord> DecodeClaimRecord(std::string_view value) {
  const auto json = ParseJson(value);
  if (!json || !json->is_object()) return Error::kDataDamaged;
  try {
    return DecodeFields(*json);
  } catch (const Json::exception&) {
    return Error::kDataDamaged;
  }
}

std::size_t AnswerBytes(const Answered& answer) {
  std::size_t bytes = answer.body.size();
  for (const auto& [name, value] : answer.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

ClaimDecision DecideClaim(const std::optional<ClaimRecord>& row,
                          const ClaimRequest& request, WallTime now) {
  if (!row) return NewClaim(request, now);
  if (row->key != request.key || row->fingerprint != request.fingerprint) {
    return ClaimResult(KeyReused{});
  }
  const bool is_same_token = row->token == request.token;
  const bool is_same_attempt =
      is_same_token && row->claimant == request.claimant;
  switch (row->state) {
    case ClaimState::kCompleted:
      if (row->answer) return ClaimResult(*row->answer);
      return ClaimResult(AnswerNotKept{});
    case ClaimState::kReleased:
      // A duplicate claim message that arrived after the attempt ended.
      if (is_same_attempt) return ClaimResult(StoreUnavailable{});
      return NewClaim(request, now);
    case ClaimState::kClaimed:
      if (is_same_attempt) return ClaimResult(Granted{});
      if (is_same_token) return NewClaim(request, now);
      return ClaimResult(AlreadyRunning{});
  }
  return ClaimResult(AlreadyRunning{});
}

std::optional<ClaimRecord> DecideCompletion(
    const std::optional<ClaimRecord>& row, const Completion& completion,
    WallTime now) {
  if (!row || !IsHeldBy(*row, completion.key, completion.token)) {
    return std::nullopt;
  }
  if (row->state == ClaimState::kCompleted) return std::nullopt;
  ClaimRecord record = *row;
  record.state = ClaimState::kCompleted;
  record.changed = now;
  if (completion.answer &&
      AnswerBytes(*completion.answer) <= kMaximumAnswerBytes) {
    record.answer = completion.answer;
  }
  return record;
}

std::optional<ClaimRecord> DecideRelease(const std::optional<ClaimRecord>& row,
                                         const Release& release, WallTime now) {
  if (!row || !IsHeldBy(*row, release.key, release.token)) return std::nullopt;
  if (row->claimant != release.claimant) return std::nullopt;
  if (row->state != ClaimState::kClaimed) return std::nullopt;
  ClaimRecord record = *row;
  record.state = ClaimState::kReleased;
  record.changed = now;
  return record;
}

ClaimRecord WithdrawnClaim(const ClaimRequest& request, WallTime now) {
  ClaimRecord record = NewClaim(request, now);
  record.state = ClaimState::kReleased;
  return record;
}

}  // namespace oleandertide::idempotency
