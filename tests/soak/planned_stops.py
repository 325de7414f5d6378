#!/usr/bin/env python3
"""Stops nodes one after the other under load and lists requests that were lost.

Nodes of two services in four data centres run as processes on the loopback,
without proxies between them. Each in turn gets SIGTERM at a fixed gap and starts
again one second after its end; a share of the callers stays at a node that is
not ready until its process is gone. Example:

  tests/soak/planned_stops.py --programs build/bin --seed 1 --gap 1.3

Exit status 0 if nothing was lost, 1 otherwise.
"""

import argparse
import asyncio
import collections
import datetime
import itertools
import json
import math
import pathlib
import re
import signal
import sys
import tempfile
import time

import backend_server
import caller
import promises
import wire
import world
from caller import Kind
from proxy import Proxy
from record import CONFIG_BOUND, GRACE, LOST_BOUND, STABLE_WINDOW, Version, digest

RESTART_DELAY = 1.0
ATTEMPTS_OF_CLIENT = 3
# Statuses after which a client does not come again.
FINAL = (400, 401, 404, 413, 431)
# Deadlines are sent in whole milliseconds.
ROUNDING = 0.002
DUTY_PERIOD = 0.1
# From this time after SIGTERM on, a run that is still at work may be cut if its
# request was sent no later than LATEST_SENT after SIGTERM.
LAST_SIXTH = GRACE * 5 / 6
LATEST_SENT = 3.0
OPTIONS = (
    ("seed", 1, "of requests and run times"),
    ("seconds", 26.0, "in which stops begin"),
    ("gap", 1.3, "seconds between stops"),
    ("staying", 0.5, "share of callers that stay"),
    ("duty", 1.0, "share of time that processes run"),
    ("hups", 0.0, "seconds between SIGHUPs, 0 for none"),
    ("configurations", 0.0, "seconds between them, 0 for none"),
    ("nodes", 10, "in all"),
    ("rate", 80.0, "requests a second"),
    ("long", 1.0, "factor for the share of the longest runs"),
)
SERVICES = ("orderdesk", "millstock")
PROPERTIES = {"health_path": wire.HEALTH, "max_connections": 120}
LIMITS = {"max_header_bytes": 4096, "max_body_bytes": 100_000,
          "header_timeout_ms": 500, "idle_timeout_ms": 15_000}

# Kind, service, time-out, target latency, priority, mean and spread of the run
# time, its greatest value, size of the answer.
ROUTES = (
    (Kind("/order-lookup/", "GET", True, 4, 6.2), 0, 2, 0.6, 2, 0.22, 0.3, 1.6, 1500),
    (Kind("/order-booking/", "POST", False, 5, 2.4), 0, 2.5, 0.8, 1, 0.29, 0.5, 1.7, 5000),
    (Kind("/cert-download/", "GET", True, 4, 0.78), 1, 4, 0.6, 2, 0.18, 0.3, 1.3, 90_000),
    (Kind("/stock-lookup/", "GET", True, 15, 1.2), 1, 8, 2.5, 2, 0.88, 0.8, 5.3, 400),
    (Kind("/schedule-sync/", "GET", True, 0.6, 0), 1, 0.6, 0.2, 2, 0.055, 0.5, 0.33, 200),
)
BY_PREFIX = {route[0].prefix: route for route in ROUTES}
KINDS = tuple(route[0] for route in ROUTES[:4])
CALLING_SHARE = 0.7

caller.LEAVING_SHARE = 0
caller.CALLED = ROUTES[4][0]
backend_server.SLOTS = 9
backend_server.QUEUE = 36
backend_server.HEARTBEAT = 0.87


class Direct(Proxy):
    """Stands in for a proxy where sockets are connected directly."""

    def __init__(self, _, target):
        super().__init__(target, target)

    async def open(self):
        pass


