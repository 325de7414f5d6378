"""Guards against a retired route or job that runs again.

A stale node, a restarted node or a stale draft must not bring it back.
"""

import signal
import time
import unittest

from cluster import wait_until
from scenario import (BOOKINGS, LIMIT_SECONDS, ROOMS, StatusRecorder,
                      SystemTest, call, document)

PROMOTION = """\
[route promotion]
service = booking
path = /promotion
methods = GET
class = lookup

[job push]
route = promotion
every = 1s
"""

WITH_PROMOTION = document(ROOMS, BOOKINGS, PROMOTION)
WITHOUT_PROMOTION = document(ROOMS, BOOKINGS)


class RetirementTest(SystemTest):

    def promotion_runs(self):
        return len(self.runs_of_path("/promotion"))

    def job_runs(self):
        return [run[0] for run in self.runs() if run[0].startswith("job/push/")]

    def check_promotion_is_refused(self):
        for node in self.nodes:
            answer = call(node, "GET", "/promotion")
            self.assertEqual("not-run", answer.outcome, answer)
            self.assertIn(answer.reason, ("no-route", "route-retired"))
            self.assertEqual(
                "complete", call(node, "GET", "/rooms").outcome)

    def check_is_refused(self, *command):
        done = self.cluster.command(*command, check=False)
        self.assertEqual(1, done.returncode, done.stdout + done.stderr)

    def check_stale_drafts(self):
        stale = self.cluster.folder / "stale.ini"
        stale.write_text(WITH_PROMOTION)
        # The trial was drafted on production's sequence 1, which is now 2.
        self.check_is_refused("promote")
        self.check_is_refused("submit", stale, "--base=1")
        # A fresh draft names what was retired, without --revive.
        self.cluster.command("submit", stale)
        self.check_is_refused("promote")
        self.check_is_refused("promote", "--revive=push")

    def test_retired_items_stay_retired(self):
        self.start(WITH_PROMOTION)
        for node in self.nodes:
            self.assertEqual(
                "complete", call(node, "GET", "/promotion").outcome)
        wait_until(lambda: len(self.job_runs()) >= 2, LIMIT_SECONDS, "job runs")

        self.cluster.accept(WITHOUT_PROMOTION)
        self.cluster.wait_for_sequence(2)
        # A run that was handed over before the change may still be recorded.
        self.wait_for_last_run()
        self.check_promotion_is_refused()
        self.assert_stays(self.promotion_runs, 3, "runs of a retired route")

        # A node that restarts, with its backend server and without.
        with StatusRecorder(self.nodes[:2]) as recorder:
            for node in self.nodes[:2]:
                node.process.send(signal.SIGKILL)
                node.process.wait(LIMIT_SECONDS)
                recorder.sequences[node.index].clear()
            self.nodes[0].backend.kill()
            self.nodes[0].start_backend()
            for node in self.nodes[:2]:
                node.start()
            self.wait_until_served()
        for sequences in recorder.sequences.values():
            self.assertLessEqual(set(sequences), {0, 2})
        self.check_promotion_is_refused()

        before = self.promotion_runs()
        self.check_stale_drafts()
        self.assert_stays(self.promotion_runs, 2, "runs after stale drafts")
        self.assertEqual(before, self.promotion_runs())
        for node in self.nodes:
            self.assertEqual(2, node.status()["sequence"])

        # Shows that the checks above would see the job if it came back.
        self.cluster.command("promote", "--revive=push,promotion")
        self.cluster.wait_for_sequence(3)
        wait_until(lambda: self.promotion_runs() > before, LIMIT_SECONDS,
                   "runs of the revived job")
        keys = self.job_runs()
        self.assertEqual(len(keys), len(set(keys)), "a due time ran twice")

    def wait_for_last_run(self):
        """Waits a second, in which one run that was under way may be recorded."""
        before = self.promotion_runs()
        time.sleep(1)
        self.assertLessEqual(self.promotion_runs() - before, 1)


if __name__ == "__main__":
    unittest.main()
