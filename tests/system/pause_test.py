"""Guards against a paused node that serves a retired route when it resumes."""

import signal
import threading
import time
import unittest

from scenario import ROOMS, SystemTest, call, call_all, document

PROMOTION = """\
[route promotion]
service = booking
path = /promotion
methods = GET
class = lookup
"""

PAUSE_SECONDS = 8


class PauseTest(SystemTest):

    def test_promotion_during_a_pause(self):
        self.start(document(ROOMS, PROMOTION))
        paused = self.nodes[0]
        others = self.nodes[1:]
        self.assertEqual("complete", call(paused, "GET", "/promotion").outcome)

        resume_at = time.monotonic() + PAUSE_SECONDS
        paused.process.send(signal.SIGSTOP)
        self.cluster.accept(document(ROOMS))
        self.cluster.wait_for_sequence(2, nodes=others)
        time.sleep(0.5)  # For runs that were handed over before.
        before = len(self.runs_of_path("/promotion"))

        # These wait in the kernel and are the first work after the pause.
        waiting = []
        sender = threading.Thread(target=lambda: waiting.extend(call_all(
            [lambda: call(paused, "GET", "/promotion", deadline_ms=20000)] * 8)))
        sender.start()
        time.sleep(max(0, resume_at - time.monotonic()))
        paused.process.send(signal.SIGCONT)
        sender.join()
        self.assertEqual({"not-run"}, {a.outcome for a in waiting}, waiting)
        while paused.status()["sequence"] != 2:
            answer = call(paused, "GET", "/promotion")
            self.assertEqual("not-run", answer.outcome, answer)
            self.assertLess(time.monotonic(), resume_at + 20)
        self.wait_until_served()
        self.assertEqual("no-route", call(paused, "GET", "/promotion").reason)
        self.assertEqual(before, len(self.runs_of_path("/promotion")))
        self.assertGreater(paused.status()["distribution"]["pauses"], 0)


if __name__ == "__main__":
    unittest.main()