class Server(backend_server.BackendServer):
    async def work(self, arrival, writer, end):
        prefix = "/" + arrival.target.split("/")[1] + "/"
        mean, spread, most, size = BY_PREFIX[prefix][5:]
        seconds = mean * math.exp(self.random.gauss(-spread * spread / 2, spread))
        left = end - time.monotonic()
        await asyncio.sleep(max(min(seconds, most, left), 0))
        arrival.status = 200 if min(seconds, most) < left else 504
        if prefix == "/order-lookup/" and self.random.random() < CALLING_SHARE:
            calls = (self.caller.call_from_backend(self, arrival, end) for _ in "12")
            if not all(await asyncio.gather(*calls)):
                arrival.status = 500
        body = self.random.randbytes(size)
        arrival.answer_body = digest(body)
        arrival.ended_at = time.monotonic()
        arrival.ending = "answered"
        headers = {wire.REQUEST_ID: arrival.identifier, wire.STAMP: arrival.stamp}
        writer.write(wire.encode(f"HTTP/1.1 {arrival.status} X", headers, body))


world.Proxy = Direct
world.BackendServer = Server
world.SERVICES = SERVICES
world.DATA_CENTRES = 4
world.KINDS = KINDS
world.CALLED = caller.CALLED


class World(world.World):
    def __init__(self, options, folder):
        program = str(options.programs / "oleandertide-sidecar")
        super().__init__(program, folder, options.seed, options.nodes, options.rate)
        self.options = options
        self.hups = []

    def change_configuration(self):
        """Later versions have other weights and time-outs."""
        self.version += 1
        factor = self.random.choice((1, 1.2)) if self.version > 1 else 1
        paths = []
        for kind, service, timeout, target, priority, *_ in ROUTES:
            route = self.describe_route(kind.prefix, SERVICES[service])
            paths.append(route | {
                "kind": "download" if "cert" in kind.prefix else route["kind"],
                "timeout_ms": round(timeout * factor * 1000),
                "target_latency_ms": round(target * 1000),
                "priority": priority,
            })
        parts = [{"service": n, "weight": self.random.randrange(1, 10)} for n in SERVICES]
        weighted = {**paths[0], "path_prefix": "/weighted/", "weighted_clusters": parts}
        del weighted["service"]
        document = {
            "version": f"r{self.version}",
            "services": [{"name": name, **PROPERTIES} for name in SERVICES],
            "limits": LIMITS,
            "virtual_hosts": [{"host": "a.example", "paths": [*paths, weighted]}],
        }
        self.store.put("op", "config", json.dumps(document).encode())
        services = {route[0].prefix: (SERVICES[route[1]],) for route in ROUTES}
        self.record.versions.append(Version(self.version, services, time.monotonic()))

    async def send_requests(self):
        while self.caller.is_running:
            shares = [k.share for k in KINDS[:-1]] + [KINDS[-1].share * self.options.long]
            kind = self.random.choices(KINDS, shares)[0]
            self.caller.spawn(self.request(kind))
            await asyncio.sleep(self.random.expovariate(self.rate))

    async def request(self, kind):
        stays = self.random.random() < self.options.staying
        end = time.monotonic() + kind.deadline
        node = self.random.choice(self.nodes)
        for number in range(ATTEMPTS_OF_CLIENT):
            if node.process.poll() is not None or not (stays or node.is_ready):
                ready = [n for n in self.nodes if n.is_ready]
                node = self.random.choice(ready or self.nodes)
            left = end - time.monotonic()
            if left < 0.05:
                return
            is_new = number > 0 or not kind.is_repeatable
            attempt = await self.caller.attempt(node.name, kind, left, is_new)
            may_repeat = attempt.is_promise or attempt.ending == "not connected"
            may_repeat |= kind.is_repeatable and attempt.status != 200
            if attempt.status in FINAL or not may_repeat:
                return
            await asyncio.sleep(min(attempt.retry_after, max(left / 3, 0)))

    async def stop_in_turn(self, end):
        async def restart(node):
            await node.stop()
            await asyncio.sleep(RESTART_DELAY)
            node.start()

        running = []
        for node in itertools.cycle(self.nodes):
            if time.monotonic() >= end:
                break
            if not node.is_ended:
                running.append(asyncio.ensure_future(restart(node)))
            await asyncio.sleep(self.options.gap)
        await asyncio.gather(*running)

    def send_hup(self):
        node = self.random.choice(self.nodes)
        # The default action would end a program that loads its libraries.
        if not node.is_ended and node.has_begun():
            self.hups.append((node.name, time.monotonic()))
            node.send(signal.SIGHUP)

    async def repeat(self, seconds, action):
        while seconds:
            await asyncio.sleep(seconds)
            action()

    async def limit_share(self, node, offset):
        """Lets the process run for a share of each period only."""
        share = self.options.duty
        await asyncio.sleep(offset)
        while share < 1:
            node.send(signal.SIGCONT)
            await asyncio.sleep(DUTY_PERIOD * share)
            node.send(signal.SIGSTOP)
            await asyncio.sleep(DUTY_PERIOD * (1 - share))


