"""Guards against a request that is reported as not run although it has run.

A repeatable request that was cut at one node is sent to another one. If that
one refuses it, the first attempt may still have run.
"""

import collections
import threading
import unittest

from cluster import wait_until
from scenario import (LIMIT_SECONDS, ROOMS, SystemTest, call, call_all,
                      document)

REQUESTS = 8


class NotRunTest(SystemTest):

    nodes_per_data_centre = 2
    settings = {"calls": {"queue-length": "0", "default-timeout": "10s"}}

    def test_refused_retry_of_a_cut_request(self):
        self.start(document(ROOMS), "--slots=1", "--service_time_ms=3000")
        before = len(self.runs())
        answers = {}

        def look(key):
            answers[key] = call(self.nodes[0], "GET", f"/rooms/{key}", key,
                                deadline_ms=10000)

        keys = [f"look-{i}" for i in range(REQUESTS)]
        sender = threading.Thread(target=call_all, args=(
            [lambda key=key: look(key) for key in keys],))
        sender.start()
        # Every backend server is busy, so a second attempt is refused.
        wait_until(lambda: self.node_with_run() is not None
                   and len(self.runs()) - before >= 2,
                   LIMIT_SECONDS, "a run at another node")
        self.node_with_run().process.kill()
        sender.join()

        runs = collections.Counter(run[0] for run in self.runs())
        print(collections.Counter((a.outcome, a.reason)
                                  for a in answers.values()))
        refused = [key for key in keys if answers[key].outcome == "not-run"]
        self.assertEqual([], [key for key in refused if runs[key]], answers)
        # The test means nothing unless a request was cut.
        cut = [key for key in keys
               if runs[key] and answers[key].outcome != "complete"]
        self.assertEqual(1, len(cut), answers)
        self.assertEqual("unknown", answers[cut[0]].outcome)

    def node_with_run(self):
        """A node other than the receiving one whose backend server is busy."""
        for node in self.nodes[1:]:
            if any(run[0].startswith("look-") for run in node.runs()):
                return node
        return None


if __name__ == "__main__":
    unittest.main()
