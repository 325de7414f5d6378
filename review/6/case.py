"""A node is stopped while backend servers work on requests that it took.

The deployment gives a process 10 s from SIGTERM to SIGKILL (grace_s).
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as h

# The sheet of cantoria-mesh-large.
BOUNDS = {
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "drain_ms": 3000,
    "grace_s": 10,
    "lost_ms": 200,
    "config_ms": 3000,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "platform"]
GRACE_S = BOUNDS["grace_s"]
# `history-read` of the sheet: its deadline, and its timeout in the site file.
DEADLINE_S, TIMEOUT_S = 10.0, 6.0
# When requests are sent, from the SIGTERM on, and how long their runs take.
# Each run ends in its route's timeout and long before the last sixth of grace_s.
REQUESTS = [(-0.3, 5.7), (-0.2, 5.7), (-0.1, 5.7), (0.3, 5.4), (0.4, 5.4), (0.5, 5.4)]


async def play(world):
    front, _ = world.add("front", "uio-norte", "reservas")
    _, backend = world.add("history", "uio-norte", "salas")
    await world.start_with(
        h.configuration(
            1,
            ["reservas", "salas"],
            [h.route("/history/", "salas", "idempotent", TIMEOUT_S * 1000, 4000)],
        )
    )
    await world.wait_until_served(front, "/history/warm")
    backend.choose_run_s = lambda request: float(request.target.rsplit("/", 1)[1])

    async def send(delay, run_s):
        await asyncio.sleep(delay)
        return run_s, await world.request(front, "GET", f"/history/{run_s}", DEADLINE_S)

    first = min(at for at, _ in REQUESTS)
    work = [world.spawn(send(at - first, run_s)) for at, run_s in REQUESTS]
    await asyncio.sleep(-first)
    if h.HAS_TROUBLE:
        front.send(signal.SIGTERM)
    results = await asyncio.gather(*work)
    if h.HAS_TROUBLE:
        await asyncio.sleep(max(0.0, GRACE_S - TIMEOUT_S - 1))
        world.record.note("front ended with", front.process.poll())
    lost = 0
    for run_s, (identifier, answer, seconds) in results:
        if identifier not in world.runs:
            # Refused or not read: nothing was lost.
            world.record.note("not passed on", identifier)
            continue
        has_answer = answer is not None and answer.header("Oleandertide-Server-Stamp")
        if has_answer or seconds >= TIMEOUT_S:
            continue
        lost += 1
        world.record.say(
            "lost:", identifier, "run of", run_s, "s broken off", f"{seconds:.2f} s",
            "after it was sent; answer:", "none" if answer is None else answer.status,
        )
    world.record.say("requests passed on and lost:", lost, "of", len(results))
    return lost == 0


h.main(pathlib.Path(__file__).parent, CONTRACTS, BOUNDS, play)
