"""Base class and helpers of the system tests.

The folder of the built programs comes from OLEANDERTIDE_BINARIES.
"""

import concurrent.futures
import json
import os
import threading
import time
import typing
import unittest

from cluster import Cluster, request, wait_until

LIMIT_SECONDS = 30

ROOMS = """\
[route rooms]
service = booking
path = /rooms
methods = GET
class = lookup
"""

BOOKINGS = """\
[route bookings]
service = booking
path = /bookings
methods = POST
class = booking
"""


def document(*sections):
    """A document with the service booking and the given sections."""
    return "\n".join(["[document]\nformat = 1\n", "[service booking]\n", *sections])


class Answer(typing.NamedTuple):
    """What a caller learnt about one request.

    The outcome is complete, not-run or unknown as the node stated it; lost if
    the connection ended without an answer; unreachable if there was none.
    """

    outcome: str
    reason: str
    headers: dict
    body: bytes

    def is_replayed(self):
        return "Oleandertide-Replayed" in self.headers


def call(node, method, path, key=None, body="", deadline_ms=5000):
    """Sends one request through a node."""
    headers = {"Oleandertide-Deadline-Milliseconds": str(deadline_ms)}
    if key is not None:
        headers["Idempotency-Key"] = key
    try:
        _, headers, content = request(
            node.address("callers"), method, path, body, headers,
            timeout=deadline_ms / 1000 + 15)
    except ConnectionRefusedError:
        return Answer("unreachable", "", {}, b"")
    except Exception:  # Any other end of the connection leaves a doubt.
        return Answer("lost", "", {}, b"")
    if headers.get("Content-Type", "").startswith("application/problem+json"):
        problem = json.loads(content)
        return Answer(problem["outcome"], problem["reason"], headers, content)
    return Answer("complete", "", headers, content)


def call_all(calls):
    """Runs functions at the same time; returns their results in order."""
    with concurrent.futures.ThreadPoolExecutor(max(1, len(calls))) as pool:
        return [future.result() for future in [pool.submit(c) for c in calls]]


class StatusRecorder(threading.Thread):
    """Collects the sequences and standings that a node shows until stopped."""

    def __init__(self, nodes):
        super().__init__()
        self.nodes = nodes
        self.sequences = {node.index: [] for node in nodes}
        self.finished = threading.Event()

    def run(self):
        while not self.finished.wait(0.02):
            for node in self.nodes:
                status = node.status()
                if status:
                    self.sequences[node.index].append(status["sequence"])

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.finished.set()
        self.join()


class SystemTest(unittest.TestCase):
    """A test with a platform stand-in and nodes in two data centres."""

    nodes_per_data_centre = 3
    settings = {}

    def setUp(self):
        self.cluster = self.enterContext(
            Cluster(os.environ.get("OLEANDERTIDE_BINARIES", "build/bin"),
                    self.settings))
        for _ in range(self.nodes_per_data_centre):
            self.cluster.add_node("dc1", "north")
            self.cluster.add_node("dc2", "south")
        self.nodes = self.cluster.nodes

    def start(self, text, *backend_options):
        """Starts everything with a document accepted as sequence 1."""
        self.cluster.start_platform()
        self.cluster.accept(text)
        for node in self.nodes:
            node.start()
            node.start_backend(*backend_options)
        self.wait_until_served()

    def wait_until_served(self, path="/rooms/ready"):
        """Waits until every node is confirmed and sees every backend server."""
        self.cluster.wait_for_endpoints(len(self.nodes))
        wait_until(
            lambda: all(
                (node.status() or {}).get("backend_server")
                and node.status()["standing"] == "confirmed"
                for node in self.nodes),
            LIMIT_SECONDS, "backend servers and confirmation on all nodes")
        for node in self.nodes:
            wait_until(
                lambda node=node: call(node, "GET", path).outcome == "complete",
                LIMIT_SECONDS, f"{path} through node {node.index}")

    def wait_for_standing(self, standing, nodes=None):
        wait_until(
            lambda: all((node.status() or {}).get("standing") == standing
                        for node in nodes or self.nodes),
            LIMIT_SECONDS, f"standing {standing}")

    def runs(self):
        """All runs at all backend servers."""
        return [run for node in self.nodes for run in node.runs()]

    def runs_of_path(self, prefix):
        return [run for run in self.runs() if run[2].startswith(prefix)]

    def assert_stays(self, measure, seconds, what):
        """Fails if a measured value changes within a time."""
        before = measure()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(0.1)
            self.assertEqual(before, measure(), what)
