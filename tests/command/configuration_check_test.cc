#include "platform/checks/configuration_check.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/json.h"
#include "platform/checks/configuration_errors.h"
#include "platform/configuration_codec.h"

namespace oleandertide::platform {
namespace {

using Json = nlohmann::json;

Json ValidDocument() {
  const Json route = {
      {"name", "r"},        {"path_prefix", "/x/"},     {"kind", "download"},
      {"timeout_ms", 800},  {"target_latency_ms", 300}, {"priority", 2},
      {"service", "rooms"}, {"retry_attempts", 2}};
  Json weighted = route;
  weighted["path_prefix"] = "/y/";
  weighted.erase("service");
  weighted["weighted_clusters"] = {{{"service", "rooms"}, {"weight", 1}},
                                   {{"service", "books"}, {"weight", 2.5}}};
  return {
      {"version", "r12"},
      {"services",
       {{{"name", "rooms"}, {"health_path", "/h"}, {"max_connections", 130}},
        {{"name", "books"}, {"health_path", "/h"}, {"max_connections", 130}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 1000},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "alpha"},
         {"api_keys", {"secret-1", "secret-2"}},
         {"rate_per_s", 10},
         {"burst", 5}},
        {{"name", "beta"}, {"api_keys", {"secret-3"}}, {"priority", 1}}}},
      {"virtual_hosts",
       {{{"host", "a.example"}, {"paths", {route, weighted}}},
        {{"host", "b.example"}, {"paths", {route}}}}}};
}

Findings Check(const Json& document, const CheckOptions& options = {}) {
  return CheckConfiguration(document.dump(2), options);
}

bool HasError(const Findings& findings) {
  return std::ranges::any_of(findings, [](const Finding& finding) {
    return finding.severity == Severity::kError;
  });
}

Json At(const char* pointer, const Json& value) {
  Json document = ValidDocument();
  document[Json::json_pointer(pointer)] = value;
  return document;
}

// Pointers to all values of a document.
std::vector<std::string> Pointers(const Json& document) {
  std::vector<std::string> pointers;
  const Json flat = document.flatten();
  for (const auto& [pointer, value] : flat.items()) {
    for (std::string part = pointer; !part.empty();
         part.resize(part.rfind('/'))) {
      pointers.push_back(part);
    }
  }
  std::ranges::sort(pointers);
  pointers.erase(std::unique(pointers.begin(), pointers.end()), pointers.end());
  return pointers;
}

// Changes a document in one place: removes, repeats or replaces a value.
void Mutate(Json& document) {
  const auto pointers = Pointers(document);
  if (pointers.empty()) return;
  const Json::json_pointer at(*rc::gen::elementOf(pointers));
  Json& parent = document[at.parent_pointer()];
  const Json value = document[at];
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      if (parent.is_object()) {
        parent.erase(at.back());
      } else {
        parent.erase(std::stoul(at.back()));
      }
      break;
    case 1:
      if (parent.is_array()) parent.push_back(value);
      break;
    case 2:
      document[at] =
          document[Json::json_pointer(*rc::gen::elementOf(pointers))];
      break;
    default:
      document[at] =
          *rc::gen::elementOf(std::vector<Json>{0,
                                                -1,
                                                1.5,
                                                1e300,
                                                true,
                                                nullptr,
                                                "",
                                                "secret-1",
                                                "/secret-2/",
                                                "/z/",
                                                "A.Example",
                                                Json::array(),
                                                Json::object(),
                                                {{"secret-1", "secret-1"}}});
  }
}

