#include <boost/beast/http/fields.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "platform/announcement_codec.h"
#include "platform/configuration_codec.h"
#include "platform/http_codec.h"
#include "platform/rollout_codec.h"
#include "platform/store_codec.h"

namespace oleandertide::platform {
namespace {

using std::chrono::milliseconds;

std::string Document(const std::string& route) {
  return R"({"version":"r12","services":[{"name":"rooms","health_path":"/health",
    "max_connections":130,"protocol":"h1","tls":false}],"limits":
    {"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"virtual_hosts":[{"host":"A.example","paths":[)" +
         route + "]}]}";
}

const std::string kRoute =
    R"({"name":"r-1","path_prefix":"/x/","kind":"download","timeout_ms":800,
    "target_latency_ms":300,"priority":2,"service":"rooms","retry_attempts":2})";

TEST_CASE("a configuration is decoded into the project's terms") {
  const auto decoded = DecodeConfiguration(Document(kRoute));
  REQUIRE(decoded.has_value());
  const mesh::Configuration& configuration = decoded.value();
  REQUIRE(configuration.version == 12);
  REQUIRE(configuration.limits.maximum_body_bytes == 1000);
  const mesh::Route* route = configuration.FindRoute("a.example", "/x/1");
  REQUIRE(route != nullptr);
  REQUIRE(route->kind == mesh::RequestKind::kDownload);
  REQUIRE(route->timeout == milliseconds(800));
  REQUIRE(route->maximum_attempts == 2);
  REQUIRE(route->services == std::vector<mesh::WeightedService>{{"rooms", 1}});
}

// Guards against a configuration that is applied in part, and against a route
// to a service that does not exist.
TEST_CASE("a wrong route makes the whole configuration an error") {
  const auto replace = [](std::string text, const std::string& from,
                          const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
  };
  REQUIRE_FALSE(DecodeConfiguration(
      Document(kRoute + "," + replace(kRoute, "rooms", "gone"))));
  REQUIRE_FALSE(
      DecodeConfiguration(Document(replace(kRoute, "download", "odd"))));
  REQUIRE_FALSE(DecodeConfiguration(Document(replace(kRoute, "/x/", "/x"))));
  REQUIRE_FALSE(DecodeConfiguration(Document(kRoute + "," + kRoute)));
  REQUIRE_FALSE(DecodeConfiguration(
      Document(replace(kRoute, "\"timeout_ms\":800", "\"timeout_ms\":\"8\""))));
  const std::string document = Document(kRoute);
  REQUIRE_FALSE(DecodeConfiguration(document.substr(0, document.size() / 2)));
  REQUIRE_FALSE(DecodeConfiguration(replace(document, "r12", "12")));
}

TEST_CASE("weighted services are decoded with their weights") {
  const auto decoded = DecodeConfiguration(Document(
      R"({"name":"r-1","path_prefix":"/x/","kind":"idempotent","timeout_ms":800,
      "target_latency_ms":300,"priority":2,"weighted_clusters":
      [{"service":"rooms","weight":90},{"service":"rooms","weight":10}],
      "retry_attempts":2})"));
  REQUIRE(decoded.has_value());
  const mesh::Route* route = decoded.value().FindRoute("a.example", "/x/");
  REQUIRE(route->services.size() == 2);
  REQUIRE(route->services[0].weight == 90);
}

const std::string kHeartbeat =
    R"({"service":"rooms","address":"10.0.0.9:8080","zone":"z","version":"v1",
    "slots":12,"state":"ready","cold_remaining_ms":500,"seq":4,
    "born":1700000000123})";

