"""Guards against a process that runs out of memory by clients of several nodes
that do not finish, do not read, or send more than they may.

Real processes on loopback.
"""

import asyncio
import functools
import signal
import unittest

from planned_stop_test import GRACE
from untrusted_clients import (
    MIB,
    announced,
    large_chunks,
    pieces,
    small_chunks,
    whole,
    with_length,
)
from untrusted_clients_mesh import BODY, LAST_CHUNK, MeshTest

IN_A_ROW = 16


def in_a_row(size, target, **parts):
    """Whole requests one behind the other, without waiting for an answer."""
    for number in range(IN_A_ROW):
        path = f"{target}-{number}" if number else target
        yield with_length(size, target=path, **parts) + b"x" * size


class StalledTest(MeshTest):

    async def check_stalled(self, make_request, crowd=60):
        nodes = await self.start_mesh()
        await self.check_mesh(nodes, make_request, crowd=crowd, answers=False)
        self.assert_all_live(nodes)

    async def test_with_length(self):
        await self.check_stalled(functools.partial(whole, 2 * MIB))

    async def test_with_length_in_pieces(self):
        await self.check_stalled(functools.partial(pieces, 2 * MIB))

    async def test_large_chunks(self):
        await self.check_stalled(functools.partial(large_chunks, 2 * MIB))

    async def test_chunks_of_one_byte(self):
        await self.check_stalled(functools.partial(small_chunks, BODY))

    async def test_over_the_limit_announced(self):
        await self.check_stalled(functools.partial(announced, 60 * MIB))

    async def test_over_the_limit_sent(self):
        size = 2 * self.max_body
        await self.check_stalled(functools.partial(large_chunks, size), crowd=24)

    async def test_small_requests_in_a_row(self):
        await self.check_stalled(functools.partial(in_a_row, 16 << 10))

    async def test_large_requests_in_a_row(self):
        await self.check_stalled(functools.partial(in_a_row, 256 << 10))

    async def test_mixture(self):
        forms = [
            functools.partial(whole, 2 * MIB),
            functools.partial(whole, 2 * MIB, missing=0),
            functools.partial(large_chunks, 2 * MIB),
            functools.partial(large_chunks, 2 * MIB, end=LAST_CHUNK),
            functools.partial(announced, 60 * MIB),
            functools.partial(in_a_row, 256 << 10),
        ]
        numbers = iter(range(1 << 20))

        def make_request(**parts):
            return forms[next(numbers) % len(forms)](**parts)

        await self.check_stalled(make_request)


class OverlapTest(MeshTest):
    """Whole bodies at all nodes while something happens to one of them."""

    crowd_request = functools.partial(whole, BODY, missing=0)

    async def test_while_a_node_stops(self):
        nodes = await self.start_mesh()

        async def stop():
            await asyncio.sleep(0.5)
            nodes[-1].send(signal.SIGTERM)
            await asyncio.wait_for(nodes[-1].wait_for_end(), GRACE)

        await self.check_mesh(nodes, self.crowd_request, meanwhile=stop())
        self.assert_all_live(nodes[:-1])
        self.assertEqual(0, nodes[-1].process.returncode)

    async def test_while_a_node_stands_still(self):
        nodes = await self.start_mesh()

        async def stand_still():
            for _ in range(2):
                await asyncio.sleep(0.3)
                await self.pause(nodes[-1], 1.5)

        await self.check_mesh(nodes, self.crowd_request, meanwhile=stand_still())
        self.assert_all_live(nodes)


if __name__ == "__main__":
    unittest.main()
