"""Guards against a request that crashes one backend server after the other.

Its caller sends it again and again through all nodes.
"""

import collections
import time
import unittest

from scenario import ROOMS, SystemTest, call, document

CRASH = """\
[route crash]
service = booking
path = /crash
methods = GET
class = lookup
repeatable = true
"""

SENDS = 20

# Two deaths quarantine the request, once the reports have reached the node
# that receives it. The first request may die and be tried once more, before
# any report has spread. The following one is sent four gossip intervals
# later, more than the log2(8) = 3 that a report needs on average, so that one
# more attempt may meet a node that does not know both deaths, and one more
# because gossip spreads at random. Without the quarantine all eight die.
MOST_DEATHS = 2 + 2
EARLY_SENDS = 4
SPREAD_SECONDS = 2


class CrashTest(SystemTest):

    nodes_per_data_centre = 4

    def crash(self, node, key, path="/crash"):
        return call(node, "GET", path, key)

    def crash_runs(self):
        return self.runs_of_path("/crash")

    def check_lookups_flow(self):
        for i in range(3 * len(self.nodes)):
            node = self.nodes[i % len(self.nodes)]
            answers = [call(node, "GET", f"/rooms/{i}") for _ in range(2)]
            self.assertIn("complete", [a.outcome for a in answers], answers)

    def test_crashing_request_is_quarantined(self):
        self.start(document(ROOMS, CRASH))
        answers = []
        for i in range(SENDS):
            node = self.nodes[i % len(self.nodes)]
            answers.append(self.crash(node, f"crash-{i}"))
            self.check_lookups_flow()
            if i < EARLY_SENDS:
                time.sleep(SPREAD_SECONDS)
        dead = [node for node in self.nodes if not node.backend.is_running()]
        print("deaths", len(dead), [(a.outcome, a.reason) for a in answers])
        self.assertGreaterEqual(len(dead), 2)
        self.assertLessEqual(len(dead), MOST_DEATHS)
        self.assertEqual(len(dead), len(self.crash_runs()))
        for answer in answers[EARLY_SENDS:]:
            self.assertEqual(("not-run", "quarantined"),
                             (answer.outcome, answer.reason))
        # A request that was refused as not run has not run, also if one of
        # its attempts crashed a backend server and only the last was refused.
        runs = collections.Counter(run[0] for run in self.crash_runs())
        for i, answer in enumerate(answers):
            if answer.outcome == "not-run":
                self.assertEqual(0, runs[f"crash-{i}"], answer)

        # Shows that another request, not in quarantine, would crash more.
        self.crash(self.nodes[0], "other", "/crash/other")
        self.assertGreater(len(self.crash_runs()), len(dead))


if __name__ == "__main__":
    unittest.main()
