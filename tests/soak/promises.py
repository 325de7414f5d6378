"""Checks what was seen against the promises to users."""

import bisect
import collections

import wire
from record import (
    BUDGET_RATIO,
    BUDGET_SLACK,
    BUDGET_WINDOW,
    CONFIG_BOUND,
    DRAIN_BOUND,
    GRACE,
    LOST_BOUND,
    QUOTA_OVERAGE,
    QUOTA_SLACK,
    QUOTA_WINDOW,
    REVOKE_BOUND,
    ROLLBACK_SLACK,
    STABLE_WINDOW,
    allowed_services,
)

# A fault may overlap with what the system can know; the users' pages allow this
# many cases a day before a promise counts as broken.
FEW = 3
# Further proper requests that may be denied: five, and one in 500.
DENIED_FEW = 5
DENIED_SHARE = 1 / 500
# Statuses of the system's own that do not deny a request.
TEMPORARY = (408, 421, 429)
# Time after a client has left in which its request may still arrive, and time
# by which a backend server may be given too much, in seconds.
HALF_SECOND = 0.5
# Least share of requests that are served once all faults have ended.
RECOVERED_SHARE = 0.25
# Links that a node keeps for each service, within its data centre and beyond
# (mesh::PeerLimits): all in small fleets.
OWN_LINKS = 10
OTHER_LINKS = 6
# Time after a fault by which a site must have recovered, in seconds.
RECOVERY_TIME = 15.0


