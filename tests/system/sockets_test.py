"""Guards against requests that a planned stop or a close loses in the kernel.

Real processes on loopback, with callers on plain sockets.
"""

import asyncio
import contextlib
import random
import signal
import socket
import sys
import time
import unittest
import unittest.mock

import planned_stop_test as planned
from planned_stop_test import ANNOUNCE_TIME, GRACE, Answer

import wire  # noqa: E402

LARGE = 6 << 20


def head(method, target, identifier, *lines, length=None):
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: a.example",
        f"{wire.REQUEST_ID}: {identifier}",
        f"{wire.DEADLINE}: 8000",
        *lines,
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join(lines + ["", ""]).encode()


class Caller:
    """A client on a plain socket."""

    def __init__(self, address, receive_buffer=None):
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.setblocking(False)
        self.address = address
        self.received = b""
        self.body_bytes = 0

    async def connect(self):
        await asyncio.get_running_loop().sock_connect(self.socket, self.address)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def read_some(self, size=65536):
        data = await asyncio.get_running_loop().sock_recv(self.socket, size)
        self.received += data
        return data

    async def read_answer(self, limit=10.0, rate=None):
        """Reads one answer; a truncated one is an error."""
        try:
            return await asyncio.wait_for(self.read(rate), limit)
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            return Answer(error=f"{error!r} after {self.body_bytes} bytes of a body")

    async def read(self, rate):
        while b"\r\n\r\n" not in self.received:
            if not await self.read_some():
                raise EOFError("no answer")
        start, _, rest = self.received.partition(b"\r\n\r\n")
        lines = start.decode().lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:])
        status = int(lines[0].split()[1])
        length = int(fields.get("content-length", 0))
        parts = [rest]
        size = len(rest)
        begin = time.monotonic()
        while size < length:
            if rate:
                await asyncio.sleep(begin + size / rate - time.monotonic())
            self.received = b""
            data = await self.read_some(min(65536, length - size))
            if not data:
                raise EOFError(f"{size} of {length} bytes")
            parts.append(data)
            size += len(data)
            self.body_bytes = size
        rest = b"".join(parts)
        self.received = rest[length:]
        if status == 100:
            return await self.read(rate)
        return Answer(
            status,
            fields.get(wire.STAMP.lower(), ""),
            rest[:length],
            fields.get("connection", ""),
        )

    def close(self):
        self.socket.close()


class RudeBackend(planned.Backend):
    """Closes or resets idle connections, and varies how its answers end.

    A request that it reads is always answered, unless the close of an idle
    connection crosses it: then it has not run.
    """

    idle_times = (1, 2, 5)
    seed = 1

    def __init__(self, *parts):
        super().__init__(*parts)
        self.random = random.Random(self.seed)

    async def serve(self, reader, writer):
        idle = self.random.choice(self.idle_times)
        tells = self.random.random() < 0.5
        # Without a header, a few are closed at a random moment.
        resets = self.random.random() < 0.5
        limit = idle
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.TimeoutError
        ):
            while True:
                request = await asyncio.wait_for(wire.read_message(reader), limit)
                await asyncio.sleep(0.002)
                if not await self.answer(request, writer, idle if tells else None):
                    break
                limit = idle if tells else self.random.uniform(self.least, idle)
        if resets:
            wire.reset(writer)
        else:
            writer.close()

    least = 1.0

    async def answer(self, request, writer, idle):
        """Returns whether the connection is kept."""
        identifier = request.header(wire.REQUEST_ID)
        body = b"x" * self.answer_bytes
        lines = [
            "HTTP/1.1 200 OK",
            f"{wire.REQUEST_ID}: {identifier}",
            f"{wire.STAMP}: stamp",
        ]
        if request.start[1] == wire.HEALTH:
            body = b""
        else:
            self.started[identifier] = request.start[1]
        form = self.random.choice(["length"] * 4 + ["chunks", "chunks", "close", "end"])
        if idle:
            lines.append(f"Keep-Alive: timeout={idle}")
        if form == "chunks":
            lines.append("Transfer-Encoding: chunked")
            body = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
        elif form != "end":
            lines.append(f"Content-Length: {len(body)}")
        if form == "close":
            lines.append("Connection: close")
        data = "\r\n".join(lines + ["", ""]).encode() + body
        cut = self.random.randrange(len(data))
        writer.write(data[:cut])
        await writer.drain()
        await asyncio.sleep(0.001)
        writer.write(data[cut:])
        await writer.drain()
        if form in ("close", "end"):
            # An orderly end: a reset would take the answer back.
            writer.close()
            await writer.wait_closed()
            return False
        return True


