"""Guards against a process that runs out of memory or descriptors by connections
at its other addresses, or by their number.

Real processes on loopback.
"""

import struct
import unittest

import untrusted_clients
from planned_stop_test import wire
from untrusted_clients import CROWD, DESCRIPTORS, MIB, PIECE, large_chunks, whole


class AddressesTest(untrusted_clients.UntrustedClientsTest):

    # These addresses take almost no body, and kept bodies of 64 MiB.
    async def test_bodies_at_announcements(self):
        target = f"{wire.ANNOUNCEMENTS}i-crowd"
        crowd = [whole(method="PUT", target=target) for _ in range(CROWD // 2)]
        crowd += [large_chunks(method="PUT", target=target) for _ in range(CROWD // 2)]
        await self.check(await self.start_bounded(), crowd, "announcements")

    async def test_bodies_at_readiness(self):
        crowd = [whole(target=wire.READINESS) for _ in range(CROWD // 2)]
        crowd += [large_chunks(target=wire.READINESS) for _ in range(CROWD // 2)]
        await self.check(await self.start_bounded(), crowd, "readiness")

    async def test_bodies_at_metrics(self):
        crowd = [whole(target="/metrics") for _ in range(CROWD)]
        await self.check(await self.start_bounded(), crowd, "metrics")

    # Bytes that are not a link.
    async def test_requests_at_links(self):
        await self.check(
            await self.start_bounded(), [whole() for _ in range(CROWD)], "peers"
        )

    # Memory for a whole frame was taken when its first eight bytes arrived.
    async def test_frames_announced_at_links(self):
        frame = struct.pack("<II", 64, 70 * MIB)
        crowd = [[frame] for _ in range(6)]
        await self.check(await self.start_bounded(), crowd, "peers")

    # Frames were kept whatever their number.
    async def test_unfinished_frames_at_links(self):
        frame = struct.pack("<II", 64, 70 * MIB)
        crowd = [[frame] + [b"x" * PIECE] * 160 for _ in range(CROWD)]
        await self.check(await self.start_bounded(), crowd, "peers")

    # Every connection was accepted.
    async def test_connections_without_request(self):
        crowd = [[b""] for _ in range(2 * DESCRIPTORS)]
        await self.check(await self.start_bounded(), crowd)

    async def test_connections_with_unfinished_heads(self):
        crowd = [[b"GET /idem/x HTTP/1.1\r\nA: "] for _ in range(2 * DESCRIPTORS)]
        await self.check(await self.start_bounded(), crowd)

    async def test_connections_at_announcements(self):
        crowd = [[b""] for _ in range(2 * DESCRIPTORS)]
        await self.check(await self.start_bounded(), crowd, "announcements")


if __name__ == "__main__":
    unittest.main()
