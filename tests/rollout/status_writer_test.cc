#include "rollout/status_writer.h"

#include <array>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oleandertide::rollout {
namespace {

constexpr StorePosition kOrder{.era = 0, .version = 7};

// A call to the store that was not yet performed, or not yet answered.
struct CallInProgress {
  int decider = 0;
  // Life of the decider that sent it; answers to earlier lives are lost.
  int life = 0;
  StatusWriter::Effect effect;
  bool is_performed = false;
  // Answer, once performed.
  std::optional<StatusRow> row;
  bool has_conflict = false;
  std::uint64_t version = 0;
};

// Two deciders that want opposite ends, a store, and all calls in progress.
struct World {
  std::optional<StatusRow> row;
  std::uint64_t store_version = 100;
  std::vector<StatusWriter> deciders{StatusWriter("v2", kOrder),
                                     StatusWriter("v2", kOrder)};
  std::array<int, 2> lives{};
  std::vector<CallInProgress> calls;
  // All statuses that the row had for the order.
  std::string history;
  int losses = 0;
  int restarts = 0;
};

Status Wanted(int decider) {
  return decider == 0 ? Status::kCompleted : Status::kRolledBack;
}

void Perform(World& world, CallInProgress& call) {
  call.is_performed = true;
  if (std::holds_alternative<StatusWriter::Read>(call.effect)) {
    call.row = world.row;
    return;
  }
  const auto& write = std::get<StatusWriter::Write>(call.effect);
  const std::uint64_t present = world.row ? world.row->version : 0;
  call.has_conflict = present != write.expected_version;
  if (call.has_conflict) return;
  world.row = write.row;
  world.row->version = call.version = ++world.store_version;
  if (write.row.order == kOrder) {
    world.history +=
        static_cast<char>('0' + static_cast<int>(write.row.status));
  }
}

void Answer(World& world, const CallInProgress& call, bool is_lost) {
  if (call.life != world.lives[call.decider]) return;
  StatusWriter& decider = world.deciders[call.decider];
  if (std::holds_alternative<StatusWriter::Read>(call.effect)) {
    if (is_lost) {
      decider.OnRead(make_error_code(Error::kOutcomeUnknown));
    } else {
      decider.OnRead(call.row);
    }
  } else if (is_lost) {
    decider.OnWritten(make_error_code(Error::kOutcomeUnknown));
  } else if (call.has_conflict) {
    decider.OnWritten(make_error_code(Error::kConflict));
  } else {
    decider.OnWritten(call.version);
  }
}

std::string Describe(const World& world) {
  const auto row = [](const std::optional<StatusRow>& value) {
    return value ? std::to_string(static_cast<int>(value->status)) + "." +
                       std::to_string(value->order.version) + "." +
                       std::to_string(value->version)
                 : std::string("-");
  };
  std::string text = row(world.row) + "|" + world.history + "|" +
                     std::to_string(world.losses) + "," +
                     std::to_string(world.restarts);
  for (const StatusWriter& decider : world.deciders) {
    StatusWriter copy = decider;
    // The next effect and the status show the whole state.
    const auto effect = copy.Tick(Status::kCompleted);
    text += "|" + std::to_string(effect.index());
    if (const auto* write = std::get_if<StatusWriter::Write>(&effect)) {
      text += "w" + std::to_string(static_cast<int>(write->row.status)) + "@" +
              std::to_string(write->expected_version);
    }
    text += decider.status()
                ? "s" + std::to_string(static_cast<int>(*decider.status()))
                : "s-";
  }
  for (const CallInProgress& call : world.calls) {
    text += "|c" + std::to_string(call.decider) +
            (call.life == world.lives[call.decider] ? "n" : "o") +
            std::to_string(call.effect.index()) +
            (call.is_performed ? "p" : "u") + row(call.row) +
            (call.has_conflict ? "x" : "") + std::to_string(call.version);
    if (const auto* write = std::get_if<StatusWriter::Write>(&call.effect)) {
      text += "w" + std::to_string(static_cast<int>(write->row.status)) + "@" +
              std::to_string(write->expected_version);
    }
  }
  return text;
}

class Exploration {
 public:
  void Explore(const World& world, int depth) {
    if (!seen_.insert(std::to_string(depth) + Describe(world)).second) return;
    Check(world);
    if (depth == 0) return;
    for (int decider = 0; decider < 2; ++decider) {
      World next = world;
      const auto effect = next.deciders[decider].Tick(Wanted(decider));
      if (effect.index() != 0) {
        next.calls.push_back({.decider = decider,
                              .life = next.lives[decider],
                              .effect = effect,
                              .row = {}});
        Explore(next, depth - 1);
      }
      if (world.restarts < 1) {
        World restarted = world;
        restarted.deciders[decider] = StatusWriter("v2", kOrder);
        ++restarted.lives[decider];
        ++restarted.restarts;
        Explore(restarted, depth - 1);
      }
    }
    for (std::size_t i = 0; i < world.calls.size(); ++i) {
      if (!world.calls[i].is_performed) {
        World next = world;
        Perform(next, next.calls[i]);
        Explore(next, depth - 1);
        // The decider gives up; the store performs the call later.
        if (world.losses < 2) {
          World lost = world;
          Answer(lost, lost.calls[i], true);
          lost.calls[i].life = -1;
          ++lost.losses;
          Explore(lost, depth - 1);
        }
        continue;
      }
      for (const bool is_lost : {false, true}) {
        if (is_lost && world.losses >= 2) continue;
        World next = world;
        const CallInProgress call = next.calls[i];
        next.calls.erase(next.calls.begin() + static_cast<std::ptrdiff_t>(i));
        Answer(next, call, is_lost);
        if (is_lost) ++next.losses;
        Explore(next, depth - 1);
      }
    }
  }

