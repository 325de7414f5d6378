"""Guards against input that ends a node or stops it from serving."""

import random
import re
import socket
import subprocess
import unittest

from cluster import request
from scenario import BOOKINGS, ROOMS, SystemTest, call, document

SEED = 20240607
PORTS = ("peers", "callers", "backend", "operators")
PATHS = {
    "callers": "/bookings",
    "backend": "/backend-server",
    "operators": "/status",
}
OVERSIZED_BYTES = 3 << 20  # Above the default maximum-body of 1 MiB.


def send_raw(address, data):
    """Sends bytes and reads what comes until the end or a short silence."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.settimeout(0.2)
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(65536):
                pass
        except OSError:
            pass  # The node may close the connection at any moment.


def messages(generator):
    """Random bytes, and requests and frames with a random fault."""
    for size in (1, 7, 64, 1000, 20000):
        yield generator.randbytes(size)
    # A Cap'n Proto frame: segment count and sizes, then random words.
    for segments, words in ((0, 8), (0, 1 << 30), (511, 1), (1 << 31, 1)):
        header = segments.to_bytes(4, "little") + words.to_bytes(4, "little")
        yield header + generator.randbytes(8 * 8)
    for _ in range(6):
        line = bytearray(b"POST /bookings HTTP/1.1\r\nHost: a\r\n"
                         b"Idempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody")
        for _ in range(3):
            line[generator.randrange(len(line))] = generator.randrange(256)
        yield bytes(line)
    yield b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999\r\n\r\n"
    yield b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"
    yield b"GET /" + b"a" * 100000 + b" HTTP/1.1\r\nHost: a\r\n\r\n"
    yield b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 20000 + b"\r\n"
    yield (b"POST /bookings HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
           b"\r\n\r\nffffffffffffffff\r\nabc")


class BadInputTest(SystemTest):

    nodes_per_data_centre = 2

    def check_serves(self):
        for node in self.nodes:
            self.assertTrue(node.process.is_running(), node.process.name)
            self.assertEqual("complete", call(node, "GET", "/rooms").outcome)
            self.assertEqual(1, node.status()["sequence"])

    def test_bad_messages(self):
        self.start(document(ROOMS, BOOKINGS))
        generator = random.Random(SEED)
        for port in PORTS:
            for node in self.nodes[:2]:
                for message in messages(generator):
                    send_raw(node.address(port), message)
            self.check_serves()
        self.check_oversized_bodies()
        self.check_serves()
        self.assertEqual([], self.runs_of_path("/bookings"))
        # Membership and configuration still work.
        self.cluster.accept(document(ROOMS))
        self.cluster.wait_for_sequence(2)

    def check_oversized_bodies(self):
        node = self.nodes[0]
        for port, path in PATHS.items():
            method = "PUT" if port == "backend" else "POST"
            try:
                status, _, _ = request(
                    node.address(port), method, path, b"x" * OVERSIZED_BYTES,
                    {"Idempotency-Key": f"oversized-{port}"})
            except OSError:
                continue  # The node may close before it read everything.
            self.assertGreaterEqual(status, 400, port)

    def test_address_in_use(self):
        """Two nodes on one port would each get a part of the requests."""
        self.start(document(ROOMS))
        other = self.cluster.add_node("dc1", "north")
        self.nodes = self.nodes[:-1]
        for port in ("callers", "backend", "operators"):
            own = other.ports[port]
            other.ports[port] = self.nodes[0].ports[port]
            other.start()
            self.assertEqual(1, other.process.wait(10), port)
            self.assertIn("[listen]", other.process.log_path.read_text())
            other.ports[port] = own
        self.check_serves()

    def test_wrong_settings(self):
        node = self.nodes[0]
        path = self.cluster.folder / "wrong.ini"
        text = self.cluster.settings_of(node)
        wrong = text.replace("environment = production", "environment = a b")
        wrong = wrong.replace("data-centre = dc1\n", "")
        wrong += "colour = red\n[unknown]\nkey = 1\n"
        path.write_text(wrong)
        done = subprocess.run(
            [self.cluster.binary("oleandertide-node"), "--settings", path],
            capture_output=True, text=True, timeout=30)
        self.assertEqual(2, done.returncode, done.stderr)
        lines = done.stderr.splitlines()
        for key in ("environment", "data-centre", "colour", "unknown"):
            pattern = rf"^{path}:\d+: .*{key}"
            self.assertTrue(
                any(re.search(pattern, line) for line in lines),
                (key, done.stderr))
        self.assertEqual([], [line for line in lines
                              if not re.search(rf"^{path}:\d+: ", line)])


if __name__ == "__main__":
    unittest.main()
