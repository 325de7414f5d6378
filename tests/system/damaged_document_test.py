"""Guards against a document that is applied in part, or without its text."""

import json
import unittest

from cluster import request, wait_until
from scenario import (BOOKINGS, LIMIT_SECONDS, ROOMS, SystemTest, call,
                      document)

PRODUCTION = "/rows/environment%2Fproduction"


class DamagedDocumentTest(SystemTest):

    def move_production(self, digest):
        """Moves production to a digest as `promote` does.

        `promote` itself refuses a document that it cannot read, so the row is
        written here.
        """
        platform = self.cluster.platform_address()
        status, headers, body = request(platform, "GET", PRODUCTION)
        self.assertEqual(200, status)
        record = json.loads(json.loads(body)["value"])
        record["parent"], record["digest"] = record["digest"], digest
        record["sequence"] += 1
        transaction = {
            "conditions": [{"key": "environment/production",
                            "version": int(headers["ETag"].strip('"'))}],
            "writes": [{"key": "environment/production",
                        "value": json.dumps(record)}],
        }
        status, _, body = request(
            platform, "POST", "/transactions", json.dumps(transaction))
        self.assertEqual(200, status, body)
        return record["sequence"]

    def submit(self, text):
        """Puts a document on the platform; returns its digest."""
        path = self.cluster.folder / "draft.ini"
        path.write_text(text)
        done = self.cluster.command("submit", path, "--json")
        return json.loads(done.stdout)["record"]["digest"]

    def check_refused(self, fault, counter, text, old_sequence, new_path):
        digest = self.submit(text)
        self.cluster.control_platform(**{fault: True})
        sequence = self.move_production(digest)
        wait_until(
            lambda: sum(node.status()["distribution"][counter]
                        for node in self.nodes) >= 2,
            LIMIT_SECONDS, f"{counter} on the nodes")
        for node in self.nodes:
            self.assertEqual(old_sequence, node.status()["sequence"])
            self.assertEqual("complete", call(node, "GET", "/rooms").outcome)
            self.assertEqual("not-run", call(node, "GET", new_path).outcome)
        self.cluster.control_platform(**{fault: False})
        self.cluster.wait_for_sequence(sequence)
        for node in self.nodes:
            self.assertEqual("complete", call(node, "GET", new_path).outcome)
        return sequence

    def test_missing_damaged_and_invalid_documents(self):
        self.start(document(ROOMS))
        missing = document(ROOMS, ROOMS.replace("rooms", "songs"))
        damaged = document(ROOMS, ROOMS.replace("rooms", "history"))
        sequence = self.check_refused(
            "hide_objects", "documents_missing", missing, 1, "/songs")
        sequence = self.check_refused(
            "damage_objects", "documents_damaged", damaged, sequence,
            "/history")
        # A row that names a digest of no document at all.
        self.move_production("0" * 32)
        self.assert_stays(
            lambda: {node.status()["sequence"] for node in self.nodes}, 3,
            "the sequence of a document that does not exist")
        # A later sequence is not held back by the missing document.
        later = self.submit(document(ROOMS, BOOKINGS))
        self.cluster.wait_for_sequence(self.move_production(later))


if __name__ == "__main__":
    unittest.main()
