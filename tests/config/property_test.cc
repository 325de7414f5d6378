// Property tests. Each runs 100 cases; CTest fixes the seed.

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "config/command_settings.h"
#include "config/difference.h"
#include "config/ini_reader.h"
#include "config/node_settings.h"
#include "config/snapshot.h"
#include "sample_document.h"
#include "sample_settings.h"

namespace oleandertide::config {
namespace {

constexpr std::string_view kDigest = "99aa06d3014798d86001c324468d497f";

// Pieces that reach more of the readers than random bytes do.
const std::vector<std::string> kPieces = {"[",
                                          "]",
                                          "=",
                                          ":",
                                          " ",
                                          "\n",
                                          "\r\n",
                                          "\t",
                                          ";",
                                          "#",
                                          "\"",
                                          "[document]",
                                          "format",
                                          "1",
                                          "[route a",
                                          "[job b]",
                                          "service",
                                          "path = /",
                                          "methods",
                                          "GET, ",
                                          "class",
                                          "[service",
                                          "timeout",
                                          "99999999999h",
                                          "-1",
                                          "0s",
                                          "[peers]",
                                          "fanout",
                                          "\xef\xbb\xbf",
                                          "\xff",
                                          "127.0.0.1:80",
                                          "[::1]:0",
                                          "1.5",
                                          "nan",
                                          "\n\n",
                                          "[node]"};

rc::Gen<std::string> RandomText() {
  return rc::gen::oneOf(
      rc::gen::arbitrary<std::string>(),
      rc::gen::map(rc::gen::container<std::vector<std::string>>(
                       rc::gen::elementOf(kPieces)),
                   [](const std::vector<std::string>& pieces) {
                     std::string text;
                     for (const std::string& piece : pieces) text += piece;
                     return text;
                   }));
}

// Applies one to three random changes of a byte, a piece or a line.
std::string Mutate(std::string text) {
  const int changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const std::size_t line_start = text.rfind('\n', at) + 1;
    const std::size_t line_end = std::min(text.find('\n', at), text.size() - 1);
    const std::string line = text.substr(line_start, line_end + 1 - line_start);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 8));
        break;
      case 2:
        text.insert(at, *rc::gen::elementOf(kPieces));
        break;
      case 3:
        text.insert(line_start, line);
        break;
      case 4:
        text.erase(line_start, line.size());
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

// Requires that there is at least one error and that each can be located.
void CheckDiagnostics(const Diagnostics& errors, std::string_view text) {
  const auto lines =
      static_cast<std::size_t>(std::ranges::count(text, '\n')) + 1;
  RC_ASSERT(!errors.empty());
  RC_ASSERT(std::ranges::is_sorted(errors, {}, &Diagnostic::line));
  for (const Diagnostic& error : errors) {
    RC_ASSERT(error.file == "test.ini");
    RC_ASSERT(error.line >= 1 && error.line <= lines);
    RC_ASSERT(!error.key.empty());
    RC_ASSERT(!error.message.empty());
    RC_ASSERT(ToString(error).find('\n') == std::string::npos);
  }
}

// Requires that the document holds what its users rely on without a check.
void CheckDocument(const Document& document) {
  const auto services = document.services();
  const auto routes = document.routes();
  for (const Route& route : routes) {
    RC_ASSERT(std::ranges::count(services, route.service, &Service::name) == 1);
    RC_ASSERT(std::ranges::count(routes, route.name, &Route::name) == 1);
    RC_ASSERT(route.path.starts_with('/'));
    RC_ASSERT(!route.methods.empty());
  }
  for (const Job& job : document.jobs()) {
    RC_ASSERT(std::ranges::count(routes, job.route, &Route::name) == 1);
    RC_ASSERT(job.every >= std::chrono::seconds(1));
    RC_ASSERT(job.offset < job.every);
  }
  const auto again = Document::Parse(document.ToText(), "again.ini");
  RC_ASSERT(again.has_value());
  RC_ASSERT(again.assume_value() == document);
}

void CheckDocumentText(const std::string& text) {
  const auto document = Document::Parse(text, "test.ini");
  if (document) {
    CheckDocument(document.value());
  } else {
    CheckDiagnostics(document.error(), text);
  }
}

void CheckSettingsText(const std::string& text) {
  if (const auto settings = NodeSettings::Parse(text, "test.ini")) {
    // Every value was set, those of missing keys to their defaults.
    RC_ASSERT(!settings.value().node.environment.empty());
    RC_ASSERT(settings.value().listen.peers.port != 0);
    RC_ASSERT(settings.value().peers.fanout >= 1);
    RC_ASSERT(settings.value().once.commit_interval > Duration(0));
    RC_ASSERT(!settings.value().log.level.empty());
  } else {
    CheckDiagnostics(settings.error(), text);
  }
  if (const auto settings = CommandSettings::Parse(text, "test.ini");
      !settings) {
    CheckDiagnostics(settings.error(), text);
  }
}

// Guards against crashes and errors without a line on arbitrary input.
TEST_CASE("random text gives a document or located errors") {
  REQUIRE(rc::check([] { CheckDocumentText(*RandomText()); }));
  REQUIRE(rc::check([] { CheckSettingsText(*RandomText()); }));
}

// Guards against a damaged document that is accepted in part.
TEST_CASE("a mutated document is accepted as a whole or not at all") {
  REQUIRE(rc::check(
      [] { CheckDocumentText(Mutate(std::string(kSampleDocument))); }));
}

TEST_CASE("mutated settings are accepted as a whole or not at all") {
  REQUIRE(rc::check(
      [] { CheckSettingsText(Mutate(std::string(kSampleSettings))); }));
}

// Guards against a line of the text that is neither read nor reported.
TEST_CASE("a broken line in a valid document is always reported") {
  REQUIRE(rc::check([] {
    std::string text(kSampleDocument);
    const auto line = *rc::gen::inRange<std::size_t>(
        1, static_cast<std::size_t>(std::ranges::count(text, '\n')) + 1);
    std::size_t at = 0;
    for (std::size_t i = 1; i < line; ++i) at = text.find('\n', at) + 1;
    text.insert(at, *rc::gen::element<std::string>("x\n", "x = 1\n", "[x y]\n",
                                                   "\x01\n", "=\n"));
    const auto document = Document::Parse(text, "test.ini");
    RC_ASSERT(!document.has_value());
    RC_ASSERT(std::ranges::count(document.error(), line, &Diagnostic::line) >=
              1);
  }));
}

// Returns a path of up to four segments of few names, so that paths overlap.
rc::Gen<std::string> RandomPath() {
  return rc::gen::map(
      rc::gen::resize(4, rc::gen::container<std::vector<std::string>>(
                             rc::gen::element<std::string>("/a", "/b", "/ab"))),
      [](const std::vector<std::string>& segments) {
        std::string path;
        for (const std::string& segment : segments) path += segment;
        return path.empty() ? "/" : path;
      });
}

// Builds a valid document; a route that overlaps an earlier one is left out.
Document RandomDocument() {
  std::string text = "[document]\nformat = 1\n[service s]\n";
  std::vector<std::string> taken;
  const auto paths =
      *rc::gen::container<std::vector<std::string>>(RandomPath());
  for (const std::string& path : paths) {
    const auto method = *rc::gen::element<std::string>("GET", "POST");
    if (std::ranges::count(taken, method + path) > 0) continue;
    taken.push_back(method + path);
    text += "[route r" + std::to_string(taken.size());
    text += "]\nservice = s\npath = " + path;
    text += "\nmethods = " + method;
    text += "\nclass = " + *rc::gen::element<std::string>("lookup", "order");
    text += '\n';
  }
  return ParseValid(text);
}

// Decides by definition whether a route takes a request.
bool IsMatch(const Route& route, std::string_view method,
             std::string_view path) {
  const std::string prefix = route.path == "/" ? "" : route.path;
  return path.find("//") == std::string_view::npos &&
         ToString(route.methods) == method && path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

// Guards against a look-up that differs from the definition of the match.
TEST_CASE("FindRoute equals a search of all routes") {
  REQUIRE(rc::check([] {
    const auto snapshot =
        Snapshot::Compile(1, kDigest, RandomDocument()).value();
    for (int i = 0; i < 20; ++i) {
      const auto method = *rc::gen::element<std::string>("GET", "POST");
      const std::string path =
          *RandomPath() + *rc::gen::element<std::string>("", "/", "x", "/a");
      const Route* expected = nullptr;
      for (const Route& route : snapshot->routes()) {
        if (IsMatch(route, method, path) &&
            (expected == nullptr ||
             route.path.size() > expected->path.size())) {
          expected = &route;
        }
      }
      RC_ASSERT(snapshot->FindRoute(method, path) == expected);
    }
  }));
}

// Guards against an item that is missing from one side of a difference.
TEST_CASE("a difference and its reverse agree") {
  REQUIRE(rc::check([] {
    const Document first = RandomDocument();
    const Document second = RandomDocument();
    const auto there = Difference::Between(first, second);
    const auto back = Difference::Between(second, first);
    RC_ASSERT(there.added == back.removed);
    RC_ASSERT(there.removed == back.added);
    RC_ASSERT(there.changed.size() == back.changed.size());
    RC_ASSERT(there.is_empty() == (first == second));
    RC_ASSERT(first.routes().size() + there.added.size() ==
              second.routes().size() + there.removed.size());
  }));
}

}  // namespace
}  // namespace oleandertide::config
