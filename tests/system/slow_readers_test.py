"""Guards against answers that a reset cuts, and requests that an empty line spoils.

Real processes on loopback, with callers on plain sockets.
"""

import asyncio
import unittest

import sockets_test
from sockets_test import LARGE, head


class SlowReadersTest(sockets_test.SocketsTest):

    # A caller that reads slowly lost the end of its answer when it sent more after
    # the node had ended.
    async def test_slow_reader_that_sends_more_at_the_end(self):
        await self.read_large_at_stop(late=b"\r\n")

    async def read_large_to_close(self, early, late):
        (node,) = await self.start("orders")
        node.backend.answer_bytes = LARGE
        node.backend.run_times = {"/idem/": 0.1}
        caller = await self.caller(node, 16 << 10)
        request = head("GET", "/idem/slow", self.identifier(), "Connection: close")
        await caller.send(request + early)
        sender = asyncio.ensure_future(self.send_often(caller, late))
        answer = await caller.read_answer(rate=3 << 20)
        sender.cancel()
        self.assertEqual((200, LARGE), (answer.status, len(answer.body)), answer)

    # Bytes that the node left unread reset the connection of an answer on its way.
    async def test_close_with_many_extra_bytes(self):
        await self.read_large_to_close(b"x" * (1 << 20), b"")

    # So did an empty line that arrived while the answer left.
    async def test_close_with_late_empty_line(self):
        await self.read_large_to_close(b"", b"\r\n")

    # An empty line before a request of a kept connection was answered 400.
    async def test_empty_line_before_request(self):
        (node,) = await self.start("orders")
        caller = await self.caller(node)
        for index in range(2):
            request = head("POST", f"/once/{index}", self.identifier(), length=5)
            await caller.send((b"\r\n" if index else b"") + request + b"order")
            answer = await caller.read_answer(3)
            self.assertEqual(200, answer.status, answer)


def load_tests(_loader, _tests, _pattern):
    return sockets_test.own_cases(SlowReadersTest)


if __name__ == "__main__":
    unittest.main()