// Guards against messages of other writers that name a backend server to use.
TEST_CASE("a heartbeat with missing or wrong fields is an error") {
  const auto decoded = DecodeAnnouncement("i-1", kHeartbeat);
  REQUIRE(decoded.has_value());
  REQUIRE(decoded.value().sequence == 4);
  REQUIRE(decoded.value().started_at_ms == 1700000000123);
  REQUIRE(decoded.value().cold_remaining == milliseconds(500));
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"ready\"", "\"maybe\""},
           {"\"slots\":12", "\"slots\":\"12\""},
           {"\"slots\":12", "\"slots\":0"},
           {"\"service\":\"rooms\",", ""},
           {"\"seq\":4,", ""},
           // A sequence number of such an entry made sound ones look late.
           {"\"zone\":\"z\",", ""},
           {"\"zone\":\"z\"", "\"zone\":3"},
           {"1700000000123", "\"today\""},
           // Numbers that are no integers, or too large for one.
           {"\"seq\":4", "\"seq\":-1"},
           {"\"seq\":4", "\"seq\":1.5"},
           {"\"seq\":4", "\"seq\":1e300"},
           {"\"seq\":4", "\"seq\":1e999"},
           {"\"seq\":4", "\"seq\":18446744073709551615"},
           {"1700000000123", "-1"},
           {"1700000000123", "1e300"},
           {"1700000000123", "9223372036854775807"},
           {"1700000000123", "18446744073709551615"},
           {"\"slots\":12", "\"slots\":1.5"},
           {"\"slots\":12", "\"slots\":4294967297"},
           {"\"cold_remaining_ms\":500", "\"cold_remaining_ms\":-1"},
           {"\"cold_remaining_ms\":500", "\"cold_remaining_ms\":1e300"},
           {"\"cold_remaining_ms\":500",
            "\"cold_remaining_ms\":18446744073709551615"},
           {"\"v1\"", std::string(1'000'000, '[')},
           {"\"v1\"",
            std::string(1'000'000, '[') + std::string(1'000'000, ']')},
           {"}", ""}}) {
    std::string text = kHeartbeat;
    text.replace(text.find(from), from.size(), to);
    INFO(text.substr(0, 300));
    REQUIRE_FALSE(DecodeAnnouncement("i-1", text));
  }
  REQUIRE_FALSE(DecodeDeparture("i-1", R"({"born":18446744073709551615})"));
  REQUIRE_FALSE(DecodeDeparture("i-1", "[]"));
}

// Guards against a list that is not read any more because of one of its rows.
TEST_CASE("a damaged row does not hide the others") {
  const auto rows = DecodeRows(
      R"({"rows":[{"key":"a","value":"!","ver":1},{"key":"b","value":7,"ver":2},
      {"key":"c","ver":3},{"key":"d","value":"bm9kZS0x","ver":4}],
      "has_more":false,"ver":9,"now_ms":1})");
  REQUIRE(rows.has_value());
  REQUIRE(rows.value().rows.size() == 4);
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(rows.value().rows[i].is_damaged);
    REQUIRE(rows.value().rows[i].value.empty());
  }
  REQUIRE_FALSE(rows.value().rows[3].is_damaged);
  REQUIRE(rows.value().rows[3].value == "node-1");
}

// Guards against a key that ends the line of a request, or its parameter.
TEST_CASE("keys are written so that they may stand in a target") {
  REQUIRE(RowsTarget("t", "a b&c=%\r\n/\xc3") ==
          "/oleandertide/rows-get?table=t&part=&from="
          "a%20b%26c%3D%25%0D%0A%2F%C3");
}

std::string DocumentWithTenants(const std::string& tenants,
                                const std::string& route = kRoute) {
  std::string document = Document(route);
  document.insert(1, "\"tenants\":" + tenants + ",");
  return document;
}

