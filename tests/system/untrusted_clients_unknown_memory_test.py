"""Guards against a process that runs out of memory because its settings do not
tell how much it has.

Real processes on loopback, which the system ends or denies memory beyond a
limit.
"""

import functools
import resource
import subprocess
import unittest
import unittest.mock

import planned_stop_test as planned
import untrusted_clients
from untrusted_clients import CROWD, large_chunks, whole

LIMIT_MB = 64
DESCRIPTORS = 160


class UnknownMemoryTest(untrusted_clients.UntrustedClientsTest):
    memory_mb = LIMIT_MB

    def node_settings(self):
        return ()

    async def start_limited(self, kind, limit):
        def set_limits():
            resource.setrlimit(kind, (limit, limit))
            resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))

        popen = functools.partial(subprocess.Popen, preexec_fn=set_limits)
        with unittest.mock.patch.object(planned.subprocess, "Popen", popen):
            return await self.start_bounded()

    async def test_data_with_length(self):
        limit = LIMIT_MB * 1_000_000
        node = await self.start_limited(resource.RLIMIT_DATA, limit)
        await self.check(node, [whole() for _ in range(CROWD)])

    async def test_data_large_chunks(self):
        limit = LIMIT_MB * 1_000_000
        node = await self.start_limited(resource.RLIMIT_DATA, limit)
        await self.check(node, [large_chunks() for _ in range(CROWD)])

    async def test_address_space(self):
        # The program and its libraries take some of it.
        limit = 2 * LIMIT_MB * 1_000_000
        node = await self.start_limited(resource.RLIMIT_AS, limit)
        self.memory_mb = 2 * LIMIT_MB
        await self.check(node, [large_chunks() for _ in range(2 * CROWD)])


if __name__ == "__main__":
    unittest.main()
