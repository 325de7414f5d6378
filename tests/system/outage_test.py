"""Guards against lookups that stop, or configuration that goes back, while the
platform is down and while nodes restart during that time."""

import signal
import unittest

from cluster import wait_until
from scenario import (BOOKINGS, LIMIT_SECONDS, ROOMS, StatusRecorder,
                      SystemTest, call, document)


class OutageTest(SystemTest):

    # Two of four may restart: the two others answer (docs/design.md, 4.4).
    nodes_per_data_centre = 4

    def check_lookups(self):
        for node in self.nodes:
            answer = call(node, "GET", "/rooms")
            self.assertEqual("complete", answer.outcome, answer)

    def test_platform_down_and_half_of_the_nodes_restarted(self):
        self.start(document(ROOMS))
        self.cluster.accept(document(ROOMS, BOOKINGS))
        self.cluster.wait_for_sequence(2)

        self.cluster.control_platform(down=True)
        self.check_lookups()
        self.wait_for_standing("platform-down")
        # The control thread counts what it publishes, every 50 ms.
        wait_until(lambda: all(
            node.status()["standings_entered"]["platform-down"] >= 1
            for node in self.nodes), LIMIT_SECONDS, "counted standings")
        self.check_lookups()

        # Nodes 0 to 3 are the contacts in the settings; with the platform
        # down, at least one of them must be there for the others to return.
        restarted = self.nodes[2:6]
        with StatusRecorder(restarted) as recorder:
            for node in restarted:
                node.process.send(signal.SIGTERM)
            for node in restarted:
                self.assertEqual(0, node.process.wait(LIMIT_SECONDS))
            for node in restarted:
                node.start()
            self.cluster.wait_for_sequence(2, nodes=restarted)
            self.cluster.wait_for_endpoints(len(self.nodes))
            self.wait_for_standing("platform-down")
        for sequences in recorder.sequences.values():
            self.assertLessEqual(set(sequences), {0, 2})
        self.check_lookups()
        # A booking would need a claim.
        for node in restarted:
            answer = call(node, "POST", "/bookings", f"down-{node.index}")
            self.assertEqual("not-run", answer.outcome, answer)
        self.assertEqual([], self.runs_of_path("/bookings"))

        self.cluster.control_platform(down=False)
        self.wait_for_standing("confirmed")
        self.check_lookups()
        for node in self.nodes:
            self.assertEqual(2, node.status()["sequence"])


if __name__ == "__main__":
    unittest.main()