TEST_CASE("organisations are decoded with their keys, limits and priority") {
  std::string route = kRoute;
  route.insert(1, R"("public":true,)");
  const auto decoded = DecodeConfiguration(DocumentWithTenants(
      R"([{"name":"alpha","api_keys":["k1","k2"],"priority":1,"rate_per_s":
      913.5,"burst":913},{"name":"beta"}])",
      route));
  REQUIRE(decoded.has_value());
  const mesh::Configuration& configuration = decoded.value();
  REQUIRE(configuration.organisations.size() == 2);
  REQUIRE(configuration.keys.Find("k2")->name == "alpha");
  REQUIRE(configuration.keys.Find("k2")->rate == 913.5);
  REQUIRE(configuration.keys.Find("k2")->priority == 1);
  REQUIRE(configuration.keys.Find("k3") == nullptr);
  REQUIRE(configuration.keys.Find("") == nullptr);
  REQUIRE_FALSE(configuration.organisations.at("beta")->priority.has_value());
  REQUIRE_FALSE(configuration.organisations.at("beta")->is_limited());
  REQUIRE(configuration.FindRoute("a.example", "/x/1")->is_public);
}

// Guards against a damaged document that puts a key in force for nobody or for
// the wrong organisation, and against keys in error messages.
TEST_CASE("bad organisations are rejected with path and without the key") {
  const std::string tenants = GENERATE(
      std::string(R"([{"name":"","api_keys":["secret-1"]}])"),
      std::string(R"([{"api_keys":["secret-1"]}])"),
      std::string(R"([{"name":7,"api_keys":["secret-1"]}])"),
      std::string(R"([{"name":"a"},{"name":"a","api_keys":["secret-1"]}])"),
      std::string(R"([{"name":"a","api_keys":["secret-1"]},
                      {"name":"b","api_keys":["x","secret-1"]}])"),
      std::string(R"([{"name":"a","api_keys":["secret-1",""]}])"),
      std::string(R"([{"name":"a","api_keys":["secret-1",3]}])"),
      std::string(R"([{"name":"a","api_keys":"secret-1"}])"),
      std::string(R"([{"name":"a","api_keys":{"secret-1":"secret-1"}}])"),
      std::string(R"([{"name":"a","api_keys":["secret-1"],"rate_per_s":-1}])"),
      std::string(R"([{"name":"a","api_keys":["secret-1"],"rate_per_s":"9"}])"),
      std::string(R"([{"name":"a","api_keys":["secret-1"],"burst":-0.5}])"),
      std::string(R"([{"name":"a","api_keys":["secret-1"],"priority":"x"}])"),
      std::string(R"(["secret-1"])"), std::string(R"({"a":"secret-1"})"),
      std::string(R"("secret-1")"));
  CAPTURE(tenants);
  const auto decoded = DecodeConfiguration(DocumentWithTenants(tenants));
  REQUIRE_FALSE(decoded.has_value());
  REQUIRE_FALSE(decoded.error().empty());
  REQUIRE(decoded.error().find("secret-1") == std::string::npos);
}

// Guards against a route that is public by a value that is no truth value.
TEST_CASE("a route whose publicity is not a truth value is rejected") {
  std::string route = kRoute;
  route.insert(1, R"("public":"no",)");
  REQUIRE_FALSE(
      DecodeConfiguration(DocumentWithTenants("[]", route)).has_value());
}

// Guards against keys that are forwarded or taken from other schemes.
TEST_CASE("the key is taken from the credentials and not forwarded") {
  const auto decode = [](std::string_view credentials) {
    boost::beast::http::fields fields;
    fields.insert("Host", "a.example");
    fields.insert("Oleandertide-Tenant", "forged");
    fields.insert("oleandertide-tenant", "forged");
    fields.insert("authorization", std::string(credentials));
    return DecodeClientRequest(fields);
  };
  REQUIRE(decode("Token k1").key == "k1");
  REQUIRE(decode("token   k1").key == "k1");
  REQUIRE(decode("Token").key.empty());
  REQUIRE(decode("Token ").key.empty());
  REQUIRE(decode("Bearer k1").key.empty());
  REQUIRE(decode("Tokenk1").key.empty());
  REQUIRE(decode("Token k1").headers == "Host: a.example\r\n");
}

