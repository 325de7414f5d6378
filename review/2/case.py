"""A faulty backend's bytes end the process of the node beside it."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness
from harness import route

LENGTH_S = 40
# Share of its answers that the faulty backend spoils, as for `garble`.
SPOILED_SHARE = 0.03
# Bytes after the last chunk that belong to no answer.
STRAY_BYTES = 70_000


class FaultyBackend(harness.Backend):
    async def spoiled_answer(self, request, head, reader, writer):
        self.world.record.write("spoiled", request, "at", self.machine.name)
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        lines += ["Transfer-Encoding: chunked", "", "4", "done", "0", ""]
        writer.write("\r\n".join(lines).encode())
        writer.write(b"x:" + b"y" * STRAY_BYTES + b"\r\n\r\n")
        await writer.drain()
        # Until the caller closes the connection.
        await reader.read(1)


async def send_all(world, client, method, path, deadline_s, end, pause_s):
    await asyncio.sleep(random.random())
    while world.record.now() < end:
        if not client.machine.is_ready:
            await asyncio.sleep(0.05)
            continue
        target = f"{path}{random.randrange(1 << 30):x}"
        await client.send(method, target, deadline_s, b"o" * 300 if method == "POST" else b"")
        await asyncio.sleep(pause_s * random.random())


async def play(world):
    faulty = world.machines[3]
    if harness.is_trouble():
        faulty.backend.spoil = lambda path: random.random() < SPOILED_SHARE
    end = world.record.now() + LENGTH_S
    work = []
    for machine in world.machines:
        for _ in range(6):
            work.append(("POST", "/order/", 5.0, machine))
            work.append(("GET", "/stock/", 15.0, machine))
    await asyncio.gather(
        *(
            send_all(world, world.client(machine), method, path, deadline, end, 0.1)
            for method, path, deadline, machine in work
        )
    )
    return judge(world)


def judge(world):
    """LOST: more than three requests of kept connections, passed on to a sound
    backend, whose connection then ended without an answer."""
    lost = [
        answer
        for answer in world.answers
        if answer.status == 0
        and answer.before > 0
        and answer.path.startswith("/order/")
        and world.runs.get(answer.request)
    ]
    for answer in lost:
        where = " ".join(name for _, name in world.runs[answer.request])
        world.record.write(
            "lost", answer.request, "taken by", answer.machine.name, "run at", where
        )
    ends = {m.name: len(m.own_ends) for m in world.machines if m.own_ends}
    served = sum(1 for answer in world.answers if answer.status == 200)
    summary = (
        f"requests {len(world.answers)}, served {served}, lost {len(lost)} (3 allowed), "
        f"processes that ended by themselves {ends}"
    )
    world.record.write("result", summary)
    print(summary)
    return len(lost) > 3


def build():
    world = harness.World(pathlib.Path(__file__).parent)
    world.backend_class = FaultyBackend

    def work(path):
        if path.startswith("/order/"):
            return random.uniform(0.2, 0.4)
        return random.uniform(0.05, 0.15)

    for zone in ("falkirk", "motherwell", "cumbernauld"):
        world.add(zone, "orderdesk", 9, work)
    for zone in ("falkirk", "motherwell"):
        world.add(zone, "millstock", 9, work)
    world.configure(
        ["orderdesk", "millstock"],
        [
            route("order-booking", "/order/", "non_idempotent", "orderdesk", 2500, 800, 1),
            route("stock-lookup", "/stock/", "idempotent", "millstock", 8000, 2500, 2),
        ],
    )
    return world


if __name__ == "__main__":
    sys.exit(harness.main(build(), play))
