// Encodes and decodes the coordination messages on limits of organisations.

#ifndef OLEANDERTIDE_SIDECAR_LIMITS_CODEC_H_
#define OLEANDERTIDE_SIDECAR_LIMITS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "organisations/limit_messages.h"

namespace oleandertide::sidecar {

// Payloads in Cap'n Proto's packed encoding. Thread-safe.
std::string EncodeTokenRequest(const organisations::TokenRequest& request);
std::string EncodeTokenGrant(const organisations::TokenGrant& grant);

// Nothing if the payload is malformed. Thread-safe.
std::optional<organisations::TokenRequest> DecodeTokenRequest(
    std::string_view payload);
std::optional<organisations::TokenGrant> DecodeTokenGrant(
    std::string_view payload);

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_LIMITS_CODEC_H_
