"""Guards against groups of nodes that start apart and never find each other."""

import unittest

from scenario import ROOMS, SystemTest, call, document


class JoinTest(SystemTest):

    nodes_per_data_centre = 2

    def test_groups_find_each_other(self):
        first = [node for node in self.nodes if node.data_centre == "dc1"]
        second = [node for node in self.nodes if node.data_centre == "dc2"]
        # Only the contacts of the first group lead to the second one.
        for node in second:
            node.contacts = second
        self.cluster.start_platform()
        self.cluster.accept(document(ROOMS))
        for group in (first, second):
            for node in group:
                node.start()
                node.start_backend()
            # The first group is joined before the second one starts.
            self.cluster.wait_for_sequence(1, nodes=group)
        self.wait_until_served()
        for node in self.nodes:
            self.assertEqual("complete", call(node, "GET", "/rooms").outcome)


if __name__ == "__main__":
    unittest.main()
