#include "config/document.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "sample_document.h"

namespace oleandertide::config {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

// Returns the formatted errors, or "" if the text is accepted.
std::string ErrorsOf(std::string_view text) {
  const auto document = Document::Parse(text, "test.ini");
  return document ? "" : ToString(document.error());
}

// Returns the errors of the sample document after a replacement.
std::string ErrorsAfter(std::string_view from, std::string_view to) {
  std::string text(kSampleDocument);
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return ErrorsOf(text.replace(at, from.size(), to));
}

// Guards against values that are lost or defaults that differ from the page.
TEST_CASE("a valid document is read completely") {
  const Document document = ParseValid(kSampleDocument);
  REQUIRE(document.services().size() == 2);
  REQUIRE(document.routes().size() == 2);
  const Route& book = document.routes()[0];
  REQUIRE(book.name == "book");
  REQUIRE(book.methods == std::vector{Method::kPost});
  REQUIRE(book.route_class == RouteClass::kBooking);
  REQUIRE_FALSE(book.is_repeatable);
  REQUIRE(book.timeout == Duration(seconds(3)));
  const Route& slots = document.routes()[1];
  REQUIRE(slots.is_repeatable);
  REQUIRE_FALSE(slots.timeout);
  const Job& job = document.jobs()[0];
  REQUIRE(job.every == Duration(hours(24)));
  REQUIRE(job.offset == Duration(hours(4)));
  REQUIRE(job.missed == Missed::kRunLatest);
}

// Guards against an editor's line ends that become part of the values.
TEST_CASE("lines may end in CR LF") {
  std::string text;
  for (const char c : kSampleDocument)
    text += c == '\n' ? "\r\n" : std::string(1, c);
  REQUIRE(ParseValid(text) == ParseValid(kSampleDocument));
}

// Guards against a written document that means something else.
TEST_CASE("a written document reads as the same document") {
  const Document document = ParseValid(kSampleDocument);
  REQUIRE(ParseValid(document.ToText()) == document);
}

// Guards against an invalid document that is accepted, and against an error
// that names the wrong line or does not say what is allowed.
TEST_CASE("each error has file, line, key and what is allowed") {
  struct Case {
    std::string from;
    std::string to;
    std::string error;
  };
  const Case example = GENERATE(values<Case>({
      {"format = 1", "format = 2", "test.ini:3: format: '2' is not allowed"},
      {"[document]", "[docment]", "test.ini:2: docment: unknown section"},
      {"[service rooms]", "[service booking]",
       "test.ini:6: service booking: duplicate section"},
      {"[service rooms]", "[service Rooms]", "test.ini:6: service Rooms: "},
      {"[service rooms]", "[service rooms", "malformed section"},
      {"class = lookup", "klass = lookup", "test.ini:12: klass: unknown key"},
      {"class = lookup", "klass = lookup",
       "test.ini:8: class: missing in [route slots]"},
      {"class = lookup", "path = /x", "test.ini:12: path: duplicate key"},
      {"class = lookup", "class: lookup", "test.ini:12: class: lookup: "},
      {"class = lookup", "class = read",
       "allowed is lookup | booking | payment | order"},
      {"timeout = 3s", "timeout = 3", "test.ini:19: timeout: '3'"},
      {"timeout = 3s", "timeout = 3 days", "test.ini:19: timeout: '3 days'"},
      {"timeout = 3s", "timeout = 0s", "from 1ms to 1h"},
      {"timeout = 3s", "timeout = 99999999999999999999h", "from 1ms to 1h"},
      {"timeout = 3s", "timeout = 3s\nrepeatable = yes", "true or false"},
      {"service = rooms", "service = songs", "there is no service 'songs'"},
      {"route = book", "route = gone", "test.ini:22: route: there is no route"},
      {"offset = 4h", "offset = 24h", "less than every = 24h"},
      {"every = 24h", "every = 1500ms", "in steps of 1s"},
      {"path = /rooms\n", "path = rooms\n", "begins with '/'"},
      {"path = /rooms\n", "path = /rooms/\n", "empty segments"},
      {"path = /rooms\n", "path = /a/../b\n", "begins with '/'"},
      {"methods = POST", "methods = POST, POST", "different methods"},
      {"methods = POST", "methods = post", "different methods"},
      {"methods = POST\n", "methods = GET\npath = /rooms\n", "duplicate key"},
      {"path = /rooms/bookings\nmethods = POST", "path = /rooms\nmethods = GET",
       "route 'slots' has GET /rooms too"},
      {"[document]", "x = 1\n[document]", "entry before the first section"},
      {"[document]", "garbage\n[document]", "test.ini:2: garbage: malformed"},
      {"[document]", "\x01\n[document]", "control character"},
      {"rooms\n", "rooms\n\xc3\xa9 = 1\n", "character outside ASCII"},
      {"; karaoke", std::string(513, ';'), "at most 512 bytes"},
  }));
  CAPTURE(example.from, example.to);
  REQUIRE_THAT(ErrorsAfter(example.from, example.to),
               Catch::Matchers::Contains(example.error));
}

// Guards against a run that stops at the first error.
TEST_CASE("all errors of a document are reported in one run") {
  const auto document = Document::Parse(
      "[document]\nformat = 1\n[route a]\nservice = b\npath = x\n"
      "methods = GET\nclass = c\nzone = d\n[job e]\nroute = f\nevery = 5\n",
      "test.ini");
  REQUIRE_FALSE(document);
  std::vector<std::size_t> lines;
  for (const Diagnostic& error : document.error()) lines.push_back(error.line);
  REQUIRE(lines == std::vector<std::size_t>{4, 5, 7, 8, 10, 11});
}

// Guards against lines that the INI library would split at its own limit.
TEST_CASE("a line of 512 bytes is read as a whole") {
  std::string comment = "class = lookup ;";
  comment.resize(512, 'x');
  REQUIRE(ErrorsAfter("class = lookup", comment).empty());
  comment.resize(513, 'x');
  REQUIRE_FALSE(ErrorsAfter("class = lookup", comment).empty());
}

// Guards against names that the INI library would cut after 49 characters.
TEST_CASE("names may have 64 characters and no more") {
  const std::string name(64, 'n');
  REQUIRE(ErrorsAfter("[service rooms]", "[service rooms]\n[service " + name +
                                             "]\n[service " + name.substr(1) +
                                             "]")
              .empty());
  REQUIRE_FALSE(
      ErrorsAfter("[service rooms]", "[service rooms]\n[service " + name + "n]")
          .empty());
}

// Guards against a document that exceeds the size that nodes are built for.
TEST_CASE("the limits of a document are enforced") {
  std::string text = "[document]\nformat = 1\n";
  for (std::size_t i = 0; i < kMaximumServices; ++i) {
    text += "[service s" + std::to_string(i) + "]\n";
  }
  REQUIRE(ErrorsOf(text).empty());
  REQUIRE_THAT(ErrorsOf(text + "[service more]\n"),
               Catch::Matchers::Contains("at most 1000 are allowed"));
  text.resize((1 << 20) + 1, '\n');
  REQUIRE(ErrorsOf(text) ==
          "test.ini:1: text: text of 1048577 bytes, at most 1 MiB is "
          "allowed\n");
  text.pop_back();
  REQUIRE(ErrorsOf(text).empty());
}

// Guards against memory that grows with the number of errors.
TEST_CASE("the list of errors is bounded") {
  std::string text;
  for (std::size_t i = 0; i < kMaximumDiagnostics + 5; ++i) text += "x\n";
  const auto document = Document::Parse(text, "test.ini");
  REQUIRE(document.error().size() == kMaximumDiagnostics + 1);
  REQUIRE_THAT(document.error().back().message,
               Catch::Matchers::StartsWith("6 more errors"));
}

}  // namespace
}  // namespace oleandertide::config
