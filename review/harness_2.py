"""Stand-ins and processes for the scripts of the second review.

Each script starts the nodes by the deploy file and its template, on loopback
addresses. The store, the backend servers and the clients are coroutines of the
script. What was sent, answered and run goes to record.txt.
"""

import asyncio
import base64
import dataclasses
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; it shows nothing."""


# The template of the deploy file.


def look_up(name, scopes):
    if name in (".", "@"):
        return scopes[-1][name]
    for scope in reversed(scopes):
        value = scope.get(".")
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(to_text(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes):
    """Fills in placeholders and sections as DEPLOY.md describes them."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        kind, name, body = match.groups()
        value = look_up(name, scopes)
        if kind == "^":
            return render(body, scopes) if value in (None, False) else ""
        if value in (None, False):
            return ""
        if isinstance(value, dict):
            entries = value.items()
        elif isinstance(value, list):
            entries = enumerate(value)
        else:
            return render(body, scopes)
        return "".join(
            render(body, [*scopes, {".": entry, "@": key}]) for key, entry in entries
        )

    text = section.sub(expand, template)
    return re.sub(
        r"\{\{([^#^/}]+)\}\}", lambda match: to_text(look_up(match[1], scopes)), text
    )


# HTTP/1.1 messages.


@dataclasses.dataclass
class Message:
    start: str
    headers: dict
    body: bytes

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def encode(start, headers, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def reset(writer):
    """Ends a connection so that the other side sees a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


async def call(address, method, target, body=b"", headers=None, timeout=1.0):
    """One call on a connection of its own; nothing if it failed."""

    async def connected():
        reader, writer = await asyncio.open_connection(*address)
        try:
            sent = {"Host": "a", **(headers or {})}
            writer.write(encode(f"{method} {target} HTTP/1.1", sent, body))
            return await read_message(reader)
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(connected(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def note(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        print(line, file=self.file, flush=True)

    def say(self, *words):
        self.note(*words)
        print(*words, flush=True)


class Store:
    """The platform's metadata store: rows with versions of one counter."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.rows = {}
        self.version = 0
        self.era = 1
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()
        self.answer_s = 0.004

    async def open(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def close(self):
        """The store is away: connections are refused, and open ones reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copy):
        """Goes on from an earlier copy; versions are given out again."""
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """The operator writes; the return is the acknowledgement."""
        if self.server is None:
            raise CannotRun("the operator wrote while the store was away")
        self.version += 1
        self.rows[table, key] = (self.version, json.dumps(value).encode())
        self.wake()
        self.record.note("operator wrote", f"{table}/{key}", "row version", self.version)
        return self.version

    def value(self, table, key):
        row = self.rows.get((table, key))
        return None if row is None or row[1] is None else json.loads(row[1])

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(self.answer_s)
                status, value = await self.answer(request)
                writer.write(
                    encode(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": "application/json", "Store-Era": self.era},
                        json.dumps(value).encode(),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, request):
        path, _, query_text = request.target.partition("?")
        query = dict(
            part.split("=", 1) for part in query_text.split("&") if "=" in part
        )
        query = {key: re.sub("%2[fF]", "/", value) for key, value in query.items()}
        if path == "/oleandertide/rows-get":
            return 200, self.listing(query)
        if path == "/oleandertide/rows-feed":
            return await self.feed(query)
        if path == "/oleandertide/rows-tx":
            return self.transact(json.loads(request.body))
        return 404, {}

    def encode_rows(self, rows):
        result = []
        for (table, key), (version, value) in rows:
            row = {"table": table, "part": "", "key": key, "ver": version}
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            result.append(row)
        return {
            "rows": result,
            "ver": self.version,
            "now_ms": int(time.monotonic() * 1000),
            "has_more": False,
        }

    def listing(self, query):
        return self.encode_rows(
            (name, row)
            for name, row in sorted(self.rows.items())
            if name[0] == query["table"]
            and name[1] >= query.get("from", "")
            and ("to" not in query or name[1] < query["to"])
            and row[1] is not None
        )

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        while True:
            if after > self.version:
                return 410, {}
            rows = sorted(
                (
                    (name, row)
                    for name, row in self.rows.items()
                    if name[0] == query["table"] and row[0] > after
                ),
                key=lambda entry: entry[1][0],
            )
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self.encode_rows(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, transaction):
        entries = transaction.get("writes", []) + transaction.get("remove", [])
        if any(row["table"] in ("op", "servers") for row in entries):
            return 403, {}
        for row in transaction.get("expected", []):
            version, value = self.rows.get((row["table"], row["key"]), (0, None))
            if row["ver"] != (0 if value is None else version):
                return 412, self.encode_rows(
                    [((row["table"], row["key"]), (version, value))]
                    if value is not None
                    else []
                )
        self.version += 1
        for row in transaction.get("writes", []):
            value = base64.b64decode(row["value"])
            self.rows[row["table"], row["key"]] = (self.version, value)
            self.record.note(
                "node wrote", f"{row['table']}/{row['key']}", value.decode(),
                "row version", self.version,
            )
        for row in transaction.get("remove", []):
            self.rows[row["table"], row["key"]] = (self.version, None)
        self.wake()
        return 200, {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}


class Backend:
    """A sound backend server beside one node."""

    def __init__(self, world, node, service, address, slots=12, version="v1"):
        self.world = world
        self.record = world.record
        self.node = node
        self.service = service
        self.address = address
        self.slots = slots
        self.version = version
        self.identifier = f"i-{node.name}"
        self.run_s = 0.02
        # Status of the answer to a run; takes the request.
        self.choose_status = lambda request: 200
        self.choose_run_s = lambda request: self.run_s
        self.server = None
        self.task = None
        self.free = asyncio.Semaphore(slots)
        self.runs = itertools.count(1)
        self.writers = set()

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.task = asyncio.ensure_future(self.beat())

    def end(self):
        if self.task is not None:
            self.task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def beat(self):
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": "%s:%d" % self.address,
                "zone": self.node.zone,
                "version": self.version,
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": self.sequence,
                "born": self.born,
            }
            answer = await call(
                self.node.listen["control"],
                "PUT",
                f"/oleandertide/instances/{self.identifier}",
                json.dumps(body).encode(),
                {"Content-Type": "application/json"},
            )
            is_acknowledged = answer is not None and 200 <= answer.status < 300
            await asyncio.sleep(HEARTBEAT_S if is_acknowledged else 0.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            first = b""
            while True:
                request = await read_message(Prefixed(first, reader) if first else reader)
                first = await self.handle(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, request, reader, writer):
        if request.target == "/health":
            writer.write(
                encode(
                    "HTTP/1.1 200 OK", {"Oleandertide-Instance-Id": self.identifier}
                )
            )
            return b""
        identifier = request.header("Oleandertide-Request-Id")
        expected = request.header("Oleandertide-Expect-Instance")
        if expected and expected != self.identifier:
            writer.write(
                encode(
                    "HTTP/1.1 421 X",
                    {
                        "Oleandertide-Request-Id": identifier,
                        "Oleandertide-Not-Executed": "1",
                    },
                )
            )
            return b""
        # A run ends when its connection does.
        run = asyncio.ensure_future(self.run(request, identifier, writer))
        watch = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({run, watch}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
            await asyncio.wait({run})
            self.record.note(
                "run dropped", identifier, "at", self.identifier, "connection closed"
            )
            raise ConnectionResetError
        if not watch.done():
            watch.cancel()
            await asyncio.wait({watch})
            return b""
        return watch.result()

    async def run(self, request, identifier, writer):
        async with self.free:
            number = next(self.runs)
            begin = time.monotonic()
            self.world.on_run(self, request, identifier)
            await asyncio.sleep(self.choose_run_s(request))
            status = self.choose_status(request)
            stamp = f"{self.identifier}.{number}"
            self.world.on_run_ended(self, identifier, status, time.monotonic() - begin)
            writer.write(
                encode(
                    f"HTTP/1.1 {status} X",
                    {
                        "Oleandertide-Request-Id": identifier,
                        "Oleandertide-Server-Stamp": stamp,
                    },
                    f"body of {identifier}".encode(),
                )
            )


class Prefixed:
    """A reader with one byte in front that was read too early."""

    def __init__(self, first, reader):
        self.first = first
        self.reader = reader

    async def readuntil(self, mark):
        return self.first + await self.reader.readuntil(mark)

    async def readexactly(self, count):
        return await self.reader.readexactly(count)


class Node:
    """One process of the role `sidecar`, started by the deploy file."""

    def __init__(self, world, name, zone, service):
        self.world = world
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = world.next_ip()
        self.listen = {
            "inbound": (self.ip, 8146),
            "outbound": (self.ip, 8147),
            "ready": (self.ip, 8141),
            "control": (self.ip, 8144),
        }
        self.app = (self.ip, 8145)
        self.process = None
        self.starts = 0

    def settings(self):
        world = self.world
        return {
            "node": self.name,
            "role": "sidecar",
            "machine_class": "sidecar",
            "serves": ["sidecar"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "listen": {key: "%s:%d" % value for key, value in self.listen.items()},
            "internal_ports": [7380, 7395],
            "seeds": [],
            "bootstrap": self.starts == 0 and world.is_first_start,
            "limits": {
                "cpu_share": 0.2,
                "cores": 1,
                "memory_mb": 260,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": world.contracts,
            "bounds": world.bounds,
            "app": "%s:%d" % self.app,
            "service": self.service,
            "provider": {"address": "%s:%d" % world.store.address, "form": "table"},
        }

    def start(self):
        path = self.world.folder / f"{self.name}.ini"
        path.write_text(render(self.world.template, [{".": self.settings()}]))
        command = [
            word if not word.startswith("--settings=") else f"--settings={path}"
            for word in self.world.run_words
        ]
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.starts += 1
        self.world.record.note("started", self.name, "process", self.starts)

    def send(self, number):
        self.world.record.note("signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await call(self.listen["ready"], "GET", "/oleandertide/ready")
        return answer is not None and answer.status == 200


class World:
    def __init__(self, folder, contracts, bounds, seconds):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="oleandertide-review-"))
        self.contracts = contracts
        self.bounds = bounds
        self.seconds = seconds
        self.is_first_start = True
        self.ips = itertools.count(1)
        pid = os.getpid()
        self.net = f"127.{1 + (pid >> 8 & 0x7F)}.{pid & 0xFF}"
        with open(ROOT / "deploy/system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["sidecar"]
        self.run_words = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        if not (ROOT / self.run_words[0]).exists():
            raise CannotRun(f"{self.run_words[0]} is not built")
        self.store = Store(self.record, (self.next_ip(), 8142))
        self.nodes = []
        self.backends = []
        self.numbers = itertools.count(1)
        self.runs = {}
        # Failures of backend servers: when, and of which version.
        self.bad_answers = []
        self.tasks = set()

    def next_ip(self):
        return f"{self.net}.{next(self.ips)}"

    def add(self, name, zone, service, **options):
        node = Node(self, name, zone, service)
        backend = Backend(self, node, service, node.app, **options)
        self.nodes.append(node)
        self.backends.append(backend)
        return node, backend

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def on_run(self, backend, request, identifier):
        self.runs.setdefault(identifier, []).append((backend, time.monotonic()))
        self.record.note(
            "run", identifier, request.method, request.target, "at",
            backend.identifier, backend.version,
        )

    def on_run_ended(self, backend, identifier, status, seconds):
        if status >= 500:
            self.bad_answers.append((time.monotonic(), backend.version))
        self.record.note(
            "run ended", identifier, "at", backend.identifier, "status", status,
            f"after {seconds:.3f} s",
        )

    async def start_with(self, document):
        """First start: the operator's first configuration is there."""
        await self.store.open()
        self.store.put("op", "config", document)
        for node in self.nodes:
            node.start()
        for backend in self.backends:
            await backend.start()
        await self.wait_until_ready()

    async def wait_until_served(self, node, target, count=5, timeout=15):
        """Waits until requests at `node` are served again and again."""
        end = time.monotonic() + timeout
        served = 0
        while served < count:
            if time.monotonic() > end:
                raise CannotRun(f"{node.name} does not serve {target}")
            _, answer, _ = await self.request(node, "GET", target, 2.0, quiet=True)
            is_served = answer is not None and answer.status == 200
            served = served + 1 if is_served else 0
            await asyncio.sleep(0.05 if is_served else 0.2)

    async def wait_until_ready(self, timeout=15):
        end = time.monotonic() + timeout
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    async def request(self, node, method, target, deadline_s, headers=None, quiet=False):
        """A client's request on a new connection."""
        identifier = f"{next(self.numbers):016x}"
        sent_at = time.monotonic()
        if not quiet:
            self.record.note("sent", identifier, method, target, "to", node.name)
        answer = await call(
            node.listen["outbound"],
            method,
            target,
            b"",
            {
                "Host": "a.example",
                "Oleandertide-Request-Id": identifier,
                "Oleandertide-Deadline-Ms": str(int(deadline_s * 1000)),
                **(headers or {}),
            },
            deadline_s,
        )
        seconds = time.monotonic() - sent_at
        if not quiet or answer is None or answer.status != 200:
            self.record.note(
                "answered", identifier,
                "nothing" if answer is None else answer.status,
                f"after {seconds:.3f} s", "by",
                "nobody" if answer is None
                else answer.header("Oleandertide-Server-Stamp", "the node"),
            )
        return identifier, answer, seconds

    async def end(self):
        for task in list(self.tasks):
            task.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        for backend in self.backends:
            backend.end()
        self.store.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, service, kind, timeout_ms, target_ms, **others):
    return {
        "name": prefix.strip("/"),
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 2,
        "service": service,
        "retry_attempts": 2,
        **others,
    }


def configuration(version, services, routes, **others):
    return {
        "version": f"r{version}",
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 130}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 15_000,
        },
        "virtual_hosts": [{"host": "a.example", "paths": routes}],
        **others,
    }


def main(folder, contracts, bounds, play, seconds=110):
    """Runs `play` and ends the script with its verdict."""

    async def run():
        world = World(folder, contracts, bounds, seconds)
        try:
            return await asyncio.wait_for(play(world), seconds)
        except asyncio.TimeoutError:
            raise CannotRun(f"not done after {seconds} s") from None
        finally:
            await world.end()

    try:
        is_kept = asyncio.run(run())
    except CannotRun as error:
        print("cannot run:", error)
        sys.exit(CANNOT_RUN)
    except Exception as error:  # The case itself is at fault.
        print("cannot run:", repr(error))
        sys.exit(CANNOT_RUN)
    print("the rule held" if is_kept else "the rule was broken")
    sys.exit(HELD if is_kept else BROKEN)
