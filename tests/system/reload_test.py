"""Guards against requests that a reload of settings, or a new configuration,
loses or refuses. Real processes on loopback, with nothing between them.

RELOAD_SECONDS sets how long signals and configurations come in each case.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import subprocess
import time
import unittest

import planned_stop_test
from planned_stop_test import PROGRAM, Node, NodesTest

DURATION = float(os.environ.get("RELOAD_SECONDS", "1"))
RUN_TIME = 0.3


class Configurations:
    """The configurations that the operator writes, with rising versions."""

    def __init__(self, store):
        self.store = store
        self.number = 0

    def put(self, limits=(), routes=(), timeout_ms=None, service="orders"):
        self.number += 1
        value = json.loads(planned_stop_test.configuration(service))
        value["version"] = f"r{self.number}"
        value["limits"].update(limits)
        paths = value["virtual_hosts"][0]["paths"]
        for path in paths:
            if timeout_ms:
                path["timeout_ms"] = timeout_ms
        for prefix, service in dict(routes).items():
            paths.append(
                dict(paths[1], name=prefix, path_prefix=f"/{prefix}/", service=service)
            )
        self.store.put("op", "config", json.dumps(value).encode())


class Users:
    """Sends requests on kept connections until told to stop."""

    def __init__(self, test, seed=1):
        self.test = test
        self.random = random.Random(seed)
        self.is_done = False
        self.tasks = []
        # Target, node, answer.
        self.ends = []

    def start(self, node, methods, prefixes=(), think_time=0.0):
        for method in methods:
            self.tasks.append(
                asyncio.ensure_future(self.use(node, method, prefixes, think_time))
            )

    async def use(self, node, method, prefixes, think_time):
        connection = None
        while not self.is_done:
            if connection is None:
                try:
                    connection = await self.test.open(node)
                except OSError:
                    return
            own = "/once/" if method == "POST" else "/idem/"
            prefix = self.random.choice([own, *prefixes])
            target = f"{prefix}{len(self.ends)}.{self.random.random()}"
            answer = await self.test.request(
                node, method, target, connection=connection
            )
            self.ends.append((target, node, answer))
            if answer.status != 200 or answer.closes:
                connection[1].transport.abort()
                connection = None
            if think_time:
                await asyncio.sleep(self.random.uniform(0, think_time))
        if connection:
            connection[1].transport.abort()

    async def finish(self):
        self.is_done = True
        await asyncio.gather(*self.tasks)


class ReloadNodesTest(NodesTest):
    """Nodes that are told of new settings and configurations."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configurations = Configurations(self.store)

    async def start(self, *services, run_by="orders"):
        nodes = await super().start(*services, run_by=run_by)
        self.configurations.number = 1
        for node in nodes:
            node.backend.run_times = {"/": RUN_TIME}
        return nodes

    def settings_path(self, node):
        return pathlib.Path(self.folder.name) / f"{node.name}.ini"

    def report(self, users, what):
        statuses = {}
        for _, _, answer in users.ends:
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
        print(f"{self.id().split('.')[-1]}: {what}, answers {statuses}", flush=True)

    def assert_all_answered(self, users, count):
        failed = [
            (target, node.name, answer, self.was_started(target))
            for target, node, answer in users.ends
            if answer.status != 200
        ]
        self.assertEqual([], failed[:20], f"{len(failed)} of {len(users.ends)}")
        self.assertGreater(len(users.ends), count)

    async def await_in_force(self, node, check, limit=5.0):
        """Waits until `check` gives the status 200 at the node."""
        end = time.monotonic() + limit
        while (answer := await check(node)).status != 200:
            self.assertLess(time.monotonic(), end, f"not in force: {answer}")
            await asyncio.sleep(0.05)

    async def write_slowly(self, path, text, cut):
        """Rewrites the file in place, with signals at each half-written state."""
        with open(path, "w") as file:
            for part in (text[:cut], text[cut:]):
                await asyncio.sleep(0.025)
                self.signal_all()
                await asyncio.sleep(0.025)
                file.write(part)
                file.flush()
        self.signal_all()

    def signal_all(self):
        for node in self.nodes:
            node.send(signal.SIGHUP)

    async def rewrite_settings(self, nodes):
        """Names another service time and again; returns the services seen."""
        users = Users(self)
        for node in nodes:
            users.start(node, ["GET", "GET", "POST", "POST"])
        begin = time.monotonic()
        count = 0
        while time.monotonic() < begin + DURATION:
            node = nodes[count % len(nodes)]
            path = self.settings_path(node)
            service = "stock" if (count // len(nodes)) % 2 == 0 else "orders"
            text = self.originals[node.name].replace(
                "service = orders", f"service = {service}"
            )
            await self.write_slowly(path, text, len(text) // 2)
            count += 1
        await users.finish()
        self.report(users, f"{count} rewrites in place")
        self.assert_all_answered(users, DURATION / RUN_TIME * 4)
        return {
            service
            for node in nodes
            for service in node.backend.callers.values()
        }

    def keep_settings(self):
        self.originals = {
            node.name: self.settings_path(node).read_text() for node in self.nodes
        }

    def has_begun(self, pid):
        """Whether the program runs its own code: its event loop is open."""
        try:
            targets = [
                os.readlink(entry)
                for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir()
            ]
        except OSError:
            return False
        return any("eventpoll" in target for target in targets)

    async def stop_in_use(self, before_stop, after_stop):
        """Stops the first node while its connections are used to the end."""
        nodes = await self.start("orders", "orders", "orders")
        node = nodes[0]
        users = Users(self)
        for each in nodes:
            users.start(each, ["GET", "GET", "POST", "POST"])
        await asyncio.sleep(0.5)
        await before_stop(node)
        begin = time.monotonic()
        node.send(signal.SIGTERM)
        await after_stop(node)
        end = await asyncio.wait_for(node.wait_for_end(), planned_stop_test.GRACE)
        await users.finish()
        self.report(users, f"ended after {end - begin:.2f} s")
        self.assertEqual(0, node.process.returncode)
        for target, at, answer in users.ends:
            if at is not node:
                self.assertEqual(200, answer.status, (target, at.name, answer))
            elif answer.status == 0:
                # The close crossed a request that the node did not pass on.
                self.assertFalse(self.was_started(target), (target, answer))
            else:
                self.assert_answered_or_refused(answer, target)


class ReloadTest(ReloadNodesTest):

    # A reload broke off or refused requests in progress.
    async def test_signals_in_series(self):
        nodes = await self.start("orders", "orders", "orders")
        users = Users(self)
        for node in nodes:
            users.start(node, ["GET", "GET", "POST", "POST"])
        begin = time.monotonic()
        count = 0
        while time.monotonic() < begin + DURATION:
            for node in nodes:
                if count % 5 == 0:
                    path = self.settings_path(node)
                    new = path.with_suffix(".new")
                    new.write_text(path.read_text() + f"# {count}\n")
                    os.replace(new, path)
                node.send(signal.SIGHUP)
            count += 1
            await asyncio.sleep(0.02)
        await users.finish()
        self.report(users, f"{count} SIGHUP at each of {len(nodes)} nodes")
        self.assert_all_answered(users, DURATION / RUN_TIME * 4)

    # A half-written file ended requests in progress, or its settings were taken.
    async def test_settings_are_written_in_place(self):
        nodes = await self.start("orders", "orders", "orders")
        self.keep_settings()
        self.assertEqual({"orders", "stock"}, await self.rewrite_settings(nodes))
        text = self.originals["n0"].replace("service = orders", "service = stock")
        self.settings_path(nodes[0]).write_text(text)
        nodes[0].send(signal.SIGHUP)
        await asyncio.sleep(0.2)
        await self.assert_all_served(await self.begin(nodes[0], "GET", ["/idem/new"]))
        (caller,) = [
            node.backend.callers[identifier]
            for node in nodes
            for identifier, target in node.backend.started.items()
            if target == "/idem/new"
        ]
        self.assertEqual("stock", caller)

    # SIGHUP ended a node that had just started.
    async def test_signal_at_the_start(self):
        node = Node(self.folder.name, "n0", "orders", self.take, self.store_address)
        self.nodes.append(node)
        await node.start()
        path = self.settings_path(node)
        node.process.kill()
        node.process.wait()
        ends = {}
        for delay in (0, 0.5, 1, 1.5, 2, 3, 4, 5, 6, 8, 10, 15, 20, 30, 50):
            process = subprocess.Popen(
                [PROGRAM, f"--settings={path}"], stdout=subprocess.PIPE, text=True
            )
            try:
                await asyncio.sleep(delay / 1000)
                has_begun = self.has_begun(process.pid)
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.1)
                ends[delay] = (has_begun, process.poll())
            finally:
                process.kill()
                process.communicate()
        print(f"test_signal_at_the_start: {ends}", flush=True)
        # While libraries are loaded, no listener is open, and the default action
        # cuts nothing.
        self.assertEqual([], [end for begun, end in ends.values() if begun and end])

    # SIGHUP or a new configuration right before or after SIGTERM, and during the
    # stop, cut requests.
    async def test_reloads_during_a_stop(self):
        async def reload(node):
            if node.process.poll() is None:
                node.send(signal.SIGHUP)
            # The limit for idleness stays below the time until the end.
            number = self.configurations.number
            self.configurations.put(
                limits={"idle_timeout_ms": 300 + number % 50}, timeout_ms=2000
            )

        async def reload_until_end(node):
            end = time.monotonic() + planned_stop_test.GRACE
            while node.process.poll() is None and time.monotonic() < end:
                await reload(node)
                await asyncio.sleep(0.05)

        await self.stop_in_use(reload, reload_until_end)

    # A new configuration cut requests in progress, on routes that stay and on
    # routes that move or go.
    async def test_configurations_in_series(self):
        nodes = await self.start("orders", "orders", "stock", "stock")
        users = Users(self)
        self.configurations.put(routes={"moved": "orders", "gone": "stock"})
        await asyncio.sleep(0.5)
        for node in nodes:
            users.start(
                node,
                ["GET", "GET", "POST"],
                ["/moved/", "/gone/"],
                # Four fifths of the least idle_timeout_ms below.
                0.4,
            )
        choices = random.Random(1)
        begin = time.monotonic()
        first = self.configurations.number
        while time.monotonic() < begin + DURATION:
            routes = {
                "moved": choices.choice(["orders", "stock"]),
                f"added{self.configurations.number}": "stock",
            }
            if choices.random() < 0.5:
                routes["gone"] = "stock"
            self.configurations.put(
                limits={
                    "idle_timeout_ms": choices.choice([500, 3000, 15_000]),
                    "header_timeout_ms": choices.choice([200, 500, 3000]),
                    "max_body_bytes": choices.choice([1000, 100_000]),
                    "max_header_bytes": choices.choice([2048, 4096, 16_384]),
                },
                routes=routes,
                timeout_ms=choices.choice([1500, 2500, 8000]),
            )
            await asyncio.sleep(0.05)
        await users.finish()
        self.report(users, f"{self.configurations.number - first} configurations")
        missing = [end for end in users.ends if end[2].status == 404]
        users.ends = [end for end in users.ends if end[2].status != 404]
        for target, node, answer in missing:
            self.assertTrue(target.startswith("/gone/"), (target, answer))
            self.assertFalse(self.was_started(target), (target, answer))
        self.assert_all_answered(users, DURATION / RUN_TIME * 2)

if __name__ == "__main__":
    unittest.main()
