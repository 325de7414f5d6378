"""Guards against a SIGTERM in the first milliseconds of oleandertide-sidecar
that ends it by the default action, while its listeners are already open."""

import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import unittest

# Delays of the signal after the start of the program, in milliseconds.
DELAYS = (0, 0.5, 1, 1.5, 2, 3, 4, 5, 6, 8, 10, 15, 20)
REPEATS = 3
END_LIMIT_SECONDS = 6


def unused_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind(("127.0.0.1", 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


def write_settings(folder):
    names = ("clients", "peers", "readiness", "announcements", "metrics")
    ports = unused_ports(len(names) + 2)
    lines = ["[node]", "name = n", "data-centre = d", "service = s", "[listen]"]
    lines += [f"{name} = 127.0.0.1:{port}" for name, port in zip(names, ports)]
    lines += ["[backend]", f"address = 127.0.0.1:{ports[-2]}"]
    lines += ["[store]", f"address = 127.0.0.1:{ports[-1]}"]
    lines += ["[drain]", "announce-time = 0ms"]
    path = pathlib.Path(folder) / "node.ini"
    path.write_text("\n".join(lines) + "\n")
    return path


def has_begun(pid):
    """Whether the program runs its own code: its event loop is open."""
    folder = pathlib.Path(f"/proc/{pid}/fd")
    try:
        targets = [os.readlink(entry) for entry in folder.iterdir()]
    except OSError:
        return False
    return any("eventpoll" in target for target in targets)


class EarlyStopTest(unittest.TestCase):

    def test_early_signal_ends_in_order(self):
        program = pathlib.Path(os.environ["OLEANDERTIDE_BINARIES"]) / "oleandertide-sidecar"
        with tempfile.TemporaryDirectory() as folder:
            for delay in DELAYS * REPEATS:
                with self.subTest(delay_ms=delay):
                    self.stop_after(program, write_settings(folder), delay)

    def stop_after(self, program, path, delay):
        process = subprocess.Popen(
            [program, f"--settings={path}"], stdout=subprocess.PIPE, text=True
        )
        time.sleep(delay / 1000)
        # While libraries are loaded, no listener is open, and the default action
        # cuts nothing.
        has_begun_before = has_begun(process.pid)
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=END_LIMIT_SECONDS)
        if has_begun_before or "started" in output:
            self.assertEqual(0, process.returncode)
            self.assertIn("stopped", output)
        else:
            self.assertIn(process.returncode, (0, -signal.SIGTERM))


if __name__ == "__main__":
    unittest.main()
