"""A node that freezes for under a second has a booking run a second time."""

import asyncio
import itertools
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness
from harness import route

LENGTH_S = 85
# Bookings that the clients of each machine send at the same moment. The sheet
# has 108 clients for the five machines of uio-norte.
BURST = 12
BODY = b"o" * 24_000
FREEZE_S = 0.6
PAUSE_S = 0.7
# The freeze begins at a random moment of this time after the bookings, or, in
# every other round, after a short freeze in which the bookings have arrived.
WINDOW_S = 0.004
SHORT_FREEZE_S = 0.1


async def book(client, answer):
    await client.read(answer)
    client.close()


def wait_at_most(seconds):
    """Waits for a random time without leaving the processor."""
    moment = time.monotonic() + seconds * random.random()
    while time.monotonic() < moment:
        pass


async def play(world):
    end = world.record.now() + LENGTH_S
    for number in itertools.count():
        if world.record.now() > end:
            break
        # With three machines, each has both kinds of rounds.
        frozen = world.machines[number % len(world.machines)]
        is_in_two = harness.is_trouble() and number % 2 == 1
        sent = []
        for n in range(BURST * len(world.machines)):
            client = world.client(world.machines[n % len(world.machines)])
            await client.connect()
            path = f"/book/{random.randrange(1 << 30):x}"
            sent.append((client, *client.prepare("POST", path, 1.0, BODY)))
        if is_in_two:
            frozen.send(signal.SIGSTOP)
        for client, _, data in sent:
            client.writer.write(data)
        if is_in_two:
            await asyncio.sleep(SHORT_FREEZE_S)
            frozen.send(signal.SIGCONT)
        wait_at_most(WINDOW_S)
        if harness.is_trouble():
            frozen.send(signal.SIGSTOP)
        for client, answer, _ in sent:
            client.note_sent(answer)
        if harness.is_trouble():
            world.record.write("freeze", frozen.name, "in two" if is_in_two else "")
        work = [asyncio.ensure_future(book(client, answer)) for client, answer, _ in sent]
        await asyncio.sleep(FREEZE_S)
        if harness.is_trouble():
            frozen.send(signal.SIGCONT)
            world.record.write("wake", frozen.name)
        await asyncio.gather(*work)
        await asyncio.sleep(PAUSE_S)
        if any(len(runs) > 1 for runs in world.runs.values()):
            break
    return judge(world)


def judge(world):
    """TWICE: a request that isn't idempotent runs more than once."""
    twice = [request for request, runs in world.runs.items() if len(runs) > 1]
    for request in twice:
        where = " and ".join(f"{name} at {at:.4f}" for at, name in world.runs[request])
        world.record.write("twice", request, where)
    statuses = {}
    for answer in world.answers:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    summary = f"bookings {len(world.answers)}, answers {statuses}, ran twice {len(twice)}"
    world.record.write("result", summary)
    print(summary)
    return bool(twice)


def build():
    world = harness.World(pathlib.Path(__file__).parent)

    def work(path):
        return random.uniform(0.07, 0.17)

    for _ in range(3):
        world.add("uio-norte", "reservas", 12, work)
    world.configure(
        ["reservas"],
        [route("book-pay", "/book/", "non_idempotent", "reservas", 1000, 400, 1)],
    )
    return world


if __name__ == "__main__":
    sys.exit(harness.main(build(), play))