// Guards against headers of one connection, or of the system, that pass
// through.
TEST_CASE("headers of a connection and of the system are not forwarded") {
  boost::beast::http::fields fields;
  fields.insert("Host", "a.example");
  fields.insert("Oleandertide-Request-Id", "abc");
  fields.insert("Oleandertide-Deadline-Ms", "800");
  fields.insert("Oleandertide-Caller-Service", "forged");
  fields.insert("oleandertide-expect-instance", "forged");
  fields.insert("Connection", "keep-alive, X-Hop");
  fields.insert("X-Hop", "1");
  fields.insert("X-Other", "2");
  fields.insert("Content-Length", "5");
  const ClientRequestHead head = DecodeClientRequest(fields);
  REQUIRE(head.request_id == "abc");
  REQUIRE(head.remaining == milliseconds(800));
  REQUIRE(head.headers ==
          "Host: a.example\r\nOleandertide-Request-Id: abc\r\nX-Other: 2\r\n");
}

// Guards against a deadline that is longer than what is left.
TEST_CASE("a request to a backend server carries what is left") {
  const std::string head =
      EncodeBackendRequest({.method = "GET",
                            .target = "/x/1",
                            .headers = "Host: a\r\n",
                            .caller_service = "rooms",
                            .organisation = {},
                            .expected_instance = "i-1",
                            .remaining = std::chrono::microseconds(799'900)});
  REQUIRE(head ==
          "GET /x/1 HTTP/1.1\r\nHost: a\r\nOleandertide-Deadline-Ms: 799\r\n"
          "Oleandertide-Expect-Instance: i-1\r\n"
          "Oleandertide-Caller-Service: rooms\r\n\r\n");
}

TEST_CASE("rows are decoded and writes carry their condition") {
  const auto rows = DecodeRows(
      R"({"rows":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","ver":4},
      {"table":"t","part":"","key":"b","ver":5,"deleted":true}],
      "has_more":false,"ver":9,"now_ms":1})");
  REQUIRE(rows.has_value());
  REQUIRE(rows.value().rows[0].value == "node-1");
  REQUIRE(rows.value().rows[1].is_deleted);
  REQUIRE(rows.value().store_version == 9);
  REQUIRE_FALSE(DecodeRows(R"({"rows":[{"key":"a","value":"!","ver":1}]})"));
  const std::string value = "node-1";
  REQUIRE(
      EncodeTransaction(
          {.table = "t", .key = "a", .expected_version = 4, .value = &value}) ==
      R"({"expected":[{"key":"a","part":"","table":"t","ver":4}],)"
      R"("remove":[],"writes":[{"key":"a","part":"","table":"t",)"
      R"("value":"bm9kZS0x"}]})");
}

// Guards against an order that is applied to another service, or whose version
// is empty and so stands for every backend server that does not tell its own.
TEST_CASE("an order to roll out a version is decoded") {
  REQUIRE(FindOrderedService("rollout/acervo") == "acervo");
  REQUIRE_FALSE(FindOrderedService("rollout/").has_value());
  REQUIRE_FALSE(FindOrderedService("config").has_value());
  const auto decoded = DecodeOrder(
      "acervo", R"({"service":"acervo","to":"v2","duration_s":12.5})",
      {.era = 2, .version = 7});
  REQUIRE(decoded.has_value());
  REQUIRE(decoded.value() ==
          rollout::Order{.service = "acervo",
                         .to = "v2",
                         .duration = milliseconds(12'500),
                         .position = {.era = 2, .version = 7}});
  for (const std::string text :
       {"", "[]", R"({"service":"provas","to":"v2","duration_s":12})",
        R"({"service":"acervo","to":"","duration_s":12})",
        R"({"service":"acervo","to":2,"duration_s":12})",
        R"({"service":"acervo","to":"v2"})",
        R"({"service":"acervo","to":"v2","duration_s":-1})"}) {
    REQUIRE_FALSE(DecodeOrder("acervo", text, {.version = 7}).has_value());
  }
}

}  // namespace
}  // namespace oleandertide::platform
