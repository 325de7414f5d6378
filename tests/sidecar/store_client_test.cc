// Calls to the store whose answers are broken.

#include "sidecar/store_client.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "sidecar/raw_server.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;

// A client of a store that answers every call with the same bytes.
class Fixture {
 public:
  explicit Fixture(const std::string& bytes)
      : server_(loop_, [bytes](const RawRequest& /*request*/) {
          return RawReply{.bytes = bytes};
        }) {}

  std::error_code Write() {
    std::optional<std::error_code> error;
    const std::string value = "value";
    client_.Write({.table = "table", .key = "key", .value = &value},
                  [&error](const Result<platform::WriteReceipt>& receipt) {
                    error = receipt ? std::error_code() : receipt.error();
                  });
    return Await(error);
  }

  std::error_code Read() {
    std::optional<std::error_code> error;
    client_.ReadRows("table", {}, [&error](const auto& rows) {
      error = rows ? std::error_code() : rows.error();
    });
    return Await(error);
  }

 private:
  std::error_code Await(const std::optional<std::error_code>& error) {
    while (!error) {
      loop_.restart();
      loop_.run_one_for(milliseconds(100));
    }
    return *error;
  }

  EventLoop loop_{1};
  RawServer server_;
  NodeMetrics metrics_;
  coordination::StoreClock clock_;
  StoreClient client_{loop_, server_.endpoint(), "store", metrics_, clock_};
};

// Guards against a node that takes its row for written although the store has
// told nothing.
TEST_CASE("a write whose answer is malformed may not have been performed") {
  const std::string bytes = GENERATE(
      "no answer in the protocol\r\n\r\n",
      "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nA Name: 1\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n{}\r\n");
  Fixture fixture(bytes);
  REQUIRE(fixture.Write() == make_error_code(Error::kOutcomeUnknown));
  REQUIRE(fixture.Read() == make_error_code(Error::kDataDamaged));
}

TEST_CASE("a write that the store acknowledges unreadably was performed") {
  Fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone");
  REQUIRE(fixture.Write() == make_error_code(Error::kDataDamaged));
  REQUIRE(fixture.Read() == make_error_code(Error::kDataDamaged));
}

}  // namespace
}  // namespace oleandertide::sidecar
