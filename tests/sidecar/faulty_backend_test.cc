// Backend servers that send answers late or twice, or bytes without end.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A node beside a backend server that answers by a script.
struct OneNode : MeshFixture {
  explicit OneNode(RawServer::Script script)
      : instance(AddInstance("booking", std::move(script))) {
    REQUIRE(Announce(instance) == 200);
    AwaitService(instance, "/idem/0");
  }

  // Adds a node that passes on answers of the first one's backend server.
  Instance& AddOther() {
    Instance& other = AddInstance("rooms", [](const RawRequest& /*request*/) {
      return RawReply{.bytes = StampedAnswer("room")};
    });
    REQUIRE(Announce(other) == 200);
    AwaitService(other, "/idem/0");
    return other;
  }

  Instance& instance;
};

std::string AnswerWithHead(const std::string& id_line) {
  return "HTTP/1.1 200 OK\r\n" + id_line +
         "Oleandertide-Server-Stamp: stamp\r\nContent-Length: 4\r\n\r\ncopy";
}

// Guards against a caller that gets the answer to an earlier request: a backend
// server sends a second copy of it while the connection carries the next one.
TEST_CASE("a late copy of an answer reaches nobody") {
  const std::string copy = GENERATE(
      AnswerWithHead("Oleandertide-Request-Id: earlier\r\n"),
      // Without an id it cannot be told from an answer to the next request.
      AnswerWithHead(""), "HTTP/1.1 100 Continue\r\n\r\n" + AnswerWithHead(""),
      AnswerWithHead("Oleandertide-Request-Id: earlier\r\n") +
          AnswerWithHead(""));
  // Before the next request is sent, and while it runs.
  const Duration delay = GENERATE(milliseconds(20), milliseconds(120));
  const std::string method = GENERATE("GET", "POST");
  OneNode mesh([&](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
    if (request.target() == "/idem/first") {
      reply.late_bytes = copy;
      reply.late_delay = delay;
    }
    if (request.target() == "/once/next" || request.target() == "/idem/next") {
      reply.delay = milliseconds(150);
    }
    return reply;
  });
  REQUIRE(mesh.Send(mesh.instance, "GET", "/idem/first").status == 200);
  const int connections = mesh.instance.backend->connections();
  mesh.RunFor(milliseconds(60));
  const std::string target = method == "GET" ? "/idem/next" : "/once/next";
  const ClientAnswer next = mesh.Send(mesh.instance, method, target);
  REQUIRE(next.status == 200);
  REQUIRE(next.body == "body of " + target);
  if (delay > milliseconds(60)) {
    // The copy came on the connection that carried the next request.
    REQUIRE(mesh.instance.backend->connections() == connections);
  }
  REQUIRE(mesh.Send(mesh.instance, "GET", "/idem/last").body ==
          "body of /idem/last");
}