class Checks:
    def __init__(self, record, attempts_allowed):
        self.record = record
        self.attempts_allowed = attempts_allowed
        self.found = list(record.violations)
        self.arrivals = collections.defaultdict(list)
        for arrival in record.arrivals:
            self.arrivals[arrival.identifier].append(arrival)

    def run(self):
        """Returns all violations as (rule, text)."""
        for attempt in self.record.attempts.values():
            self.check_answer(attempt)
            self.check_once(attempt)
            self.check_key(attempt)
        for arrival in self.record.arrivals:
            self.check_asked(arrival)
            self.check_drain(arrival)
            self.check_organisation(arrival)
        self.check_configuration()
        self.check_regress()
        self.check_denied()
        self.check_lost()
        self.check_unanswered()
        self.check_budget()
        self.check_attempts()
        self.check_given_time()
        self.check_left()
        self.check_poison()
        self.check_limits()
        return self.found

    def report(self, rule, text):
        self.found.append((rule, text))

    def check_answer(self, attempt):
        if attempt.ending != "answer":
            return
        runs = self.arrivals[attempt.identifier]
        name = f"{attempt.identifier} {attempt.target} at {attempt.node}"
        if attempt.answer_identifier not in ("", attempt.identifier):
            self.report("answer", f"{name}: answer to {attempt.answer_identifier}")
        if not attempt.stamp:
            if 200 <= attempt.status < 300:
                self.report("answer", f"{name}: {attempt.status} without signature")
            return
        same = [run for run in runs if run.stamp == attempt.stamp]
        if not same:
            self.report("answer", f"{name}: signature {attempt.stamp} is foreign")
        elif same[0].status != attempt.status:
            self.report(
                "answer", f"{name}: {attempt.status} instead of {same[0].status}"
            )
        elif attempt.status < 300 and same[0].answer_body != attempt.answer_body:
            self.report("answer", f"{name}: body differs from the backend server's")

    def check_once(self, attempt):
        if attempt.is_repeatable:
            return
        runs = [run for run in self.arrivals[attempt.identifier] if run.is_run]
        if len(runs) > 1:
            where = ", ".join(f"{run.backend} at {run.at:.3f}" for run in runs)
            self.report("twice", f"{attempt.identifier} ran on {where}")
        if runs and attempt.is_promise:
            self.report(
                "refused",
                f"{attempt.identifier} got {attempt.status} at "
                f"{attempt.ended_at:.3f} and ran on {runs[0].backend} at "
                f"{runs[0].at:.3f}",
            )

    def check_asked(self, arrival):
        attempt = self.record.attempts.get(arrival.identifier)
        if attempt is None:
            self.report("unasked", f"{arrival.identifier} at {arrival.backend}")
            return
        if not arrival.is_run:
            return
        asked = (attempt.method, attempt.target, attempt.body)
        if asked != (arrival.method, arrival.target, arrival.body):
            self.report("unasked", f"{arrival.identifier} was changed: {arrival}")
        service = self.record.services[attempt.node]
        if arrival.caller_service != service:
            self.report(
                "unasked",
                f"{arrival.identifier} names the caller {arrival.caller_service}",
            )
        ever = allowed_services(self.record.versions, attempt.prefix)
        if arrival.service not in ever:
            self.report(
                "route", f"{arrival.identifier} {attempt.target} ran at "
                f"{arrival.service}, allowed are {sorted(ever)}"
            )

    def check_drain(self, arrival):
        attempt = self.record.attempts.get(arrival.identifier)
        if attempt is None or arrival.status == 421:
            return
        for leaving in self.record.acknowledgements:
            if leaving.backend != arrival.backend:
                continue
            if arrival.at <= leaving.at + DRAIN_BOUND:
                continue
            nodes = {attempt.node, arrival.node}
            # A node that gave the acknowledgement is bound at any time that it
            # runs; others must have been in touch.
            if nodes == {leaving.node}:
                calm = self.record.is_calm(nodes, arrival.at, arrival.at)
            else:
                calm = self.record.are_in_touch(nodes, attempt.sent_at, arrival.at)
            if calm:
                self.report(
                    "drain",
                    f"{arrival.identifier} came to {arrival.backend} "
                    f"{arrival.at - leaving.at:.3f} s after {leaving.node} "
                    f"acknowledged that it leaves",
                )
                return

    def is_in_force(self, attempt):
        """Whether each node that knows its configuration knows the key."""
        life = self.record.keys.get(attempt.key)
        return (
            life is not None
            and life.added_at + CONFIG_BOUND <= attempt.sent_at
            and attempt.ended_at <= life.withdrawn_at
        )

    def check_key(self, attempt):
        """Requests run only with a key in force, and then are not denied."""
        if not attempt.needs_key:
            return
        name = f"{attempt.identifier} at {attempt.node} {attempt.sent_at:.3f}"
        life = self.record.keys.get(attempt.key)
        has_run = any(run.is_run for run in self.arrivals[attempt.identifier])
        is_in_touch = self.record.are_in_touch(
            [attempt.node], attempt.sent_at, attempt.ended_at
        )
        if life is None:
            if has_run:
                self.report("keys", f"{name} ran without a key that ever was known")
            return
        # The bound holds for all nodes, a shorter one for those in touch.
        bound = CONFIG_BOUND if is_in_touch else REVOKE_BOUND
        late = attempt.sent_at - life.withdrawn_at
        if has_run and late > bound:
            self.report("keys", f"{name} ran {late:.3f} s after its key ended")
        is_denied = attempt.status == 401 and not attempt.stamp
        if is_denied and is_in_touch and self.is_in_force(attempt):
            self.report("keys", f"{name} got 401 with a key in force")

    def check_organisation(self, arrival):
        """Backend servers get the key's organisation, and no key."""
        if arrival.has_key:
            self.report("keys", f"{arrival.identifier} came with a key")
        attempt = self.record.attempts.get(arrival.identifier)
        if attempt is None:
            return
        life = self.record.keys.get(attempt.key)
        expected = life.organisation if life else ""
        if arrival.organisation != expected:
            self.report(
                "keys",
                f"{arrival.identifier} came as {arrival.organisation!r} instead of "
                f"{expected!r}",
            )

    def most_runs(self, organisation):
        """Returns most runs in one window, the limit and the window's begin.

        A request that was passed on again counts once.
        """
        rate, burst = self.record.limits[organisation]
        limit = (rate * QUOTA_WINDOW + burst) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
        times = sorted(
            min(run.at for run in arrivals if run.is_run)
            for arrivals in self.arrivals.values()
            if any(run.is_run for run in arrivals)
            and arrivals[0].organisation == organisation
        )
        counts = [
            (bisect.bisect_right(times, begin + QUOTA_WINDOW) - first, begin)
            for first, begin in enumerate(times)
        ]
        count, begin = max(counts, default=(0, 0.0))
        return count, limit, begin

    def check_limits(self):
        """No window has more runs of an organisation than its limit allows."""
        for name in self.record.limits:
            count, limit, begin = self.most_runs(name)
            if count > limit:
                self.report(
                    "limits",
                    f"{name}: {count} runs in the window from {begin:.3f}, "
                    f"{limit:.0f} are allowed",
                )

    def check_configuration(self):
        """A request is not handled as only an older version allows."""
        for attempt in self.record.attempts.values():
            end = attempt.ended_at
            if not self.record.are_in_touch([attempt.node], attempt.sent_at, end):
                continue
            allowed = self.record.versions_at(attempt.sent_at - CONFIG_BOUND, end)
            services = allowed_services(allowed, attempt.prefix)
            for run in self.arrivals[attempt.identifier]:
                if run.is_run and run.service not in services:
                    self.report(
                        "configuration",
                        f"{attempt.identifier} {attempt.target} of {attempt.node}"
                        f" ran at {run.service}; versions "
                        f"{[version.number for version in allowed]} allow "
                        f"{sorted(services)}",
                    )
            is_known = all(attempt.prefix in v.services for v in allowed)
            if attempt.status == 404 and not attempt.stamp and is_known:
                self.report(
                    "configuration",
                    f"{attempt.identifier} {attempt.target} of {attempt.node}: "
                    f"404, versions {[v.number for v in allowed]} have the route",
                )

    def check_regress(self):
        """A process does not go back behind a version that it acted on."""
        by_node = collections.defaultdict(list)
        for attempt in self.record.attempts.values():
            by_node[attempt.node].append(attempt)
        for node, attempts in by_node.items():
            attempts.sort(key=lambda attempt: attempt.sent_at)
            starts = sorted(at for name, at in self.record.starts if name == node)
            seen = []
            for attempt in attempts:
                for run in self.arrivals[attempt.identifier]:
                    least = self.least_version(attempt.prefix, run)
                    if run.is_run and least:
                        seen.append((run.at, least))
            seen.sort()
            for attempt in attempts:
                begin = starts[bisect.bisect_right(starts, attempt.sent_at) - 1]
                least = max(
                    (
                        version
                        for at, version in seen
                        if begin <= at < attempt.sent_at - ROLLBACK_SLACK
                    ),
                    default=0,
                )
                for run in self.arrivals[attempt.identifier]:
                    most = self.greatest_version(attempt.prefix, run)
                    if run.is_run and 0 < most < least:
                        self.report(
                            "configuration",
                            f"{attempt.identifier} of {node} was handled by "
                            f"version {most} or older after {least}",
                        )

    def least_version(self, prefix, run):
        """Oldest version that allows this run."""
        numbers = self.versions_of(prefix, run)
        return min(numbers, default=0)

    def greatest_version(self, prefix, run):
        return max(self.versions_of(prefix, run), default=0)

    def versions_of(self, prefix, run):
        return [
            version.number
            for version in self.record.versions
            if run.service in version.services.get(prefix, ()) and version.at <= run.at
        ]

    def check_denied(self):
        denied = []
        for attempt in self.record.attempts.values():
            is_denial = 300 <= attempt.status < 500 and not attempt.stamp
            if not is_denial or attempt.status in TEMPORARY:
                continue
            if attempt.needs_key and not self.is_in_force(attempt):
                continue
            if all(attempt.prefix in v.services for v in self.record.versions):
                denied.append(f"{attempt.identifier} {attempt.status}")
        if len(denied) > DENIED_FEW + DENIED_SHARE * len(self.record.attempts):
            self.report("denied", f"{len(denied)} requests, e.g. {denied[:5]}")

    def check_lost(self):
        """Planned stops cut no request, and calm nodes do not at all."""
        without_answer = []
        for attempt in self.record.attempts.values():
            if attempt.ending != "closed":
                continue
            arrivals = self.arrivals[attempt.identifier]
            held = attempt.ended_at - attempt.sent_at
            if held >= attempt.deadline:
                continue
            if any(run.ending not in ("answered", "at work") for run in arrivals):
                continue  # The backend server broke off.
            is_calm = self.record.are_in_touch(
                [attempt.node], attempt.sent_at, attempt.ended_at
            )
            if is_calm and arrivals:
                without_answer.append(attempt.identifier)
            stops = [
                at
                for name, at in self.record.stops
                if name == attempt.node
                and at - attempt.deadline <= attempt.sent_at <= at + GRACE + 1
            ]
            # Planned stops disturb no one, so they are no faults here.
            is_planned_only = not any(
                fault.kind != "stop"
                and fault.begin <= attempt.ended_at
                and fault.end >= attempt.sent_at - STABLE_WINDOW
                for fault in self.record.faults
            )
            if stops and is_planned_only and (arrivals or held > LOST_BOUND):
                self.report(
                    "lost",
                    f"{attempt.identifier} at {attempt.node} ended after "
                    f"{held:.3f} s, {attempt.ended_at - stops[-1]:.3f} s after "
                    f"SIGTERM, with {len(arrivals)} arrivals",
                )
        if len(without_answer) > FEW:
            self.report("lost", f"calm nodes gave no answer to {without_answer}")

    def check_unanswered(self):
        """A calm node gives its final answer by the end of the time."""
        unanswered = [
            f"{attempt.identifier} at {attempt.node} {attempt.sent_at:.3f}"
            for attempt in self.record.attempts.values()
            if attempt.ending == "timeout"
            and self.record.are_in_touch(
                [attempt.node], attempt.sent_at, attempt.ended_at
            )
        ]
        if len(unanswered) > FEW:
            self.report("unanswered", f"at calm nodes: {unanswered}")

    def check_budget(self):
        """Repeats stay within a share of the requests of a service."""
        requests = collections.defaultdict(list)
        repeats = collections.defaultdict(list)
        for attempt in self.record.attempts.values():
            arrivals = sorted(self.arrivals[attempt.identifier], key=lambda a: a.at)
            services = allowed_services(self.record.versions, attempt.prefix)
            for service in services:
                requests[service].append(attempt.sent_at)
            first = 0 if attempt.is_call_of_repeat else 1
            for arrival in arrivals[first:]:
                repeats[arrival.service].append(arrival.at)
        for service, times in repeats.items():
            times.sort()
            sent = sorted(requests[service])

            def count(values, end):
                return bisect.bisect_right(values, end) - bisect.bisect_left(
                    values, end - BUDGET_WINDOW
                )

            for at in times:
                base = max(
                    count(sent, at - back * BUDGET_WINDOW) for back in (0, 0.5, 1)
                )
                if count(times, at) > BUDGET_RATIO * base + BUDGET_SLACK:
                    self.report(
                        "budget",
                        f"{service}: {count(times, at)} repeats for {base} requests"
                        f" up to {at:.3f}",
                    )
                    break

    def check_attempts(self):
        beyond = []
        for identifier, arrivals in self.arrivals.items():
            servers = {run.backend for run in arrivals if run.is_run}
            ended = {run.backend for run in arrivals if run.ending == "crashed"}
            if len(servers - ended) > self.attempts_allowed:
                beyond.append(identifier)
        if len(beyond) > FEW:
            self.report("budget", f"more backend servers than allowed: {beyond}")

    def check_given_time(self):
        beyond = []
        for arrival in self.record.arrivals:
            attempt = self.record.attempts.get(arrival.identifier)
            if attempt is None:
                continue
            end = attempt.sent_at + attempt.deadline + HALF_SECOND
            if arrival.given is None or arrival.at + arrival.given > end:
                beyond.append(arrival.identifier)
        if len(beyond) > 20 and len(beyond) * 5 > len(self.record.arrivals):
            self.report("budget", f"{len(beyond)} requests were given too long")

    def check_left(self):
        late = []
        for attempt in self.record.attempts.values():
            if attempt.ending != "left":
                continue
            for arrival in self.arrivals[attempt.identifier]:
                nodes = (attempt.node, arrival.node)
                is_late = arrival.at > attempt.ended_at + HALF_SECOND
                if is_late and self.record.are_in_touch(
                    nodes, attempt.sent_at, arrival.at
                ):
                    late.append(attempt.identifier)
        if len(late) > FEW:
            self.report("gone", f"arrived after their clients had left: {late}")

    def check_poison(self):
        """A crashing request is stopped after the third crash."""
        by_target = collections.defaultdict(list)
        for arrival in self.record.arrivals:
            attempt = self.record.attempts.get(arrival.identifier)
            if attempt is not None and attempt.is_poison:
                by_target[arrival.target].append((arrival, attempt))
        for target, pairs in by_target.items():
            crashes = sorted(a.ended_at for a, _ in pairs if a.ending == "crashed")
            if len(crashes) < 3:
                continue
            late = [
                f"{arrival.identifier} from {attempt.node} at {arrival.backend} "
                f"{arrival.at:.3f}"
                for arrival, attempt in pairs
                if arrival.at > crashes[2] + STABLE_WINDOW
                and self.record.are_in_touch(
                    (attempt.node, arrival.node), arrival.at, arrival.at
                )
            ]
            if len(late) > FEW:
                before = ", ".join(f"{at:.3f}" for at in crashes[:3])
                self.report("budget", f"{target} crashed at {before}, then {late}")


