"""Clients beside the nodes, and the calls that backend servers make."""

import asyncio
import dataclasses
import random
import time

import wire
from record import Attempt, digest


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request, as the configuration's routes have it."""

    prefix: str
    method: str
    is_repeatable: bool
    # Seconds that the client waits.
    deadline: float
    share: float


KINDS = (
    Kind("/lookup/", "GET", True, 1.5, 0.5),
    Kind("/book/", "POST", False, 2.0, 0.25),
    Kind("/packs/", "GET", True, 2.0, 0.05),
    Kind("/history/", "GET", True, 4.0, 0.1),
    Kind("/moved/", "GET", True, 1.5, 0.1),
)
CALLED = Kind("/status/", "GET", True, 0.5, 0)
# Shares of clients that leave early, and of requests on new connections.
LEAVING_SHARE = 0.02
NEW_CONNECTION_SHARE = 0.1
# Share of requests that claim an organisation by the header that only the
# system may set.
CLAIMING_SHARE = 0.2
# Longest time in seconds after which a client leaves early.
LEAVING_TIME = 0.1
CONNECT_TIMEOUT = 1.0
# Time beyond its deadline for which a client listens, to tell late answers
# from none at all.
LISTENING_TIME = 1.0


class Caller:
    """Sends requests to nodes and records how they end."""

    def __init__(self, record, generator):
        self.record = record
        self.random = random.Random(generator.random())
        self.addresses = {}
        self.idle = {}
        self.tasks = set()
        self.rate_factor = 1.0
        self.is_running = True
        # Keys of clients, in runs with organisations.
        self.keys = None

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def pick_kind(self):
        return self.random.choices(KINDS, [kind.share for kind in KINDS])[0]

    async def request(self, node, kind, **marks):
        """A client's request, with one more attempt where it may repeat."""
        begin = time.monotonic()
        attempt = await self.attempt(node, kind, kind.deadline, **marks)
        left = begin + kind.deadline - time.monotonic()
        may_repeat = attempt.ending != "left" and (
            attempt.is_promise or (kind.is_repeatable and attempt.status != 200)
        )
        if not may_repeat or attempt.status in (400, 401, 404, 413, 431):
            return
        await asyncio.sleep(min(attempt.retry_after, max(left / 3, 0)))
        left = begin + kind.deadline - time.monotonic()
        if left > 0.05:
            await self.attempt(node, kind, left, is_new=True, **marks)

    async def call_from_backend(self, server, parent, end):
        """A call of a run; true if it succeeded."""
        left = end - time.monotonic()
        if left <= 0:
            return False
        attempt = await self.attempt(
            server.node,
            CALLED,
            min(left, CALLED.deadline),
            is_call_of_repeat=parent.is_repeat,
        )
        return attempt.status == 200

    async def attempt(self, node, kind, deadline, is_new=False, **marks):
        number = next(self.record.numbers)
        body = b"" if kind.method == "GET" else self.random.randbytes(50)
        target = marks.pop("target", f"{kind.prefix}{number}")
        if self.keys is not None and kind != CALLED:
            marks = {"key": self.keys.current(), "needs_key": True, **marks}
        attempt = Attempt(
            identifier=f"q{number}",
            node=node,
            method=kind.method,
            target=target,
            body=digest(body),
            is_repeatable=kind.is_repeatable,
            deadline=deadline,
            sent_at=time.monotonic(),
            **marks,
        )
        self.record.attempts[attempt.identifier] = attempt
        leaves = kind.is_repeatable and self.random.random() < LEAVING_SHARE
        limit = deadline + LISTENING_TIME
        if leaves:
            limit = self.random.uniform(0, LEAVING_TIME)
        try:
            await asyncio.wait_for(self.exchange(attempt, body, is_new), limit)
        except asyncio.TimeoutError:
            attempt.ending = "left" if leaves else "timeout"
        except asyncio.CancelledError:
            # The run that made the call has ended.
            attempt.ending = "left"
            attempt.ended_at = time.monotonic()
            raise
        except (OSError, asyncio.IncompleteReadError):
            attempt.ending = attempt.ending or "closed"
        except (wire.Malformed, ValueError) as error:
            attempt.ending = "closed"
            self.record.violations.append(
                ("answer", f"{attempt.identifier} got no answer in HTTP: {error}")
            )
        attempt.ended_at = time.monotonic()
        return attempt

    async def exchange(self, attempt, body, is_new):
        reader, writer = await self.connect(attempt, is_new)
        is_kept = False
        try:
            headers = {
                "Host": "a.example",
                wire.REQUEST_ID: attempt.identifier,
                wire.DEADLINE: int(attempt.deadline * 1000),
            }
            if attempt.key:
                headers["Authorization"] = f"Token {attempt.key}"
            if self.keys is not None and self.random.random() < CLAIMING_SHARE:
                headers[wire.ORGANISATION] = "claimed-by-client"
            start = f"{attempt.method} {attempt.target} HTTP/1.1"
            writer.write(wire.encode(start, headers, body))
            answer = await wire.read_message(reader, is_answer=True)
            attempt.ending = "answer"
            attempt.status = answer.status
            attempt.stamp = answer.header(wire.STAMP)
            attempt.answer_identifier = answer.header(wire.REQUEST_ID)
            attempt.answer_body = digest(answer.body)
            attempt.retry_after = float(answer.header("Retry-After", "0"))
            is_kept = "close" not in answer.header("Connection").lower()
        finally:
            if is_kept:
                self.idle.setdefault(attempt.node, []).append((reader, writer))
            else:
                writer.transport.abort()

    async def connect(self, attempt, is_new):
        """Takes a kept connection that is still open, or opens one."""
        kept = self.idle.setdefault(attempt.node, [])
        is_new = is_new or self.random.random() < NEW_CONNECTION_SHARE
        while kept and not is_new:
            reader, writer = kept.pop()
            read = asyncio.ensure_future(reader.read(100))
            await asyncio.wait({read}, timeout=0)
            if not read.done():
                read.cancel()
                await asyncio.wait({read})
                return reader, writer
            if not read.exception() and read.result():
                self.record.violations.append(
                    ("answer", f"{attempt.node} sent {read.result()} unasked")
                )
            writer.transport.abort()
        try:
            return await asyncio.wait_for(
                asyncio.open_connection(*self.addresses[attempt.node], limit=wire.LIMIT),
                CONNECT_TIMEOUT,
            )
        except (OSError, asyncio.TimeoutError):
            attempt.ending = "not connected"
            raise ConnectionRefusedError from None
