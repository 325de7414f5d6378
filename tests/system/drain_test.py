"""Guards against a planned stop that cuts a request or doubles one.

Backend servers and nodes are restarted one data centre after the other while
callers send lookups and bookings.
"""

import collections
import signal
import time
import unittest

from cluster import Process, wait_until
from scenario import BOOKINGS, LIMIT_SECONDS, ROOMS, SystemTest, document

# A backend server that leaves serves for longer than the node needs to
# withdraw it: the announce time of 2 s (settings, [drain]) and a margin.
LEAVE_MILLISECONDS = 3000

# The restarts take about 20 s.
LOAD_SECONDS = 26


class Load:
    """Callers that send to all nodes for a time."""

    def __init__(self, cluster, name, seconds, *options):
        self.log = cluster.folder / f"{name}.requests"
        self.process = Process(
            name,
            [
                cluster.binary("caller_stand_in"),
                "--servers=" + ",".join(
                    node.address("callers") for node in cluster.nodes),
                f"--seconds={seconds}",
                f"--key_prefix={name}",
                f"--log_file={self.log}",
                "--deadline_ms=5000",
                "--threads=24",
                *options,
            ],
            cluster.folder / f"{name}.log")
        cluster.processes.append(self.process)

    def finish(self):
        """Waits for the end; returns the lines (key, status, outcome, reason)."""
        if self.process.wait(120) != 0:
            raise RuntimeError(self.process.log_path.read_text())
        return [line.split() for line in self.log.read_text().splitlines()]


class DrainTest(SystemTest):

    nodes_per_data_centre = 2

    def start_load(self, seconds):
        return [
            Load(self.cluster, "look", seconds, "--rate=60", "--path=/rooms"),
            Load(self.cluster, "book", seconds, "--rate=60", "--method=POST",
                 "--path=/bookings", "--body=a booking"),
        ]

    def check(self, loads):
        # The record of runs is complete only once all requests have ended.
        finished = [(load, load.finish()) for load in loads]
        runs = collections.Counter(run[0] for run in self.runs())
        for load, lines in finished:
            outcomes = collections.Counter(outcome for _, _, outcome, _ in lines)
            print(load.process.name, dict(outcomes),
                  dict(collections.Counter(r for _, _, _, r in lines if r != "-")))
            doubtful = [line for line in lines
                        if line[2] not in ("complete", "not-run", "unreachable")]
            self.assertEqual([], doubtful, "requests with a doubtful outcome")
            for key, status, outcome, reason in lines:
                expected = 1 if outcome == "complete" else 0
                self.assertEqual(expected, runs[key], (key, status, outcome, reason))
            # Refusals are allowed, but the callers must be served throughout.
            self.assertGreater(outcomes["complete"], 0.8 * len(lines))

    def restart_backends(self, nodes):
        for node in nodes:
            node.backend.send(signal.SIGTERM)
        # The announce time, and half a second for a run to be recorded.
        wait_until(lambda: all(self.has_no_new_run(node) for node in nodes), 4,
                   "leaving backend servers without new runs")
        for node in nodes:
            self.assertTrue(node.backend.is_running())
        counts = [len(node.runs()) for node in nodes]
        for node in nodes:
            self.assertEqual(0, node.backend.wait(LIMIT_SECONDS))
        self.assertEqual(counts, [len(node.runs()) for node in nodes])
        for node in nodes:
            node.start_backend()
        self.wait_for_backends(nodes)

    @staticmethod
    def has_no_new_run(node):
        """Whether a backend server has no run within half a second."""
        before = len(node.runs())
        time.sleep(0.5)
        return len(node.runs()) == before

    def wait_for_backends(self, nodes):
        def run_again():
            return all(len(node.runs()) > count
                       for node, count in zip(nodes, counts))

        start = time.monotonic()
        self.cluster.wait_for_endpoints(len(self.nodes))
        counts = [len(node.runs()) for node in nodes]
        wait_until(run_again, LIMIT_SECONDS, "runs at new backend servers",
                   self.cluster.describe)
        print(f"back after {time.monotonic() - start:.1f} s")

    def restart_nodes(self, nodes):
        start = time.monotonic()
        for node in nodes:
            node.process.send(signal.SIGTERM)
        for node in nodes:
            self.assertEqual(0, node.process.wait(LIMIT_SECONDS))
        print(f"nodes ended after {time.monotonic() - start:.1f} s")
        for node in nodes:
            node.start()
        self.wait_for_backends(nodes)

    def test_rolling_restart(self):
        self.start(document(ROOMS, BOOKINGS), "--service_time_ms=50",
                   f"--leave_time_ms={LEAVE_MILLISECONDS}")
        loads = self.start_load(LOAD_SECONDS)
        # One of each data centre at a time: half of the fleet stays.
        for nodes in (self.nodes[:2], self.nodes[2:]):
            self.restart_backends(nodes)
        for nodes in (self.nodes[:2], self.nodes[2:]):
            self.restart_nodes(nodes)
        self.check(loads)


if __name__ == "__main__":
    unittest.main()
