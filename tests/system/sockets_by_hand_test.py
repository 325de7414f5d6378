"""Cases of sockets that are measured; run by hand, not by CTest.

Real processes on loopback, with callers on plain sockets.
"""

import asyncio
import contextlib
import signal
import socket
import time
import unittest

import sockets_test
from planned_stop_test import GRACE
from sockets_test import head

import wire


class SocketsByHandTest(sockets_test.SocketsTest):

    # A caller that shuts down its side: an order runs once; what it gets.
    async def test_half_close(self):
        (node,) = await self.start("orders")
        node.backend.run_times = {"/": 0.3}
        seen = {}
        for method, target, body in (
            ("POST", "/once/half", b"order"),
            ("GET", "/idem/half", b""),
        ):
            caller = await self.caller(node)
            request = head(method, target, self.identifier(), length=len(body))
            await caller.send(request + body)
            caller.socket.shutdown(socket.SHUT_WR)
            seen[target] = await caller.read_answer(3)
        await asyncio.sleep(0.5)
        runs = list(node.backend.started.values())
        print("half-close:", seen, "runs", runs.count("/once/half"))
        self.assertEqual(1, runs.count("/once/half"))

    async def stop_behind(self, seed):
        """A planned stop of a process that runs a fifth of the time."""
        node, other = await self.start("orders", "orders")
        for each in (node, other):
            each.backend.run_times = {"/": 0.05}
        ends = {}
        is_over = asyncio.Event()

        async def duty():
            while node.process.poll() is None:
                node.send(signal.SIGSTOP)
                await asyncio.sleep(0.08)
                node.send(signal.SIGCONT)
                await asyncio.sleep(0.02)

        async def call(method, prefix, is_kept):
            connection = None
            why = []
            while not is_over.is_set():
                target = f"{prefix}{self.identifier()}"
                sent = time.monotonic()
                used = connection is not None
                try:
                    if connection is None:
                        connection = await self.open(node)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                reader, writer = connection
                keep = False
                try:
                    headers = {
                        "Host": "a.example",
                        wire.REQUEST_ID: target,
                        wire.DEADLINE: 4000,
                    }
                    writer.write(
                        wire.encode(f"{method} {target} HTTP/1.1", headers, b"o")
                    )
                    answer = await asyncio.wait_for(
                        wire.read_message(reader, is_answer=True), 6
                    )
                    status = answer.status
                    error = ""
                    keep = is_kept and answer.header("connection") != "close"
                except (
                    OSError,
                    asyncio.IncompleteReadError,
                    asyncio.TimeoutError,
                ) as e:
                    status, error = 0, type(e).__name__
                ends[target] = (
                    status,
                    error,
                    "kept" if used else "new",
                    sent - begin,
                    time.monotonic() - begin,
                    writer.get_extra_info("sockname"),
                    len(why) and why[-1],
                )
                if not keep:
                    why.append((status, time.monotonic() - begin))
                    writer.transport.abort()
                    connection = None
                await asyncio.sleep(0.01)
            if connection:
                connection[1].transport.abort()

        begin = time.monotonic()
        cycle = asyncio.ensure_future(duty())
        callers = [
            asyncio.ensure_future(call(method, prefix, is_kept))
            for method, prefix in (("POST", "/once/"), ("GET", "/idem/"))
            for is_kept in (True, True, True, False, False)
        ]
        await asyncio.sleep(0.5)
        begin = time.monotonic()
        node.send(signal.SIGTERM)
        end = await node.wait_for_end()
        is_over.set()
        await asyncio.gather(cycle, *callers)
        return node, other, ends, end - begin

    # A process that is behind lost requests at a planned stop, or outlasted it.
    async def test_stop_of_a_process_that_is_behind(self):
        node, other, ends, took = await self.stop_behind(1)
        ran = {t for n in (node, other) for t in n.backend.started.values()}
        count = {}
        for target, end in ends.items():
            count[end[0]] = count.get(end[0], 0) + 1
        print(f"behind: {len(ends)} requests, by status {count}, end {took:.2f} s")
        lost = {t: e for t, e in ends.items() if e[0] == 0}
        failed = {t: e for t, e in ends.items() if e[0] in (502, 504)}
        for target, end in {**lost, **failed}.items():
            print("  ", target, end, "ran" if target in ran else "did not run")
        self.assertLess(took, GRACE)
        self.assertEqual({}, failed)
        self.assertEqual({}, {t: e for t, e in lost.items() if t in ran})
        # One that the node has not read when it closes is not passed on.
        self.assertEqual({}, {t: e for t, e in lost.items() if e[4] - e[3] > 0.5})
        refused_and_ran = [t for t, e in ends.items() if e[0] == 503 and t in ran]
        self.assertEqual([], refused_and_ran)


def load_tests(_loader, _tests, _pattern):
    return sockets_test.own_cases(SocketsByHandTest)


if __name__ == "__main__":
    unittest.main()
