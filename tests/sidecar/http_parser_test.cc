// Messages that are cut, spoiled or in pieces.

#include "sidecar/http_parser.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <string_view>

#include "support/property.h"

namespace oleandertide::sidecar {
namespace {

constexpr HttpMessageLimits kLimits = {.head_bytes = 65'535,
                                       .body_bytes = 100'000};

class MessageMaker {
 public:
  explicit MessageMaker(std::uint64_t seed) : random_(seed) {}

  // Returns a number from 0 to `limit` - 1.
  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
  }

  std::string Make(std::string_view start_line) {
    std::string message = fmt::format("{}\r\n", start_line);
    for (std::size_t i = Below(4); i > 0; --i) AddField(message);
    const std::string body(Below(3000), 'b');
    if (Below(2) == 0) {
      return message +
             fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    }
    message += "Transfer-Encoding: chunked\r\n\r\n";
    if (!body.empty()) {
      message += fmt::format("{:x};a=b\r\n{}\r\n", body.size(), body);
    }
    message += "0\r\n";
    for (std::size_t i = Below(3); i > 0; --i) AddField(message);
    return message + "\r\n";
  }

  // Changes, repeats or removes some of the bytes.
  void Spoil(std::string& message) {
    for (std::size_t i = Below(4); i > 0 && !message.empty(); --i) {
      const std::size_t at = Below(message.size());
      const std::size_t size = Below(20);
      switch (Below(4)) {
        case 0:
          message[at] = static_cast<char>(Below(256));
          break;
        case 1:
          message.erase(at, size);
          break;
        case 2:
          message.insert(at, message.substr(at, size));
          break;
        default:
          message.insert(at, std::string(Below(90'000), 'y'));
          break;
      }
    }
  }

  // Parses in pieces; returns whether the parser kept to its contract.
  template <typename Parser>
  bool ParseInPieces(std::string_view message) {
    Parser parser(kLimits);
    std::string kept;
    while (!message.empty() && !parser.is_complete()) {
      const std::size_t size = std::min(message.size(), 1 + Below(20'000));
      kept += message.substr(0, size);
      message.remove_prefix(size);
      boost::system::error_code error;
      const std::size_t used =
          parser.Put(boost::asio::buffer(kept.data(), kept.size()), error);
      if (used > kept.size()) return false;
      kept.erase(0, used);
      if (error) return true;
    }
    if (!parser.is_complete()) parser.PutEnd();
    if (!parser.is_complete()) return true;
    return parser.Release().body().size() <= kLimits.body_bytes;
  }

 private:
  void AddField(std::string& message) {
    const std::size_t size = Below(10) == 0 ? Below(90'000) : Below(50);
    message += fmt::format("X-{}: {}\r\n", Below(5), std::string(size, 'v'));
  }

  std::mt19937_64 random_;
};

// Guards against an exception, or an assertion of the library, by bytes that
// any client, backend server or store may send.
TEST_CASE("bytes that are no message end in an error") {
  REQUIRE(testing::HoldsForSeeds("messages", 3000, [](std::uint64_t seed) {
    MessageMaker maker(seed);
    std::string response = maker.Make("HTTP/1.1 200 OK");
    std::string request = maker.Make("POST /path HTTP/1.1");
    maker.Spoil(response);
    maker.Spoil(request);
    return maker.ParseInPieces<HttpResponseParser>(response) &&
           maker.ParseInPieces<HttpRequestParser>(request);
  }));
}

// Guards against a head that is cut and taken for a whole one, with a body
// that is empty or too short.
TEST_CASE("the end of a connection completes no part of a message") {
  const std::string framing =
      GENERATE("Content-Length: 4\r\n\r\nbody",
               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  const std::string message = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + framing;
  for (std::size_t size = 0; size <= message.size(); ++size) {
    HttpResponseParser parser(kLimits);
    boost::system::error_code error;
    parser.Put(boost::asio::buffer(message.data(), size), error);
    INFO("cut after " << size << " of " << message.size());
    REQUIRE(!error);
    REQUIRE(parser.is_complete() == (size == message.size()));
    REQUIRE_FALSE(parser.PutEnd());
  }
}

// Guards against chunks that are joined wrongly, or that ask for more memory
// than their bytes: they are cut at any place and arrive in pieces.
TEST_CASE("a chunked body is that of its chunks, and asks for little more") {
  REQUIRE(testing::HoldsForSeeds("chunks", 1000, [](std::uint64_t seed) {
    MessageMaker maker(seed);
    std::string message =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string expected;
    const std::size_t largest = maker.Below(2) == 0 ? 2 : 5000;
    for (std::size_t i = maker.Below(400); i > 0; --i) {
      const std::string chunk(1 + maker.Below(largest),
                              static_cast<char>('a' + maker.Below(26)));
      if (expected.size() + chunk.size() > kLimits.body_bytes) break;
      expected += chunk;
      message += fmt::format("{:x}{}\r\n{}\r\n", chunk.size(),
                             maker.Below(9) == 0 ? ";a=b" : "", chunk);
    }
    message += "0\r\n\r\n";
    std::size_t granted = 0;
    HttpRequestParser parser(kLimits, [&granted](std::size_t bytes) {
      granted = bytes;
      return true;
    });
    std::string kept;
    std::string_view left = message;
    while (!left.empty()) {
      const std::size_t size = std::min(left.size(), 1 + maker.Below(3000));
      kept += left.substr(0, size);
      left.remove_prefix(size);
      boost::system::error_code error;
      kept.erase(0, parser.Put(boost::asio::buffer(kept), error));
      if (error) return false;
    }
    return parser.is_complete() && parser.Release().body() == expected &&
           granted <= 2 * expected.size() + 16;
  }));
}

// Guards against a body for which memory is taken before it is granted.
TEST_CASE("a body for which there is no memory is refused before it is read") {
  // A string keeps fewer bytes without asking for memory.
  const std::string framing =
      GENERATE("Content-Length: 20\r\n\r\ntwenty bytes of body",
               "Transfer-Encoding: chunked\r\n\r\n14\r\ntwenty bytes of "
               "body\r\n0\r\n\r\n");
  const std::string message = "POST / HTTP/1.1\r\n" + framing;
  HttpRequestParser parser(kLimits, [](std::size_t) { return false; });
  boost::system::error_code error;
  parser.Put(boost::asio::buffer(message), error);
  REQUIRE(error == boost::system::errc::not_enough_memory);
}

// Returns whether the bytes, up to the end of their connection, are a message.
template <typename Parser>
bool IsMessage(std::string_view bytes) {
  Parser parser(kLimits);
  boost::system::error_code error;
  parser.Put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  return !error && (parser.is_complete() || parser.PutEnd());
}

// Returns whether the text behind the first line makes an answer; it is the
// same for a request.
bool IsRestOfMessage(std::string_view rest) {
  const bool is_answer =
      IsMessage<HttpResponseParser>(fmt::format("HTTP/1.1 200 OK\r\n{}", rest));
  const bool is_request =
      IsMessage<HttpRequestParser>(fmt::format("POST / HTTP/1.1\r\n{}", rest));
  REQUIRE(is_answer == is_request);
  return is_answer;
}

// Guards against bytes that are passed on as an answer although no status is
// written so, or has this number.
TEST_CASE("an answer has a status of 100 to 599") {
  const auto has_status = [](std::string_view status) {
    return IsMessage<HttpResponseParser>(
        fmt::format("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", status));
  };
  for (const std::string_view status : {"100", "200", "204", "404", "599"}) {
    INFO(status);
    REQUIRE(has_status(status));
  }
  for (const std::string_view status :
       {"000", "001", "099", "600", "999", "abc", "-20", "+20", "2 0", "20",
        "0200", "1000", "20a", " 200", ""}) {
    INFO(status);
    REQUIRE_FALSE(has_status(status));
  }
}

// Guards against lines that are passed on, or that hide where the body begins.
TEST_CASE("a line of a head is a name, a colon and a value") {
  const auto is_message = [](std::string_view line) {
    return IsRestOfMessage(
        fmt::format("{}\r\nContent-Length: 4\r\n\r\nbody", line));
  };
  REQUIRE(is_message("X-Name: a value"));
  REQUIRE(is_message("X!#$%&'*+-.^_`|~1:"));
  constexpr std::string_view kSeparators = "()<>@,;\\\"/[]?={}";
  for (int byte = 0; byte < 256; ++byte) {
    const char character = static_cast<char>(byte);
    const bool is_in_name = byte > ' ' && byte < 127 && character != ':' &&
                            kSeparators.find(character) == kSeparators.npos;
    const std::string name = fmt::format("X{}Name", character);
    INFO("byte " << byte);
    REQUIRE(is_message(name + ": 1") == (is_in_name || character == ':'));
    // Line ends are left out: they may end the line, or fold it.
    const bool is_in_value = (byte >= ' ' && byte != 127) || character == '\t';
    if (character == '\r' || character == '\n') continue;
    REQUIRE(is_message(fmt::format("X: a{}b", character)) == is_in_value);
  }
  for (const std::string_view line : {"X : 1", "X\t: 1", " X: 1", "\tX: 1",
                                      ": 1", "X", "X: a\rb", "X: a\nY: b"}) {
    INFO(line);
    REQUIRE_FALSE(is_message(line));
  }
}

// Guards against a body that is passed on in a coding of which the receiver is
// not told, and against the body of a request that is taken for the next one.
TEST_CASE("chunks are the only coding of a body") {
  const auto is_message = [](std::string_view fields) {
    return IsRestOfMessage(fmt::format("{}\r\n4\r\nbody\r\n0\r\n\r\n", fields));
  };
  REQUIRE(is_message("Transfer-Encoding: chunked\r\n"));
  REQUIRE(is_message("transfer-encoding:  CHUNKED \r\n"));
  for (const std::string_view coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
        "identity", "xchunked", "chunked;q=1", "chunked x", "\"chunked\"",
        ""}) {
    INFO(coding);
    REQUIRE_FALSE(is_message(fmt::format("Transfer-Encoding: {}\r\n", coding)));
  }
  REQUIRE_FALSE(
      is_message("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"));
  REQUIRE_FALSE(
      is_message("Transfer-Encoding: gzip\r\nContent-Length: 14\r\n"));
  REQUIRE_FALSE(
      is_message("Content-Length: 14\r\nTransfer-Encoding: chunked\r\n"));
}

// Guards against time that is spent on extensions, which have no meaning here.
TEST_CASE("extensions of chunks are bounded") {
  const auto parse = [](std::size_t chunks, std::size_t chunk_bytes) {
    std::string message =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < chunks; ++i) {
      message +=
          fmt::format("{:x};a={}\r\n{}\r\n", chunk_bytes, std::string(100, 'e'),
                      std::string(chunk_bytes, 'b'));
    }
    message += "0\r\n\r\n";
    HttpRequestParser parser(kLimits);
    boost::system::error_code error;
    parser.Put(boost::asio::buffer(message), error);
    return !error && parser.is_complete();
  };
  // A signature for each chunk of 1 kB is usual.
  REQUIRE(parse(90, 1024));
  REQUIRE_FALSE(parse(1000, 1));
}

// Guards against bodies that hold almost twice the memory that they have asked
// for.
TEST_CASE("a body takes no more memory than it was granted") {
  constexpr std::size_t kBytes = 300'000;
  const std::size_t chunk_bytes = GENERATE(1, 1000, 70'000);
  std::size_t granted = 0;
  HttpRequestParser parser(
      {.head_bytes = 8192, .body_bytes = std::size_t{8} << 20U},
      [&granted](std::size_t bytes) {
        granted = bytes;
        return true;
      });
  std::string message = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk =
      fmt::format("{:x}\r\n{}\r\n", chunk_bytes, std::string(chunk_bytes, 'b'));
  for (std::size_t i = 0; i < kBytes / chunk_bytes; ++i) message += chunk;
  message += "0\r\n\r\n";
  boost::system::error_code error;
  REQUIRE(parser.Put(boost::asio::buffer(message), error) == message.size());
  REQUIRE_FALSE(error);
  REQUIRE(parser.is_complete());
  const std::string body = std::move(parser.Release().body());
  REQUIRE(body.capacity() >= kBytes / chunk_bytes * chunk_bytes);
  REQUIRE(body.capacity() <= granted);
}

}  // namespace
}  // namespace oleandertide::sidecar
