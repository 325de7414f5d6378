"""Crowds of untrusted clients at several nodes at once."""

import asyncio
import contextlib

import untrusted_clients
from untrusted_clients import ANSWER_LIMIT, CROWD_LIMIT, MIB

NODES = 3
# Of each node: twice its memory in bodies of half a MiB.
CROWD = 180
BODY = MIB // 2
LAST_CHUNK = b"0\r\n\r\n"
RUN_TIME = 2.0


class Caller(untrusted_clients.Member):
    """Sends its request and waits for the answer; the connection stays open."""

    def __init__(self, address, target):
        super().__init__(address)
        self.target = target
        # 0 without an answer.
        self.status = 0
        # Whether the node neither answered nor closed the connection.
        self.is_waiting = False
        self.has_retry_after = False

    async def exchange(self, pieces, answers):
        await self.send(pieces)
        if not answers:
            return
        loop = asyncio.get_running_loop()
        answer = b""
        self.is_waiting = True
        with contextlib.suppress(OSError):
            async with asyncio.timeout(ANSWER_LIMIT):
                while b"\r\n\r\n" not in answer:
                    data = await loop.sock_recv(self.socket, 4096)
                    if not data:
                        break
                    answer += data
        self.is_waiting = False
        if b"\r\n\r\n" in answer:
            self.status = int(answer.split(b" ", 2)[1])
            self.has_retry_after = b"\r\nretry-after:" in answer.lower()


class MeshTest(untrusted_clients.UntrustedClientsTest):
    descriptors = 640

    async def start_mesh(self):
        nodes = await self.start_bounded(*["orders"] * NODES)
        for node in nodes:
            node.backend.run_times = {"/order/": RUN_TIME}
        return nodes

    def resident_bytes(self, node):
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            with open(f"/proc/{node.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) << 10
        return 0

    async def watch_memory(self, nodes, peaks):
        """Keeps the most that each node has had resident and unread together."""
        while True:
            owners = {}
            for node in nodes:
                for inode in untrusted_clients.socket_inodes(node.process.pid):
                    owners[inode] = node
                for address in node.listen.values():
                    owners[address] = node
            unread = dict.fromkeys(nodes, 0)
            for address, inode, count in untrusted_clients.unread_by_socket():
                node = owners.get(inode) or owners.get(address)
                if node:
                    unread[node] += count
            for node in nodes:
                total = self.resident_bytes(node) + unread[node]
                peaks[node] = max(peaks[node], total)
            await asyncio.sleep(0.02)

    async def check_mesh(
        self, nodes, make_request, crowd=CROWD, meanwhile=None, answers=True
    ):
        """Sends a crowd's requests to all nodes at once, and checks the nodes.

        `make_request` takes a target and an identifier, `meanwhile` is awaited
        while the crowd is there, `answers` tells whether callers read any.
        """
        callers = {}
        for number in range(crowd):
            for index, node in enumerate(nodes):
                target = f"/order/{index}-{number}"
                caller = Caller(node.listen["clients"], target)
                self.addCleanup(caller.close)
                request = make_request(target=target, identifier=f"c{index}-{number}")
                callers[caller] = asyncio.ensure_future(
                    caller.exchange(request, answers)
                )
        peaks = dict.fromkeys(nodes, 0)
        watches = [asyncio.ensure_future(self.watch_memory(nodes, peaks))]
        watches += [asyncio.ensure_future(self.watch_descriptors(n)) for n in nodes]
        if meanwhile:
            await meanwhile
        ordinary = [n for n in nodes if n.process.poll() is None]
        during = [await self.ordinary_request(node) for node in ordinary]
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(CROWD_LIMIT):
                await asyncio.gather(*callers.values(), return_exceptions=True)
        for caller in callers:
            caller.close()
        ordinary = [n for n in nodes if n.process.poll() is None]
        after = [await self.ordinary_request(node) for node in ordinary]
        for watch in watches:
            watch.cancel()
        self.report(nodes, peaks, callers)
        ran = set()
        for node in nodes:
            ran.update(node.backend.started.values())
        for caller in callers:
            if caller.status in (408, 413, 503):
                self.assertNotIn(caller.target, ran, "refused, and has run")
            self.assertFalse(caller.is_waiting, f"{caller.target} has no answer")
            if caller.status == 503:
                self.assertTrue(caller.has_retry_after, caller.target)
        for node in nodes:
            self.assertLessEqual(peaks[node], self.memory_mb * 1_000_000, node.name)
        self.assertLessEqual(self.most_descriptors, self.descriptors)
        self.assertEqual({200}, {answer.status for answer in during + after})
        return callers

    def report(self, nodes, peaks, callers):
        for node in nodes:
            if node.process.poll() is None:
                peaks[node] = max(peaks[node], self.peak_bytes(node))
        statuses = {}
        for caller in callers:
            end = caller.status
            if end == 0:
                sent = "sent" if caller.is_sent else "cut" if caller.is_open else "away"
                end = f"none-{sent}"
            statuses[end] = statuses.get(end, 0) + 1
        shown = ", ".join(f"{peaks[node] / MIB:.1f}" for node in nodes)
        print(
            f"{self.id().split('.')[-1]}: peaks {shown} MiB of {self.memory_mb} MB, "
            f"{self.most_descriptors} descriptors, answers {statuses}",
            flush=True,
        )

    def assert_all_live(self, nodes):
        for node in nodes:
            self.assertIsNone(node.process.poll(), f"{node.name} ended")
