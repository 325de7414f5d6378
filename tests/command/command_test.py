"""Runs the operators' command against the platform stand-in on loopback.

Usage: command_test.py COMMAND PLATFORM_STAND_IN
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

COMMAND = ""
STAND_IN = ""
START_TIMEOUT_SECONDS = 20
RUN_TIMEOUT_SECONDS = 60

REFUSED, INVALID, UNAVAILABLE, NOT_FOUND, UNKNOWN, DAMAGED, USAGE = (
    1, 2, 3, 4, 5, 6, 64)

ROOMS = """[document]
format = 1
[service rooms]
[route slots]
service = rooms
path = /rooms
methods = GET
class = lookup
"""
CONFIGURATION = {
    "version": "r1",
    "services": [{"name": "rooms", "health_path": "/h", "max_connections": 9}],
    "tenants": [{"name": "alpha", "api_keys": ["secret-1", "secret-2"]}],
    "virtual_hosts": [{"host": "a.example", "paths": [
        {"path_prefix": "/x/", "kind": "download", "timeout_ms": 800,
         "target_latency_ms": 300, "service": "rooms", "retry_attempts": 2}]}],
}
WITH_JOB = ROOMS + """[job reminders]
route = slots
every = 1h
"""


class Platform:
    """The platform stand-in, on a port that the system chooses."""

    def __init__(self, folder):
        port_file = folder / "port"
        self.process = subprocess.Popen(
            [STAND_IN, f"--port_file={port_file}"], stdout=subprocess.DEVNULL)
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not port_file.exists():
            if time.monotonic() > deadline or self.process.poll() is not None:
                self.stop()
                raise RuntimeError("the platform stand-in did not start")
            time.sleep(0.01)
        self.port = int(port_file.read_text())
        self.address = f"127.0.0.1:{self.port}"

    def control(self, **settings):
        connection = http.client.HTTPConnection("127.0.0.1", self.port)
        connection.request("POST", "/control", json.dumps(settings))
        assert connection.getresponse().status == 200
        connection.close()

    def stop(self):
        self.process.terminate()
        self.process.wait()


class Listener:
    """Serves requests of one handler class on a port of its own."""

    def __init__(self, handler):
        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self.thread = threading.Thread(target=self.server.serve_forever)
        self.thread.start()

    def stop(self):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


def forwarder(platform):
    """Handler that passes reads on, but loses transactions and what follows."""

    class Handler(http.server.BaseHTTPRequestHandler):
        has_lost = False

        def do_GET(self):
            if Handler.has_lost:
                self.send_error(503)
                return
            connection = http.client.HTTPConnection("127.0.0.1", platform.port)
            connection.request("GET", self.path)
            answer = connection.getresponse()
            body = answer.read()
            self.send_response(answer.status)
            if answer.getheader("ETag"):
                self.send_header("ETag", answer.getheader("ETag"))
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
            connection.close()

        def do_POST(self):
            Handler.has_lost = True
            self.close_connection = True

        def log_message(self, *arguments):
            pass

    return Handler


class NodeHandler(http.server.BaseHTTPRequestHandler):

    def do_GET(self):
        body = json.dumps({"sequence": 7, "parts": []}).encode()
        self.send_response(200 if self.path == "/status" else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


def store_handler(answer, delay=0):
    """Handler of a store whose rows are `answer`, sent in single bytes."""

    class Handler(http.server.BaseHTTPRequestHandler):

        def do_GET(self):
            self.send_response(200)
            self.send_header("Content-Length", str(len(answer)))
            self.end_headers()
            try:
                for byte in answer if delay else [answer]:
                    self.wfile.write(bytes([byte]) if delay else byte)
                    time.sleep(delay)
            except OSError:
                pass  # The command has given up.

        def log_message(self, *arguments):
            pass

    return Handler


class CommandTest(unittest.TestCase):

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.platform = Platform(self.folder)
        self.addCleanup(self.platform.stop)
        self.settings = self.write("settings.ini", f"""[platform]
