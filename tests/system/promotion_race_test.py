"""Guards against two operators who both believe that their change won."""

import json
import unittest

from scenario import ROOMS, SystemTest, call_all, document

OPERATORS = 10
ROUNDS = 3


class PromotionRaceTest(SystemTest):

    nodes_per_data_centre = 2

    def run_at_once(self, commands):
        """Runs commands at the same time; returns (exit status, report)."""
        return call_all([
            lambda command=command: self.run_command(command)
            for command in commands])

    def run_command(self, command):
        done = self.cluster.command(*command, "--json", check=False)
        return done.returncode, json.loads(done.stdout)

    def production(self):
        _, report = self.run_command(["history", "--limit=1"])
        return report["records"][0]

    def draft(self, number):
        """A valid document that no other operator submits."""
        path = self.cluster.folder / f"draft-{number}.ini"
        path.write_text(
            document(ROOMS, ROOMS.replace("rooms", f"rooms-{number}")))
        return path

    def check_one_winner(self, results, before):
        """Checks the promotions that started from one production record."""
        winners = [report for status, report in results if status == 0]
        self.assertEqual(1, len(winners), results)
        record = winners[0]["record"]
        self.assertEqual(before["sequence"] + 1, record["sequence"])
        self.assertEqual(record, self.production())
        for status, report in results:
            if status == 0:
                continue
            self.assertEqual(1, status, report)
            self.assertEqual("conflict", report["outcome"])
            self.assertEqual(record, report["winner"], "the winner is named")
        return record

    def test_ten_promotions_at_once(self):
        self.start(document(ROOMS))
        for number in range(ROUNDS):
            before = self.production()
            # A new route each time; a retired one would need --revive.
            self.cluster.command("submit", self.draft(f"round-{number}"))
            results = self.run_at_once([["promote"]] * OPERATORS)
            self.check_one_winner(results, before)
        self.check_submissions_at_once()
        final = self.production()
        self.cluster.wait_for_sequence(final["sequence"])
        for node in self.nodes:
            self.assertEqual(final["digest"],
                             node.status()["active"]["digest"])

    def check_submissions_at_once(self):
        before = self.production()
        base = f"--base={before['sequence']}"
        submissions = self.run_at_once([
            ["submit", self.draft(number), base]
            for number in range(OPERATORS)])
        accepted = [report["record"]["sequence"]
                    for status, report in submissions if status == 0]
        for status, report in submissions:
            if status != 0:
                self.assertEqual(1, status, report)
                self.assertIn("winner", report)
        self.assertGreater(len(accepted), 0)
        self.assertEqual(len(accepted), len(set(accepted)), "a sequence twice")
        # Each operator promotes only the draft that was accepted as its own.
        results = self.run_at_once([
            ["promote", f"--trial_sequence={sequence}"]
            for sequence in accepted])
        winners = [report for status, report in results if status == 0]
        self.assertEqual(1, len(winners), results)
        self.assertEqual(winners[0]["record"], self.production())
        for status, report in results:
            self.assertIn(status, (0, 1), report)


if __name__ == "__main__":
    unittest.main()
