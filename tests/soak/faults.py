"""Faults, each as a coroutine that ends when the fault does."""

import asyncio
import random
import signal
import time

from caller import KINDS
from record import ALL, STORE

RESTART_DELAY = (0.1, 1.5)
# Keys end after this time without the store, in seconds (REVOKE_BOUND), and
# clients need some time more to show it.
AWAY_TIME = 7.0


class Injector:
    """What faults have in common; the seed decides on all that is random."""

    def __init__(self, world, seed):
        self.world = world
        self.random = random.Random(seed)

    def pick(self):
        return self.random.choice(self.world.nodes)

    def some(self):
        count = self.random.randint(1, max(1, len(self.world.nodes) // 2))
        return self.random.sample(self.world.nodes, count)

    async def last(self, scopes, kind, seconds):
        """Notes a fault for the time that it lasts."""
        notes = [self.world.record.begin(s, kind, time.monotonic()) for s in scopes]
        await asyncio.sleep(seconds)
        return notes

    @staticmethod
    def close(notes):
        for note in notes:
            note.end = time.monotonic()

    def paths(self, node):
        return (node.link, node.store_path, node.backend_path)

    async def kill_some(self, nodes, seconds):
        nodes = [node for node in nodes if not node.is_ended]
        for node in nodes:
            node.kill()
        notes = await self.last([n.name for n in nodes], "kill", seconds)
        for node in nodes:
            node.start()
        await self.await_readiness(nodes)
        self.close(notes)

    async def await_readiness(self, nodes, limit=5.0):
        end = time.monotonic() + limit
        while time.monotonic() < end and not all(node.is_ready for node in nodes):
            await asyncio.sleep(0.05)

    async def stop_and_start(self, node):
        if node.is_ended:
            return
        notes = [self.world.record.begin(node.name, "stop", time.monotonic())]
        second = self.random.random() < 0.3
        stop = asyncio.ensure_future(node.stop())
        if second:
            await asyncio.sleep(self.random.uniform(0, 2))
            node.send(signal.SIGTERM)
        await stop
        await asyncio.sleep(self.random.uniform(*RESTART_DELAY))
        node.start()
        await self.await_readiness([node])
        self.close(notes)

    async def server_faults(self, seconds, **values):
        servers = [node.backend for node in self.some()]
        for server in servers:
            for name, value in values.items():
                setattr(server.faults, name, value)
        await asyncio.sleep(seconds)
        for server in servers:
            server.disturbed_at = time.monotonic()
            for name in values:
                setattr(server.faults, name, type(server.faults).__dict__[name])


class Faults(Injector):
    """One method for each kind of fault."""

    # Processes.

    async def node_kill(self, seconds):
        await self.kill_some([self.pick()], self.random.uniform(*RESTART_DELAY))

    async def herd_kill(self, seconds):
        await self.kill_some(self.some(), self.random.uniform(*RESTART_DELAY))

    async def power_loss(self, seconds):
        """All processes end right after a configuration is acknowledged."""
        self.world.change_configuration()
        await self.kill_some(self.world.nodes, self.random.uniform(*RESTART_DELAY))

    async def node_stop(self, seconds):
        await self.stop_and_start(self.pick())

    async def roll(self, seconds):
        for node in self.some():
            await self.stop_and_start(node)

    async def pause(self, seconds):
        nodes = [node for node in self.some() if not node.is_ended]
        for node in nodes:
            node.send(signal.SIGSTOP)
        notes = await self.last([n.name for n in nodes], "pause", seconds)
        for node in nodes:
            node.send(signal.SIGCONT)
        self.close(notes)

    async def reload(self, seconds):
        """Not a fault: nothing may change for callers."""
        for node in self.some():
            node.write_settings()
            node.send(signal.SIGHUP)

    # Paths.

    async def delay(self, seconds):
        node = self.pick()
        path = self.random.choice(self.paths(node))
        path.delay = self.random.uniform(0.005, 0.3)
        notes = await self.last([node.name], "delay", seconds)
        path.delay = 0.0
        self.close(notes)

    async def cut(self, seconds):
        node = self.pick()
        paths = self.random.sample(self.paths(node), self.random.randint(1, 2))
        towards, back = self.random.choice(
            ((True, True), (True, False), (False, True))
        )
        for path in paths:
            path.cut(towards, back)
        notes = await self.last([node.name], "cut", seconds)
        for path in paths:
            path.mend()
        self.close(notes)

    async def reset(self, seconds):
        for node in self.some():
            self.random.choice(self.paths(node)).reset()
        # Both ends of a connection see its reset.
        self.close(await self.last([ALL], "reset", 0))

    async def silence(self, seconds):
        """Open connections go silent for good while new ones work."""
        for node in self.some():
            self.random.choice(self.paths(node)).silence()
        self.close(await self.last([ALL], "silence", 0))

    # The store.

    async def store_down(self, seconds):
        for node in self.world.nodes:
            self.world.store.refusals[node.name] = self.random.choice((503, 0))
        notes = await self.last([STORE], "store down", seconds)
        self.world.store.refusals.clear()
        self.close(notes)

    async def store_refuses(self, seconds):
        nodes = self.some()
        for node in nodes:
            self.world.store.refusals[node.name] = self.random.choice((503, 429, 0))
        notes = await self.last([STORE], "store refuses some", seconds)
        for node in nodes:
            self.world.store.refusals.pop(node.name, None)
        self.close(notes)

    async def store_slow(self, seconds):
        self.world.store.faults.delay = self.random.uniform(0.1, 1.5)
        notes = await self.last([STORE], "store slow", seconds)
        self.world.store.faults.delay = 0.0
        self.close(notes)

    async def store_loses(self, seconds):
        faults = self.world.store.faults
        faults.losing_answers = self.random.uniform(0.2, 1)
        faults.late_writes = self.random.uniform(0, 0.5)
        notes = await self.last([STORE], "store loses answers", seconds)
        faults.losing_answers = faults.late_writes = 0.0
        self.close(notes)

    async def store_forgets(self, seconds):
        self.world.store.forget_history()
        self.close(await self.last([STORE], "store forgets", 0))

    async def foreign_row(self, seconds):
        """Another writer's row among the nodes' own."""
        table = next((t for t, _ in self.world.store.rows if t != "op"), None)
        if table is not None:
            value = self.random.choice((b"", b"\xff\xfe", b"{}", b'{"address":7}'))
            self.world.store.put(table, f"other-{self.random.randrange(9)}", value)

    # The configuration.

    async def change(self, seconds):
        self.world.change_configuration()

    async def storm(self, seconds):
        for _ in range(self.random.randint(3, 12)):
            self.world.change_configuration()
            await asyncio.sleep(self.random.uniform(0.02, 0.4))

    # Backend servers.

    async def server_crash(self, seconds):
        server = self.pick().backend
        server.crash()
        await asyncio.sleep(self.random.uniform(0.5, 3))
        await server.start_again(self.random.random() < 0.3)

    async def server_flap(self, seconds):
        server = self.pick().backend
        for _ in range(self.random.randint(2, 4)):
            server.crash()
            await asyncio.sleep(self.random.uniform(0.2, 0.8))
            await server.start_again()
            await asyncio.sleep(self.random.uniform(0.2, 0.8))

    async def server_leaves(self, seconds):
        server = self.pick().backend
        await server.leave(announces_draining=self.random.random() < 0.6)
        await asyncio.sleep(self.random.uniform(0.2, 2))
        await server.start_again()

    async def release(self, seconds):
        for node in self.some():
            await node.backend.leave(announces_draining=True)
            await node.backend.start_again()

    async def server_slow(self, seconds):
        await self.server_faults(seconds, slowness=self.random.uniform(3, 20))

    async def server_fails(self, seconds):
        await self.server_faults(seconds, failing=self.random.uniform(0.1, 0.8))

    async def answer_lost(self, seconds):
        await self.server_faults(seconds, losing_answers=self.random.uniform(0.1, 0.6))

    async def garble(self, seconds):
        await self.server_faults(seconds, garbling=self.random.uniform(0.1, 0.6))

    async def lying_health(self, seconds):
        await self.server_faults(seconds, lying_health=True)

    async def poison(self, seconds):
        """A request that crashes servers comes again and again.

        It is the same request as long as its caller is, so only nodes of one
        service get it.
        """
        target = f"/lookup/poison-{next(self.world.record.numbers)}"
        service = self.pick().backend.service
        nodes = [n for n in self.world.nodes if n.backend.service == service]
        for _ in range(20):
            node = self.random.choice(nodes)
            await self.world.caller.attempt(
                node.name, KINDS[0], 1.0, target=target, is_poison=True
            )
            await asyncio.sleep(0.3)

    # Clients.

    async def burst(self, seconds):
        self.world.caller.rate_factor = self.random.uniform(2, 4)
        await asyncio.sleep(seconds)
        self.world.caller.rate_factor = 1.0


class OrganisationFaults(Faults):
    """Kinds of fault for runs with organisations."""

    async def coordinator_kill(self, seconds):
        """Kills the node that holds the lease, and perhaps its successors."""
        for _ in range(self.random.randint(1, 3)):
            node = self.world.coordinator() or self.pick()
            await self.kill_some([node], self.random.uniform(*RESTART_DELAY))

    async def key_withdrawn(self, seconds):
        self.world.change_configuration(replaces_key=True)

    async def key_withdrawn_unseen(self, seconds):
        """The store is away longer than keys are trusted without it."""
        nodes = self.world.nodes if self.random.random() < 0.6 else self.some()
        for node in nodes:
            # A silent stand-in still answers polls under way, with the change.
            self.world.store.refusals[node.name] = self.random.choice((503, 429))
        self.world.change_configuration(replaces_key=True)
        length = AWAY_TIME + seconds / 2
        notes = await self.last([STORE], "store away", length)
        for node in nodes:
            self.world.store.refusals.pop(node.name, None)
        self.close(notes)


class DrillFaults(OrganisationFaults):
    """Kinds of fault that a seed does not choose: plans of seeds stay as they are."""

    async def store_returns(self, seconds):
        """The store is away and comes back from a copy that is some seconds old."""
        copy = self.world.store.copy()
        await asyncio.sleep(self.random.uniform(0.5, 7.0))
        for node in self.world.nodes:
            self.world.store.refusals[node.name] = self.random.choice((503, 0))
        notes = await self.last([STORE], "store returns", self.random.uniform(0.2, 1))
        self.world.store.return_from(copy)
        self.world.store.refusals.clear()
        self.close(notes)

    async def coordinators_killed(self, seconds):
        """Whoever coordinates is killed, every second or less often."""
        pause = self.random.uniform(1.0, 3.0)
        for _ in range(self.random.randint(3, 5)):
            node = self.world.coordinator() or self.pick()
            await self.kill_some([node], self.random.uniform(*RESTART_DELAY))
            await asyncio.sleep(pause)


def kinds_of(faults):
    return [
        name
        for name, member in vars(faults).items()
        if asyncio.iscoroutinefunction(member)
    ]


KINDS_OF_FAULT = kinds_of(Faults)
KINDS_WITH_ORGANISATIONS = kinds_of(OrganisationFaults)
KINDS_OF_DRILL = kinds_of(DrillFaults)


def make_plan(seed, seconds, kinds=None, further_kinds=()):
    """Returns faults as (time, kind, duration), in the order of their times.

    A seed chooses among all kinds if none are given; the further ones are then
    added to its choice.
    """
    generator = random.Random(seed)
    pool = kinds or generator.sample(KINDS_OF_FAULT, generator.randint(3, 9))
    if not kinds:
        pool += further_kinds
    # Faults a second: some runs have them one by one, others overlapping.
    density = generator.choice((0.25, 0.6, 1.2))
    plan = []
    at = 0.5
    while at < seconds:
        plan.append((at, generator.choice(pool), generator.uniform(0.3, 5.0)))
        at += generator.expovariate(density)
    return plan
