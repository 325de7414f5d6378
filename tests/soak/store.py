"""The platform's metadata store, with its faults."""

import asyncio
import base64
import dataclasses
import json
import random
import time
import urllib.parse

import wire

# Tables that only the operator and the platform write.
FOREIGN_TABLES = ("op", "servers")


@dataclasses.dataclass
class Faults:
    """What goes wrong with calls; probabilities from 0 to 1."""

    delay: float = 0.0
    losing_answers: float = 0.0
    late_writes: float = 0.0


class Store:
    """Keeps rows and their history. Each node calls an address of its own."""

    def __init__(self, generator):
        self.random = random.Random(generator.random())
        self.rows = {}
        self.version = 1
        self.forgotten = 0
        # Rises when the store returns from an older copy.
        self.era = 1
        self.faults = Faults()
        # Answers to a node's calls by its name: a status, or 0 for none at all.
        self.refusals = {}
        self.changed = asyncio.Event()
        self.servers = []
        self.tasks = set()

    async def listen(self, node, address):
        async def serve(reader, writer):
            task = asyncio.current_task()
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await self.serve(node, reader, writer)

        self.servers.append(
            await asyncio.start_server(serve, *address, limit=wire.LIMIT)
        )

    def stop(self):
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()

    def put(self, table, key, value):
        """Writes a row as the operator or another writer does."""
        self.version += 1
        self.rows[table, key] = (self.version, value)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        return dict(self.rows), self.version

    def return_from(self, copy):
        """Returns from a copy. What others than the nodes wrote is written again."""
        written = [
            (name, value)
            for name, (_, value) in self.rows.items()
            if name[0] in FOREIGN_TABLES
        ]
        self.rows, self.version = dict(copy[0]), copy[1]
        self.forgotten = self.version
        self.era += 1
        for name, value in written:
            self.put(*name, value)
        self.wake()

    def forget_history(self):
        self.forgotten = self.version
        self.wake()

    async def serve(self, node, reader, writer):
        try:
            while True:
                request = await wire.read_message(reader)
                if self.faults.delay:
                    await asyncio.sleep(self.faults.delay * self.random.random())
                answer = await self.answer(node, request)
                if answer is None:
                    # Nothing more comes on this connection.
                    await asyncio.Event().wait()
                status, value = answer
                body = json.dumps(value).encode()
                fields = {"Store-Era": str(self.era)}
                writer.write(wire.encode(f"HTTP/1.1 {status} X", fields, body))
                await writer.drain()
        except (
            OSError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            wire.Malformed,
        ):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, node, request):
        refusal = self.refusals.get(node)
        if refusal is not None:
            return (refusal, {}) if refusal else None
        target = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == wire.ROWS:
            return 200, self.listing(query["table"], query.get("from", ""))
        if target.path == wire.CHANGES:
            answer = await self.wait_for_changes(query)
        elif target.path == wire.TRANSACTION:
            answer = await self.write(json.loads(request.body))
        else:
            return 404, {}
        if self.random.random() < self.faults.losing_answers:
            return None
        return (503, {}) if self.refusals.get(node) else answer

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

    def listing(self, table, first):
        return self.encode_rows(
            (name, row)
            for name, row in sorted(self.rows.items())
            if name[0] == table and name[1] >= first and row[1] is not None
        )

    async def wait_for_changes(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(int(query["wait_ms"]), 30000) / 1000
        while True:
            if after < self.forgotten or after > self.version:
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

    async def write(self, transaction):
        if self.random.random() < self.faults.late_writes:
            delay = self.random.uniform(1, 4)
            asyncio.get_running_loop().call_later(delay, self.apply, transaction)
            return None
        return self.apply(transaction)

    def apply(self, transaction):
        entries = transaction["writes"] + transaction["remove"]
        if any(row["table"] in FOREIGN_TABLES for row in entries):
            return 403, {}
        for row in transaction["expected"]:
            version, value = self.rows.get((row["table"], row["key"]), (0, None))
            if row["ver"] != (0 if value is None else version):
                current = [((row["table"], row["key"]), (version, value))]
                return 412, self.encode_rows(current if value is not None else [])
        self.version += 1
        for row in transaction["writes"]:
            value = base64.b64decode(row["value"])
            self.rows[row["table"], row["key"]] = (self.version, value)
        for row in transaction["remove"]:
            self.rows[row["table"], row["key"]] = (self.version, None)
        self.wake()
        return 200, {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}