class SocketsTest(planned.PlannedStopTest):

    async def caller(self, node, receive_buffer=None):
        caller = Caller(node.listen["clients"], receive_buffer)
        self.addCleanup(caller.close)
        return await caller.connect()

    def identifier(self):
        self.next_request += 1
        return f"s{self.next_request}"

    async def assert_ends_in_time(self, node):
        await asyncio.wait_for(node.wait_for_end(), GRACE)

    async def send_often(self, caller, data):
        with contextlib.suppress(OSError):
            while data:
                await asyncio.sleep(0.05)
                await caller.send(data)

    async def read_large_at_stop(self, early=(b"",), late=b""):
        """Reads large answers slowly over a stop; sends extra bytes meanwhile."""
        (node,) = await self.start("orders")
        node.backend.answer_bytes = LARGE
        node.backend.held.clear()
        callers = []
        for index, extra in enumerate(early):
            callers.append(await self.caller(node, 16 << 10))
            request = head("GET", f"/long/{index}", self.identifier())
            await callers[-1].send(request)
            await self.await_start(f"/long/{index}")
        node.send(signal.SIGTERM)
        for caller, extra in zip(callers, early):
            await caller.send(extra)
        await asyncio.sleep(ANNOUNCE_TIME - 0.3)
        node.backend.held.set()
        senders = [
            asyncio.ensure_future(self.send_often(caller, late))
            for caller in callers
            if late
        ]
        answers = await asyncio.gather(
            *(caller.read_answer(rate=4 << 20) for caller in callers)
        )
        for sender in senders:
            sender.cancel()
        for answer in answers:
            self.assertEqual((200, LARGE), (answer.status, len(answer.body)), answer)
        await self.assert_ends_in_time(node)

    # A caller that reads slowly lost the end of its answer at a stop when it had
    # sent more: the next request, the next order or an empty line.
    async def test_slow_reader_that_has_sent_more_at_stop(self):
        await self.read_large_at_stop(
            (
                head("GET", "/idem/next", "next"),
                head("POST", "/once/next", "next-order", length=5) + b"order",
                b"\r\n",
            )
        )

    # Unread bytes behind a request that asks for the close reset the connection.
    async def test_close_of_small_answer_with_extra_bytes(self):
        (node,) = await self.start("orders")
        failed = []
        for index in range(200):
            caller = await self.caller(node)
            request = head("GET", f"/idem/{index}", f"c{index}", "Connection: close")
            await caller.send(request)
            for _ in range(index % 20):
                await asyncio.sleep(0)
            with contextlib.suppress(OSError):
                await caller.send(b"\r\n" * 50)
            answer = await caller.read_answer()
            if answer.status != 200:
                failed.append(answer)
            caller.close()
        self.assertEqual([], failed)

    async def use_rude_backend(self, seed, seconds, callers, pause, least=1.0):
        RudeBackend.seed = seed
        RudeBackend.least = least
        with unittest.mock.patch.object(planned, "Backend", RudeBackend):
            await self.start("orders", "stock")
        ends = {}
        end = time.monotonic() + seconds
        chooser = random.Random(seed)

        async def call(node):
            # Not all at once: there are nine slots.
            await asyncio.sleep(chooser.uniform(0, pause))
            while time.monotonic() < end:
                method, prefix = chooser.choice([("POST", "/once/"), ("GET", "/idem/")])
                self.next_request += 1
                target = f"{prefix}r{self.next_request}"
                ends[target] = await self.request(node, method, target, 4.0)
                await asyncio.sleep(chooser.uniform(0, pause))

        await asyncio.gather(*(call(self.nodes[i % 2]) for i in range(callers)))
        failed = {t: a for t, a in ends.items() if a.status != 200}
        runs = [t for n in self.nodes for t in n.backend.started.values()]
        twice = [t for t in ends if t.startswith("/once/") and runs.count(t) > 1]
        self.assertEqual([], twice)
        self.assertEqual({}, failed)

    # A request met a backend server's close of an idle connection (502).
    async def test_backend_server_closes_idle_connections(self):
        await self.use_rude_backend(seed=1, seconds=4, callers=40, pause=3.0)

    # Requests without answer, with bodies in pieces, chunks or after Expect.
    async def test_forms_of_requests(self):
        (node,) = await self.start("orders")
        caller = await self.caller(node)
        seen = {}
        for index in range(3):
            # Slow pieces with a length, and a head in pieces.
            data = head("POST", "/once/slow", self.identifier(), length=40) + b"o" * 40
            for begin in range(0, len(data), 20):
                await caller.send(data[begin : begin + 20])
                await asyncio.sleep(0.02)
            seen[f"slow {index}"] = await caller.read_answer(3)
            lines = ("Transfer-Encoding: chunked",)
            await caller.send(
                head("POST", "/once/chunks", self.identifier(), *lines)
            )
            for chunk in (b"5\r\nor", b"der\r", b"\n3;a=b\r\nxyz\r\n0\r\n", b"\r\n"):
                await asyncio.sleep(0.1)
                await caller.send(chunk)
            seen[f"chunks {index}"] = await caller.read_answer(3)
            await caller.send(
                head(
                    "POST",
                    "/once/expect",
                    self.identifier(),
                    "Expect: 100-continue",
                    length=5,
                )
            )
            # A caller may send the body without waiting for the 100.
            await asyncio.sleep(0.2)
            await caller.send(b"order")
            seen[f"expect {index}"] = await caller.read_answer(3)
        self.assertEqual([], [k for k, a in seen.items() if a.status != 200])

    async def begin_bodies(self, node, name):
        callers = [await self.caller(node) for _ in range(4)]
        for index, caller in enumerate(callers):
            target = f"/once/{name}{index}"
            request = head("POST", target, self.identifier(), length=10)
            await caller.send(request + b"order")
        return callers

    async def finish_bodies(self, callers, name, may_refuse):
        for caller in callers:
            await caller.send(b"order")
        for index, caller in enumerate(callers):
            answer = await caller.read_answer(3)
            if may_refuse:
                self.assert_answered_or_refused(answer, f"/once/{name}{index}")
            else:
                self.assertEqual(200, answer.status, answer)

    # A request whose body was half sent when the node closed its connections, or
    # when SIGTERM came, got no answer.
    async def test_half_a_body_at_stop(self):
        (node,) = await self.start("orders")
        early = await self.begin_bodies(node, "early")
        node.send(signal.SIGTERM)
        await asyncio.sleep(0.1)
        await self.finish_bodies(early, "early", False)
        await asyncio.sleep(ANNOUNCE_TIME - 0.15)
        late = await self.begin_bodies(node, "late")
        await asyncio.sleep(0.1)
        await self.finish_bodies(late, "late", True)


def own_cases(case):
    """The cases of the class without those of the class whose harness it uses."""
    names = [name for name in vars(case) if name.startswith("test_")]
    return unittest.TestSuite(case(name) for name in names)


def load_tests(_loader, _tests, _pattern):
    return own_cases(SocketsTest)


if __name__ == "__main__":
    unittest.main()
