#!/usr/bin/env python3
"""Runs every published measurement and writes build/bench/results.json.

Each result has name, value, unit, bound (from the stated target, or null),
nodes and command. Real processes run on loopback; the programs that measure
decisions in virtual time are run as they are and their lines are merged.
"""

import argparse
import datetime
import json
import os
import pathlib
import random
import re
import statistics
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "system"))

from cluster import Cluster, wait_until  # noqa: E402

FULL_SIZES = (20, 40, 80, 160)
QUICK_SIZES = (10,)
FULL_PROMOTIONS = 20
QUICK_PROMOTIONS = 3
FULL_IDLE_SECONDS = 10
QUICK_IDLE_SECONDS = 4
FULL_LOAD_SECONDS = 8
QUICK_LOAD_SECONDS = 2
LOAD_RATE = 200
PACKET_HEADER_BYTES = 66  # Ethernet, IP and TCP with timestamps.

# The stated targets for 1,100 nodes.
CONVERGENCE_BOUND_SECONDS = 7
CONTROL_BYTES_BOUND = 27_000
CORE_PERCENT_BOUND = 1.1
MEMORY_BOUND_MEGABYTES = 64
ADDED_LATENCY_BOUND_MILLISECONDS = 1.3
GOODPUT_BOUND = 0.9
AMPLIFICATION_BOUND = 1.1

DOCUMENT = """\
[document]
format = 1
[service booking]
[route lookup]
service = booking
path = /lookup
methods = GET
class = lookup
[route version-{version}]
service = booking
path = /version-{version}
methods = GET
class = lookup
"""


class Results:
    def __init__(self):
        self.rows = []

    def add(self, name, value, unit, nodes, command, bound=None):
        row = {"name": name, "value": round(value, 4), "unit": unit, "bound": bound,
               "nodes": nodes, "command": command}
        self.rows.append(row)

    def merge_lines(self, text, command, prefix):
        """Merges the JSON lines that a measuring program printed."""
        for line in text.splitlines():
            if not line.startswith("{"):
                continue
            row = json.loads(line)
            if "name" not in row or not isinstance(row.get("value"), (int, float)):
                continue
            self.rows.append({
                "name": f"{prefix}/{row['name']}", "value": row["value"],
                "unit": row.get("unit", ""), "bound": row.get("bound"),
                "nodes": row.get("nodes"), "command": command})

    def value(self, name):
        for row in self.rows:
            if row["name"] == name:
                return row["value"]
        return None


def progress(text):
    print(f"{datetime.datetime.now():%H:%M:%S} {text}", flush=True)


def start_fleet(cluster, size, with_backends, data_centres=4):
    """Starts `size` nodes; each two data centres make a region."""
    cluster.start_platform("--reads_per_second=2000", "--writes_per_second=300")
    for index in range(size):
        data_centre = index % data_centres
        cluster.add_node(f"dc{data_centre}", f"region{data_centre // 2}")
    for node in cluster.nodes:
        node.start()
    for node in cluster.nodes:
        wait_until(lambda node=node: node.status() is not None, 60, "node answers")
        if with_backends:
            node.start_backend("--service_time_ms=1")
    cluster.accept(DOCUMENT.format(version=0))
    cluster.wait_for_sequence(1, 60)
    cluster.wait_for_endpoints(size, 60)


def activation_times(node):
    """Sequence to UTC time at which the node's log says it came into force."""
    times = {}
    pattern = re.compile(
        r'^(\S+)Z info \S+ control "configuration in force" sequence=(\d+) ')
    with open(node.process.log_path) as log:
        for line in log:
            match = pattern.match(line)
            if match:
                moment = datetime.datetime.fromisoformat(match.group(1) + "+00:00")
                times[int(match.group(2))] = moment.timestamp()
    return times


def measure_convergence(cluster, promotions):
    """Seconds from before each promotion until all nodes act on it."""
    started = {}
    for version in range(1, promotions + 1):
        path = cluster.folder / "document.ini"
        path.write_text(DOCUMENT.format(version=version))
        cluster.command("submit", path)
        started[version + 1] = time.time()
        cluster.command("promote")
        wait_until(lambda version=version: cluster.nodes[0].status()["sequence"] > version,
                   60, "promotion in force at one node")
        time.sleep(0.2 + random.random())
    cluster.wait_for_sequence(promotions + 1, 60)
    per_node = [activation_times(node) for node in cluster.nodes]
    # A node may skip a sequence when the next one is committed first; then the
    # later one is what it acts on.
    def reached(times, sequence):
        return min(moment for number, moment in times.items() if number >= sequence)

    return [max(reached(times, sequence) for times in per_node) - begin
            for sequence, begin in started.items()]


