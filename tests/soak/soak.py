#!/usr/bin/env python3
"""Runs nodes as processes, injects faults and checks the promises to users.

A seed decides on the faults and their times. Example:

  tests/soak/soak.py --programs build/bin --seeds 1-50 --jobs 3

Exit status 0 if no promise was broken, 1 otherwise, 2 for wrong arguments.
Logs of runs that broke a promise are kept.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import time

import faults
import promises
import world

# Time after the last fault by which all are back: a stable window, and the two
# seconds in which entries of servers return.
SETTLING_SECONDS = 5.0
CALM_SECONDS = 4.0


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--programs", required=True, type=pathlib.Path)
    parser.add_argument("--seeds", default="", help="e.g. 7 or 1-50 or 3,9,12-15")
    parser.add_argument("--fresh", type=int, default=0, help="number of new seeds")
    parser.add_argument("--file", help="file of seeds, one a line with its cause")
    parser.add_argument("--seconds", type=float, default=20, help="of faults")
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--rate", type=float, default=120, help="requests a second")
    parser.add_argument("--faults", help="kinds to choose from, with commas")
    parser.add_argument("--jobs", type=int, default=1, help="runs at a time")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for logs kept")
    parser.add_argument("--keep", action="store_true", help="keep all logs")
    arguments = parser.parse_args()
    program = arguments.programs / "oleandertide-sidecar"
    if not program.is_file():
        parser.error(f"{program} does not exist")
    try:
        arguments.seeds = parse_seeds(arguments)
    except ValueError as error:
        parser.error(f"seeds: {error}")
    if not arguments.seeds:
        parser.error("no seeds given")
    if arguments.faults:
        kinds = (
            faults.KINDS_OF_FAULT
            + faults.KINDS_WITH_ORGANISATIONS
            + faults.KINDS_OF_DRILL
        )
        unknown = set(arguments.faults.split(",")) - set(kinds)
        if unknown:
            known = ", ".join(kinds)
            parser.error(f"unknown faults {sorted(unknown)}; known are {known}")
    return arguments


def parse_seeds(arguments):
    seeds = []
    for part in filter(None, arguments.seeds.split(",")):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    if arguments.file:
        for line in pathlib.Path(arguments.file).read_text().splitlines():
            if line and not line.startswith("#"):
                seeds.append(int(line.split()[0]))
    fresh = random.SystemRandom()
    return seeds + [fresh.randrange(1000, 1 << 31) for _ in range(arguments.fresh)]


async def run_faults(work, injector, plan):
    begin = time.monotonic()
    running = []
    for at, kind, seconds in plan:
        await asyncio.sleep(max(0, begin + at - time.monotonic()))
        print(f"{time.monotonic():.3f} {kind} {seconds:.1f}", file=work.events)
        running.append(asyncio.ensure_future(getattr(injector, kind)(seconds)))
    await asyncio.gather(*running)


def has_organisations(seed, kinds):
    """Even seeds have organisations, and those whose faults need them."""
    further = set(faults.KINDS_WITH_ORGANISATIONS + faults.KINDS_OF_DRILL)
    needing = set(kinds or ()) & further
    return seed % 2 == 0 or bool(needing)


async def run_seed(seed, arguments, folder):
    """Returns violations and a line on what was done."""
    kinds = arguments.faults.split(",") if arguments.faults else None
    with_keys = has_organisations(seed, kinds)
    further = faults.KINDS_WITH_ORGANISATIONS if with_keys else ()
    plan = faults.make_plan(seed, arguments.seconds, kinds, further)
    program = str(arguments.programs / "oleandertide-sidecar")
    work = world.World(
        program, folder, seed, arguments.instances, arguments.rate, with_keys
    )
    injector = faults.DrillFaults(work, seed)
    try:
        with open(folder / "events.txt", "w") as work.events:
            await work.start()
            clients = asyncio.ensure_future(send_requests(work))
            await asyncio.sleep(2)
            await run_faults(work, injector, plan)
            await asyncio.sleep(SETTLING_SECONDS)
            calm_at = time.monotonic()
            await asyncio.sleep(CALM_SECONDS)
            calm_end = time.monotonic()
            await work.read_metrics()
            await work.stop()
            await clients
    finally:
        work.end()
    checks = promises.Checks(work.record, world.ATTEMPTS_ALLOWED)
    found = checks.run() + promises.check_recovery(work, calm_at, calm_end)
    found += promises.check_pages(work)
    statuses = collections.Counter(
        attempt.status or attempt.ending for attempt in work.record.attempts.values()
    )
    kinds = collections.Counter(kind for _, kind, _ in plan)
    summary = (
        f"{len(work.record.attempts)} requests "
        f"{dict(sorted(statuses.items(), key=str))}, faults {dict(kinds)}, "
        f"largest pause of the soak {work.largest_pause:.3f} s"
    )
    for name in work.record.limits:
        count, limit, _ = checks.most_runs(name)
        summary += f", {name} at most {count} runs in a window of {limit:.0f}"
    return found, summary


async def send_requests(work):
    """Sends requests to the nodes that count as ready at the time."""
    while work.caller.is_running:
        nodes = work.running()
        kind = work.caller.pick_kind()
        marks = {}
        if work.keys is not None:
            marks["key"], is_withdrawn = work.keys.pick()
            if is_withdrawn:
                # Nodes that are not ready must not honour it either.
                nodes = [node.name for node in work.nodes]
        node = work.random.choice(nodes)
        work.caller.spawn(work.caller.request(node, kind, **marks))
        rate = work.rate * work.caller.rate_factor
        await asyncio.sleep(work.random.expovariate(rate))


def run_one(seed, arguments):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"oleandertide-soak-{seed}-"))
    found, summary = asyncio.run(run_seed(seed, arguments, folder))
    print(f"seed {seed}: {len(found)} violations; {summary}", flush=True)
    for rule, text in found[:20]:
        print(f"  {rule}: {text}", flush=True)
    if found or arguments.keep:
        kept = arguments.logs or pathlib.Path.cwd() / "soak-logs"
        kept.mkdir(parents=True, exist_ok=True)
        target = kept / f"seed-{seed}"
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(folder, target)
        (target / "violations.txt").write_text(
            "".join(f"{rule}: {text}\n" for rule, text in found)
        )
        print(f"  logs: {target}", flush=True)
    shutil.rmtree(folder)
    return not found


def run_side_by_side(arguments):
    """Runs each seed as a process of its own, a few at a time."""
    waiting = list(arguments.seeds)
    running = []
    failed = []
    while waiting or running:
        while waiting and len(running) < arguments.jobs:
            seed = waiting.pop(0)
            command = [sys.executable, __file__, f"--seeds={seed}"]
            for name in ("programs", "seconds", "instances", "rate"):
                command.append(f"--{name}={getattr(arguments, name)}")
            for name in ("faults", "logs"):
                if getattr(arguments, name):
                    command.append(f"--{name}={getattr(arguments, name)}")
            if arguments.keep:
                command.append("--keep")
            running.append((seed, subprocess.Popen(command)))
        time.sleep(0.1)
        failed += [s for s, process in running if process.poll() not in (None, 0)]
        running = [(s, process) for s, process in running if process.poll() is None]
    return failed


def main():
    arguments = parse_arguments()
    if arguments.jobs > 1:
        failed = run_side_by_side(arguments)
    else:
        failed = [s for s in arguments.seeds if not run_one(s, arguments)]
    print(f"{len(arguments.seeds)} seeds, {len(failed)} with violations: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
