"""Backend servers of two services, with their faults."""

import asyncio
import dataclasses
import gzip
import json
import random
import time

import wire
from record import Acknowledgement, Arrival, digest

SLOTS = 6
QUEUE = 12
HEARTBEAT = 1.5
# Time of a run in seconds, without faults.
RUN_TIMES = {"/lookup/": 0.03, "/book/": 0.05, "/packs/": 0.02, "/history/": 0.1}
OTHER_RUN_TIME = 0.02
PACK_SIZE = 60_000
# Share of lookups that call the other service.
CALLING_SHARE = 0.2
# Largest error of the clock of a server, in seconds.
CLOCK_ERROR = 5


@dataclasses.dataclass
class Faults:
    """What goes wrong with runs; probabilities from 0 to 1."""

    slowness: float = 1.0
    failing: float = 0.0
    losing_answers: float = 0.0
    garbling: float = 0.0
    lying_health: bool = False


class BackendServer:
    """Serves one service beside one node; each start is a new incarnation."""

    def __init__(
        self, record, caller, node, service, address, path, heartbeats_to, generator
    ):
        self.record = record
        self.caller = caller
        self.node = node
        self.service = service
        self.address = address
        # The proxy where the node finds the server.
        self.path = path
        self.heartbeat_address = heartbeats_to
        self.random = random.Random(generator.random())
        self.faults = Faults()
        self.identifier = ""
        self.state = "gone"
        self.incarnation = 0
        self.server = None
        self.connections = set()
        self.heartbeats = None
        # When the server last was crashed, slow or wrong.
        self.disturbed_at = 0.0

    async def start(self, keeps_identifier=False):
        self.incarnation += 1
        if not (keeps_identifier and self.identifier):
            self.identifier = f"i-{self.node}-{self.incarnation}"
        error = self.random.uniform(-CLOCK_ERROR, CLOCK_ERROR)
        self.born = int((time.time() + error) * 1000)
        self.sequence = 0
        self.state = "ready"
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.runs = 0
        self.server = await asyncio.start_server(
            self.serve, *self.address, limit=wire.LIMIT
        )
        await self.path.open()
        self.heartbeats = asyncio.ensure_future(self.beat())

    def crash(self):
        """Ends without notice; open connections are reset."""
        if self.state == "gone":
            return
        self.state = "gone"
        self.disturbed_at = time.monotonic()
        self.heartbeats.cancel()
        self.server.close()
        self.path.close()
        for writer in list(self.connections):
            wire.reset(writer)

    async def leave(self, announces_draining):
        """Says that it leaves, serves on for the time agreed and ends."""
        if self.state != "ready":
            return
        incarnation = self.incarnation
        self.state = "draining"
        self.heartbeats.cancel()
        if announces_draining:
            is_acknowledged = await self.announce()
        else:
            is_acknowledged = await self.depart()
        await asyncio.sleep(3 if is_acknowledged else 5)
        if self.incarnation != incarnation or self.state == "gone":
            return
        if announces_draining:
            await self.depart()
        self.crash()

    async def beat(self):
        while True:
            is_acknowledged = await self.announce()
            await asyncio.sleep(
                HEARTBEAT * self.random.uniform(0.8, 1.2) if is_acknowledged else 0.3
            )

    async def announce(self):
        self.sequence += 1
        identifier = self.identifier
        body = {
            "service": self.service,
            "address": "%s:%d" % self.path.listen,
            "zone": "z",
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        status = await wire.call(
            self.heartbeat_address,
            "PUT",
            wire.ANNOUNCEMENTS + identifier,
            json.dumps(body).encode(),
        )
        return self.acknowledged(status, identifier, body["state"] == "draining")

    async def depart(self):
        identifier = self.identifier
        status = await wire.call(
            self.heartbeat_address,
            "DELETE",
            wire.ANNOUNCEMENTS + identifier,
            json.dumps({"born": self.born}).encode(),
        )
        return self.acknowledged(status, identifier, True)

    def acknowledged(self, status, identifier, is_leaving):
        is_acknowledged = 200 <= status < 300
        if is_acknowledged and is_leaving:
            # An identifier that is used again names another server.
            self.record.acknowledgements.append(
                Acknowledgement(
                    f"{identifier}/{self.incarnation}", self.node, time.monotonic()
                )
            )
        return is_acknowledged

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            first_bytes = b""
            while True:
                request = await wire.read_message(reader, first_bytes=first_bytes)
                first_bytes = await self.handle(request, reader, writer) or b""
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except (wire.Malformed, ValueError) as error:
            self.record.violations.append(
                ("unasked", f"{self.identifier} got no request: {error}")
            )
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def handle(self, request, reader, writer):
        """Returns bytes of the next request, if some have come."""
        if request.start[1] == wire.HEALTH:
            is_well = self.state == "ready" and not self.faults.lying_health
            headers = {wire.INSTANCE_ID: self.identifier}
            writer.write(wire.encode(f"HTTP/1.1 {200 if is_well else 503} X", headers))
            return
        given = request.header(wire.DEADLINE)
        arrival = Arrival(
            identifier=request.header(wire.REQUEST_ID),
            backend=f"{self.identifier}/{self.incarnation}",
            service=self.service,
            node=self.node,
            at=time.monotonic(),
            method=request.start[0],
            target=request.start[1],
            body=digest(request.body),
            caller_service=request.header(wire.CALLER_SERVICE),
            given=float(given) / 1000 if given else None,
            is_repeat=request.header(wire.REQUEST_ID) in self.record.arrived,
            organisation=request.header(wire.ORGANISATION),
            has_key="authorization" in request.headers
            or any(
                wire.KEY_PREFIX in text
                for text in (*request.start, *request.headers.values())
            ),
        )
        self.record.arrivals.append(arrival)
        self.record.arrived.add(arrival.identifier)
        expected = request.header(wire.EXPECTED_INSTANCE)
        if expected and expected != self.identifier:
            self.refuse(arrival, writer, 421)
            return
        if self.waiting >= QUEUE:
            self.refuse(arrival, writer, 503)
            return
        # The run ends when its connection does.
        run = asyncio.ensure_future(self.run(arrival, writer))
        watch = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({run, watch}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
            arrival.ending = arrival.ending or "dropped"
            arrival.ended_at = time.monotonic()
            if not watch.exception() and watch.result():
                raise wire.Malformed("bytes while a request is at work")
            raise ConnectionResetError
        run.result()
        if not watch.done():
            watch.cancel()
            await asyncio.wait({watch})
        return b"" if watch.cancelled() else watch.result()

    def refuse(self, arrival, writer, status):
        arrival.status = status
        arrival.ending = "answered"
        arrival.ended_at = time.monotonic()
        headers = {wire.REQUEST_ID: arrival.identifier, wire.NOT_EXECUTED: "1"}
        writer.write(wire.encode(f"HTTP/1.1 {status} X", headers))

    async def run(self, arrival, writer):
        end = arrival.at + (arrival.given or 10)
        self.waiting += 1
        try:
            await asyncio.wait_for(self.slots.acquire(), end - time.monotonic())
        except asyncio.TimeoutError:
            self.refuse(arrival, writer, 503)
            return
        finally:
            self.waiting -= 1
        arrival.is_run = True
        arrival.ending = "at work"
        self.runs += 1
        arrival.stamp = f"{self.identifier}.{self.incarnation}.{self.runs}"
        try:
            await self.work(arrival, writer, end)
        finally:
            self.slots.release()

    async def work(self, arrival, writer, end):
        if "poison" in arrival.target:
            arrival.ending = "crashed"
            arrival.ended_at = time.monotonic()
            self.crash()
            asyncio.get_running_loop().call_later(
                1.5, lambda: asyncio.ensure_future(self.start_again())
            )
            return
        prefix = "/" + arrival.target.split("/")[1] + "/"
        seconds = RUN_TIMES.get(prefix, OTHER_RUN_TIME) * self.faults.slowness
        seconds *= self.random.uniform(0.7, 1.5)
        left = end - time.monotonic()
        await asyncio.sleep(max(min(seconds, left), 0))
        status = 200 if seconds < left else 504
        if self.random.random() < self.faults.failing:
            status = 500
        if prefix == "/lookup/" and self.random.random() < CALLING_SHARE:
            if not await self.caller.call_from_backend(self, arrival, end):
                status = 500
        size = PACK_SIZE if prefix == "/packs/" else self.random.randrange(200)
        body = self.random.randbytes(size)
        arrival.status = status
        arrival.answer_body = digest(body)
        arrival.ended_at = time.monotonic()
        headers = {wire.REQUEST_ID: arrival.identifier, wire.STAMP: arrival.stamp}
        answer = wire.encode(f"HTTP/1.1 {status} X", headers, body)
        if self.random.random() < self.faults.losing_answers:
            arrival.ending = "lost"
            wire.reset(writer)
        elif self.random.random() < self.faults.garbling:
            arrival.ending = "garbled"
            self.garble(answer, writer)
        else:
            arrival.ending = "answered"
            writer.write(answer)

    def garble(self, answer, writer):
        choice = self.random.randrange(6)
        start, rest = answer.split(b"\r\n", 1)
        if choice == 0:
            writer.write(answer[: self.random.randrange(1, len(answer))])
            writer.close()
        elif choice == 1:
            writer.write(self.random.randbytes(300))
            writer.close()
        elif choice == 2:
            writer.write(answer + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
        elif choice == 3:
            status = self.random.choice([b"000", b"099", b"600", b"999"])
            writer.write(b"HTTP/1.1 " + status + b" X\r\n" + rest)
        elif choice == 4:
            name = self.random.choice([b"Odd Name", b"Odd\x01Name", b"Odd ", b""])
            writer.write(start + b"\r\n" + name + b": 1\r\n" + rest)
        else:
            head, body = rest.split(b"\r\n\r\n", 1)
            lines = [line for line in head.split(b"\r\n") if b"Length" not in line]
            lines.append(b"Transfer-Encoding: gzip, chunked")
            coded = gzip.compress(body)
            lines += [b"", b"%x" % len(coded), coded, b"0", b"", b""]
            writer.write(b"\r\n".join([start, *lines]))

    async def start_again(self, keeps_identifier=False):
        if self.state == "gone":
            await self.start(keeps_identifier)
