#include "sidecar/mesh_fixture.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <utility>

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kRouteFormat =
    R"({{"name":"{0}","path_prefix":"/{0}/","kind":"{1}","timeout_ms":{3},)"
    R"("target_latency_ms":300,"priority":{4},"service":"{2}",)"
    R"("retry_attempts":2}})";

}  // namespace

Address UnusedAddress() {
  // An address of 127.0.0.0/8 for each process: ports of 127.0.0.1 are given to
  // outgoing connections of all processes, so one that was free a moment ago
  // need not be free any more.
  constexpr std::uint16_t kFirstPort = 10'000;
  constexpr std::uint32_t kLoopbackNetwork = 127U << 24U;
  constexpr std::uint32_t kHostMask = (1U << 24U) - 1;
  static const std::string ip =
      boost::asio::ip::address_v4(
          kLoopbackNetwork | (static_cast<std::uint32_t>(getpid()) & kHostMask))
          .to_string();
  static std::uint16_t next_port = kFirstPort;
  return {.ip = ip, .port = next_port++};
}

std::string ConfigurationText(int version, std::string_view further_route) {
  const auto route = [](std::string_view name, std::string_view kind,
                        std::string_view service, int timeout_ms,
                        int priority) {
    return fmt::format(kRouteFormat, name, kind, service, timeout_ms, priority);
  };
  std::string routes = route("idem", "idempotent", "booking", 1000, 2) + "," +
                       route("once", "non_idempotent", "booking", 1000, 1) +
                       "," + route("room", "idempotent", "rooms", 1000, 2) +
                       "," + route("short", "idempotent", "booking", 300, 2);
  if (!further_route.empty()) {
    routes += "," + route(further_route, "idempotent", "booking", 1000, 2);
  }
  return fmt::format(
      R"({{"version":"r{}","services":[{{"name":"booking","health_path":)"
      R"("/health","max_connections":130}},{{"name":"rooms","health_path":)"
      R"("/health","max_connections":130}}],"limits":{{"max_header_bytes":4096,)"
      R"("max_body_bytes":100000,"header_timeout_ms":500,"idle_timeout_ms":)"
      R"(15000}},"virtual_hosts":[{{"host":"a.example","paths":[{}]}}]}})",
      version, routes);
}

std::string ConfigurationWithOrganisations(int version,
                                           std::string_view organisations) {
  std::string text = ConfigurationText(version);
  text.pop_back();
  return fmt::format(R"({},"tenants":[{}]}})", text, organisations);
}

MeshFixture::MeshFixture()
    : loop_(1), store_(std::make_unique<FakeStore>(loop_)) {
  store_->Put("op", "config", ConfigurationText(1));
}

MeshFixture::~MeshFixture() {
  for (const auto& client : clients_) client->Close();
  for (const auto& instance : instances_) instance->node.reset();
}

Instance& MeshFixture::AddInstance(const std::string& service,
                                   RawServer::Script script,
                                   const std::string& data_centre,
                                   const std::optional<Address>& store) {
  auto& instance = *instances_.emplace_back(std::make_unique<Instance>());
  const auto number = instances_.size();
  instance.backend_id = fmt::format("i-{}", number);
  instance.backend = std::make_unique<RawServer>(
      loop_, [script = std::move(script),
              id = instance.backend_id](const RawRequest& request) {
        if (request.target() == "/health") {
          return RawReply{
              .bytes = fmt::format("HTTP/1.1 200 OK\r\nOleandertide-Instance-"
                                   "Id: {}\r\nContent-Length: 0\r\n\r\n",
                                   id)};
        }
        return script(request);
      });
  instance.settings.node = {.name = fmt::format("node-{}", number),
                            .data_centre = data_centre,
                            .service = service,
                            .link_mbps = 1000,
                            .is_first_start = false};
  instance.settings.listen = {.clients = UnusedAddress(),
                              .peers = UnusedAddress(),
                              .advertised_peers = {},
                              .readiness = UnusedAddress(),
                              .announcements = UnusedAddress(),
                              .metrics = UnusedAddress()};
  const auto endpoint = instance.backend->endpoint();
  instance.settings.backend.address = {.ip = "127.0.0.1",
                                       .port = endpoint.port()};
  instance.settings.backend.max_answer_kb = 4096;
  instance.settings.store.address = store.value_or(store_->address());
  instance.settings.drain = {.fence = milliseconds(300),
                             .announce_time = milliseconds(200),
                             .deadline = seconds(2)};
  instance.settings.retries = {
      .ratio_percent = 10, .run_ratio_percent = 10, .saved = 3};
  instance.settings.deployment = deployment_;
  instance.settings.placement = {.crossing_cost_percent = 1.6};
  instance.settings.pace = {.learns_room = true};
  StartNode(instance);
  return instance;
}

void MeshFixture::StartNode(Instance& instance) {
  auto node = Sidecar::Create(loop_, instance.settings);
  REQUIRE(node.has_value());
  instance.node = std::move(node).value();
  RunUntil([&] { return CheckReadiness(instance) == 200; });
}

void MeshFixture::RunUntil(const std::function<bool()>& condition,
                           Duration limit) {
  const MonotonicTime end = MonotonicClock::now() + limit;
  while (!condition()) {
    REQUIRE(MonotonicClock::now() < end);
    loop_.restart();
    loop_.run_one_for(milliseconds(10));
  }
}

void MeshFixture::RunFor(Duration duration) {
  loop_.restart();
  loop_.run_for(duration);
}

