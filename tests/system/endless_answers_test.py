"""Guards against a process that runs out of memory by answers without end.

Real processes on loopback. A backend server sends bytes until its connection is
closed. Loads and bounds come from `memory-mb`.
"""

import asyncio
import collections
import contextlib
import unittest
import unittest.mock

import planned_stop_test as planned
import untrusted_clients
from planned_stop_test import wire
from untrusted_clients import MIB

# Connections that request answers without end, one after the other.
CALLERS = 24
LENGTH = 6.0
PIECE = b"z" * (64 << 10)
# An answer whose memory is counted, but which is small beside the others.
SOUND_BYTES = 300 << 10


def head(request, *lines):
    lines = [
        "HTTP/1.1 200 OK",
        f"{wire.REQUEST_ID}: {request.header(wire.REQUEST_ID)}",
        f"{wire.STAMP}: stamp",
        *lines,
    ]
    return "\r\n".join(lines + [""]).encode()


# What is sent once, and what again and again, by the last part of the target.
ENDLESS = {
    "body": (lambda request: head(request) + b"\r\n", PIECE),
    "chunks": (
        lambda request: head(request, "Transfer-Encoding: chunked") + b"\r\n",
        b"%x\r\n" % len(PIECE) + PIECE + b"\r\n",
    ),
    "length": (
        lambda request: head(request, "Content-Length: 1000000000000") + b"\r\n",
        PIECE,
    ),
    "head": (head, b"X-Field: value\r\n" * 4096),
    "line": (lambda request: head(request) + b"X-Field: ", PIECE),
    "noise": (lambda request: b"", PIECE),
}


class Backend(planned.Backend):
    async def serve(self, reader, writer):
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    request = await wire.read_message(reader)
                    await self.answer(request, writer)
        finally:
            writer.transport.abort()

    async def answer(self, request, writer):
        target = request.start[1]
        kind = target.rsplit("/", 1)[-1]
        if kind in ENDLESS:
            first, rest = ENDLESS[kind]
            writer.write(first(request))
            while True:
                writer.write(rest)
                await writer.drain()
        body = b""
        if target != wire.HEALTH:
            self.started[request.header(wire.REQUEST_ID)] = target
            body = b"x" * SOUND_BYTES
        headers = {
            wire.REQUEST_ID: request.header(wire.REQUEST_ID),
            wire.STAMP: "stamp",
        }
        writer.write(wire.encode("HTTP/1.1 200 OK", headers, body))
        await writer.drain()


class EndlessAnswers(untrusted_clients.UntrustedClientsTest):
    async def ask(self, node, kind, statuses):
        """Requests answers without end one after the other."""
        end = asyncio.get_running_loop().time() + LENGTH
        while asyncio.get_running_loop().time() < end:
            for method, route in (("GET", "idem"), ("POST", "once")):
                answer = await self.request(
                    node, method, f"/{route}/{kind}", deadline=2.0
                )
                statuses[answer.status] += 1

    async def check_endless(self, kinds, callers=CALLERS):
        with unittest.mock.patch.object(planned, "Backend", Backend):
            node = await self.start_bounded()
        statuses = collections.Counter()
        crowd = [
            asyncio.ensure_future(self.ask(node, kinds[index % len(kinds)], statuses))
            for index in range(callers)
        ]
        await asyncio.sleep(LENGTH / 2)
        during = await self.ordinary_request(node)
        await asyncio.gather(*crowd)
        after = await self.ordinary_request(node)
        peak = self.peak_bytes(node) if node.process.poll() is None else 0
        print(
            f"{self.id().split('.')[-1]}: peak {peak / MIB:.1f} MiB of "
            f"{self.memory_mb}, statuses {dict(statuses)}, during {during}, "
            f"after {after}",
            flush=True,
        )
        self.assertIsNone(node.process.poll(), "the process ended")
        self.assertLessEqual(peak, self.memory_mb * 1_000_000)
        for answer in (during, after):
            self.assertEqual((200, SOUND_BYTES), (answer.status, len(answer.body)))
        # Neither a success nor a connection without answer.
        self.assertLessEqual(set(statuses), {502, 503, 504})


class EndlessAnswersTest(EndlessAnswers):
    async def test_body(self):
        await self.check_endless(["body"])

    async def test_chunks(self):
        await self.check_endless(["chunks"])

    async def test_length(self):
        await self.check_endless(["length"])

    async def test_head(self):
        await self.check_endless(["head", "line", "noise"])

    async def test_mixture(self):
        await self.check_endless(list(ENDLESS))


class SmallestMachineTest(EndlessAnswers):
    # The least machine of the users.
    memory_mb = 160

    async def test_body(self):
        await self.check_endless(["body"])


if __name__ == "__main__":
    unittest.main()
