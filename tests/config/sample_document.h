// Documents that several tests of the package use.

#ifndef OLEANDERTIDE_TESTS_CONFIG_SAMPLE_DOCUMENT_H_
#define OLEANDERTIDE_TESTS_CONFIG_SAMPLE_DOCUMENT_H_

#include <catch2/catch.hpp>
#include <string_view>
#include <utility>

#include "config/document.h"

namespace oleandertide::config {

inline constexpr std::string_view kSampleDocument = R"(; karaoke rooms
[document]
format = 1

[service booking]
[service rooms]

[route slots]
service = rooms
path = /rooms
methods = GET, HEAD
class = lookup

[route book]
service = booking
path = /rooms/bookings
methods = POST
class = booking
timeout = 3s

[job nightly-close]
route = book
every = 24h
offset = 4h
missed = run-latest
)";

// Precondition: `text` is a valid document.
inline Document ParseValid(std::string_view text) {
  auto document = Document::Parse(text, "test.ini");
  if (!document) FAIL(ToString(document.error()));
  return std::move(document).value();
}

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_TESTS_CONFIG_SAMPLE_DOCUMENT_H_
