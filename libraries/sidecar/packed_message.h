// Payloads that are one packed Cap'n Proto message.

#ifndef OLEANDERTIDE_SIDECAR_PACKED_MESSAGE_H_
#define OLEANDERTIDE_SIDECAR_PACKED_MESSAGE_H_

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oleandertide::sidecar {

// Thread-safe.
inline std::string WritePacked(capnp::MessageBuilder& message) {
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Returns what `read` makes of the root of the payload; nothing if that is
// malformed or has more than `max_words`. Thread-safe.
template <typename Root, typename Read>
auto ReadPacked(std::string_view payload, std::uint64_t max_words, Read read)
    -> std::optional<decltype(read(typename Root::Reader()))> {
  std::optional<decltype(read(typename Root::Reader()))> result;
  const auto exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_words;
    capnp::PackedMessageReader reader(stream, options);
    result = read(reader.template getRoot<Root>());
  });
  if (exception != nullptr) return std::nullopt;
  return result;
}

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_PACKED_MESSAGE_H_
