"""A small deployment of oleandertide-sidecar on loopback addresses.

Starts the program with the command and the template of the deploy file. The
stand-ins for the store, the backends and the clients run in this process; they
behave as a sound store, backend or client unless a case says otherwise.
"""

import asyncio
import base64
import collections
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
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
READ_LIMIT = 1 << 21
HOST = "mill.example"
# Restart of a process that has ended.
RESTART_DELAY_S = 0.5
READINESS_INTERVAL_S = 1.0


class CannotRun(Exception):
    """The case could not be played."""


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def render(template, values):
    """Fills in the plain placeholders of the template of the deploy file."""

    def find(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", find, template)
    if "{{" in text:
        raise CannotRun("the template has a form that this script does not know")
    return text


def encode(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode() + body


async def read_message(reader):
    """Returns start line, headers and body of a message that has a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0].split(" ", 2), headers, body


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, *words):
        self.file.write(f"{self.now():9.4f} " + " ".join(map(str, words)) + "\n")


class Store:
    """The platform's store, without faults."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Event()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, "", key] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, rows):
        result = []
        for (table, part, key), (version, value) in rows:
            row = {"table": table, "part": part, "key": key, "ver": version}
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            result.append(row)
        return {
            "rows": result,
            "has_more": False,
            "ver": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }

    async def serve(self, reader, writer):
        try:
            while True:
                start, _, body = await read_message(reader)
                status, value = await self.answer(start[1], body)
                await asyncio.sleep(0.004)
                data = json.dumps(value).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} X", kind, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.rsplit("/", 1)[1]
        if name == "rows-get":
            first = query.get("from", "")
            rows = [
                entry
                for entry in sorted(self.rows.items())
                if entry[0][0] == query["table"]
                and entry[0][2] >= first
                and entry[1][1] is not None
            ]
            return 200, self.page(rows)
        if name == "rows-feed":
            return 200, await self.feed(query)
        if name == "rows-tx":
            return self.write(json.loads(body))
        return 404, {}

    async def feed(self, query):
        end = time.monotonic() + min(int(query["wait_ms"]), 30000) / 1000
        while True:
            after = int(query["after"])
            rows = [
                entry
                for entry in sorted(self.rows.items(), key=lambda item: item[1][0])
                if entry[0][0] == query["table"] and entry[1][0] > after
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return self.page(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, transaction):
        for row in transaction["expected"]:
            name = (row["table"], row["part"], row["key"])
            version, value = self.rows.get(name, (0, None))
            if row["ver"] != (0 if value is None else version):
                return 412, self.page([(name, (version, value))] if value else [])
        self.version += 1
        for row in transaction["writes"]:
            name = (row["table"], row["part"], row["key"])
            self.rows[name] = (self.version, base64.b64decode(row["value"]))
        for row in transaction["remove"]:
            name = (row["table"], row["part"], row["key"])
            self.rows[name] = (self.version, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}


class Backend:
    """A backend beside a machine's node."""

    HEARTBEAT_S = 1.5
    IDLE_S = 10

    def __init__(self, world, machine, service, slots, work):
        self.world = world
        self.machine = machine
        self.service = service
        self.slots = slots
        self.queue = 4 * slots
        # Returns the time that a request works, in seconds.
        self.work = work
        # Sends a wrong answer instead, if it returns true.
        self.spoil = None
        self.identifier = f"i-{machine.name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.connections = set()
        self.tasks = set()
        self.is_silent = False

    async def start(self):
        async def serve(reader, writer):
            # The address may have gone to another backend.
            await self.machine.backend.serve(reader, writer)

        self.server = await asyncio.start_server(
            serve, *self.machine.app, limit=READ_LIMIT, backlog=512
        )
        self.beats = asyncio.ensure_future(self.beat())

    def fall_silent(self):
        """Ends without closing connections; nothing is answered any more."""
        self.is_silent = True
        self.beats.cancel()
        for task in list(self.tasks):
            task.cancel()

    async def beat(self):
        while True:
            await self.announce("ready")
            await asyncio.sleep(self.HEARTBEAT_S)

    async def announce(self, state):
        self.sequence += 1
        body = {
            "service": self.service,
            "address": "%s:%d" % self.machine.app,
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        path = f"/oleandertide/instances/{self.identifier}"
        return await call(self.machine.listen["control"], "PUT", path, body)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        if self.is_silent:
            self.world.silent.append(writer)
            return
        self.tasks.add(asyncio.current_task())
        try:
            if len(self.connections) > 130:
                reset(writer)
                return
            # A new connection costs the backend a moment.
            await asyncio.sleep(0.001)
            while True:
                # Idle connections are closed after the time of Keep-Alive.
                start, headers, body = await asyncio.wait_for(
                    read_message(reader), self.IDLE_S
                )
                if not await self.handle(start, headers, body, reader, writer):
                    return
        except (
            OSError,
            asyncio.TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            if self.is_silent:
                self.world.silent.append(writer)
            else:
                self.connections.discard(writer)
                writer.close()

    async def handle(self, start, headers, body, reader, writer):
        if start[1] == "/health":
            head = {"Oleandertide-Instance-Id": self.identifier}
            writer.write(encode("HTTP/1.1 200 OK", head))
            return True
        request = headers.get("oleandertide-request-id", "")
        name = self.machine.name
        expected = headers.get("oleandertide-expect-instance", self.identifier)
        refusal = {"Oleandertide-Request-Id": request, "Oleandertide-Not-Executed": 1}
        if expected != self.identifier or not request:
            writer.write(encode("HTTP/1.1 421 X" if request else "HTTP/1.1 400 X", refusal))
            return True
        if self.waiting >= self.queue:
            writer.write(encode("HTTP/1.1 503 X", refusal))
            return True
        end = time.monotonic() + int(headers["oleandertide-deadline-ms"]) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), end - time.monotonic())
        except asyncio.TimeoutError:
            writer.write(encode("HTTP/1.1 503 X", refusal))
            return True
        finally:
            self.waiting -= 1
        self.world.record.write("run", request, start[0], start[1], "at", name)
        self.world.runs[request].append((self.world.record.now(), name))
        self.world.services[request].append((self.world.record.now(), self.service))
        try:
            seconds = self.work(start[1])
            left = end - time.monotonic()
            # A backend drops a request whose connection ends.
            closing = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({closing}, timeout=max(0, min(seconds, left)))
            if closing.done():
                self.world.record.write("dropped", request, "at", name)
                return False
            closing.cancel()
            await asyncio.wait({closing})
            head = {
                "Oleandertide-Request-Id": request,
                "Oleandertide-Server-Stamp": f"{self.identifier}.{request}",
                "Keep-Alive": f"timeout={self.IDLE_S}",
            }
            if self.spoil is not None and self.spoil(start[1]):
                await self.spoiled_answer(request, head, reader, writer)
                return False
            status = "200 OK" if seconds < left else "504 X"
            writer.write(encode(f"HTTP/1.1 {status}", head, b"done " + request.encode()))
            await writer.drain()
            return True
        finally:
            self.free.release()

    async def spoiled_answer(self, request, head, reader, writer):
        raise NotImplementedError


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


async def call(address, method, path, body=None, limit=1.0):
    """A call of the platform or of a backend; returns the status, or 0."""

    async def talk():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = {"Host": "node", "Content-Type": "application/json"}
            writer.write(encode(f"{method} {path} HTTP/1.1", head, data))
            start, _, _ = await read_message(reader)
            return int(start[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(talk(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0


class Machine:
    """One machine: the node's process, its backend, and what the platform does."""

    def __init__(self, world, number, zone, service, memory_mb=260):
        self.world = world
        self.name = f"sidecar-{zone}-{number}"
        self.zone = zone
        self.service = service
        self.memory_mb = memory_mb
        self.ip = world.ip(number)
        self.listen = {
            key: (self.ip, free_port(self.ip))
            for key in ("inbound", "outbound", "ready", "control")
        }
        self.app = (self.ip, free_port(self.ip))
        self.metrics_port = free_port(self.ip)
        self.process = None
        self.starts = 0
        self.is_wanted = False
        self.is_ready = False
        # Times at which the process ended by itself, with its status.
        self.own_ends = []
        self.peak_mb = 0

    def write_settings(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["sidecar"]
        values = {
            "node": self.name,
            "zone": self.zone,
            "service": self.service,
            "limits": {"link_mbps": 1000.0},
            "bootstrap": self.starts == 0,
            "listen": {key: "%s:%d" % value for key, value in self.listen.items()},
            "ip": self.ip,
            "internal_ports": [self.metrics_port, self.metrics_port],
            "app": "%s:%d" % self.app,
            "provider": {"address": "%s:%d" % self.world.store_address},
        }
        path = self.world.folder / f"{self.name}.ini"
        path.write_text(render((ROOT / role["template"]).read_text(), values))
        command = role["run"].replace("/etc/oleandertide/local.yaml", str(path))
        return command.split(" ")

    def start(self):
        command = self.write_settings()
        log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={"PATH": os.environ.get("PATH", "")},
        )
        log.close()
        self.starts += 1
        self.is_wanted = True
        self.world.record.write("start", self.name, "pid", self.process.pid)

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def memory(self):
        """Resident memory of the process in MiB."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024 if found else 0

    async def watch(self):
        """Restarts the process when it has ended, as the platform does."""
        while True:
            await asyncio.sleep(0.01)
            if not self.is_wanted:
                continue
            status = self.process.poll()
            if status is None:
                continue
            self.is_ready = False
            self.own_ends.append((self.world.record.now(), status))
            self.world.record.write("own-end", self.name, "status", status)
            await asyncio.sleep(RESTART_DELAY_S)
            self.start()

    async def watch_memory(self):
        """Ends a process that needs more memory than the machine has."""
        while True:
            await asyncio.sleep(0.005)
            if not self.is_wanted or self.process.poll() is not None:
                continue
            used = self.memory()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.memory_mb:
                self.world.record.write(
                    "over-memory", self.name, f"{used:.0f} of {self.memory_mb} MiB"
                )
                self.process.kill()

    async def check_readiness(self):
        while True:
            status = await call(self.listen["ready"], "GET", "/oleandertide/ready")
            self.is_ready = status == 200
            await asyncio.sleep(READINESS_INTERVAL_S if self.is_ready else 0.1)


class Answer:
    """What a client saw of one request."""

    def __init__(self, request, machine, path):
        self.request = request
        self.machine = machine
        self.path = path
        self.sent = 0.0
        self.ended = 0.0
        # 0: the connection ended without an answer. None: nothing came in time.
        self.status = None
        self.headers = {}
        # Requests that the connection had carried before.
        self.before = 0


class Client:
    """Sends requests one after the other on a kept connection."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine
        self.reader = self.writer = None
        self.carried = 0

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
        self.carried = 0

    async def connect(self):
        if self.writer is None:
            address = self.machine.listen["outbound"]
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(*address, limit=READ_LIMIT), 1
            )

    def prepare(self, method, path, deadline_s, body=b""):
        """Returns what is to become of a request, and its bytes."""
        world = self.world
        answer = Answer(f"{next(world.numbers):016x}", self.machine, path)
        answer.method = method
        world.answers.append(answer)
        head = {
            "Host": HOST,
            "Oleandertide-Request-Id": answer.request,
            "Oleandertide-Deadline-Ms": int(deadline_s * 1000),
        }
        answer.limit = deadline_s + 0.5
        return answer, encode(f"{method} {path} HTTP/1.1", head, body)

    def note_sent(self, answer):
        answer.sent = self.world.record.now()
        answer.before = self.carried
        self.world.record.write(
            "send", answer.request, answer.method, answer.path, "to", self.machine.name
        )

    async def read(self, answer):
        """Reads the answer to the request that was sent last."""
        try:
            start, answer.headers, answer.body = await asyncio.wait_for(
                read_message(self.reader), answer.limit
            )
            self.carried += 1
            answer.status = int(start[1])
            if answer.headers.get("connection", "") == "close":
                self.close()
        except asyncio.TimeoutError:
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            answer.status = 0
            self.close()
        self.note_answer(answer)

    def note_answer(self, answer):
        answer.ended = self.world.record.now()
        shown = {-1: "no-connection", 0: "connection-ended", None: "nothing-in-time"}
        self.world.record.write(
            "answer", answer.request, shown.get(answer.status, answer.status)
        )

    async def send(self, method, path, deadline_s, body=b""):
        """Sends a request, returns what came of it, and waits if it is told to."""
        answer, data = self.prepare(method, path, deadline_s, body)
        try:
            await self.connect()
            self.note_sent(answer)
            self.writer.write(data)
        except (OSError, asyncio.TimeoutError):
            answer.status = -1
            self.note_answer(answer)
            return answer
        await self.read(answer)
        if answer.status == 503:
            await asyncio.sleep(float(answer.headers.get("retry-after", 0)))
        return answer


class World:
    """The deployment and the record of a case."""

    def __init__(self, folder):
        self.case = pathlib.Path(folder).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="oleandertide-review-"))
        self.record = Record(self.case / "record.txt")
        self.numbers = itertools.count(0x1000)
        self.machines = []
        self.answers = []
        # Runs of a request at backends, by its id.
        self.runs = collections.defaultdict(list)
        # The same with the services of the backends.
        self.services = collections.defaultdict(list)
        self.tasks = []
        host = os.getpid() & 0xFFFF
        self.network = f"127.{1 + (host >> 8) % 250}.{host & 255}."
        self.store_address = (self.ip(250), free_port(self.ip(250)))
        self.store = Store()
        self.clients = []
        # Connections of backends that have fallen silent.
        self.silent = []

    def ip(self, number):
        return self.network + str(number)

    def client(self, machine):
        client = Client(self, machine)
        self.clients.append(client)
        return client

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    def add(self, zone, service, slots, work, memory_mb=260):
        machine = Machine(self, len(self.machines) + 1, zone, service, memory_mb)
        machine.backend = self.backend_class(self, machine, service, slots, work)
        self.machines.append(machine)
        return machine

    backend_class = Backend

    def configure(self, services, routes):
        document = {
            "version": "r7",
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_connections": 130,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "virtual_hosts": [{"host": HOST, "paths": routes}],
        }
        self.store.put("op", "config", json.dumps(document).encode())

    async def start(self):
        program = ROOT / "target/bin/oleandertide-sidecar"
        if not program.exists():
            raise CannotRun("build the programs with the deploy file's command")
        await self.store.start(self.store_address)
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.backend.start()
            self.spawn(machine.watch())
            self.spawn(machine.check_readiness())
        end = time.monotonic() + 15
        while not all(machine.is_ready for machine in self.machines):
            if time.monotonic() > end:
                raise CannotRun("the nodes did not get ready")
            await asyncio.sleep(0.1)
        # As traffic starts some seconds after the machines.
        await asyncio.sleep(5)
        self.record.write("ready")

    async def stop(self):
        for machine in self.machines:
            machine.is_wanted = False
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.backend.beats.cancel()
            if machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
            machine.process.wait()
        for client in self.clients:
            client.close()
        for writer in self.silent:
            writer.transport.abort()
        # A case that could not be judged keeps its logs for the reader.
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


def route(name, prefix, kind, service, timeout_ms, target_ms, priority, attempts=2):
    return {
        "name": name,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": priority,
        "service": service,
        "retry_attempts": attempts,
    }


def is_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(world, play):
    """Plays a case; `play` returns whether the rule was broken."""

    async def whole():
        # The processes are ended also if the case itself is.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await world.start()
            return 1 if await play(world) else 0
        except CannotRun as error:
            world.record.write("cannot-run", error)
            print("cannot run:", error)
            return 2
        except asyncio.CancelledError:
            print("ended from outside")
            return 2
        finally:
            await world.stop()

    return asyncio.run(whole())
