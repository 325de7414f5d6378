#include "config/snapshot.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "config/request_path.h"
#include "config/snapshot_holder.h"
#include "sample_document.h"

namespace oleandertide::config {
namespace {

constexpr std::string_view kDigest = "99aa06d3014798d86001c324468d497f";

std::unique_ptr<const Snapshot> Compile(
    std::uint64_t sequence, std::string_view text = kSampleDocument) {
  return Snapshot::Compile(sequence, kDigest, ParseValid(text)).value();
}

std::string Find(const Snapshot& snapshot, std::string_view method,
                 std::string_view path) {
  const Route* route = snapshot.FindRoute(method, path);
  return route == nullptr ? "" : route->name;
}

// Guards against requests that reach the route of another service.
TEST_CASE("the longest prefix of whole segments with the method wins") {
  const auto snapshot = Compile(1);
  REQUIRE(Find(*snapshot, "GET", "/rooms") == "slots");
  REQUIRE(Find(*snapshot, "GET", "/rooms/7/slots?day=2") == "slots");
  REQUIRE(Find(*snapshot, "GET", "/rooms?/rooms/bookings") == "slots");
  REQUIRE(Find(*snapshot, "POST", "/rooms/bookings") == "book");
  REQUIRE(Find(*snapshot, "POST", "/rooms/bookings/") == "book");
  REQUIRE(Find(*snapshot, "GET", "/rooms/bookings/9") == "slots");
  REQUIRE(Find(*snapshot, "GET", "/roomsandmore").empty());
  REQUIRE(Find(*snapshot, "POST", "/rooms/bookingsandmore").empty());
  REQUIRE(Find(*snapshot, "POST", "/rooms").empty());
  REQUIRE(Find(*snapshot, "BREW", "/rooms").empty());
  REQUIRE(Find(*snapshot, "GET", "rooms").empty());
  REQUIRE(Find(*snapshot, "GET", "").empty());
  REQUIRE(Find(*snapshot, "GET", "/").empty());
}

// Guards against a root route that is missed when all paths are short.
TEST_CASE("the route of / takes every path") {
  const auto snapshot =
      Compile(1,
              "[document]\nformat = 1\n[service a]\n[route r]\nservice = a\n"
              "path = /\nmethods = GET\nclass = lookup\n");
  REQUIRE(Find(*snapshot, "GET", "/") == "r");
  REQUIRE(Find(*snapshot, "GET", "/a/very/long/path") == "r");
  REQUIRE(Find(*snapshot, "GET", "//").empty());
}

// Guards against a booking that runs without a claim, because the node takes
// its path for that of a lookup and the backend server does not.
TEST_CASE("paths that servers may read differently have no route") {
  const auto snapshot =
      Compile(1,
              "[document]\nformat = 1\n[service a]\n[route r]\nservice = a\n"
              "path = /\nmethods = POST\nclass = lookup\n");
  const std::string path = GENERATE(
      "/x/../bookings", "/./bookings", "/x/..", "//bookings", "/x//bookings",
      "/%62ookings", "/x%2Fbookings", "/x%5cbookings", "/x\\bookings", "/x%",
      "/x%2", "/x%zz", "/x/%2e%2e/bookings", "x");
  CAPTURE(path);
  REQUIRE_FALSE(IsNormalPath(path));
  REQUIRE(Find(*snapshot, "POST", path).empty());
  const std::string normal =
      GENERATE("/", "/x/", "/a%20b", "/%C3%A1", "/...", "/.a", "/a.", "/a%3a");
  CAPTURE(normal);
  REQUIRE(Find(*snapshot, "POST", normal) == "r");
}

TEST_CASE("items are found by name") {
  const auto snapshot = Compile(7);
  REQUIRE(snapshot->sequence() == 7);
  REQUIRE(snapshot->digest() == kDigest);
  REQUIRE(snapshot->route("book")->service == "booking");
  REQUIRE(snapshot->route("boo") == nullptr);
  REQUIRE(snapshot->job("nightly-close")->route == "book");
  REQUIRE(snapshot->has_service("rooms"));
  REQUIRE_FALSE(snapshot->has_service("songs"));
}

// Guards against a version that cannot be ordered or verified.
TEST_CASE("a snapshot needs a sequence and a digest") {
  REQUIRE_FALSE(Snapshot::Compile(0, kDigest, ParseValid(kSampleDocument)));
  REQUIRE_FALSE(Snapshot::Compile(1, "short", ParseValid(kSampleDocument)));
}

// Guards against a move from a newer configuration to an older one.
TEST_CASE("a lower or equal sequence is refused and counted") {
  SnapshotHolder holder;
  REQUIRE(SnapshotReader(holder).snapshot() == nullptr);
  REQUIRE(holder.Publish(Compile(5)));
  REQUIRE(holder.Publish(Compile(5)).error() == Error::kConflict);
  REQUIRE(holder.Publish(Compile(4)).error() == Error::kConflict);
  REQUIRE(holder.refused_count() == 2);
  REQUIRE(holder.sequence() == 5);
  REQUIRE(SnapshotReader(holder).snapshot()->sequence() == 5);
  REQUIRE(holder.Publish(nullptr).error() == Error::kInvalidArgument);
}

// Guards against a thread that waits for its own reader.
TEST_CASE("a thread with a reader cannot publish") {
  SnapshotHolder holder;
  REQUIRE(holder.Publish(Compile(1)));
  const SnapshotReader reader(holder);
  REQUIRE(holder.Publish(Compile(2)).error() == Error::kInvalidArgument);
  REQUIRE(reader.snapshot()->sequence() == 1);
}

// Guards against snapshots that are deleted under a reader or go back.
TEST_CASE("concurrent readers see complete snapshots in order") {
  constexpr std::uint64_t kPublications = 200;
  constexpr std::size_t kReaders = 4;
  SnapshotHolder holder;
  REQUIRE(holder.Publish(Compile(1)));
  std::atomic<int> faults = 0;
  std::vector<std::thread> threads;
  threads.reserve(kReaders);
  for (std::size_t i = 0; i < kReaders; ++i) {
    threads.emplace_back([&] {
      std::uint64_t last = 0;
      while (last < kPublications) {
        const SnapshotReader reader(holder);
        const Snapshot& snapshot = *reader.snapshot();
        if (snapshot.sequence() < last ||
            snapshot.FindRoute("GET", "/rooms") == nullptr) {
          ++faults;
        }
        last = snapshot.sequence();
      }
    });
  }
  for (std::uint64_t sequence = 2; sequence <= kPublications; ++sequence) {
    REQUIRE(holder.Publish(Compile(sequence)));
  }
  for (std::thread& thread : threads) thread.join();
  REQUIRE(faults == 0);
}

}  // namespace
}  // namespace oleandertide::config
