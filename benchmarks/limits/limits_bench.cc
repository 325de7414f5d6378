// Bytes a second of the limits' messages, from real encoded frames.
//
// All nodes send requests of 74 organisations (Zipf, exponent 1.2) at the usual
// rate, 1 / 1.6 of the limits. Messages take 1 ms each way. Both sides are the
// modules of the product; frames are encoded as on a link, with 66 bytes of
// TCP/IP headers each.

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "organisations/token_allocator.h"
#include "organisations/token_stock.h"
#include "sidecar/limits_codec.h"
#include "sidecar/link_codec.h"

DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_int32(seconds, 10, "simulated time");
DEFINE_double(node_rate, 24.5,
              "requests a second at each node: those of clients on the "
              "deployment with 64 nodes");

namespace oleandertide {
namespace {

using organisations::TokenAllocator;
using organisations::TokenStock;

constexpr int kOrganisations = 74;
constexpr double kExponent = 1.2;
constexpr double kLimitOverRate = 1.6;
constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kAskInterval = std::chrono::milliseconds(5);
constexpr std::size_t kHeaderBytes = 66;
// Lengths of message and body.
constexpr std::size_t kFrameBytes = 8;

std::uint64_t StoreTime(BootTime time) {
  return static_cast<std::uint64_t>(ToMilliseconds(time.time_since_epoch()));
}

std::size_t FrameBytes(std::string payload) {
  capnp::MallocMessageBuilder frame;
  sidecar::Encode(
      sidecar::CoordinationMessage{
          .term = 12, .subject = 0, .payload = std::move(payload)},
      frame.initRoot<sidecar::wire::Frame>().initCoordination());
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, frame);
  return stream.getArray().size() + kFrameBytes + kHeaderBytes;
}

void Run(int node_count) {
  RandomSource random(FLAGS_seed);
  std::vector<double> cumulative;
  double sum = 0;
  for (int i = 1; i <= kOrganisations; ++i) {
    cumulative.push_back(sum += std::pow(i, -kExponent));
  }
  const double total_rate = FLAGS_node_rate * node_count;
  organisations::LimitMap limits;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < cumulative.size(); ++i) {
    const double share =
        (cumulative[i] - (i == 0 ? 0 : cumulative[i - 1])) / sum;
    const double limit = kLimitOverRate * total_rate * share;
    names.push_back(fmt::format("organisation-{:02}", i));
    limits[names.back()] = {.rate = limit, .burst = limit};
  }
  TokenAllocator allocator;
  allocator.Begin(limits, BootTime());
  struct Node {
    TokenStock stock;
    BootTime asked_at{};
  };
  std::deque<Node> nodes;
  for (int i = 0; i < node_count; ++i) {
    nodes.push_back({TokenStock({}, random.Next() >> 1U)});
  }
  std::multimap<BootTime, std::function<void(BootTime)>> events;
  std::size_t bytes = 0;
  std::size_t messages = 0;
  std::size_t requests = 0;
  std::size_t refused = 0;
  double due = 0;
  const auto count = [&](const std::vector<TokenStock::Settled>& settled) {
    for (const auto& item : settled) {
      if (!std::holds_alternative<TokenStock::Admitted>(item.decision)) {
        ++refused;
      }
    }
  };
  // Buckets begin empty: measured after a second.
  const BootTime measured_from(std::chrono::seconds(1));
  const BootTime end = measured_from + std::chrono::seconds(FLAGS_seconds);
  for (BootTime now{}; now < end; now += kStep) {
    while (!events.empty() && events.begin()->first <= now) {
      const auto event = std::move(events.begin()->second);
      events.erase(events.begin());
      event(now);
    }
    due += total_rate * std::chrono::duration<double>(kStep).count() * 2 *
           random.Unit();
    if (now == measured_from) bytes = messages = requests = refused = 0;
    for (; due >= 1; --due) {
      Node& node = nodes[random.Below(nodes.size())];
      const auto place =
          std::ranges::lower_bound(cumulative, sum * random.Unit());
      ++requests;
      const auto decision = node.stock.Request(
          names[static_cast<std::size_t>(place - cumulative.begin())], now);
      if (std::holds_alternative<TokenStock::OverLimit>(decision)) ++refused;
    }
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      Node& node = nodes[index];
      if (node.stock.waiting_count() > 0) count(node.stock.Tick(now));
      if (!node.stock.has_to_ask() || now - node.asked_at < kAskInterval) {
        continue;
      }
      node.asked_at = now;
      const auto request = node.stock.TakeRequest(now);
      if (!request) continue;
      const std::string payload = sidecar::EncodeTokenRequest(*request);
      bytes += FrameBytes(payload);
      ++messages;
      events.emplace(now + kStep, [&, index, request = *request](BootTime at) {
        const auto grant = allocator.Grant(request, std::to_string(index),
                                           {.end_ms = StoreTime(at) + 2500,
                                            .now_ms = StoreTime(at),
                                            .latest_now_ms = StoreTime(at)},
                                           at);
        bytes += FrameBytes(sidecar::EncodeTokenGrant(grant));
        ++messages;
        events.emplace(at + kStep, [&, grant](BootTime then) {
          count(node.stock.OnGrant(grant, then));
        });
      });
    }
  }
  const double seconds = FLAGS_seconds;
  fmt::print(
      "nodes {:5}  requests/s {:8.0f}  refused {:.3f}%  messages/s at the "
      "coordinator {:8.0f}  B/s: mean node {:6.0f}  coordinator {:9.0f}\n",
      node_count, static_cast<double>(requests) / seconds,
      100.0 * static_cast<double>(refused) / static_cast<double>(requests),
      static_cast<double>(messages) / seconds,
      static_cast<double>(bytes) / seconds / node_count,
      static_cast<double>(bytes) / seconds);
}

}  // namespace
}  // namespace oleandertide

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  constexpr int kSizes[] = {64, 300, 1100};
  for (const int nodes : kSizes) oleandertide::Run(nodes);
  return 0;
}
