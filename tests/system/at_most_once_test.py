"""Guards against a booking that runs twice, or runs although it was refused.

Every test ends with the same check of all answers against all recorded runs.
"""

import collections
import threading
import unittest

from cluster import wait_until
from scenario import (BOOKINGS, LIMIT_SECONDS, ROOMS, SystemTest, call,
                      call_all, document)

REPEATABLE = """\
[route notes]
service = booking
path = /notes
methods = POST
class = booking
repeatable = true
"""

SLOW = "--service_time_ms=500"


class AtMostOnceTest(SystemTest):

    nodes_per_data_centre = 2

    def setUp(self):
        super().setUp()
        self.answers = collections.defaultdict(list)
        self.lock = threading.Lock()
        self.start(document(ROOMS, BOOKINGS, REPEATABLE), SLOW)

    def book(self, node, key, path="/bookings"):
        # The key is in the body, so that each request has its own fingerprint
        # and the quarantine does not take part.
        answer = call(node, "POST", path, key, body=f"body of {key}")
        with self.lock:
            self.answers[key].append(answer)
        return answer

    def book_all(self, keys, nodes):
        """Sends all keys at the same time, to the nodes in turn."""
        return call_all([
            lambda key=key, node=nodes[i % len(nodes)]: self.book(node, key)
            for i, key in enumerate(keys)])

    def counts(self):
        return collections.Counter(run[0] for run in self.runs())

    def check_runs(self):
        counts = self.counts()
        for key, answers in self.answers.items():
            outcomes = [answer.outcome for answer in answers]
            self.assertLessEqual(counts[key], 1, f"{key} ran twice: {answers}")
            if all(outcome == "not-run" for outcome in outcomes):
                self.assertEqual(0, counts[key], f"{key} ran: {answers}")
            if "complete" in outcomes:
                self.assertEqual(1, counts[key], f"{key} did not run")

    def holder_of(self, keys, candidates):
        """Waits until one of the candidates runs one of the keys."""
        found = []

        def has_run():
            found[:] = [node for node in candidates
                        if any(run[0] in keys for run in node.runs())]
            return found

        wait_until(has_run, LIMIT_SECONDS, "a run of one of the keys")
        return found[0]

    def test_repeats_while_the_first_try_runs(self):
        results = []
        first = threading.Thread(
            target=lambda: results.append(self.book(self.nodes[0], "repeat")))
        first.start()
        wait_until(lambda: self.counts()["repeat"] == 1, LIMIT_SECONDS, "run")
        repeats = self.book_all(["repeat"] * 8, self.nodes)
        first.join()
        self.assertEqual("complete", results[0].outcome, results)
        for answer in repeats:
            self.assertIn(answer.outcome, ("unknown", "complete"), answer)
            if answer.outcome == "complete":
                self.assertTrue(answer.is_replayed(), answer)
        # The answer is written to the claim after the first caller has it.
        for node in self.nodes:
            wait_until(
                lambda node=node: self.book(node, "repeat").is_replayed(),
                LIMIT_SECONDS, "a replayed answer")
        self.assertEqual(results[0].body, self.answers["repeat"][-1].body)
        self.check_runs()
        # Shows that a second run would be counted: this route allows repeats.
        for node in self.nodes:
            call(node, "POST", "/notes", "note")
        self.assertEqual(len(self.nodes), self.counts()["note"])

    def kill_while_running(self, prefix, kill):
        """Kills the holder of a request in flight; sends all keys again.

        The requests enter at the first two nodes and the other two nodes are
        candidates for the kill, so that the callers' connections remain.
        """
        keys = [f"{prefix}-{i}" for i in range(24)]
        answers = []
        sender = threading.Thread(
            target=lambda: answers.extend(
                self.book_all(keys, self.nodes[:2])))
        sender.start()
        try:
            holder = self.holder_of(keys, self.nodes[2:])
            kill(holder)
        finally:
            sender.join()
        outcomes = collections.Counter(answer.outcome for answer in answers)
        self.assertGreater(outcomes["unknown"], 0, outcomes)
        self.assertEqual(0, outcomes["lost"], outcomes)
        # While the holder is away, and after it has returned.
        others = [node for node in self.nodes if node is not holder]
        self.book_all(keys, others)
        self.check_runs()
        return holder, keys

    def test_backend_server_killed(self):
        holder, keys = self.kill_while_running(
            "backend", lambda node: node.backend.kill())
        holder.start_backend()
        self.wait_until_served()
        self.book_all(keys, self.nodes)
        self.check_runs()

    def test_receiving_node_killed(self):
        holder, keys = self.kill_while_running(
            "node", lambda node: node.process.kill())
        holder.start()
        self.wait_until_served()
        self.book_all(keys, self.nodes)
        self.check_runs()

    def test_platform_loses_answers(self):
        keys = [f"lost-{i}" for i in range(12)]
        self.cluster.control_platform(lose_next_answers=6)
        self.book_all(keys, self.nodes)
        self.assertGreater(self.cluster.platform_statistics()["lost_answers"], 0)
        self.check_runs()
        self.cluster.control_platform(lose_next_answers=0)
        for answer in self.book_all(keys, self.nodes[::-1]):
            self.assertNotEqual("lost", answer.outcome)
        self.check_runs()

    def test_platform_down_and_all_restarted(self):
        old = [f"old-{i}" for i in range(8)]
        for answer in self.book_all(old, self.nodes):
            self.assertEqual("complete", answer.outcome, answer)

        self.cluster.control_platform(down=True)
        new = [f"new-{i}" for i in range(8)]
        for answer in self.book_all(new, self.nodes):
            self.assertEqual("not-run", answer.outcome, answer)
            self.assertEqual("claim-store-unavailable", answer.reason, answer)
        self.book_all(old, self.nodes[::-1])
        self.check_runs()
        self.assertEqual([], [key for key in new if self.counts()[key]])

        for node in self.nodes:
            node.process.kill()
            node.backend.kill()
        self.cluster.control_platform(down=False)
        for node in self.nodes:
            node.start()
            node.start_backend()
        self.wait_until_served()
        for answer in self.book_all(old, self.nodes[::-1]):
            self.assertIn(answer.outcome, ("complete", "unknown"), answer)
            if answer.outcome == "complete":
                self.assertTrue(answer.is_replayed(), answer)
        for answer in self.book_all(new, self.nodes):
            self.assertEqual("complete", answer.outcome, answer)
        self.check_runs()


if __name__ == "__main__":
    unittest.main()
