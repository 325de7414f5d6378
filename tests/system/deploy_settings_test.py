"""Guards against a node that does not start, or takes too much, where the users'
platform does not tell it something.

Real processes on loopback, started by the deploy file and its template.
"""

import asyncio
import copy
import os
import re
import signal
import subprocess
import unittest
import unittest.mock

import planned_stop_test as planned
from deploy_file import Role

# Fields without which no node can serve.
NEEDED = ("service", "app", "listen", "provider")
# Fields that the platform had in its first version.
FIRST_FIELDS = ("node", "zone", "ip", "internal_ports", "bootstrap")
NOT_A_NUMBER = "lots"
# Of a node that is told nothing of its deployment.
DEFAULT_MEMORY_MB = 128
DEFAULT_STOP_DEADLINE_MS = 29_500
# A stop without requests ends when clients have learnt of it.
IDLE_STOP_LIMIT = 5.0


def example(node):
    """All fields of the settings, with the addresses of a node of the test."""
    text = {name: "%s:%d" % address for name, address in node.listen.items()}
    return {
        "node": node.name,
        "role": "sidecar",
        "machine_class": "sidecar",
        "serves": ["sidecar"],
        "ip": node.listen["metrics"][0],
        "zone": "uio-norte",
        "region": "uio",
        "zones": {"uio-norte": "uio", "uio-centro": "uio"},
        "listen": {
            "inbound": text["peers"],
            "outbound": text["clients"],
            "ready": text["readiness"],
            "control": text["announcements"],
        },
        "internal_ports": [node.listen["metrics"][1], 7395],
        "seeds": [],
        "bootstrap": True,
        "in_tolerance": False,
        "limits": {
            "cpu_share": 0.2,
            "cores": 1,
            "memory_mb": 260,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "data_dir": None,
        "contracts": ["base", "drain", "config", "rollout", "platform"],
        "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": {
            "drain_ms": 2000,
            "grace_s": 6,
            "config_ms": 2000,
            "retry_budget_ratio": 0.2,
            "fail_closed": False,
        },
        "app": "%s:%d" % node.backend.address,
        "service": node.service,
        "provider": {
            "address": "%s:%d" % node.store_address,
            "form": "table",
            "across": False,
        },
    }


def least(node):
    fields = example(node)
    return {name: fields[name] for name in NEEDED}


def with_each(fields, value):
    """The fields with `value` in place of each one that is not needed."""
    replaced = copy.deepcopy(fields)
    for name in replaced:
        if name in NEEDED:
            continue
        if isinstance(replaced[name], dict):
            replaced[name] = dict.fromkeys(replaced[name], value)
        else:
            replaced[name] = value
    return replaced


class DeployedNode(planned.Node):
    # Returns the fields that the platform has for a node.
    fields = staticmethod(example)

    async def start(self):
        role = Role()
        fields = type(self).fields(self)
        self.settings = self.log.with_suffix(".ini")
        self.settings.write_text(role.settings(fields))
        environment = {"PATH": os.environ["PATH"], **role.environment(fields)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                role.command(planned.PROGRAM, self.settings, fields),
                env=environment,
                stdout=log,
                stderr=log,
            )
        await self.backend.start()

    def started_with(self):
        """What the node says of itself at its start, by name."""
        (line,) = re.findall(r" node started (.*)", self.log.read_text())
        return dict(re.findall(r"(\w+)=(\S+)", line))


class DeploySettingsTest(planned.NodesTest):
    async def start_with(self, fields):
        patches = (
            unittest.mock.patch.object(DeployedNode, "fields", staticmethod(fields)),
            unittest.mock.patch.object(planned, "Node", DeployedNode),
        )
        with patches[0], patches[1]:
            (node,) = await self.start("orders")
        return node

    def make_node(self):
        """A node that is not started: for its name and addresses."""
        return planned.Node(
            self.folder.name, "n0", "orders", self.take, self.store_address
        )

    async def assert_serves(self, node):
        for method, target in (("GET", "/idem/1"), ("POST", "/once/1")):
            answer = await self.request(node, method, target)
            self.assertEqual(200, answer.status, answer)

    async def test_whole_example(self):
        node = await self.start_with(example)
        await self.assert_serves(node)
        told = node.started_with()
        self.assertEqual("260", told["memory_mb"])
        self.assertEqual("4100", told["descriptors"])
        self.assertEqual("off", told["limits"])
        self.assertEqual("on", told["rollouts"])
        self.assertEqual("5500", told["stop_deadline_ms"])
        self.assertNotIn("warning", node.log.read_text().split("started")[0])
        page = await planned.wire.read_page(node.listen["metrics"], "/metrics")
        self.assertIn("requests_total 3", page)

    async def test_least_fields(self):
        node = await self.start_with(least)
        await self.assert_serves(node)
        told = node.started_with()
        self.assertLessEqual(int(told["memory_mb"]), DEFAULT_MEMORY_MB)
        self.assertEqual("on-demand", told["limits"])
        self.assertEqual("on-demand", told["rollouts"])
        self.assertEqual(str(DEFAULT_STOP_DEADLINE_MS), told["stop_deadline_ms"])

    async def check_each(self, value):
        node = await self.start_with(lambda node: with_each(example(node), value))
        await self.assert_serves(node)
        return node

    async def test_empty_fields(self):
        await self.check_each("")

    async def test_null_fields(self):
        await self.check_each(None)

    async def test_null_texts(self):
        await self.check_each("null")

    async def test_fields_that_are_no_numbers(self):
        node = await self.check_each(NOT_A_NUMBER)
        log = node.log.read_text()
        for name in (
            "link-mbps",
            "first-start",
            "metrics",
            "OLEANDERTIDE_MEMORY_MB",
            "OLEANDERTIDE_DESCRIPTORS",
            "grace_s",
            "drain_ms",
            "fail_closed",
        ):
            self.assertRegex(log, rf'setting ignored" why="[^\n]*{name}')

    async def test_needed_fields(self):
        """Without one of these a node cannot serve, and it says which."""
        node = self.make_node()
        for name, key in (
            ("service", "service"),
            ("app", "address"),
            ("provider", "address"),
            ("listen", "clients"),
        ):
            fields = example(node)
            del fields[name]
            path = node.log.with_name("needed.ini")
            path.write_text(Role().settings(fields))
            done = subprocess.run(
                [planned.PROGRAM, f"--settings={path}"],
                capture_output=True,
                text=True,
                timeout=30,
            )
            self.assertEqual(2, done.returncode, done.stderr)
            self.assertRegex(done.stderr, rf"(?m)^{path}:\d+: {key}: missing")

    async def test_template_needs_no_later_field(self):
        """A platform of the first version can fill in the template."""
        fields = example(self.make_node())
        first = {name: fields[name] for name in (*NEEDED, *FIRST_FIELDS)}
        first["limits"] = {"link_mbps": 1000.0}
        first["provider"] = {"address": fields["provider"]["address"]}
        self.assertNotIn("{{", Role().settings(first, is_strict=True))

    async def test_stop_without_known_grace(self):
        """Runs end in their own time, and the process once nothing is left."""
        node = await self.start_with(least)
        node.backend.run_times = {"/long/": 6.5}
        running = asyncio.ensure_future(self.request(node, "GET", "/long/1"))
        await self.await_start("/long/1")
        node.send(signal.SIGTERM)
        answer = await running
        self.assertEqual(200, answer.status, answer)
        await asyncio.wait_for(node.wait_for_end(), IDLE_STOP_LIMIT)
        self.assertEqual(0, node.process.returncode)

    async def test_idle_stop_without_known_grace(self):
        node = await self.start_with(least)
        node.send(signal.SIGTERM)
        await asyncio.wait_for(node.wait_for_end(), IDLE_STOP_LIMIT)
        self.assertEqual(0, node.process.returncode)


if __name__ == "__main__":
    unittest.main()
