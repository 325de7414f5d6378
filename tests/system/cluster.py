"""Starts the platform stand-in, nodes and backend server stand-ins on loopback.

Used by the demo, the system tests and the benchmarks. Ends only the processes
that it started, by their process ids.
"""

import http.client
import json
import os
import pathlib
import random
import signal
import subprocess
import tempfile
import time

START_TIMEOUT_SECONDS = 30


class Process:
    """A child process with its log file."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.log_path = log_path
        with open(log_path, "ab") as log:
            self.child = subprocess.Popen(arguments, stdout=log, stderr=log)

    def is_running(self):
        return self.child.poll() is None

    def send(self, signal_number):
        if self.is_running():
            self.child.send_signal(signal_number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def wait(self, seconds):
        """Returns the exit status, or None if the process still runs."""
        try:
            return self.child.wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            return None

    def memory_kilobytes(self):
        with open(f"/proc/{self.child.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    def processor_seconds(self):
        with open(f"/proc/{self.child.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


def request(address, method, path, body=None, headers=None, timeout=5):
    """Sends one HTTP request; returns (status, headers, body)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def wait_until(condition, seconds, what, describe=lambda: ""):
    """Polls until the condition holds; raises TimeoutError otherwise.

    `describe` returns text that explains the failure.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(f"not within {seconds} s: {what}{describe()}")


class PortAllocator:
    """Hands out free ports below the range that the system gives to clients."""

    def __init__(self):
        # Random, so that clusters that run at the same time rarely meet.
        self.next = random.SystemRandom().randrange(10000, 31000)

    def take(self):
        import socket

        while True:
            self.next += 1
            if self.next > 31000:
                self.next = 10000
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", self.next))
                except OSError:
                    continue
            return self.next


class Node:
    """A node with the backend server stand-in beside it."""

    def __init__(self, cluster, index, data_centre, region, service):
        self.cluster = cluster
        self.index = index
        self.data_centre = data_centre
        self.region = region
        self.service = service
        self.ports = {
            name: cluster.ports.take()
            for name in ("callers", "backend", "peers", "operators")
        }
        self.runs_path = cluster.folder / f"runs-{index}"
        self.process = None
        self.backend = None
        self.backend_options = []
        self.contacts = None  # Nodes; None: the first four of the cluster.

    def address(self, name):
        return f"127.0.0.1:{self.ports[name]}"

    def start(self):
        settings = self.cluster.folder / f"node-{self.index}.ini"
        settings.write_text(self.cluster.settings_of(self))
        self.process = Process(
            f"node-{self.index}",
            [self.cluster.binary("oleandertide-node"), "--settings", settings],
            self.cluster.folder / f"node-{self.index}.log",
        )

    def start_backend(self, *options):
        if options:
            self.backend_options = list(options)
        port_file = self.cluster.folder / f"backend-{self.index}.port"
        self.backend = Process(
            f"backend-{self.index}",
            [
                self.cluster.binary("backend_server_stand_in"),
                f"--node={self.address('backend')}",
                f"--service={self.service}",
                f"--runs_file={self.runs_path}",
                f"--port_file={port_file}",
                *self.backend_options,
            ],
            self.cluster.folder / f"backend-{self.index}.log",
        )

    def status(self):
        """The node's own status, or None while it does not answer."""
        try:
            code, _, body = request(
                self.address("operators"), "GET", "/status", timeout=2)
        except OSError:
            return None
        if not self.process.is_running():
            raise RuntimeError(f"node {self.index} ended; see {self.process.log_path}")
        return json.loads(body) if code == 200 else None

    def runs(self):
        """The recorded runs of the backend server: (key, method, target)."""
        if not self.runs_path.exists():
            return []
        lines = self.runs_path.read_text().splitlines()
        return [tuple(line.split(" ", 2)) for line in lines if line.count(" ") >= 2]