class Report(promises.Checks):
    """Applies rule LOST to what was seen."""

    def __init__(self, work):
        super().__init__(work.record, world.ATTEMPTS_ALLOWED)
        self.work = work
        self.lost = collections.Counter()
        self.excluded = collections.Counter()
        self.clock_offset = time.time() - time.monotonic()

    def stop_before(self, node, at):
        """Time of the SIGTERM in whose window a moment lies, or nothing."""
        stops = (t for name, t in self.record.stops if name == node)
        return max((t for t in stops if t <= at <= t + GRACE + 1), default=None)

    def form_of(self, attempt):
        """How the request ended without its backend server's answer."""
        arrivals = self.arrivals[attempt.identifier]
        if attempt.ending == "closed":
            return "closed, passed on" if arrivals else "closed, not passed on"
        runs = [run for run in arrivals if run.is_run]
        if attempt.stamp or not runs or attempt.status not in (502, 504):
            return ""
        is_cut = any(r.ending in ("at work", "dropped") or r.ended_at > attempt.ended_at
                     for r in runs)
        return f"own {attempt.status}, " + ("at work" if is_cut else "run had ended")

    def reason_to_exclude(self, attempt, form):
        arrivals = self.arrivals[attempt.identifier]
        held = attempt.ended_at - attempt.sent_at
        limit = min(attempt.deadline, BY_PREFIX[attempt.prefix][2]) - ROUNDING
        stop = self.stop_before(attempt.node, attempt.ended_at)
        is_hup = form.startswith("closed") and any(
            name == attempt.node and attempt.sent_at - CONFIG_BOUND <= at < attempt.ended_at
            for name, at in self.work.hups)
        if not self.record.is_calm([attempt.node], attempt.sent_at, attempt.ended_at):
            return "first start"
        if held >= limit:
            return "deadline or time-out"
        if not arrivals and held <= LOST_BOUND:
            return "within 200 ms"
        if stop is None and not is_hup:
            return "no SIGTERM or SIGHUP of its node"
        if stop is not None and attempt.sent_at <= stop + LATEST_SENT:
            ends = (run.ended_at or math.inf for run in arrivals if run.is_run)
            if max(ends, default=0) >= stop + LAST_SIXTH:
                return "at work in the last sixth, sent by 3 s"
        return ""

    def describe(self, moment):
        if moment is None:
            return "-"
        time_of_day = datetime.datetime.utcfromtimestamp(moment + self.clock_offset)
        return time_of_day.strftime("%H:%M:%S.%f")[:-3]

    def print_case(self, attempt, form, with_log=True):
        at = self.describe
        stop = self.stop_before(attempt.node, attempt.ended_at)
        after = f"{attempt.ended_at - stop:.3f} s after" if stop else "no"
        print(f"  {form}: {attempt.identifier} {attempt.target} at {attempt.node} sent "
              f"{at(attempt.sent_at)} SIGTERM {at(stop)} end {at(attempt.ended_at)} "
              f"({after} SIGTERM)")
        names = {attempt.node}
        for run in self.arrivals[attempt.identifier]:
            names.add(run.node)
            last = run.ended_at or attempt.ended_at
            print(f"    at {at(run.at)} beside {run.node}, given {run.given}, SIGTERM "
                  f"there {at(self.stop_before(run.node, last))}, "
                  f"{run.ending or 'waiting'} {run.status} {at(run.ended_at or None)}")
        pattern = re.compile(rf"\b{attempt.identifier}\b")
        span = (at(attempt.sent_at - GRACE), at(attempt.ended_at + LOST_BOUND))
        for node in self.work.nodes if with_log else ():
            lines = node.log.read_text(errors="replace").splitlines()
            for line in lines if node.name in names else ():
                is_stop = " node stop" in line and span[0] <= line[11:23] <= span[1]
                if pattern.search(line) or is_stop:
                    print(f"    {node.name}: {line[11:400]}")

    def count_lost(self, attempt):
        form = self.form_of(attempt)
        if not form:
            return
        begin, end = attempt.sent_at - STABLE_WINDOW, attempt.ended_at
        stops = [at for name, at in self.record.stops if name == attempt.node]
        reason = self.reason_to_exclude(attempt, form)
        if form == "closed, passed on" and not any(begin <= at <= end for at in stops):
            # The rule allows three of these.
            form, reason = form + ", in touch", ""
        if reason:
            self.excluded[f"{form}: {reason}"] += 1
            self.print_case(attempt, f"excluded ({reason}), {form}", False)
        else:
            self.lost[form] += 1
            self.print_case(attempt, form)

    def print_all(self):
        late = refused = refused_runs = 0
        for attempt in self.record.attempts.values():
            stop = self.stop_before(attempt.node, attempt.sent_at) or math.inf
            late += stop <= attempt.sent_at and not any(
                name == attempt.node and stop < at <= attempt.sent_at
                for name, at in self.record.starts)
            refused += attempt.is_promise and not attempt.stamp
            runs = [run for run in self.arrivals[attempt.identifier] if run.is_run]
            if attempt.status == 503 and not attempt.stamp and runs:
                refused_runs += 1
                self.print_case(attempt, "503 for a request that ran")
            self.count_lost(attempt)
        # Rule LOST has been counted with all of its exclusions.
        found = [(rule, text) for rule, text in self.run() if rule != "lost"]
        for rule, text in found:
            print(f"  {rule}: {text[:300]}")
        counts = collections.Counter(rule for rule, _ in found)
        attempts = self.record.attempts.values()
        ends = collections.Counter(str(a.status or a.ending) for a in attempts)
        print(f"seed {self.work.options.seed}: {len(attempts)} requests "
              f"{dict(sorted(ends.items()))}, late {late}, refused {refused}, stops "
              f"{len(self.record.stops)}, pause {self.work.largest_pause:.3f} s")
        print(f"  LOST {dict(self.lost)}; excluded {dict(self.excluded)}; 503 "
              f"that ran {refused_runs}; "
              f"other promises {dict(counts)}", flush=True)
        return not (self.lost or counts or refused_runs)


