"""Guards against limits of an older configuration on kept connections.

Real processes on loopback, with nothing between them.
"""

import asyncio
import time
import unittest

from planned_stop_test import START_LIMIT, wire
from reload_test import ReloadNodesTest

SMALL_BODY = 1000
LARGE_BODY = 50_000


class KeptConnectionLimitsTest(ReloadNodesTest):

    async def large_body(self, node, connection=None):
        return await self.request(
            node, "POST", "/once/large", connection=connection, body=b"b" * LARGE_BODY
        )

    async def large_head(self, node, connection=None):
        return await self.request(
            node,
            "GET",
            "/idem/large",
            connection=connection,
            more_headers={"X-Large": "h" * 6000},
        )

    async def check_grown(self, small, large, check):
        (node,) = await self.start("orders")
        self.configurations.put(limits=small)
        await asyncio.sleep(0.5)
        self.assertIn((await check(node)).status, (413, 431))
        connection = await self.open_and_use(node)
        self.configurations.put(limits=large)
        await self.await_in_force(node, check)
        await asyncio.sleep(0.5)
        answer = await check(node, connection)
        print(f"{self.id().split('.')[-1]}: {answer}", flush=True)
        self.assertEqual(200, answer.status, answer)
        connection[1].transport.abort()

    # A connection kept the limit for bodies under which its last request ended,
    # and answered 413 to a body that the new configuration allows.
    async def test_larger_body_on_a_kept_connection(self):
        await self.check_grown(
            {"max_body_bytes": SMALL_BODY}, {"max_body_bytes": 100_000}, self.large_body
        )

    # The same for heads, with 431.
    async def test_larger_head_on_a_kept_connection(self):
        await self.check_grown(
            {"max_header_bytes": 2048}, {"max_header_bytes": 16_384}, self.large_head
        )

    # A connection kept the limit for idleness under which its last request ended,
    # and was closed earlier than the new configuration allows.
    async def test_idle_connection_under_a_grown_limit(self):
        (node,) = await self.start("orders")
        self.configurations.put(limits={"idle_timeout_ms": 1200})
        await asyncio.sleep(0.5)
        used = await self.open_and_use(node)
        self.configurations.put(
            limits={"idle_timeout_ms": 4000}, routes={"new": "orders"}
        )
        begin = time.monotonic()
        await self.await_in_force(
            node, lambda at: self.request(at, "GET", "/new/1"), 1.0
        )
        print(f"in force after {time.monotonic() - begin:.2f} s", flush=True)
        await asyncio.sleep(begin + 0.8 * 4.0 - time.monotonic())
        answer = await self.request(node, "POST", "/once/idle", connection=used)
        print(f"{self.id().split('.')[-1]}: {answer}", flush=True)
        self.assertEqual(200, answer.status, answer)
        used[1].transport.abort()

    async def send_in_parts(self, connection, parts, pause):
        reader, writer = connection
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause)
        message = await asyncio.wait_for(
            wire.read_message(reader, is_answer=True), START_LIMIT
        )
        return message.status

    def encode(self, target, body):
        headers = {
            "Host": "a.example",
            wire.REQUEST_ID: f"p{target}",
            wire.DEADLINE: 8000,
        }
        return wire.encode(f"GET {target} HTTP/1.1", headers, body)

    # A kept connection answered 408 within a grown limit for heads.
    async def test_slow_head_under_a_grown_limit(self):
        (node,) = await self.start("orders")
        self.configurations.put(limits={"header_timeout_ms": 300})
        await asyncio.sleep(0.5)
        connection = await self.open_and_use(node)
        self.configurations.put(
            limits={"header_timeout_ms": 3000}, routes={"new": "orders"}
        )
        await self.await_in_force(node, lambda at: self.request(at, "GET", "/new/1"))
        request = self.encode("/idem/slow", b"order")
        status = await self.send_in_parts(connection, [request[:40], request[40:]], 1.2)
        self.assertEqual(200, status)
        connection[1].transport.abort()

    # A body that was still arriving when an earlier request of the connection was
    # answered got the limit for heads, and 408. No configuration changes here.
    async def test_slow_body_behind_an_earlier_request(self):
        (node,) = await self.start("orders")
        connection = await self.open(node)
        connection[1].write(self.encode("/idem/first", b""))
        request = self.encode("/idem/slow", b"b" * SMALL_BODY)
        sending = self.send_in_parts(connection, [request[:-500], request[-500:]], 1.2)
        self.assertEqual(200, await sending)
        second = await asyncio.wait_for(
            wire.read_message(connection[0], is_answer=True), START_LIMIT
        )
        print(f"test_slow_body_behind_an_earlier_request: {second.status}", flush=True)
        self.assertEqual(200, second.status)
        connection[1].transport.abort()


if __name__ == "__main__":
    unittest.main()
