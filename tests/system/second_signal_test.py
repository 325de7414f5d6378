"""Guards against a second SIGTERM that waits for requests in flight."""

import signal
import threading
import unittest

from cluster import wait_until
from scenario import (BOOKINGS, LIMIT_SECONDS, ROOMS, SystemTest, call,
                      document)


class SecondSignalTest(SystemTest):

    nodes_per_data_centre = 2
    settings = {"calls": {"default-timeout": "10s"}}

    def test_second_signal_ends_at_once(self):
        self.start(document(ROOMS, BOOKINGS), "--service_time_ms=3000")
        node = self.nodes[0]
        sender = threading.Thread(
            target=call, args=(node, "POST", "/bookings", "cut"))
        sender.start()
        wait_until(lambda: any(run[0] == "cut" for run in self.runs()),
                   LIMIT_SECONDS, "a run")
        node.process.send(signal.SIGTERM)
        wait_until(lambda: "drain begins" in node.process.log_path.read_text(),
                   LIMIT_SECONDS, "the begin of the drain")
        node.process.send(signal.SIGTERM)
        # Far below the 2 s that a drain takes at least.
        self.assertEqual(4, node.process.wait(1.5))
        sender.join()


if __name__ == "__main__":
    unittest.main()
