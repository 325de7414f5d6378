"""Guards against a process that runs out of memory by whole bodies of many
clients at several nodes.

Real processes on loopback. Each node was right about the bodies of its own
clients, and held those that other nodes sent besides.
"""

import functools
import unittest

from untrusted_clients import MIB, large_chunks, pieces, small_chunks, whole
from untrusted_clients_mesh import BODY, LAST_CHUNK, MeshTest


class WholeBodiesTest(MeshTest):

    async def test_with_length(self):
        nodes = await self.start_mesh()
        await self.check_mesh(nodes, functools.partial(whole, BODY, missing=0))
        self.assert_all_live(nodes)

    async def test_with_length_in_pieces(self):
        nodes = await self.start_mesh()
        await self.check_mesh(nodes, functools.partial(pieces, BODY, missing=0))
        self.assert_all_live(nodes)

    async def test_large_chunks(self):
        nodes = await self.start_mesh()
        request = functools.partial(large_chunks, BODY, end=LAST_CHUNK)
        await self.check_mesh(nodes, request)
        self.assert_all_live(nodes)

    async def test_chunks_of_one_byte(self):
        nodes = await self.start_mesh()
        request = functools.partial(small_chunks, BODY, end=LAST_CHUNK)
        await self.check_mesh(nodes, request, crowd=60)
        self.assert_all_live(nodes)

    async def test_larger_bodies(self):
        nodes = await self.start_mesh()
        request = functools.partial(whole, 2 * MIB, missing=0)
        await self.check_mesh(nodes, request, crowd=60)
        self.assert_all_live(nodes)

    async def test_largest_bodies(self):
        nodes = await self.start_mesh()
        request = functools.partial(whole, self.max_body, missing=0)
        await self.check_mesh(nodes, request, crowd=12)
        self.assert_all_live(nodes)

    # The same crowd without other nodes' bodies: all bytes lie in one process.
    async def test_large_chunks_at_one_node(self):
        nodes = await self.start_mesh()
        request = functools.partial(large_chunks, BODY, end=LAST_CHUNK)
        await self.check_mesh(nodes[:1], request)
        self.assert_all_live(nodes)


if __name__ == "__main__":
    unittest.main()