async def run(options, folder):
    work = World(options, folder)
    tasks = []
    try:
        await work.start()
        work.caller.spawn(work.send_requests())
        works = [
            work.repeat(options.hups, work.send_hup),
            work.repeat(options.configurations, work.change_configuration),
            *(work.limit_share(n, work.random.random() * DUTY_PERIOD) for n in work.nodes),
        ]
        tasks = [asyncio.ensure_future(each) for each in works]
        await asyncio.sleep(STABLE_WINDOW)
        await work.stop_in_turn(time.monotonic() + options.seconds)
        await asyncio.sleep(GRACE + 1)
        work.caller.is_running = False
        while work.caller.tasks:
            await asyncio.wait(set(work.caller.tasks))
    finally:
        for task in tasks:
            task.cancel()
        work.end()
        for _, writer in sum(work.caller.idle.values(), []):
            writer.transport.abort()
        await asyncio.sleep(0.2)
    return Report(work).print_all()


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--programs", required=True, type=pathlib.Path)
    parser.add_argument("--logs", type=pathlib.Path, help="folder for logs")
    for name, default, text in OPTIONS:
        parser.add_argument(f"--{name}", type=type(default), default=default, help=text)
    options = parser.parse_args()
    folder = options.logs or pathlib.Path(tempfile.mkdtemp(prefix="planned-stops-"))
    folder.mkdir(parents=True, exist_ok=True)
    return 0 if asyncio.run(run(options, folder)) else 1


if __name__ == "__main__":
    sys.exit(main())