// Guards against a check that accepts what the nodes reject or the reverse, and
// against keys in its output.
TEST_CASE("the check and the nodes' decoder agree on random documents") {
  int rejected = 0;
  int accepted = 0;
  REQUIRE(rc::check([&rejected, &accepted] {
    Json document = ValidDocument();
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) Mutate(document);
    std::string text = document.dump(*rc::gen::inRange(-1, 3));
    if (*rc::gen::inRange(0, 8) == 0) {
      text[*rc::gen::inRange<std::size_t>(0, text.size())] =
          *rc::gen::element('"', '}', ',', '\\', '\n', '\xff', '9');
    }
    const Findings findings = CheckConfiguration(text, {.memory_mb = 160});
    const bool is_accepted = platform::DecodeConfiguration(text).has_value();
    ++(is_accepted ? accepted : rejected);
    RC_ASSERT(HasError(findings) == !is_accepted);
    const auto lines =
        static_cast<std::size_t>(std::ranges::count(text, '\n')) + 1;
    std::string printed;
    for (const Finding& finding : findings) {
      RC_ASSERT(finding.line >= 1);
      RC_ASSERT(finding.line <= lines);
      RC_ASSERT(finding.column >= 1);
      printed += finding.path + '\n' + finding.message + '\n';
    }
    if (is_accepted) {
      for (const Change& change :
           CompareConfigurations(ValidDocument().dump(), text)) {
        printed += change.name + '\n' + change.detail + '\n';
      }
    }
    // A text that was a key before the mutations may have become a name.
    const KeySet keys(ParseJson(text).value_or(Json()));
    for (const std::string& key : keys.keys()) {
      if (!key.starts_with("secret")) continue;
      RC_ASSERT(printed.find(key) == std::string::npos);
    }
  }));
  // Without both outcomes the property would say nothing.
  REQUIRE(rejected > 10);
  REQUIRE(accepted > 10);
}

// Guards against errors that send the operator to the wrong place.
TEST_CASE("an error has the path of the member that the decoder rejects") {
  struct Case {
    const char* pointer;
    Json value;
    const char* path;
  };
  const Case wrong = GENERATE(values<Case>({
      {"/version", 12, "version"},
      {"/services/1/max_connections", -1, "services[1].max_connections"},
      {"/limits/idle_timeout_ms", "x", "limits.idle_timeout_ms"},
      {"/tenants/1/priority", "x", "tenants[1].priority"},
      {"/tenants/1/name", "alpha", "tenants[1].name"},
      {"/tenants/1/api_keys/0", "secret-1", "tenants[1].api_keys"},
      {"/virtual_hosts/1/host", 1, "virtual_hosts[1].host"},
      {"/virtual_hosts/0/paths/1/kind", "odd",
       "virtual_hosts[0].paths[1].kind"},
      {"/virtual_hosts/1/paths/0/service", "gone",
       "virtual_hosts[1].paths[0].service"},
      {"/virtual_hosts/0/paths/1/weighted_clusters/1/weight", -1,
       "virtual_hosts[0].paths[1].weighted_clusters"},
      {"/virtual_hosts/0/paths/1/path_prefix", "/x/",
       "virtual_hosts[0].paths[1].path_prefix"},
  }));
  CAPTURE(wrong.pointer);
  const Findings findings = Check(At(wrong.pointer, wrong.value));
  REQUIRE(findings.size() == 1);
  REQUIRE(findings[0].path == wrong.path);
}

TEST_CASE("errors have line and column") {
  const Findings syntax = CheckConfiguration("{\n  \"version\": ]\n}", {});
  REQUIRE(syntax.size() == 1);
  REQUIRE(syntax[0].line == 2);
  REQUIRE(syntax[0].column == 14);
  const Findings value = CheckConfiguration(
      "{\"services\": [],\n \"virtual_hosts\": [],\n \"version\": \"12\"}", {});
  REQUIRE(value.size() == 1);
  REQUIRE(value[0].line == 3);
  REQUIRE(value[0].column == 13);
  const Findings deep = CheckConfiguration(
      "\n" + std::string(40, '[') + std::string(40, ']'), {});
  REQUIRE(deep[0].line == 2);
  REQUIRE(deep[0].column == kMaxJsonDepth + 1);
}

