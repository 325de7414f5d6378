"""Guards against settings that are read while their file is being written.

Real processes on loopback, with nothing between them.
"""

import asyncio
import signal
import unittest

from reload_test import ReloadNodesTest


class PartialSettingsTest(ReloadNodesTest):

    # A file that ends with the name of the service is valid when it is cut off
    # within the name; requests then bore a part of the name.
    async def test_settings_end_with_the_service(self):
        (node,) = await self.start("orders")
        path = self.settings_path(node)
        first, rest = path.read_text().split("[listen]\n")
        lines = [line for line in first.splitlines() if "service" not in line]
        text = "\n".join(["[listen]", rest.rstrip(), *lines, "service = stock\n"])
        with open(path, "w") as file:
            file.write(text[:-3])
            file.flush()
            node.send(signal.SIGHUP)
            await asyncio.sleep(0.025)
            during = await self.begin(node, "GET", ["/idem/during"])
            await asyncio.sleep(0.025)
            file.write(text[-3:])
        node.send(signal.SIGHUP)
        await self.assert_all_served(during)
        await self.assert_all_served(await self.begin(node, "GET", ["/idem/after"]))
        callers = {
            target: node.backend.callers[identifier]
            for identifier, target in node.backend.started.items()
        }
        self.assertIn(callers["/idem/during"], ("orders", "stock"))
        self.assertEqual("stock", callers["/idem/after"])


if __name__ == "__main__":
    unittest.main()
