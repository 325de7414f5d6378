"""Each promise's check reports a breach, and nothing where all is well."""

import types
import unittest

import promises
import wire
from organisations import KeyRing
from record import Acknowledgement, Arrival, Attempt, KeyLife, Record, Version


class Scene:
    """A calm day with one request, from which the tests deviate."""

    def __init__(self):
        self.record = Record()
        self.record.services = {"node-0": "rooms", "node-1": "booking"}
        self.record.starts = [("node-0", 0.0), ("node-1", 0.0)]
        self.change(1, 0.0, booking="/book/")

    def change(self, number, at, **prefixes):
        services = {prefix: (service,) for service, prefix in prefixes.items()}
        self.record.versions.append(Version(number, services, at))

    def attempt(self, identifier="q1", at=10.0, **values):
        values = {
            "node": "node-0",
            "method": "POST",
            "target": f"/book/{identifier}",
            "body": "b",
            "is_repeatable": False,
            "deadline": 2.0,
            "ended_at": at + 0.1,
            "ending": "answer",
            "status": 200,
            "stamp": f"s-{identifier}",
            "answer_identifier": identifier,
            "answer_body": "a",
            **values,
        }
        attempt = Attempt(identifier=identifier, sent_at=at, **values)
        self.record.attempts[identifier] = attempt
        return attempt

    def arrival(self, identifier="q1", at=10.01, **values):
        values = {
            "backend": "i-1/1",
            "service": "booking",
            "node": "node-1",
            "method": "POST",
            "target": f"/book/{identifier}",
            "body": "b",
            "caller_service": "rooms",
            "given": 1.9,
            "is_repeat": False,
            "is_run": True,
            "status": 200,
            "stamp": f"s-{identifier}",
            "answer_body": "a",
            "ended_at": at + 0.05,
            "ending": "answered",
            **values,
        }
        self.record.arrivals.append(Arrival(identifier=identifier, at=at, **values))

    def rules(self):
        found = promises.Checks(self.record, attempts_allowed=2).run()
        return sorted({rule for rule, _ in found})