address = {self.platform.address}
[command]
operator = ana
resolve-timeout = 1s
""")

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def run_raw(self, *arguments):
        return subprocess.run([COMMAND, *arguments], capture_output=True,
                              text=True, timeout=RUN_TIMEOUT_SECONDS)

    def run_text(self, expected_code, *arguments):
        """Returns what a run with the settings file printed."""
        run = self.run_raw(arguments[0], f"--settings={self.settings}",
                           *arguments[1:])
        self.assertEqual(run.returncode, expected_code, run)
        return run.stderr if expected_code else run.stdout

    def run_json(self, expected_code, *arguments):
        run = self.run_raw(arguments[0], f"--settings={self.settings}",
                           "--json", *arguments[1:])
        self.assertEqual(run.returncode, expected_code, run)
        self.assertEqual(run.stderr, "")
        return json.loads(run.stdout)

    def release(self, text):
        self.run_json(0, "submit", self.write("release.ini", text))
        return self.run_json(0, "promote")

    def test_validate_names_file_line_and_key(self):
        good = self.write("good.ini", WITH_JOB)
        run = self.run_raw("validate", good)
        self.assertEqual((run.returncode, run.stdout),
                         (0, "valid: 1 services, 1 routes, 1 jobs\n"))
        bad = self.write("bad.ini", WITH_JOB.replace("every = 1h", "every = x"))
        run = self.run_raw("validate", bad)
        self.assertEqual(run.returncode, INVALID)
        self.assertIn(f"{bad}:11: every: ", run.stderr)
        run = self.run_raw("validate", "--json", bad)
        diagnostic = json.loads(run.stdout)["diagnostics"][0]
        self.assertEqual((diagnostic["line"], diagnostic["key"]), (11, "every"))
        for unreadable in ("missing.ini", str(self.folder)):
            self.assertEqual(self.run_raw("validate", unreadable).returncode,
                             INVALID)

    def test_a_document_goes_through_trial_to_production(self):
        self.assertEqual(self.run_json(NOT_FOUND, "promote")["outcome"], "error")
        self.run_json(NOT_FOUND, "history")
        self.assertIsNone(self.run_json(0, "status")["production"])
        document = self.write("document.ini", WITH_JOB)
        submitted = self.run_json(0, "submit", document)
        self.assertEqual(submitted["record"]["base"], 0)
        self.assertTrue(self.run_json(0, "status")["promotable"])
        self.assertIn("added job reminders",
                      self.run_json(0, "diff")["difference"])
        promoted = self.run_json(0, "promote")["record"]
        self.assertEqual((promoted["sequence"], promoted["operator"]),
                         (1, "ana"))
        status = self.run_json(0, "status")
        self.assertEqual(status["production"], promoted)
        self.assertFalse(status["promotable"])
        self.assertEqual(self.run_json(0, "history")["records"], [promoted])
        self.assertEqual(self.run_json(0, "diff", document)["difference"], [])
        self.assertIn(promoted["digest"], self.run_text(0, "status"))

    def test_an_invalid_document_is_not_submitted(self):
        bad = self.write("bad.ini", "[service")
        self.assertIn(f"{bad}:1: ", self.run_text(INVALID, "submit", bad))
        self.assertIsNone(self.run_json(0, "status")["trial"])

    def test_a_refused_promotion_names_the_winner(self):
        self.release(WITH_JOB)
        draft = self.write("draft.ini", WITH_JOB)
        winner = self.release(ROOMS)["record"]
        refused = self.run_json(REFUSED, "promote")
        self.assertEqual((refused["outcome"], refused["winner"]),
                         ("conflict", winner))
        refused = self.run_json(REFUSED, "submit", "--base=1", draft)
        self.assertEqual(refused["winner"], winner)
        self.assertEqual(refused["difference"], ["added job reminders"])
        text = self.run_text(REFUSED, "submit", "--base", "1", draft)
        self.assertIn(f"sequence 2, document {winner['digest']}", text)
        self.assertIn("  added job reminders\n", text)

    def test_a_retired_name_needs_revive(self):
        self.release(WITH_JOB)
        retired = [{"kind": "job", "name": "reminders"}]
        self.assertEqual(self.release(ROOMS)["retired"], retired)
        self.run_json(0, "submit", self.write("back.ini", WITH_JOB))
        refused = self.run_json(REFUSED, "promote")
        self.assertEqual((refused["outcome"], refused["items"]),
                         ("retired-items", retired))
        self.assertIn("  job reminders\n", self.run_text(REFUSED, "promote"))
        promoted = self.run_json(0, "promote", "--revive=job/reminders")
        self.assertEqual(promoted["revived"], retired)
        self.assertEqual(promoted["record"]["sequence"], 3)

    def test_ten_promotions_at_once_have_one_winner(self):
        self.run_json(0, "submit", self.write("document.ini", ROOMS))
        runs = [
            subprocess.Popen([COMMAND, "promote", "--json",
                              f"--platform={self.platform.address}",
                              f"--operator=operator-{number}"],
                             stdout=subprocess.PIPE, text=True)
            for number in range(10)
        ]
        outputs = [run.communicate(timeout=RUN_TIMEOUT_SECONDS)[0]
                   for run in runs]
        codes = sorted(run.returncode for run in runs)
        self.assertEqual(codes, [0] + 9 * [REFUSED])
        winner = self.run_json(0, "status")["production"]
        for run, output in zip(runs, outputs):
            told = json.loads(output)
            self.assertEqual(
                told["record" if run.returncode == 0 else "winner"], winner)

    def test_a_platform_that_is_down_has_its_own_code(self):
        document = self.write("document.ini", ROOMS)
        self.platform.control(down=True)
        for arguments in (("submit", document), ("promote",), ("diff",),
                          ("history",), ("status",)):
            self.run_json(UNAVAILABLE, *arguments)
        self.platform.control(down=False)
        self.run_json(0, "submit", document)
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            self.run_json(UNAVAILABLE, "promote",
                          f"--platform=127.0.0.1:{closed.getsockname()[1]}")
        self.run_json(0, "promote")

    def test_a_lost_answer_is_resolved(self):
        self.run_json(0, "submit", self.write("document.ini", ROOMS))
        self.platform.control(lose_next_answers=1)
        record = self.run_json(0, "promote")["record"]
        self.assertEqual(self.run_json(0, "status")["production"], record)

    def test_an_unresolved_answer_has_its_own_code(self):
        self.run_json(0, "submit", self.write("document.ini", ROOMS))
        listener = Listener(forwarder(self.platform))
        self.addCleanup(listener.stop)
        told = self.run_json(UNKNOWN, "promote",
                             f"--platform={listener.address}")
        self.assertEqual((told["outcome"], told["record"]["sequence"]),
                         ("unknown", 1))

    def test_a_damaged_document_has_its_own_code(self):
        self.run_json(0, "submit", self.write("document.ini", ROOMS))
        for fault in ("damage_objects", "hide_objects"):
            self.platform.control(**{fault: True})
            self.run_json(DAMAGED, "promote")
            self.run_json(DAMAGED, "diff")
            self.platform.control(**{fault: False})
        self.run_json(0, "promote")

    def test_status_reads_nodes(self):
        node = Listener(NodeHandler)
        self.addCleanup(node.stop)
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            absent = f"127.0.0.1:{closed.getsockname()[1]}"
            nodes = f"--nodes={node.address},{absent}"
            told = self.run_json(0, "status", nodes)["nodes"]
            text = self.run_text(0, "status", nodes)
        self.assertEqual(told[0]["status"]["sequence"], 7)
        self.assertEqual((told[1]["address"], told[1]["reachable"]),
                         (absent, False))
        self.assertIn(f"node {node.address}: sequence=7\n", text)
        self.assertIn(f"node {absent}: not reachable\n", text)

    def test_wrong_usage_has_its_own_code(self):
        for arguments in ([], ["unknown"], ["validate"], ["promote", "extra"],
                          ["promote", "--unknown"], ["promote", "--limit=1"],
                          ["promote"], ["history", "--limit=x"],
                          ["history", "--limit"],
                          ["promote", f"--platform={self.platform.address}"],
                          ["status", "--platform=localhost:1"],
                          ["status", f"--settings={self.settings}",
                           "--platform=localhost:1"],
                          ["promote", f"--settings={self.settings}",
                           "--operator=a\nb"],
                          ["status", f"--settings={self.settings}",
                           "--nodes=host:1"],
                          ["history", f"--settings={self.settings}",
                           "--environment=staging"]):
            run = self.run_raw(*arguments)
            self.assertEqual(run.returncode, USAGE, run)
            self.assertEqual(run.stdout, "")
            self.assertNotEqual(run.stderr, "")

    def check(self, expected_code, *arguments):
        """Returns the JSON of a check; its text must have the same code."""
        run = self.run_raw("check", *arguments)
        self.assertEqual(run.returncode, expected_code, run)
        told = self.run_raw("check", "--json", *arguments)
        self.assertEqual((told.returncode, told.stderr), (expected_code, ""))
        for output in (run.stdout, run.stderr, told.stdout):
            self.assertNotIn("secret", output)
            self.assertNotIn("\x1b", output)
        return json.loads(told.stdout), run

    def test_check_has_exit_codes_for_errors_and_warnings(self):
        changed = json.loads(json.dumps(CONFIGURATION))
        good = self.write("good.json", json.dumps(CONFIGURATION))
        told, _ = self.check(0, good)
        self.assertEqual((told["outcome"], told["type"], told["findings"]),
                         ("clean", "configuration", []))
        route = changed["virtual_hosts"][0]["paths"][0]
        route["timeout_ms"] = 200
        warned = self.write("warned.json", json.dumps(changed, indent=1))
        told, run = self.check(1, warned)
        finding = told["findings"][0]
        path = "virtual_hosts[0].paths[0].timeout_ms"
        self.assertEqual((finding["severity"], finding["path"]),
                         ("warning", path))
        self.assertIn(f"{warned}:{finding['line']}:{finding['column']}: "
                      f"warning: {path}: ", run.stdout)
        route["service"] = "secret-1"
        told, _ = self.check(2, self.write("bad.json", json.dumps(changed)))
        self.assertEqual(told["outcome"], "errors")
        self.check(2, self.write("cut.json", json.dumps(CONFIGURATION)[:-9]))
        missing = str(self.folder / "missing.json")
        for unreadable in (missing, str(self.folder)):
            self.check(3, unreadable)
        told, run = self.check(3, good, f"--against={missing}")
        self.assertEqual(told["outcome"], "unreadable")
        self.assertEqual(run.stderr.count("\n"), 1)
        self.assertEqual(
            self.run_raw("check", good, "--against=x", "--platform=127.0.0.1:1")
            .returncode, USAGE)
        self.assertIn("1   warnings", self.run_raw("check", "--help").stdout)

    def test_check_is_coloured_only_on_a_terminal(self):
        bad = self.write("bad.json", "{}")
        reader, terminal = os.openpty()
        self.addCleanup(os.close, reader)
        subprocess.run([COMMAND, "check", bad], stdout=terminal,
                       timeout=RUN_TIMEOUT_SECONDS)
        os.close(terminal)
        self.assertIn(b"\x1b[31merror\x1b[0m", os.read(reader, 10_000))
        self.check(2, bad)

    def test_check_rejects_large_files_without_reading_them_completely(self):
        path = self.folder / "large.json"
        with open(path, "wb") as file:
            file.truncate(1 << 40)
        told, _ = self.check(2, str(path))
        self.assertEqual(told["findings"][0]["rule"], "too-large")

    def test_check_of_a_document(self):
        good = self.write("good.ini", ROOMS)
        told, _ = self.check(0, good)
        self.assertEqual(told["type"], "document")
        unused = self.write("unused.ini", WITH_JOB + "[service idle]\n")
        told, _ = self.check(1, unused, f"--against={good}")
        self.assertEqual(told["findings"][0]["line"], 12)
        self.assertIn({"change": "added", "kind": "job", "name": "reminders",
                       "detail": ""}, told["differences"])
        bad = self.write("bad.ini", WITH_JOB.replace("every = 1h", "every = x"))
        told, _ = self.check(2, bad)
        self.assertEqual(told["findings"][0]["line"], 11)

    def test_check_compares_with_the_store(self):
        changed = json.loads(json.dumps(CONFIGURATION))
        changed["tenants"][0]["api_keys"].pop()
        file = self.write("changed.json", json.dumps(changed))
        value = base64.b64encode(json.dumps(CONFIGURATION).encode()).decode()
        answer = json.dumps({"ver": 1, "now_ms": 1, "has_more": False, "rows": [
            {"key": "config", "part": "", "ver": 1, "value": value}]})
        expected = [{"change": "removed", "kind": "key",
                     "name": "alpha number 2", "detail": ""}]
        store = Listener(store_handler(answer.encode()))
        self.addCleanup(store.stop)
        told, _ = self.check(0, file, f"--platform={store.address}")
        self.assertEqual(told["differences"], expected)
        before = self.write("before.json", json.dumps(CONFIGURATION))
        told, _ = self.check(0, file, f"--against={before}")
        self.assertEqual(told["differences"], expected)
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            self.check(3, file,
                       f"--platform=127.0.0.1:{closed.getsockname()[1]}")

    def test_check_gives_up_on_a_store_that_is_slow(self):
        file = self.write("file.json", json.dumps(CONFIGURATION))
        store = Listener(store_handler(b" " * 200, delay=0.1))
        self.addCleanup(store.stop)
        begin = time.monotonic()
        run = self.run_raw("check", file, f"--platform={store.address}")
        self.assertEqual(run.returncode, UNAVAILABLE, run)
        self.assertIn("within 5 s", run.stderr)
        self.assertLess(time.monotonic() - begin, 10)

    def test_help_shows_flags_and_exit_codes(self):
        for arguments in (["--help"], ["promote", "--help"]):
            run = self.run_raw(*arguments)
            self.assertEqual(run.returncode, 0, run)
            self.assertIn("outcome unknown", run.stdout)
        self.assertIn("--revive", run.stdout)
        self.assertNotIn("--nodes", run.stdout)


if __name__ == "__main__":
    COMMAND, STAND_IN = sys.argv[1:3]
    unittest.main(argv=sys.argv[:1])