  std::size_t count() const { return seen_.size(); }
  const std::set<std::string>& histories() const { return histories_; }

 private:
  void Check(const World& world) {
    histories_.insert(world.history);
    for (const StatusWriter& decider : world.deciders) {
      if (!decider.is_final()) continue;
      // What a decider takes as final is what the store has.
      if (world.row->status != *decider.status()) ++faults;
    }
  }

  std::set<std::string> seen_;
  std::set<std::string> histories_;

 public:
  int faults = 0;
};

// Guards against an order that is first completed and then rolled back, or the
// reverse: all interleavings of two deciders with opposite aims, lost answers,
// writes that the store performs late, and a restart, to a depth of 14 events.
TEST_CASE("no two opposite statuses are ever written for one order") {
  for (const bool has_earlier_row : {false, true}) {
    World world;
    if (has_earlier_row) {
      world.row = StatusRow{.status = Status::kCompleted,
                            .to = "v1",
                            .order = {.version = kOrder.version - 1},
                            .version = 50};
    }
    Exploration exploration;
    exploration.Explore(world, 14);
    INFO(exploration.count());
    REQUIRE(exploration.count() > 10'000);
    REQUIRE(exploration.faults == 0);
    // `running` first, and then one end.
    REQUIRE(exploration.histories() ==
            std::set<std::string>{"", "0", "01", "02"});
  }
}

// Guards against a decider of an earlier order that writes over the status of a
// later one.
TEST_CASE("the status of a later order is left alone") {
  StatusWriter writer("v2", kOrder);
  REQUIRE(std::holds_alternative<StatusWriter::Read>(
      writer.Tick(Status::kRunning)));
  writer.OnRead(std::optional<StatusRow>(
      StatusRow{.status = Status::kRunning,
                .to = "v3",
                .order = {.version = kOrder.version + 1},
                .version = 50}));
  REQUIRE(writer.is_superseded());
  REQUIRE(writer.Tick(Status::kCompleted).index() == 0);
}

// Guards against an order without status: a late write for an order of before
// the store's return named a greater version.
TEST_CASE("the status of an earlier era is written over") {
  constexpr StorePosition kAgain{.era = 2, .version = 30};
  const auto read = [&](StorePosition order) {
    StatusWriter writer("v2", kAgain);
    writer.Tick(Status::kRunning);
    writer.OnRead(std::optional<StatusRow>(StatusRow{
        .status = Status::kRolledBack, .order = order, .version = 50}));
    return writer;
  };
  for (const std::uint64_t version : {30U, 60U}) {
    StatusWriter writer = read({.era = 1, .version = version});
    REQUIRE_FALSE(writer.is_superseded());
    REQUIRE_FALSE(writer.is_final());
    REQUIRE(std::holds_alternative<StatusWriter::Write>(
        writer.Tick(Status::kRunning)));
  }
  // A row of a node of the last landing tells no era.
  REQUIRE(read({.version = 30}).is_final());
}

}  // namespace
}  // namespace oleandertide::rollout
