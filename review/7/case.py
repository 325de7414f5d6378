"""The store comes back from a copy, then the operator orders a new version.

The order's row gets a version that the store had given out before. The new
version is bad.
"""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as h

# The sheet of tessmann-pod-grown.
BOUNDS = {
    "stable_window_ms": 3000,
    "ack_ms": 5000,
    "drain_ms": 2500,
    "grace_s": 6,
    "config_ms": 2500,
    "skew_max_ms": 5000,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "rollback_ms": 5000,
}
CONTRACTS = [
    "base", "drain", "config", "cost", "retry", "recover", "rollout", "platform",
]
SERVICE = "vitrine"
ORDER_KEY = f"rollout/{SERVICE}"
REQUESTS_PER_S = 100
DURATION_S = 16
# A storm of configurations.
CHANGES, CHANGE_GAP_S = 16, 0.3
# The store is away for this long. Its copy was made before the storm.
AWAY_S = 0.5
# The operator's order comes so long after the store is back.
ORDER_AFTER_S = 12
# The new version fails on one route only.
BAD_ROUTE = "/reviews/"
BAD_ROUTE_SHARE = 0.2
BAD_SHARE = 0.5


def document(version):
    routes = [
        h.route("/catalogue/", SERVICE, "idempotent", 2500, 400),
        h.route(BAD_ROUTE, SERVICE, "idempotent", 2500, 400),
    ]
    routes += [
        h.route(f"/added{number}/", SERVICE, "idempotent", 2500, 400)
        for number in range(max(2, version - 2), version + 1)
    ]
    return h.configuration(version, [SERVICE], routes)


async def play(world):
    generator = random.Random(1)
    store = world.store
    old = [world.add(f"old-{i}", f"sul-{'ab'[i % 2]}", SERVICE)[0] for i in range(4)]
    await world.start_with(document(1))
    for node in old:
        await world.wait_until_served(node, "/catalogue/warm")
    sent = {}

    async def ask():
        node = generator.choice(old)
        sent_at = time.monotonic()
        prefix = BAD_ROUTE if generator.random() < BAD_ROUTE_SHARE else "/catalogue/"
        identifier, _, _ = await world.request(node, "GET", prefix + "1", 2.5, quiet=True)
        sent[identifier] = sent_at

    async def traffic():
        while True:
            world.spawn(ask())
            await asyncio.sleep(1 / REQUESTS_PER_S)

    world.spawn(traffic())

    async def join(names, version, status):
        """Machines with backend servers of a new version."""
        world.is_first_start = False
        added = []
        for index, name in enumerate(names):
            node, backend = world.add(
                name, f"sul-{'ab'[index % 2]}", SERVICE, version=version
            )
            backend.choose_status = status
            added.append((node, backend))
        for node, backend in added:
            node.start()
            await backend.start()

    await asyncio.sleep(3)
    copy = store.copy()
    world.record.note("copy of the store at version", store.version)
    for number in range(2, 2 + CHANGES):
        store.put("op", "config", document(number))
        await asyncio.sleep(CHANGE_GAP_S)
    # Empty backend servers of the version in use are added.
    await join(["added-0", "added-1"], "v1", lambda request: 200)
    await asyncio.sleep(2)
    if h.HAS_TROUBLE:
        world.record.note("the store goes away at version", store.version)
        store.close()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        await store.open()
        world.record.note("the store is back at version", store.version)
        # What the operator wrote is written again.
        store.put("op", "config", document(1 + CHANGES))
    # Longer than stable_window_ms: all machines are in touch again.
    await asyncio.sleep(ORDER_AFTER_S)
    row = store.put(
        "op", ORDER_KEY, {"service": SERVICE, "to": "v2", "duration_s": DURATION_S}
    )
    ordered_at = time.monotonic()
    await join(
        [f"new-{i}" for i in range(4)], "v2",
        lambda request: 500
        if request.target.startswith(BAD_ROUTE) and generator.random() < BAD_SHARE
        else 200,
    )
    await asyncio.sleep(DURATION_S)
    deadline = ordered_at + DURATION_S
    world.record.note("status", store.value("status", ORDER_KEY))

    reached = bad = late = 0
    failures = sorted(at for at, version in world.bad_answers if version == "v2")
    stop_by = (
        failures[49] + BOUNDS["rollback_ms"] / 1000 if len(failures) >= 50 else None
    )
    for identifier, runs in world.runs.items():
        if not ordered_at <= sent.get(identifier, 0) <= deadline:
            continue
        reached += 1
        if any(backend.version == "v2" for backend, _ in runs):
            bad += 1
            late += stop_by is not None and sent[identifier] > stop_by
    allowed = BOUNDS["exposure_share"] * reached + BOUNDS["exposure_slack"]
    world.record.say(
        "order of row version", row, "- requests:", reached, "at the bad version:", bad,
        f"allowed: {allowed:.0f}", "bad answers:", len(failures),
        "sent to it later than rollback_ms after the 50th:", late,
        "status:", store.value("status", ORDER_KEY),
    )
    if reached < 500:
        raise h.CannotRun("too few requests")
    return bad <= allowed and late == 0


h.main(pathlib.Path(__file__).parent, CONTRACTS, BOUNDS, play)
