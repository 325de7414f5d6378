// Counted measurements of dissemination in virtual time. Prints one JSON
// object per line. The whole sweep takes about a minute, most of it for 1,100
// nodes.

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "distribution/fake_mesh.h"

DEFINE_bool(quick, false, "measure 20 and 80 nodes only");
DEFINE_string(nodes, "20,40,80,160,1100", "numbers of nodes");
DEFINE_int32(gossip_milliseconds, 500, "gossip interval");
DEFINE_int32(fanout, 3, "further partners in the own data centre");
DEFINE_int32(promotions, 20, "promotions per measurement of convergence");
DEFINE_int32(large_promotions, 5,
             "the same above 160 nodes, where each takes longer to run");
DEFINE_bool(baseline, true, "also measure the baseline in which nodes poll");
DEFINE_bool(churn, true, "also measure restarts");
DEFINE_uint64(seed, 1, "seed of all random choices");

namespace oleandertide::distribution {
namespace {

constexpr Duration kConvergenceLimit = std::chrono::seconds(30);
constexpr Duration kStartLimit = std::chrono::seconds(60);
constexpr Duration kSettleLimit = std::chrono::seconds(60);
constexpr Duration kIdleTime = std::chrono::seconds(20);
// Ordinary restarts: 220 a day are one in 393 s; measured faster, one in 10 s.
constexpr Duration kRestartInterval = std::chrono::seconds(10);
constexpr Duration kChurnTime = std::chrono::seconds(30);
constexpr Duration kHerdTime = std::chrono::seconds(30);
constexpr std::size_t kDataCentres = 4;

void Print(const std::string& name, double value, const std::string& unit,
           std::size_t nodes) {
  std::printf(
      "{\"name\":\"%s\",\"value\":%.3f,\"unit\":\"%s\",\"nodes\":%zu}\n",
      name.c_str(), value, unit.c_str(), nodes);
  std::fflush(stdout);
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

MeshConfig MakeConfig(std::size_t nodes, bool is_baseline) {
  MeshConfig config;
  config.data_centres = {
      {"dc1", "r1"}, {"dc2", "r1"}, {"dc3", "r2"}, {"dc4", "r2"}};
  config.nodes_per_data_centre = nodes / kDataCentres;
  config.options.gossip_interval =
      std::chrono::milliseconds(FLAGS_gossip_milliseconds);
  config.options.fanout = static_cast<std::size_t>(FLAGS_fanout);
  config.options.every_node_polls = is_baseline;
  config.seed = FLAGS_seed;
  return config;
}

// Bytes sent and received per node and second: the mean over all nodes and the
// largest of one node.
struct Bytes {
  double mean = 0;
  double largest = 0;
};

Bytes BytesPerSecond(FakeMesh& mesh, Duration duration) {
  Bytes bytes;
  for (const FakeMesh::Node& node : mesh.nodes()) {
    const double both =
        static_cast<double>(node.bytes_sent + node.bytes_received) /
        Seconds(duration);
    bytes.mean += both / static_cast<double>(mesh.nodes().size());
    bytes.largest = std::max(bytes.largest, both);
  }
  return bytes;
}

void PrintBytes(const std::string& name, FakeMesh& mesh, Duration duration) {
  const Bytes bytes = BytesPerSecond(mesh, duration);
  const std::size_t nodes = mesh.nodes().size();
  Print(name + "_control_bytes_mean", bytes.mean, "bytes/s/node", nodes);
  Print(name + "_control_bytes_largest", bytes.largest, "bytes/s/node", nodes);
  Print(name + "_platform_reads",
        static_cast<double>(mesh.platform_reads()) / Seconds(duration),
        "reads/s", nodes);
  Print(name + "_platform_writes",
        static_cast<double>(mesh.platform_writes()) / Seconds(duration),
        "writes/s", nodes);
}

bool TablesAreEqual(FakeMesh& mesh) {
  const std::uint64_t hash = mesh.nodes()[0].distributor->table().hash();
  return std::all_of(mesh.nodes().begin(), mesh.nodes().end(),
                     [&](const FakeMesh::Node& node) {
                       return node.distributor->table().hash() == hash;
                     });
}

// Restarts single nodes, then a quarter of all nodes at once.
void MeasureChurn(FakeMesh& mesh) {
  const std::size_t nodes = mesh.nodes().size();
  mesh.ResetMeasures();
  for (Duration at{}; at < kChurnTime; at += kRestartInterval) {
    mesh.Restart(mesh.random().Below(nodes));
    mesh.RunFor(kRestartInterval);
  }
  PrintBytes("restart_every_10s", mesh, kChurnTime);
  mesh.ResetMeasures();
  for (std::size_t i = 0; i < nodes; i += kDataCentres) mesh.Restart(i);
  const auto ready =
      mesh.RunUntil([&] { return mesh.AllActive(mesh.accepted()); }, kHerdTime);
  Print("herd_ready", Seconds(ready.value_or(kHerdTime)), "s", nodes);
  mesh.RunFor(kHerdTime - ready.value_or(kHerdTime));
  PrintBytes("herd", mesh, kHerdTime);
  Print("herd_platform_reads_peak", static_cast<double>(mesh.peak_reads()),
        "reads/s", nodes);
}

std::size_t FirstReader(FakeMesh& mesh) {
  for (std::size_t i = 0; i < mesh.nodes().size(); ++i) {
    const auto& distributor = mesh.nodes()[i].distributor;
    if (distributor != nullptr && distributor->is_reader()) return i;
  }
  return 0;
}

// Worst time of several promotions until every running node acts on the
// version. With `kills_reader`, a reader stops within 1 s after each promotion
// and returns before the next.
double WorstConvergence(FakeMesh& mesh, bool kills_reader) {
  constexpr std::size_t kLargeMesh = 160;
  const int promotions = mesh.nodes().size() > kLargeMesh
                             ? FLAGS_large_promotions
                             : FLAGS_promotions;
  Duration worst = Duration::zero();
  for (int i = 0; i < promotions; ++i) {
    mesh.RunFor(mesh.random().Between(std::chrono::milliseconds(200),
                                      std::chrono::milliseconds(1200)));
    const std::uint64_t sequence = mesh.Promote();
    Duration before = Duration::zero();
    std::size_t killed = 0;
    if (kills_reader) {
      before = mesh.random().Between(std::chrono::milliseconds(100),
                                     std::chrono::milliseconds(1000));
      mesh.RunFor(before);
      killed = FirstReader(mesh);
      mesh.Kill(killed);
    }
    const auto taken = mesh.RunUntil([&] { return mesh.AllActive(sequence); },
                                     kConvergenceLimit);
    worst = std::max(worst, before + taken.value_or(kConvergenceLimit));
    if (kills_reader) {
      mesh.StartNode(killed);
      mesh.RunUntil([&] { return mesh.AllActive(sequence); },
                    kConvergenceLimit);
    }
  }
  return Seconds(worst);
}

void Measure(std::size_t nodes, bool is_baseline) {
  const std::string prefix = is_baseline ? "baseline_" : "";
  FakeMesh mesh(MakeConfig(nodes, is_baseline));
  const std::uint64_t first = mesh.Promote();
  mesh.StartAll();
  const auto ready =
      mesh.RunUntil([&] { return mesh.AllActive(first); }, kStartLimit);
  Print(prefix + "start_of_all_nodes", Seconds(ready.value_or(kStartLimit)),
        "s", nodes);
  Print(prefix + "start_platform_reads_peak",
        static_cast<double>(mesh.peak_reads()), "reads/s", nodes);
  const auto settled =
      mesh.RunUntil([&] { return TablesAreEqual(mesh); }, kSettleLimit);
  Print(prefix + "start_tables_equal",
        Seconds(ready.value_or(kStartLimit) + settled.value_or(kSettleLimit)),
        "s", nodes);
  if (!is_baseline)
    PrintBytes("start", mesh,
               ready.value_or(kStartLimit) + settled.value_or(kSettleLimit));
  mesh.ResetMeasures();
  mesh.RunFor(kIdleTime);
  PrintBytes(prefix + "idle", mesh, kIdleTime);
  Print(prefix + "convergence_worst", WorstConvergence(mesh, false), "s",
        nodes);
  if (is_baseline) return;
  mesh.loss = 0.05;
  Print("convergence_worst_loss", WorstConvergence(mesh, false), "s", nodes);
  Print("convergence_worst_loss_and_reader_killed",
        WorstConvergence(mesh, true), "s", nodes);
  mesh.loss = 0;
  if (FLAGS_churn) MeasureChurn(mesh);
  Print("violations", static_cast<double>(mesh.violations().size()), "count",
        nodes);
}

int Main() {
  std::string list = FLAGS_quick ? "20,80" : FLAGS_nodes;
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    const std::size_t nodes = std::stoul(list.substr(0, comma));
    list = comma == std::string::npos ? "" : list.substr(comma + 1);
    Measure(nodes, false);
    if (FLAGS_baseline) Measure(nodes, true);
  }
  return 0;
}

}  // namespace
}  // namespace oleandertide::distribution

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return oleandertide::distribution::Main();
}