ClientAnswer MeshFixture::Call(const Address& address, const std::string& head,
                               const std::string& body) {
  const auto connection = std::make_shared<HttpConnection>(
      loop_, ToEndpoint(address).value(), milliseconds(500));
  auto answer = std::make_shared<std::optional<ClientAnswer>>();
  HttpExchange exchange;
  exchange.head = head;
  exchange.body = SharedBody(body);
  exchange.limit = seconds(4);
  exchange.on_answer = [answer](const HttpResponse& response) {
    *answer = ClientAnswer{.status = static_cast<int>(response.result_int()),
                           .body = response.body(),
                           .stamp = {},
                           .retry_after = {}};
  };
  exchange.on_failure = [answer](HttpFailure /*failure*/) {
    *answer = ClientAnswer{};
  };
  connection->Start(std::move(exchange));
  RunUntil([&] { return answer->has_value(); });
  connection->Close();
  return **answer;
}

int MeshFixture::AnnounceText(Instance& instance, const std::string& body) {
  return Call(instance.settings.listen.announcements,
              fmt::format("PUT /oleandertide/instances/{} HTTP/1.1\r\nHost: "
                          "a\r\nContent-Length: {}\r\n\r\n",
                          instance.backend_id, body.size()),
              body)
      .status;
}

int MeshFixture::Announce(Instance& instance, std::string_view state) {
  return AnnounceText(
      instance, fmt::format(R"({{"service":"{}","address":"{}","zone":"z",)"
                            R"("version":"v1","slots":{},"state":"{}",)"
                            R"("cold_remaining_ms":0,"seq":{},"born":1000}})",
                            instance.settings.node.service,
                            instance.settings.backend.address.ToString(),
                            slots_, state, ++instance.sequence));
}

int MeshFixture::Depart(Instance& instance, std::int64_t started_at_ms) {
  const std::string body =
      started_at_ms == 0 ? "" : fmt::format(R"({{"born":{}}})", started_at_ms);
  return Call(instance.settings.listen.announcements,
              fmt::format("DELETE /oleandertide/instances/{} HTTP/1.1\r\n"
                          "Host: a\r\nContent-Length: {}\r\n\r\n",
                          instance.backend_id, body.size()),
              body)
      .status;
}

int MeshFixture::CheckReadiness(Instance& instance) {
  return Call(instance.settings.listen.readiness,
              "GET /oleandertide/ready HTTP/1.1\r\nHost: a\r\n\r\n", {})
      .status;
}

std::string MeshFixture::ReadMetrics(Instance& instance) {
  return Call(instance.settings.listen.metrics,
              "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", {})
      .body;
}

std::shared_ptr<std::optional<ClientAnswer>> MeshFixture::Begin(
    Instance& instance, const std::string& method, const std::string& target,
    const std::string& body, int deadline_ms) {
  const auto connection = std::make_shared<HttpConnection>(
      loop_, ToEndpoint(instance.settings.listen.clients).value(),
      milliseconds(500));
  clients_.push_back(connection);
  auto answer = std::make_shared<std::optional<ClientAnswer>>();
  HttpExchange exchange;
  exchange.head = fmt::format(
      "{} {} HTTP/1.1\r\nHost: a.example\r\nOleandertide-Request-Id: q{}\r\n"
      "{}Oleandertide-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
      method, target, next_request_++,
      key_.empty() ? "" : fmt::format("Authorization: Token {}\r\n", key_),
      deadline_ms, body.size());
  exchange.body = SharedBody(body);
  exchange.limit = milliseconds(deadline_ms + 1000);
  exchange.on_answer = [answer](const HttpResponse& response) {
    *answer = ClientAnswer{
        .status = static_cast<int>(response.result_int()),
        .body = response.body(),
        .stamp = std::string(response["Oleandertide-Server-Stamp"]),
        .retry_after = std::string(response["Retry-After"])};
  };
  exchange.on_failure = [answer](HttpFailure /*failure*/) {
    *answer = ClientAnswer{};
  };
  connection->Start(std::move(exchange));
  return answer;
}

ClientAnswer MeshFixture::Send(Instance& instance, const std::string& method,
                               const std::string& target,
                               const std::string& body, int deadline_ms) {
  const auto answer = Begin(instance, method, target, body, deadline_ms);
  RunUntil([&] { return answer->has_value(); });
  clients_.back()->Close();
  clients_.pop_back();
  return **answer;
}

std::string MeshFixture::SendRaw(const Address& address,
                                 const std::string& bytes, Duration limit) {
  Tcp::socket socket(loop_);
  socket.connect(ToEndpoint(address).value());
  boost::asio::write(socket, boost::asio::buffer(bytes));
  auto received = std::make_shared<std::string>();
  auto chunk = std::make_shared<std::string>(4096, '\0');
  auto is_over = std::make_shared<bool>(false);
  std::function<void()> read = [&] {
    socket.async_read_some(
        boost::asio::buffer(*chunk),
        [&, received, chunk, is_over](const boost::system::error_code& error,
                                      std::size_t size) {
          if (error) {
            *is_over = true;
            return;
          }
          received->append(chunk->data(), size);
          read();
        });
  };
  read();
  const MonotonicTime end = MonotonicClock::now() + limit;
  RunUntil([&] { return *is_over || MonotonicClock::now() >= end; },
           limit + seconds(1));
  socket.close();
  RunUntil([&] { return *is_over; });
  return *received;
}

void MeshFixture::AwaitService(Instance& from, const std::string& target) {
  RunUntil([&] {
    if (Send(from, "GET", target).status == 200) return true;
    RunFor(milliseconds(5));
    return false;
  });
}

}  // namespace oleandertide::sidecar