class Sample:
    """Counters of all nodes and the platform at one moment."""

    def __init__(self, cluster):
        self.time = time.monotonic()
        statuses = [node.status() for node in cluster.nodes]
        self.peer_bytes = sum(
            status["peer_traffic"]["bytes_sent"] + status["peer_traffic"]["bytes_received"]
            + PACKET_HEADER_BYTES * status["peer_traffic"]["packets"]
            for status in statuses)
        self.platform_bytes = sum(
            status["platform"]["bytes_sent"] + status["platform"]["bytes_received"]
            for status in statuses)
        self.processor = sum(node.process.processor_seconds() for node in cluster.nodes)
        self.memory = max(node.process.memory_kilobytes() for node in cluster.nodes)
        statistics_now = cluster.platform_statistics()
        reads = statistics_now["reads"]
        self.reads = reads["rows"] + reads["objects"]
        self.writes = statistics_now["writes"]["transactions"]


def measure_idle(cluster, seconds, results, command):
    size = len(cluster.nodes)
    first = Sample(cluster)
    time.sleep(seconds)
    last = Sample(cluster)
    elapsed = last.time - first.time
    per_node = 1 / elapsed / size
    control = (last.peer_bytes - first.peer_bytes
               + last.platform_bytes - first.platform_bytes) * per_node
    results.add("control_bytes_per_node_second", control, "B/s", size, command,
                CONTROL_BYTES_BOUND)
    results.add("control_core_percent", 100 * (last.processor - first.processor) * per_node,
                "%", size, command, CORE_PERCENT_BOUND)
    results.add("node_resident_megabytes", last.memory / 1024, "MB", size, command,
                MEMORY_BOUND_MEGABYTES)
    results.add("platform_reads_per_second", (last.reads - first.reads) / elapsed,
                "1/s", size, command)
    results.add("platform_writes_per_second", (last.writes - first.writes) / elapsed,
                "1/s", size, command)


def measure_fleet(size, options, results, command):
    progress(f"{size} nodes: start")
    with Cluster(options.binaries) as cluster:
        start_fleet(cluster, size, with_backends=False)
        time.sleep(3)
        progress(f"{size} nodes: idle for {options.idle_seconds} s")
        measure_idle(cluster, options.idle_seconds, results, command)
        progress(f"{size} nodes: {options.promotions} promotions")
        times = measure_convergence(cluster, options.promotions)
        results.add("convergence_seconds_worst", max(times), "s", size, command,
                    CONVERGENCE_BOUND_SECONDS)
        results.add("convergence_seconds_median", statistics.median(times), "s", size,
                    command, CONVERGENCE_BOUND_SECONDS)


def run_load(cluster, servers, seconds, *extra):
    done = subprocess.run(
        [cluster.binary("caller_stand_in"), f"--servers={','.join(servers)}",
         f"--rate={LOAD_RATE}", f"--seconds={seconds}", "--path=/lookup",
         "--threads=8", *extra],
        capture_output=True, text=True, timeout=seconds + 60, check=True)
    return json.loads(done.stdout)


def processor_seconds(cluster):
    return sum(node.process.processor_seconds() for node in cluster.nodes)


def measure_latency(options, results, command):
    """Added latency: the same caller to a backend server, direct and by a node."""
    progress(f"added latency at {LOAD_RATE} calls/s")
    size = 4
    with Cluster(options.binaries) as cluster:
        # One data centre, so that three of four calls cross to another node.
        start_fleet(cluster, size, with_backends=True, data_centres=1)
        port_file = cluster.folder / "backend-0.port"
        direct_address = f"127.0.0.1:{port_file.read_text().strip()}"
        direct, meshed, costs = [], [], []
        for _ in range(3):
            idle = processor_seconds(cluster)
            direct.append(run_load(cluster, [direct_address], options.load_seconds))
            before = processor_seconds(cluster)
            meshed.append(run_load(
                cluster, [cluster.nodes[0].address("callers")], options.load_seconds))
            after = processor_seconds(cluster)
            # The direct run, of the same length, shows what the nodes use idle.
            costs.append(((after - before) - (before - idle)) / meshed[-1]["sent"])
        results.add("processor_microseconds_per_call", 1e6 * statistics.median(costs), "us",
                    size, command)
        for quantile in ("p50", "p99"):
            direct_ms = statistics.median(r["latency_ms"][quantile] for r in direct)
            mesh_ms = statistics.median(r["latency_ms"][quantile] for r in meshed)
            bound = ADDED_LATENCY_BOUND_MILLISECONDS if quantile == "p99" else None
            results.add(f"direct_latency_milliseconds_{quantile}", direct_ms, "ms", size, command)
            results.add(f"mesh_latency_milliseconds_{quantile}", mesh_ms, "ms", size, command)
            results.add(f"added_latency_milliseconds_{quantile}", mesh_ms - direct_ms, "ms",
                        size, command, bound)


