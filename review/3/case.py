"""Waiting requests run at the backend of another service that got the address."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness
from harness import route

# Time from the end of a backend until its address is used again; at least
# `reuse_after_s`, 2. The requests that it ran are given up 8 s after they came.
REUSE_AFTER_S = 6.6
BETWEEN_S = 5
SLOTS = 9
CLIENTS = 15


def work(path):
    return random.uniform(0.5, 1.3)


async def send_all(world, client, state):
    await asyncio.sleep(random.random())
    while not state["over"]:
        target = f"/stock/{random.randrange(1 << 30):x}"
        await client.send("GET", target, 15)
        await asyncio.sleep(0.1 * random.random())


async def use_again(world, machine):
    """The backend ends silently; its address goes to the other service."""
    old = machine.backend
    world.record.write("falls silent", old.identifier, old.service)
    old.fall_silent()
    await asyncio.sleep(REUSE_AFTER_S)
    machine.service = "orderdesk"
    machine.write_settings()
    machine.send(signal.SIGHUP)
    new = world.backend_class(world, machine, machine.service, SLOTS, work)
    new.identifier = f"{old.identifier}-new"
    machine.backend = new
    new.beats = asyncio.ensure_future(new.beat())
    world.record.write("address used again by", new.identifier, new.service)


async def play(world):
    state = {"over": False}
    clients = [
        asyncio.ensure_future(send_all(world, world.client(machine), state))
        for machine in world.machines
        for _ in range(CLIENTS)
    ]
    # One after the other.
    for machine in world.machines[:2]:
        await asyncio.sleep(BETWEEN_S)
        if harness.is_trouble():
            await use_again(world, machine)
        else:
            await asyncio.sleep(REUSE_AFTER_S)
    await asyncio.sleep(BETWEEN_S)
    state["over"] = True
    await asyncio.gather(*clients)
    return judge(world)


def judge(world):
    """ROUTE: a request is run by a service to which no configuration ever sent
    allows it to go."""
    wrong = [
        (request, at, service)
        for request, runs in world.services.items()
        for at, service in runs
        if service != "millstock"
    ]
    for request, at, service in wrong:
        world.record.write(
            "wrong service", request, "run by", service, f"at {at:.4f}"
        )
    statuses = {}
    for answer in world.answers:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    summary = (
        f"requests {len(world.answers)}, answers {statuses}, "
        f"run by the wrong service {len(wrong)}"
    )
    world.record.write("result", summary)
    print(summary)
    return bool(wrong)


def build():
    world = harness.World(pathlib.Path(__file__).parent)

    for zone in ("falkirk", "motherwell", "cumbernauld", "kilmarnock"):
        world.add(zone, "millstock", SLOTS, work)
    world.add("falkirk", "orderdesk", SLOTS, work)
    world.configure(
        ["millstock", "orderdesk"],
        [
            route("stock-lookup", "/stock/", "idempotent", "millstock", 8000, 2500, 2),
            route("order-lookup", "/order/", "idempotent", "orderdesk", 2000, 600, 2),
        ],
    )
    return world


if __name__ == "__main__":
    sys.exit(harness.main(build(), play))
