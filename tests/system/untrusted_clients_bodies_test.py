"""Guards against a process that runs out of memory by bodies of many clients.

Real processes on loopback. Loads and bounds come from `memory-mb`.
"""

import unittest

import untrusted_clients
from untrusted_clients import (
    BODY,
    CROWD,
    MAX_BODY,
    MIB,
    announced,
    large_chunks,
    pieces,
    small_chunks,
    whole,
)


class BodiesTest(untrusted_clients.UntrustedClientsTest):

    # Bodies of legal size that stop short of their end were kept whatever their
    # number.
    async def test_with_length_whole(self):
        await self.check(await self.start_bounded(), [whole() for _ in range(CROWD)])

    async def test_with_length_in_pieces(self):
        await self.check(await self.start_bounded(), [pieces() for _ in range(CROWD)])

    # The same for bodies whose length is not known.
    async def test_large_chunks(self):
        crowd = [large_chunks() for _ in range(CROWD)]
        await self.check(await self.start_bounded(), crowd)

    async def test_chunks_of_one_byte(self):
        crowd = [small_chunks() for _ in range(CROWD)]
        await self.check(await self.start_bounded(), crowd)

    # Bodies over the limit, announced and just sent.
    async def test_over_the_limit_announced(self):
        crowd = [announced(60 * MIB) for _ in range(CROWD)]
        await self.check(await self.start_bounded(), crowd)

    async def test_over_the_limit_sent(self):
        crowd = [large_chunks(3 * MAX_BODY) for _ in range(CROWD)]
        await self.check(await self.start_bounded(), crowd)

    async def test_mixture(self):
        node = await self.start_bounded()
        crowd = []
        for _ in range(6):
            crowd += [whole(), pieces(), large_chunks(), small_chunks()]
            crowd += [announced(60 * MIB), large_chunks(3 * MAX_BODY)]
        await self.check(node, crowd)

    # The node must not refuse what it has memory for.
    async def test_one_body_of_the_largest_size(self):
        node = await self.start_bounded()
        answer = await self.request(node, "POST", "/once/one", body=b"x" * MAX_BODY)
        self.assertEqual(200, answer.status, answer)
        await self.check(node, [whole(BODY)])


class LargestBodyTest(untrusted_clients.UntrustedClientsTest):
    # The default limit of a configuration, and the least machine of the users.
    memory_mb = 160
    max_body = 64 * MIB

    # A body that was copied for its run exceeded the memory by itself.
    async def test_one_body_of_64_mib(self):
        node = await self.start_bounded()
        answer = await self.request(
            node, "POST", "/long/one", body=b"x" * self.max_body
        )
        self.assertEqual(200, answer.status, answer)
        await self.check(node, [whole(BODY)])


if __name__ == "__main__":
    unittest.main()
