"""Crowds of clients that send many large or unfinished requests to nodes.

The tests check only what does not depend on the machine's speed: the processes
live, their memory and their open descriptors stay under a bound, and one
ordinary request to each is answered while the crowd's connections are still
open and after they are closed. Memory is the peak of what is resident, and with
several nodes also of what is resident and what the kernel keeps unread for the
process.
"""

import asyncio
import contextlib
import json
import os
import socket
import struct
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


def head(lines, method="POST", target="/once/crowd", identifier="crowd"):
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: a.example",
        f"{wire.REQUEST_ID}: {identifier}",
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
        # Whether the connection was opened, and all was sent.
        self.is_open = False
        self.is_sent = False

    async def send(self, pieces):
        """Sends what the node takes; it may close or stop reading."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(CROWD_LIMIT):
                await loop.sock_connect(self.socket, self.address)
                self.is_open = True
                for piece in pieces:
                    await loop.sock_sendall(self.socket, piece)
                    await asyncio.sleep(0)
                self.is_sent = True

    def close(self):
        self.socket.close()


def whole(size=BODY, missing=1, **parts):
    """A body in one write, which stops one byte short of its end."""
    yield with_length(size, **parts) + b"x" * (size - missing)


def pieces(size=BODY, missing=1, **parts):
    """The same in many writes."""
    yield with_length(size, **parts)
    for _ in range(size // PIECE - 1):
        yield b"x" * PIECE
    yield b"x" * (PIECE - missing)


def large_chunks(size=BODY, end=b"", **parts):
    """Without the last chunk, unless that is the end."""
    yield chunked(**parts)
    for _ in range(size // PIECE):
        yield chunk(PIECE)
    yield end


def small_chunks(size=2 * MIB, end=b"", **parts):
    """Chunks of one byte, without the last chunk, unless that is the end."""
    yield chunked(**parts)
    many = chunk(1) * 8192
    for _ in range(size // 8192):
        yield many
    yield end


def announced(size, **parts):
    """The first bytes of a body."""
    yield with_length(size, **parts) + b"x" * PIECE


def socket_inodes(pid):
    """The inodes of a process's open sockets; none if it has ended."""
    inodes = set()
    with contextlib.suppress(FileNotFoundError):
        for name in os.listdir(f"/proc/{pid}/fd"):
            with contextlib.suppress(FileNotFoundError):
                target = os.readlink(f"/proc/{pid}/fd/{name}")
                if target.startswith("socket:["):
                    inodes.add(target[len("socket:[") : -1])
    return inodes


def unread_by_socket():
    """Bytes that the kernel keeps unread, with local address and inode."""
    listening = "0A"
    with open("/proc/net/tcp") as sockets:
        next(sockets)
        for line in sockets:
            fields = line.split()
            unread = int(fields[4].split(":")[1], 16)
            if unread > 0 and fields[3] != listening:
                ip, port = fields[1].split(":")
                ip = socket.inet_ntoa(struct.pack("=I", int(ip, 16)))
                yield (ip, int(port, 16)), fields[9], unread


class UntrustedClientsTest(planned.NodesTest):
    memory_mb = MEMORY_MB
    max_body = MAX_BODY
    descriptors = DESCRIPTORS

    def node_settings(self):
        return (
            f"memory-mb = {self.memory_mb}",
            f"descriptors = {self.descriptors}",
        )

    async def start_bounded(self, *services):
        document = json.loads(planned.configuration("orders"))
        document["limits"] = {
            "max_header_bytes": 16_384,
            "max_body_bytes": self.max_body,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        }
        settings = self.node_settings()
        with (
            unittest.mock.patch.object(
                planned, "configuration", lambda _: json.dumps(document).encode()
            ),
            unittest.mock.patch.object(planned.Node, "node_settings", settings),
        ):
            nodes = await self.start(*(services or ["orders"]))
        self.most_descriptors = 0
        return nodes if services else nodes[0]

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
