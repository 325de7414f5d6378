"""Names of the users' platform, and HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses
import socket
import struct

REQUEST_ID = "Oleandertide-Request-Id"
DEADLINE = "Oleandertide-Deadline-Ms"
EXPECTED_INSTANCE = "Oleandertide-Expect-Instance"
CALLER_SERVICE = "Oleandertide-Caller-Service"
NOT_EXECUTED = "Oleandertide-Not-Executed"
STAMP = "Oleandertide-Server-Stamp"
ORGANISATION = "Oleandertide-Tenant"
# Beginning of all keys of clients, to find them where they must not be.
KEY_PREFIX = "soak-key-"
INSTANCE_ID = "Oleandertide-Instance-Id"
ANNOUNCEMENTS = "/oleandertide/instances/"
READINESS = "/oleandertide/ready"
ROWS = "/oleandertide/rows-get"
CHANGES = "/oleandertide/rows-feed"
TRANSACTION = "/oleandertide/rows-tx"

HEALTH = "/health"

# Longest head or line that a stand-in reads, in bytes.
LIMIT = 1 << 20


class Malformed(Exception):
    """Bytes that are no HTTP message."""


@dataclasses.dataclass
class Message:
    """A request or an answer; names of headers are in lower case."""

    start: list
    headers: dict
    body: bytes = b""

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start[1])


async def read_message(reader, is_answer=False, first_bytes=b""):
    """Reads one message; raises IncompleteReadError at an early end."""
    while True:
        head = first_bytes + await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        start = lines[0].split(" ", 2)
        if len(start) < 2 or (is_answer and not start[0].startswith("HTTP/1.")):
            raise Malformed(lines[0])
        if not (is_answer and start[1] == "100"):
            break
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    message = Message(start, headers)
    if "chunked" in headers.get("transfer-encoding", ""):
        message.body = await read_chunks(reader)
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer and start[1] not in ("204", "304"):
        message.body = await reader.read(-1)
    return message


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
        if size == 0:
            return body


def encode(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + body


def reset(writer):
    """Ends a connection so that the other side sees a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


async def exchange(address, method, target, body=b"", timeout=1.0):
    """One call on a connection of its own; returns the answer, or nothing."""

    async def connected():
        reader, writer = await asyncio.open_connection(*address, limit=LIMIT)
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", {"Host": "a"}, body))
            return await read_message(reader, is_answer=True)
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(connected(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, Malformed):
        return None


async def call(address, method, target, body=b""):
    """Returns the status of the answer to a call, or 0."""
    answer = await exchange(address, method, target, body)
    return answer.status if answer else 0


async def read_page(address, target):
    answer = await exchange(address, "GET", target)
    return answer.body.decode() if answer else ""
