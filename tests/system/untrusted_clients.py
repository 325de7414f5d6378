"""Crowds of clients that send many large or unfinished requests to one node.

The tests check only what does not depend on the machine's speed: the process
lives, its peak resident memory and its open descriptors stay under a bound, and
one ordinary request is answered while the crowd's connections are still open
and after they are closed.
"""

import asyncio
import contextlib
import json
import os
import socket
import unittest.mock

import planned_stop_test as planned
from planned_stop_test import wire

MIB = 1 << 20
# In the settings of the node. Requests in calm need about 10 MiB.
MEMORY_MB = 48
DESCRIPTORS = 160
# In the limits of the configuration.
MAX_BODY = 8 * MIB
# A crowd of 24 such bodies has three times the memory of the node.
CROWD = 24
BODY = 6 * MIB
PIECE = 64 << 10
# Generous, so that a slow machine passes: a hanging process is what fails.
ANSWER_LIMIT = 20.0
CROWD_LIMIT = 40.0


def head(lines, method="POST", target="/once/crowd"):
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: a.example",
        f"{wire.REQUEST_ID}: crowd",
        f"{wire.DEADLINE}: 8000",
        *lines,
    ]
    return "\r\n".join(lines + ["", ""]).encode()


def with_length(size, **parts):
    return head([f"Content-Length: {size}"], **parts)


def chunked(**parts):
    return head(["Transfer-Encoding: chunked"], **parts)


def chunk(size):
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


class Member:
    """One connection of a crowd, which reads nothing and stays open."""

    def __init__(self, address):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.address = address

    async def send(self, pieces):
        """Sends what the node takes; it may close or stop reading."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(CROWD_LIMIT):
                await loop.sock_connect(self.socket, self.address)
                for piece in pieces:
                    await loop.sock_sendall(self.socket, piece)
                    await asyncio.sleep(0)

    def close(self):
        self.socket.close()


def whole(size=BODY, **parts):
    """A body in one write, which stops one byte short of its end."""
    yield with_length(size, **parts) + b"x" * (size - 1)


def pieces(size=BODY, **parts):
    """The same in many writes."""
    yield with_length(size, **parts)
    for _ in range(size // PIECE - 1):
        yield b"x" * PIECE
    yield b"x" * (PIECE - 1)


def large_chunks(size=BODY, **parts):
    """Without the last chunk."""
    yield chunked(**parts)
    for _ in range(size // PIECE):
        yield chunk(PIECE)


def small_chunks(size=2 * MIB, **parts):
    """Chunks of one byte, without the last chunk."""
    yield chunked(**parts)
    many = chunk(1) * 8192
    for _ in range(size // 8192):
        yield many


def announced(size, **parts):
    """The first bytes of a body."""
    yield with_length(size, **parts) + b"x" * PIECE


class UntrustedClientsTest(planned.NodesTest):
    memory_mb = MEMORY_MB
    max_body = MAX_BODY

    async def start_bounded(self):
        document = json.loads(planned.configuration("orders"))
        document["limits"] = {
            "max_header_bytes": 16_384,
            "max_body_bytes": self.max_body,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        }
        settings = (f"memory-mb = {self.memory_mb}", f"descriptors = {DESCRIPTORS}")
        with (
            unittest.mock.patch.object(
                planned, "configuration", lambda _: json.dumps(document).encode()
            ),
            unittest.mock.patch.object(planned.Node, "node_settings", settings),
        ):
            (node,) = await self.start("orders")
        self.most_descriptors = 0
        return node

    def peak_bytes(self, node):
        with open(f"/proc/{node.process.pid}/status") as status:
            lines = dict(line.split(":", 1) for line in status)
        return int(lines["VmHWM"].split()[0]) << 10

    def count_descriptors(self, node):
        with contextlib.suppress(FileNotFoundError):
            return len(os.listdir(f"/proc/{node.process.pid}/fd"))
        return 0

    async def watch_descriptors(self, node):
        while True:
            self.most_descriptors = max(
                self.most_descriptors, self.count_descriptors(node)
            )
            await asyncio.sleep(0.02)

    async def ordinary_request(self, node):
        """One of a client that follows the node's request to come back."""
        answer = None
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(ANSWER_LIMIT):
                while answer is None or answer.status != 200:
                    answer = await self.request(node, "GET", "/idem/ordinary")
                    await asyncio.sleep(0.1)
        return answer

    async def check(self, node, crowd, address="clients"):
        """Sends the crowd's requests at once, and checks the node."""
        members = [Member(node.listen[address]) for _ in crowd]
        for member in members:
            self.addCleanup(member.close)
        watch = asyncio.ensure_future(self.watch_descriptors(node))
        await asyncio.gather(
            *(member.send(data) for member, data in zip(members, crowd))
        )
        during = await self.ordinary_request(node)
        for member in members:
            member.close()
        after = await self.ordinary_request(node)
        watch.cancel()
        self.assertIsNone(node.process.poll(), "the process ended")
        peak = self.peak_bytes(node)
        print(
            f"{self.id().split('.')[-1]}: peak {peak / MIB:.1f} MiB of "
            f"{self.memory_mb}, {self.most_descriptors} descriptors of "
            f"{DESCRIPTORS}, during {during}, after {after}",
            flush=True,
        )
        self.assertLessEqual(peak, self.memory_mb * 1_000_000)
        self.assertLessEqual(self.most_descriptors, DESCRIPTORS)
        self.assertEqual((200, 200), (during.status, after.status))