std::string RefusalWithHead(const std::string& id_line) {
  return "HTTP/1.1 503 Full\r\n" + id_line +
         "Oleandertide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

// Guards against "not run" for a request that runs: a backend server writes an
// earlier refusal once more, before, within or instead of the answer.
TEST_CASE("a repeated refusal refuses nothing") {
  const std::string copy =
      GENERATE(RefusalWithHead("Oleandertide-Request-Id: earlier\r\n"),
               // Without an id it is no promise for this request.
               RefusalWithHead(""),
               RefusalWithHead("Oleandertide-Request-Id: earlier\r\n"
                               "Oleandertide-Request-Id: other\r\n"),
               "HTTP/1.1 100 Continue\r\n\r\n" + RefusalWithHead(""));
  // On the first request of a connection, and on a later one.
  const bool is_connection_new = GENERATE(true, false);
  const Duration delay = GENERATE(milliseconds(20), milliseconds(120));
  int runs = 0;
  OneNode mesh([&](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
    if (request.target() == "/once/refused") {
      reply.bytes = RefusalWithHead("Oleandertide-Request-Id: {id}\r\n");
      if (!is_connection_new) {
        reply.late_bytes = copy;
        reply.late_delay = delay;
      }
      reply.closes = is_connection_new;
    }
    if (request.target() == "/once/next") {
      ++runs;
      if (is_connection_new) reply.bytes = copy + reply.bytes;
      reply.delay = milliseconds(150);
    }
    return reply;
  });
  REQUIRE(mesh.Send(mesh.instance, "POST", "/once/refused").status == 503);
  if (is_connection_new) {
    // An idle connection is too old for a request that must run once.
    mesh.RunFor(milliseconds(550));
  }
  const ClientAnswer next = mesh.Send(mesh.instance, "POST", "/once/next");
  REQUIRE(runs == 1);
  REQUIRE(next.status == 200);
  REQUIRE(next.body == "body of /once/next");
}

// Guards against orders of unknown outcome: a backend server announces two
// slots, but runs one request and resets the connection of another. Once it has
// reset two, a request that must not run twice is not sent beside another one.
TEST_CASE("a backend server that resets when full gets no order beside a run") {
  int running = 0;
  int reset_orders = 0;
  int resets = 0;
  MonotonicTime busy_until{};
  constexpr Duration kRun = milliseconds(200);
  OneNode mesh([&](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body")};
    const MonotonicTime now = MonotonicClock::now();
    if (now < busy_until) {
      ++resets;
      if (request.target().starts_with("/once/")) ++reset_orders;
      return RawReply{.resets = true};
    }
    if (request.target().find("slow") != std::string::npos) {
      ++running;
      busy_until = now + kRun;
      reply.delay = kRun;
    }
    return reply;
  });
  const auto send_beside_run = [&](const std::string& method,
                                   const std::string& target) {
    const int before = running;
    const auto slow = mesh.Begin(mesh.instance, "GET", "/idem/slow");
    mesh.RunUntil([&] { return running > before; });
    const auto beside = mesh.Begin(mesh.instance, method, target);
    mesh.RunUntil([&] { return slow->has_value() && beside->has_value(); });
    mesh.RunFor(milliseconds(30));
  };
  for (int i = 0; i < 2; ++i) send_beside_run("GET", "/idem/beside");
  REQUIRE(resets >= 2);
  for (int i = 0; i < 5; ++i) send_beside_run("POST", "/once/beside");
  REQUIRE(reset_orders == 0);
}

// Guards against a head that is cut and passed on as a whole answer with an
// empty or short body: a backend server stops within its answer and closes.
TEST_CASE("an answer that is cut at any byte is no success") {
  const std::string framing =
      GENERATE("Content-Length: 4\r\n\r\nbody",
               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  const std::string whole =
      "HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {id}\r\n"
      "Oleandertide-Server-Stamp: s\r\n" +
      framing;
  const bool is_reset = GENERATE(false, true);
  std::size_t size = 0;
  OneNode mesh([&](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
    if (request.target() == "/once/cut") {
      reply.bytes = whole.substr(0, size);
      reply.closes = !is_reset;
      reply.resets_after = is_reset;
    }
    return reply;
  });
  Instance& other = mesh.AddOther();
  const std::size_t id_mark = whole.find("{id}");
  for (size = 0; size < whole.size(); ++size) {
    // The mark of the id is replaced as a whole.
    if (size > id_mark && size < id_mark + 4) continue;
    Instance& from = size % 2 == 0 ? mesh.instance : other;
    const ClientAnswer answer = mesh.Send(from, "POST", "/once/cut");
    INFO("cut after " << size << " of " << whole.size());
    REQUIRE(answer.status == 502);
    REQUIRE(answer.stamp.empty());
    REQUIRE(answer.body.empty());
  }
  REQUIRE(mesh.Send(mesh.instance, "GET", "/idem/next").status == 200);
}

// Sends orders, at the node beside the backend server and at another one, each
// of which is answered with some of these bytes. They are no answers.
void RequireNoAnswers(std::span<const std::string> all) {
  std::string_view bytes;
  OneNode mesh([&](const RawRequest& request) {
    if (request.target() != "/once/odd") {
      return RawReply{.bytes = StampedAnswer("body of " + request.target())};
    }
    return RawReply{.bytes = std::string(bytes), .closes = true};
  });
  Instance& other = mesh.AddOther();
  for (const std::string& next : all) {
    INFO(next);
    bytes = next;
    for (Instance* from : {&mesh.instance, &other}) {
      const ClientAnswer answer = mesh.Send(*from, "POST", "/once/odd");
      REQUIRE(answer.status == 502);
      REQUIRE(answer.stamp.empty());
      REQUIRE(answer.body.empty());
      REQUIRE(mesh.Send(*from, "GET", "/idem/next").status == 200);
    }
  }
}

// Guards against bytes that are passed on as an answer.
TEST_CASE("an answer with a status outside the protocol reaches nobody") {
  std::vector<std::string> answers;
  for (const std::string_view status :
       {"000", "099", "600", "999", "abc", "-20"}) {
    answers.push_back(
        fmt::format("HTTP/1.1 {} Odd\r\nOleandertide-Request-Id: {{id}}\r\n"
                    "Oleandertide-Server-Stamp: s\r\n"
                    "Content-Length: 4\r\n\r\nbody",
                    status));
  }
  RequireNoAnswers(answers);
}

// Guards against a line that is passed on, or a body that is not the backend
// server's.
TEST_CASE("an answer with a malformed field reaches nobody") {
  std::vector<std::string> answers;
  for (const std::string_view line :
       {"Odd Name: 1", "Odd\x01Name: 1", "Odd\x7fName: 1", "Odd : 1", ": 1",
        "Odd", " Folded: 1", "Content Length: 2", "Content-Length : 2",
        "Transfer-Encoding : chunked"}) {
    const std::string fields =
        "Oleandertide-Request-Id: {id}\r\nOleandertide-Server-Stamp: s\r\n"
        "Content-Length: 4\r\n";
    answers.push_back(
        fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{}\r\nbody", line, fields));
    answers.push_back(
        fmt::format("HTTP/1.1 200 OK\r\n{}{}\r\n\r\nbody", fields, line));
  }
  RequireNoAnswers(answers);
}

// Guards against bytes behind an answer that has no body, or of an interim one,
// that are taken for an answer.
TEST_CASE("an answer without body has none") {
  const std::string method = GENERATE("GET", "HEAD");
  const auto [status_line, status, body] =
      GENERATE(table<std::string, int, std::string>(
          {{"204 Empty", 204, ""},
           {"304 Same", 304, ""},
           {"100 Continue\r\n\r\nHTTP/1.1 200 OK", 200, "body"},
           {"103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK", 200, "body"}}));
  OneNode mesh([&, line = status_line](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
    if (request.target() == "/idem/empty") {
      reply.bytes = fmt::format(
          "HTTP/1.1 {}\r\nOleandertide-Request-Id: {{id}}\r\n"
          "Oleandertide-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody",
          line);
    }
    return reply;
  });
  const auto& listen = mesh.instance.settings.listen;
  const std::string received = mesh.SendRaw(
      listen.clients,
      fmt::format("{} /idem/empty HTTP/1.1\r\nHost: a.example\r\n"
                  "Oleandertide-Request-Id: raw\r\n"
                  "Oleandertide-Deadline-Ms: 900\r\nConnection: close\r\n\r\n",
                  method),
      milliseconds(1000));
  REQUIRE(received.starts_with(fmt::format("HTTP/1.1 {} ", status)));
  const std::string expected = method == "HEAD" ? "" : body;
  REQUIRE(received.substr(received.find("\r\n\r\n") + 4) == expected);
  REQUIRE(mesh.Send(mesh.instance, "GET", "/idem/next").body ==
          "body of /idem/next");
}

// Guards against a body that is passed on in a coding of which the caller is
// not told.
TEST_CASE("an answer in an unknown transfer coding reaches nobody") {
  std::vector<std::string> answers;
  for (const std::string_view framing :
       {"Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked, gzip\r\n\r\nbody"}) {
    answers.push_back(
        fmt::format("HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {{id}}\r\n"
                    "Oleandertide-Server-Stamp: s\r\n{}",
                    framing));
  }
  RequireNoAnswers(answers);
}

// Guards against a part of an answer that a caller gets as the whole, with a
// length of the node's making: the backend server answers a long upload before
// it has been sent, and resets the connection.
TEST_CASE("a reset within an early answer is no success") {
  constexpr std::size_t kUploadBytes = std::size_t{8} << 20U;
  OneNode mesh([&](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
    if (request.target() == "/once/upload") {
      reply.bytes =
          "HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {id}\r\n"
          "Oleandertide-Server-Stamp: s\r\n\r\npart";
      reply.is_early = true;
      reply.resets_after = true;
    }
    return reply;
  });
  std::string text = ConfigurationText(2);
  const std::string limit = R"("max_body_bytes":100000)";
  text.replace(text.find(limit), limit.size(), R"("max_body_bytes":9000000)");
  mesh.store().Put("op", "config", text);
  Instance& other = mesh.AddOther();
  for (Instance* from : {&mesh.instance, &other}) {
    const std::string body(kUploadBytes, 'u');
    ClientAnswer answer;
    do {
      answer = mesh.Send(*from, "POST", "/once/upload", body);
    } while (answer.status == 413);
    REQUIRE(answer.status == 502);
    REQUIRE(answer.stamp.empty());
    REQUIRE(answer.body.empty());
  }
}

// Guards against memory and slots that are lost to a backend server which sends
// without end, in a head or a body, until its connection is closed.
TEST_CASE("bytes without end are cut off") {
  constexpr std::size_t kChunk = 4096;
  const std::string head =
      "HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {id}\r\n"
      "Oleandertide-Server-Stamp: s\r\n";
  const auto [bytes, endless] = GENERATE_COPY(table<std::string, std::string>(
      {// No line ever ends.
       {"HTTP/1.1 200 OK\r\nX: ", std::string(kChunk, 'x')},
       {"", std::string(kChunk, 'x')},
       // Header fields.
       {head, "X-Field: value\r\n"},
       // Informational answers, and answers to nobody.
       {"", "HTTP/1.1 100 Continue\r\n\r\n"},
       {"",
        "HTTP/1.1 200 OK\r\nOleandertide-Request-Id: other\r\n"
        "Content-Length: 0\r\n\r\n"},
       // A body without length, and one in chunks.
       {head + "\r\n", std::string(kChunk, 'x')},
       {head + "Transfer-Encoding: chunked\r\n\r\n",
        "1000\r\n" + std::string(kChunk, 'x') + "\r\n"},
       // A chunk's size, its extension, and a trailer.
       {head + "Transfer-Encoding: chunked\r\n\r\n", std::string(kChunk, '0')},
       {head + "Transfer-Encoding: chunked\r\n\r\n5;x=",
        std::string(kChunk, 'x')},
       {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ",
        std::string(kChunk, 'x')},
       {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"}}));
  OneNode mesh([&, first = bytes, rest = endless](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
    if (request.target() == "/once/endless") {
      reply.bytes = first;
      reply.endless_bytes = rest;
    }
    return reply;
  });
  const auto endless_answer =
      mesh.Begin(mesh.instance, "POST", "/once/endless", {}, 3000);
  // The other slot serves meanwhile.
  const auto other = mesh.Begin(mesh.instance, "GET", "/idem/other");
  mesh.RunUntil([&] { return endless_answer->has_value(); });
  // It may have run; that is said before the time limit, by the limits of size.
  REQUIRE((*endless_answer)->status == 502);
  mesh.RunUntil([&] { return other->has_value(); });
  REQUIRE((*other)->status == 200);
  // The limit of a body is 4 MiB here; more lies in the system's buffers.
  const std::size_t sent = mesh.instance.backend->endless_sent();
  REQUIRE(sent < (std::size_t{12} << 20U));
  mesh.RunFor(milliseconds(50));
  REQUIRE(mesh.instance.backend->endless_sent() == sent);
}

// Guards against a process that ends: a line behind the last chunk is longer
// than a field of a head may be, and the library that keeps fields throws.
TEST_CASE("a long line behind a chunked answer ends its exchange only") {
  const std::size_t length =
      GENERATE(1, 65'520, 65'533, 65'534, 65'536, 70'000, 81'000);
  OneNode mesh([&](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
    if (request.target() == "/once/trailer") {
      reply.bytes =
          "HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {id}\r\n"
          "Oleandertide-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\ndone\r\n0\r\nx:" +
          std::string(length, 'y') + "\r\n\r\n";
    }
    return reply;
  });
  const ClientAnswer answer = mesh.Send(mesh.instance, "POST", "/once/trailer");
  // It is malformed if the line is longer than a head may be, and may have run.
  constexpr std::size_t kMaxLine = 65'535;
  REQUIRE(answer.status == (length < kMaxLine ? 200 : 502));
  REQUIRE(mesh.Send(mesh.instance, "GET", "/idem/next").status == 200);
}

// Guards against answers that say one thing in their head and another one
// behind their body: a request that has run would be taken for not run.
TEST_CASE("a field behind a chunked answer changes nothing") {
  OneNode mesh([](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
    if (request.target() == "/once/trailer") {
      reply.bytes =
          "HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {id}\r\n"
          "Oleandertide-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\ndone\r\n0\r\nOleandertide-Not-Executed: 1\r\n\r\n";
    }
    return reply;
  });
  const ClientAnswer answer = mesh.Send(mesh.instance, "POST", "/once/trailer");
  REQUIRE(answer.status == 200);
  REQUIRE(answer.body == "done");
}

// Guards against a connection that is held for ever by a byte now and then.
TEST_CASE("an answer that drips ends at the time limit") {
  OneNode mesh([](const RawRequest& request) {
    RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
    if (request.target() == "/short/drip") {
      reply.bytes = "HTTP/1.1 200 OK\r\nX: ";
      reply.late_bytes = "x";
      reply.late_delay = milliseconds(250);
    }
    return reply;
  });
  const MonotonicTime start = MonotonicClock::now();
  REQUIRE(mesh.Send(mesh.instance, "GET", "/short/drip").status == 504);
  REQUIRE(MonotonicClock::now() - start < milliseconds(600));
}

}  // namespace
}  // namespace oleandertide::sidecar