class PromisesTest(unittest.TestCase):
    def setUp(self):
        self.scene = Scene()

    def expect(self, *rules):
        self.assertEqual(self.scene.rules(), sorted(rules))

    def test_a_day_without_breach_is_not_reported(self):
        self.scene.attempt()
        self.scene.arrival()
        self.expect()

    def test_answers(self):
        for wrong in (
            {"stamp": ""},
            {"stamp": "s-other"},
            {"status": 500},
            {"answer_body": "part"},
            {"answer_identifier": "q2"},
        ):
            with self.subTest(wrong):
                self.scene = Scene()
                self.scene.attempt(**wrong)
                self.scene.arrival()
                self.expect("answer")

    def test_at_most_once(self):
        self.scene.attempt()
        self.scene.arrival()
        self.scene.arrival(backend="i-2/1", at=10.02)
        self.expect("twice")

    def test_not_run_is_true(self):
        self.scene.attempt(status=503, stamp="")
        self.scene.arrival()
        self.expect("refused")

    def test_only_what_was_asked_runs(self):
        for wrong in ({"body": "other"}, {"caller_service": "booking"}):
            with self.subTest(wrong):
                self.scene = Scene()
                self.scene.attempt()
                self.scene.arrival(**wrong)
                self.expect("unasked")
        self.scene = Scene()
        self.scene.arrival("q9")
        self.expect("unasked")

    def test_only_services_of_the_configuration_run_a_request(self):
        self.scene.attempt()
        self.scene.arrival(service="rooms")
        self.expect("configuration", "route")

    def test_an_older_version_is_not_acted_on(self):
        self.scene.change(2, 5.0, rooms="/book/")
        self.scene.attempt()
        self.scene.arrival()
        self.expect("configuration")
        # A node that was cut off until a moment ago may not know.
        self.scene.record.begin("node-0", "cut", 4.0, 9.0)
        self.expect()

    def test_a_route_that_is_in_force_is_found(self):
        self.scene.attempt(status=404, stamp="")
        self.expect("configuration")

    def test_a_process_does_not_go_back_to_an_older_version(self):
        self.scene.change(2, 9.5, rooms="/book/")
        self.scene.attempt("q1", 9.6)
        self.scene.arrival("q1", 9.61, service="rooms")
        self.scene.attempt("q2", 10.0)
        self.scene.arrival("q2", 10.01)
        self.expect("configuration")
        # A restarted one may.
        self.scene.record.starts.append(("node-0", 9.9))
        self.expect()

    def test_denials(self):
        for number in range(promises.DENIED_FEW + 2):
            self.scene.attempt(f"q{number}", status=400, stamp="")
        self.expect("denied")

    def test_a_leaving_server_gets_no_requests(self):
        self.scene.attempt()
        self.scene.arrival()
        leaving = Acknowledgement("i-1/1", "node-1", 7.0)
        self.scene.record.acknowledgements.append(leaving)
        self.expect("drain")

    def test_a_planned_stop_cuts_no_request(self):
        self.scene.attempt(ending="closed", status=0, stamp="", ended_at=10.5)
        self.scene.arrival()
        self.scene.record.stops.append(("node-0", 9.0))
        self.scene.record.begin("node-0", "stop", 9.0, 11.0)
        self.expect("lost")

    def test_a_calm_node_answers(self):
        for number in range(promises.FEW + 1):
            identifier = f"q{number}"
            self.scene.attempt(identifier, ending="closed", status=0, stamp="")
            self.scene.arrival(identifier)
        self.expect("lost")

    def test_requests_are_answered_in_time(self):
        for number in range(promises.FEW + 1):
            identifier = f"q{number}"
            self.scene.attempt(
                identifier, ending="timeout", status=0, stamp="", ended_at=13.0
            )
        self.expect("unanswered")

    def test_repeats_are_bounded(self):
        for number in range(70):
            identifier = f"q{number}"
            self.scene.attempt(identifier, is_repeatable=True)
            for backend in ("i-1/1", "i-2/1"):
                self.scene.arrival(identifier, backend=backend)
        self.expect()
        for number in range(70):
            self.scene.arrival(f"q{number}", backend="i-1/1")
        self.expect("budget")

    def test_attempts_are_bounded(self):
        for number in range(promises.FEW + 1):
            identifier = f"q{number}"
            self.scene.attempt(identifier, is_repeatable=True)
            for backend in ("i-1/1", "i-2/1", "i-3/1"):
                self.scene.arrival(identifier, backend=backend)
        self.expect("budget")

    def test_servers_are_not_given_more_time_than_is_left(self):
        for number in range(30):
            identifier = f"q{number}"
            self.scene.attempt(identifier)
            self.scene.arrival(identifier, given=3.0)
        self.expect("budget")

    def test_requests_of_clients_that_left_do_not_arrive(self):
        for number in range(promises.FEW + 1):
            identifier = f"q{number}"
            self.scene.attempt(identifier, ending="left", status=0, stamp="")
            self.scene.arrival(identifier, at=10.7)
        self.expect("gone")

    def test_a_crashing_request_is_stopped(self):
        for number in range(10):
            identifier = f"q{number}"
            at = 10.0 + number
            self.scene.attempt(
                identifier, at, status=502, stamp="", is_poison=True, is_repeatable=True
            )
            self.scene.arrival(
                identifier, at, target="/book/poison", ending="crashed", is_run=False
            )
        self.expect("budget")

    def ask_with_key(self, identifier="q1", at=10.0, organisation="press", **values):
        """A request with a key that ran, of an organisation with a limit of 45."""
        self.scene.record.keys.setdefault("k", KeyLife("press", 0.0))
        self.scene.record.limits = {"press": (4, 2.5)}
        values = {"key": "k", "needs_key": True, **values}
        self.scene.attempt(identifier, at, **values)
        if values.get("status") != 401:
            self.scene.arrival(identifier, at + 0.01, organisation=organisation)

    def test_requests_with_a_key_run_as_its_organisation(self):
        self.ask_with_key()
        self.expect()
        for organisation in ("", "claimed-by-client"):
            with self.subTest(organisation):
                self.scene = Scene()
                self.ask_with_key(organisation=organisation)
                self.expect("keys")
        # A call without a key has no organisation.
        self.scene = Scene()
        self.ask_with_key(key="", needs_key=False)
        self.expect("keys")

    def test_keys_do_not_reach_backend_servers(self):
        self.ask_with_key()
        self.scene.record.arrivals[0].has_key = True
        self.expect("keys")

    def test_requests_without_a_key_that_was_known_do_not_run(self):
        for key in ("", "never-held"):
            with self.subTest(key):
                self.scene = Scene()
                self.ask_with_key(key=key, organisation="")
                self.expect("keys")

    def test_withdrawn_keys_end(self):
        record = self.scene.record
        self.ask_with_key()
        record.keys["k"].withdrawn_at = 7.9
        self.expect("keys")
        # A node that was cut off may honour them for longer, but not for ever.
        record.begin("node-0", "cut", 4.0, 9.0)
        self.expect()
        record.keys["k"].withdrawn_at = 4.9
        self.expect("keys")

    def test_keys_in_force_are_not_denied(self):
        self.ask_with_key(status=401, stamp="")
        self.expect("keys")
        life = self.scene.record.keys["k"]
        for added_at, withdrawn_at in ((9.0, 99.0), (0.0, 10.05)):
            life.added_at, life.withdrawn_at = added_at, withdrawn_at
            self.expect()

    def test_denials_count_only_with_a_key_in_force(self):
        for number in range(promises.DENIED_FEW + 2):
            self.ask_with_key(f"q{number}", status=401, stamp="", key="never-held")
        self.expect()
        self.scene.record.begin("node-0", "cut", 9.0, 9.5)
        for attempt in self.scene.record.attempts.values():
            attempt.key = "k"
        self.expect("denied")

    def test_limits_hold_in_each_window(self):
        # 44 runs in a window, one of them passed on again, and 5 s later more.
        for number in range(44):
            self.ask_with_key(f"q{number}", 10 + number / 10, is_repeatable=True)
        self.scene.arrival("q43", 14.5, organisation="press", backend="i-2/1")
        self.ask_with_key("q50", 15.1)
        self.expect()
        self.ask_with_key("q51", 14.6)
        self.ask_with_key("q52", 14.7)
        self.expect("limits")

    def test_keys_are_found_on_pages(self):
        node = types.SimpleNamespace(
            name="node-0",
            log=types.SimpleNamespace(read_text=lambda errors: "200"),
            metrics_page="1",
        )
        work = types.SimpleNamespace(nodes=[node])
        self.assertEqual(promises.check_pages(work), [])
        node.metrics_page = f"refused{{{wire.KEY_PREFIX}07}} 1"
        self.assertEqual(len(promises.check_pages(work)), 1)

    def test_the_key_ring_notes_when_keys_end(self):
        record = self.scene.record
        ring = KeyRing(record, 1)
        ring.note(1.0)
        ring.replace_key()
        ring.note(2.0)
        ring.note(3.0)
        lives = [record.keys[key] for key in ring.withdrawn]
        self.assertEqual([(e.added_at, e.withdrawn_at) for e in lives], [(1.0, 2.0)])
        listed = [key for each in ring.describe() for key in each["api_keys"]]
        self.assertEqual(set(listed), set(record.keys) - set(ring.withdrawn))

    def test_links_are_all_in_small_fleets_and_bounded_in_large_ones(self):
        def fleet(size):
            return [
                types.SimpleNamespace(
                    data_centre=index % 3,
                    backend=types.SimpleNamespace(service=index % 2),
                )
                for index in range(size)
            ]

        small = fleet(8)
        self.assertEqual(promises.count_links(small[0], small), 7)
        large = fleet(600)
        self.assertEqual(promises.count_links(large[0], large), 32)


if __name__ == "__main__":
    unittest.main()