class Cluster:
    """A platform stand-in and a number of nodes."""

    def __init__(self, binaries="build/bin", settings=None):
        self.binaries = pathlib.Path(binaries).resolve()
        self.temporary = tempfile.TemporaryDirectory(prefix="oleandertide-")
        self.folder = pathlib.Path(self.temporary.name)
        self.ports = PortAllocator()
        self.platform_port = self.ports.take()
        self.platform = None
        self.nodes = []
        self.extra_settings = settings or {}
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()
        if os.environ.get("OLEANDERTIDE_KEEP_LOGS") is None:
            self.temporary.cleanup()
        else:
            self.temporary._finalizer.detach()
            print(f"logs are kept in {self.folder}")

    def binary(self, name):
        return str(self.binaries / name)

    def platform_address(self):
        return f"127.0.0.1:{self.platform_port}"

    def start_platform(self, *options):
        self.platform = Process(
            "platform",
            [
                self.binary("platform_stand_in"),
                f"--listen={self.platform_address()}",
                *options,
            ],
            self.folder / "platform.log",
        )
        wait_until(self.is_platform_up, START_TIMEOUT_SECONDS, "platform stand-in")

    def is_platform_up(self):
        try:
            return request(
                self.platform_address(), "GET", "/control/statistics")[0] == 200
        except OSError:
            return False

    def control_platform(self, **settings):
        status, _, body = request(
            self.platform_address(), "POST", "/control", json.dumps(settings))
        if status not in (200, 204):
            raise RuntimeError(f"platform stand-in: {status} {body!r}")

    def platform_statistics(self):
        return json.loads(
            request(self.platform_address(), "GET", "/control/statistics")[2])

    def add_node(self, data_centre="dc1", region="north", service="booking"):
        node = Node(self, len(self.nodes), data_centre, region, service)
        self.nodes.append(node)
        return node

    def settings_of(self, node):
        sections = {
            "node": {
                "environment": "production",
                "data-centre": node.data_centre,
                "region": node.region,
                "service": node.service,
            },
            "listen": {name: node.address(name) for name in node.ports},
            "platform": {"address": self.platform_address()},
            "peers": {},
            "log": {"level": "info"},
        }
        contacts = self.nodes[:4] if node.contacts is None else node.contacts
        contacts = [
            other.address("peers") for other in contacts if other is not node
        ]
        if contacts:
            sections["peers"]["contacts"] = ", ".join(contacts)
        for section, values in self.extra_settings.items():
            sections.setdefault(section, {}).update(values)
        text = ""
        for section, values in sections.items():
            text += f"[{section}]\n"
            text += "".join(f"{key} = {value}\n" for key, value in values.items())
        return text

    def command(self, subcommand, *arguments, check=True):
        """Runs the operators' command; returns the completed process."""
        flags = []
        if subcommand != "validate":
            flags.append(f"--platform={self.platform_address()}")
        if subcommand in ("submit", "promote"):
            flags.append("--operator=test")
        done = subprocess.run(
            [self.binary("oleandertide"), subcommand, *map(str, arguments), *flags],
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check and done.returncode != 0:
            raise RuntimeError(
                f"oleandertide {subcommand}: exit status {done.returncode}\n"
                f"{done.stdout}{done.stderr}")
        return done

    def accept(self, text, *promote_options):
        """Submits a document and promotes it to production."""
        path = self.folder / "document.ini"
        path.write_text(text)
        self.command("submit", path)
        self.command("promote", *promote_options)

    def running_nodes(self):
        return [node for node in self.nodes if node.process and node.process.is_running()]

    def wait_for_sequence(self, sequence, seconds=30, nodes=None):
        """Waits until nodes act on a sequence; returns the seconds it took."""
        start = time.monotonic()
        waiting = set(nodes or self.running_nodes())

        def all_there():
            for node in list(waiting):
                status = node.status()
                if status and status["sequence"] >= sequence:
                    waiting.discard(node)
            return not waiting

        wait_until(all_there, seconds, f"sequence {sequence} on all nodes",
                   self.describe)
        return time.monotonic() - start

    def wait_for_endpoints(self, count, seconds=30):
        """Waits until every node sees `count` ready members."""

        def all_see():
            for node in self.running_nodes():
                status = node.status()
                if not status or status["members"].get("ready", 0) < count:
                    return False
            return True

        wait_until(all_see, seconds, f"{count} ready members on all nodes",
                   self.describe)

    def describe(self):
        """Members, standing and last log line of every node, for failures."""
        lines = []
        for node in self.nodes:
            status = node.status() or {}
            log = node.process.log_path.read_text().splitlines() or [""]
            lines.append(
                f"node {node.index}: members {status.get('members')} standing "
                f"{status.get('standing')} sequence {status.get('sequence')}; "
                f"{log[-1]}")
        return "\n" + "\n".join(lines)

    def stop(self):
        processes = [node.backend for node in self.nodes if node.backend]
        processes += [node.process for node in self.nodes if node.process]
        if self.platform:
            processes.append(self.platform)
        processes += self.processes
        for process in processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in processes:
            process.child.wait()