def run_program(options, name, prefix, results):
    path = pathlib.Path(options.binaries) / name
    if not path.exists():
        progress(f"{name}: not built, skipped")
        return
    progress(f"{name}")
    arguments = [str(path)] + (["--quick"] if options.quick else [])
    try:
        done = subprocess.run(arguments, capture_output=True, text=True, timeout=300)
    except subprocess.TimeoutExpired:
        progress(f"{name}: not within 300 s")
        return
    if done.returncode != 0:
        progress(f"{name}: exit status {done.returncode}: {done.stderr.strip()[:200]}")
    results.merge_lines(done.stdout, f"{name}{' --quick' if options.quick else ''}", prefix)


def print_table(results):
    print(f"\n{'name':58} {'nodes':>6} {'value':>12} {'unit':6} {'bound':>8}")
    for row in results.rows:
        bound = "" if row["bound"] is None else row["bound"]
        nodes = "" if row["nodes"] is None else row["nodes"]
        print(f"{row['name']:58} {nodes!s:>6} {row['value']:>12} {row['unit']:6} {bound!s:>8}")


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="ends within a minute")
    parser.add_argument("--binaries", default=str(ROOT / "build" / "bin"))
    parser.add_argument("--sizes", help="comma-separated numbers of nodes")
    parser.add_argument("--only", choices=("fleet", "latency", "programs"))
    parser.add_argument("--output", default=str(ROOT / "build" / "bench" / "results.json"))
    options = parser.parse_args()
    options.promotions = QUICK_PROMOTIONS if options.quick else FULL_PROMOTIONS
    options.idle_seconds = QUICK_IDLE_SECONDS if options.quick else FULL_IDLE_SECONDS
    options.load_seconds = QUICK_LOAD_SECONDS if options.quick else FULL_LOAD_SECONDS
    sizes = QUICK_SIZES if options.quick else FULL_SIZES
    if options.sizes:
        sizes = tuple(int(size) for size in options.sizes.split(","))
    options.sizes = sizes
    return options


def main():
    options = parse_options()
    random.seed(20261204)
    command = "scripts/bench.sh" + (" --quick" if options.quick else "")
    results = Results()
    if options.only in (None, "latency"):
        measure_latency(options, results, command)
    if options.only in (None, "fleet"):
        for size in options.sizes:
            measure_fleet(size, options, results, command)
    if options.only in (None, "programs"):
        run_program(options, "distribution_bench", "distribution", results)
        run_program(options, "routing_bench", "routing", results)
        run_program(options, "idempotency_bench", "once", results)
    add_headline_figures(results)
    output = pathlib.Path(options.output)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(results.rows, indent=1) + "\n")
    print_table(results)
    exceeded = [row for row in results.rows
                if row["bound"] is not None and not is_within(row)]
    for row in exceeded:
        print(f"out of bound: {row['name']} at {row['nodes']} nodes: "
              f"{row['value']} {row['unit']}, bound {row['bound']}")
    return 1 if exceeded else 0


def is_within(row):
    if "goodput" in row["name"]:
        return row["value"] >= row["bound"]
    return row["value"] <= row["bound"]


def add_headline_figures(results):
    """Gives the figures of the routing program their published names."""
    published = {
        "overload_goodput_ratio": (GOODPUT_BOUND, lambda name: (
            name.endswith("full.load-10.goodput"))),
        "retry_amplification": (AMPLIFICATION_BOUND, lambda name: (
            "chain.budget" in name)),
    }
    for name, (bound, matches) in published.items():
        rows = [row for row in results.rows
                if row["name"].startswith("routing/") and matches(row["name"])]
        if not rows:
            continue
        worst = (min if "goodput" in name else max)(rows, key=lambda row: row["value"])
        results.add(name, worst["value"], "ratio", worst["nodes"],
                    f"{worst['command']}: {worst['name']}", bound)


if __name__ == "__main__":
    sys.exit(main())
