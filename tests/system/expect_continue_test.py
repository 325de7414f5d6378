"""Guards against callers that wait for 100 Continue and never get it.

Real processes on loopback, with callers on plain sockets.
"""

import asyncio
import unittest

import sockets_test
from sockets_test import head


class ExpectContinueTest(sockets_test.SocketsTest):

    # A caller that waits for 100 Continue before it sends its body got none.
    async def test_expect_is_answered(self):
        (node,) = await self.start("orders")
        caller = await self.caller(node)
        await caller.send(
            head("POST", "/once/e", "e1", "Expect: 100-continue", length=5)
        )
        try:
            first = await asyncio.wait_for(caller.read_some(), 2)
        except asyncio.TimeoutError:
            first = b"nothing within 2 s"
        print("expect:", first[:40])
        self.assertIn(b"100", first[:20])


def load_tests(_loader, _tests, _pattern):
    return sockets_test.own_cases(ExpectContinueTest)


if __name__ == "__main__":
    unittest.main()