def check_pages(work):
    """Keys do not appear in logs and metrics."""
    return [
        ("keys", f"{node.name} shows a key in its {page}")
        for node in work.nodes
        for page, text in (
            ("log", node.log.read_text(errors="replace")),
            ("metrics", node.metrics_page),
        )
        if wire.KEY_PREFIX in text
    ]


def count_links(node, nodes):
    """Least number of links that a node keeps to these nodes."""
    groups = collections.Counter(
        (other.backend.service, other.data_centre == node.data_centre)
        for other in nodes
        if other is not node
    )
    return sum(
        min(count, OWN_LINKS if is_own else OTHER_LINKS)
        for (_, is_own), count in groups.items()
    )


def check_recovery(work, begin, end):
    """Once all faults have ended, nodes serve and backend servers are used."""
    record = work.record
    found = []
    sent = collections.Counter()
    served = collections.Counter()
    for attempt in record.attempts.values():
        if begin <= attempt.sent_at <= end and not attempt.is_poison:
            sent[attempt.node] += 1
            served[attempt.node] += 200 <= attempt.status < 300
    if sum(served.values()) < RECOVERED_SHARE * sum(sent.values()):
        found.append(
            ("recover", f"{sum(served.values())} of {sum(sent.values())} served")
        )
    used = {arrival.node for arrival in record.arrivals if begin <= arrival.at <= end}
    for node in work.nodes:
        name = node.name
        if sent[name] and not served[name]:
            found.append(("recover", f"{name} served none of {sent[name]} requests"))
        if node.metrics.get("backend_serving") != 1:
            found.append(("recover", f"the server beside {name} does not serve"))
        links = count_links(node, work.nodes)
        if node.metrics.get("links", 0) < links:
            found.append(
                ("recover", f"{name}: {node.metrics.get('links')} links of {links}")
            )
        # Others avoid a server for some time after it was slow or failed.
        is_trusted = node.backend.disturbed_at < begin - RECOVERY_TIME
        if is_trusted and name not in used:
            found.append(("recover", f"the server beside {name} got no request"))
    return found