// Guards against entries without effect that go unnoticed.
TEST_CASE("contradictions and entries without effect are warnings") {
  struct Case {
    const char* pointer;
    Json value;
    const char* rule;
  };
  const Case wrong = GENERATE(values<Case>({
      {"/virtual_hosts/1/host", "A.Example:80", "never-matches"},
      {"/virtual_hosts/1/paths/0/path_prefix", "/a?b/", "never-matches"},
      {"/virtual_hosts/0/paths/1/weighted_clusters/0/weight", 0, "zero-weight"},
      {"/services/1/max_connections", 0, "no-capacity"},
      {"/virtual_hosts/1/paths/0/target_latency_ms", 801,
       "timeout-below-target"},
      {"/virtual_hosts/1/paths/0/timeout_ms", 5751, "timeout-beyond-stop"},
      {"/tenants/0/rate_per_s", 0, "burst-without-rate"},
      {"/limits/header_timeout_ms", 15001, "header-timeout-above-idle"},
      {"/limits/max_body_bytes", 136'000'000, "body-above-memory"},
      {"/virtual_hosts/1/paths/0/newer", 1, "ignored-field"},
  }));
  CAPTURE(wrong.pointer);
  const Findings findings =
      Check(At(wrong.pointer, wrong.value), {.memory_mb = 160});
  REQUIRE(findings.size() == 1);
  REQUIRE(findings[0].rule == wrong.rule);
  REQUIRE(findings[0].severity == Severity::kWarning);
  REQUIRE(Check(ValidDocument(), {.memory_mb = 160}).empty());
}

TEST_CASE("services that are unused or named twice are warnings") {
  Json document = ValidDocument();
  document["services"].push_back(
      {{"name", "idle"}, {"health_path", "/"}, {"max_connections", 1}});
  document["services"].push_back(document["services"][0]);
  document["virtual_hosts"].push_back(
      {{"host", "A.EXAMPLE"}, {"paths", Json::array()}});
  const Findings findings = Check(document);
  REQUIRE(findings.size() == 3);
  REQUIRE(findings[0].path == "services[2].name");
  REQUIRE(findings[1].rule == "duplicate-service");
  REQUIRE(findings[2].rule == "duplicate-host");
}

// Guards against a removed key that is listed late or not at all.
TEST_CASE("removed keys come first and are named by number") {
  Json after = ValidDocument();
  after["tenants"][0]["api_keys"] = {"secret-4", "secret-1"};
  after["tenants"][0]["rate_per_s"] = 20;
  after["limits"]["max_body_bytes"] = 2000;
  after["services"][0]["max_connections"] = 100;
  after["virtual_hosts"][1]["paths"][0]["timeout_ms"] = 900;
  after["virtual_hosts"][0]["paths"].erase(1);
  std::vector<std::string> lines;
  for (const Change& change :
       CompareConfigurations(ValidDocument().dump(), after.dump())) {
    lines.push_back(change.change + ' ' + change.kind + ' ' + change.name +
                    ' ' + change.detail);
  }
  REQUIRE(lines == std::vector<std::string>{
                       "removed key alpha number 2 ",
                       "changed organisation alpha rate_per_s 10 -> 20",
                       "removed route a.example/y/ ",
                       "changed route b.example/x/ timeout_ms 800 -> 900",
                       "changed service rooms max_connections 130 -> 100",
                       "changed limit max_body_bytes value 1000 -> 2000",
                       "added key alpha number 1 "});
  after = ValidDocument();
  after["tenants"][0]["api_keys"] = {"secret-1"};
  after["tenants"][1]["api_keys"] = {"secret-3", "secret-2"};
  const Changes moved =
      CompareConfigurations(ValidDocument().dump(), after.dump());
  REQUIRE(moved.size() == 1);
  REQUIRE(moved[0].change == "moved");
  REQUIRE(moved[0].detail == "to beta");
}

// Guards against a place in the product's document that is not that of the
// entry.
TEST_CASE("errors of a document have section, key and column") {
  const Findings findings = CheckDocument(
      "[document]\nformat = 1\n[service rooms]\n[route slots]\n"
      "service = rooms\npath = /rooms\n methods = ODD\nclass = lookup\n",
      "document.ini");
  REQUIRE(findings.size() == 1);
  REQUIRE(findings[0].path == "route slots.methods");
  REQUIRE(findings[0].line == 7);
  REQUIRE(findings[0].column == 2);
}

}  // namespace
}  // namespace oleandertide::platform
