"""What callers and backend servers saw, and which faults were under way."""

import dataclasses
import hashlib
import itertools

# Bounds of the users' sites, in seconds unless said otherwise.
STABLE_WINDOW = 3.0
CONFIG_BOUND = 2.0
ROLLBACK_SLACK = 0.25
DRAIN_BOUND = 2.0
GRACE = 6.0
LOST_BOUND = 0.2
BUDGET_WINDOW = 10.0
BUDGET_RATIO = 0.2
# Requests that may be sent again beside the ratio.
BUDGET_SLACK = 64
REVOKE_BOUND = 5.0
QUOTA_WINDOW = 5.0
QUOTA_OVERAGE = 0.1
# Requests beside the limit.
QUOTA_SLACK = 20

ALL = "all"
STORE = "store"


def digest(body):
    return hashlib.blake2b(body, digest_size=8).hexdigest()


@dataclasses.dataclass
class Attempt:
    """One request as its client saw it; times are of the monotonic clock."""

    identifier: str
    node: str
    method: str
    target: str
    body: str
    is_repeatable: bool
    deadline: float
    sent_at: float
    # Whether a run that was itself a repeat made this call.
    is_call_of_repeat: bool = False
    is_poison: bool = False
    # Key that the client sent, and whether the route asks for one.
    key: str = ""
    needs_key: bool = False
    ended_at: float = 0.0
    # "answer", "closed", "timeout", "left" or "not connected".
    ending: str = ""
    status: int = 0
    stamp: str = ""
    answer_identifier: str = ""
    answer_body: str = ""
    # Seconds after which the client may come again.
    retry_after: float = 0.0

    @property
    def prefix(self):
        return "/" + self.target.split("/")[1] + "/"

    @property
    def is_promise(self):
        """The answer says that the request has not run and never will."""
        return self.ending == "answer" and self.status in (408, 421, 429, 503)


@dataclasses.dataclass
class Arrival:
    """A request at a backend server."""

    identifier: str
    backend: str
    service: str
    node: str
    at: float
    method: str
    target: str
    body: str
    caller_service: str
    # Time that the backend server was given, in seconds; none if not said.
    given: float | None
    # Whether the request had arrived somewhere before.
    is_repeat: bool
    # Organisation that the request names, and whether it shows a key.
    organisation: str = ""
    has_key: bool = False
    is_run: bool = False
    status: int = 0
    stamp: str = ""
    answer_body: str = ""
    ended_at: float = 0.0
    # "answered" once the whole answer was handed to the connection.
    ending: str = ""


@dataclasses.dataclass
class Version:
    """A configuration: services that may run a request, by path prefix."""

    number: int
    services: dict
    at: float


def allowed_services(versions, prefix):
    """Services that one of these versions lets run a request."""
    return {service for v in versions for service in v.services.get(prefix, ())}


@dataclasses.dataclass
class KeyLife:
    """When a key was part of the configuration in force."""

    organisation: str
    added_at: float
    withdrawn_at: float = float("inf")


@dataclasses.dataclass
class Acknowledgement:
    """A node's answer to a backend server that says that it leaves."""

    backend: str
    node: str
    at: float


@dataclasses.dataclass
class Fault:
    scope: str
    begin: float
    end: float
    kind: str


class Record:
    """All that one run of the soak saw."""

    def __init__(self):
        self.attempts = {}
        self.arrivals = []
        self.arrived = set()
        # Service beside each node, by the node's name.
        self.services = {}
        self.versions = []
        # Keys that a configuration held, as KeyLife by key, and limits as
        # (rate, burst) by organisation. Empty in runs without organisations.
        self.keys = {}
        self.limits = {}
        self.acknowledgements = []
        self.faults = []
        # Starts of nodes' processes and planned stops, as (node, time).
        self.starts = []
        self.stops = []
        # Violations seen while the run went on, as (rule, text).
        self.violations = []
        self.numbers = itertools.count(1)

    def begin(self, scope, kind, at, end=float("inf")):
        fault = Fault(scope, at, end, kind)
        self.faults.append(fault)
        return fault

    def is_calm(self, scopes, begin, end):
        """Whether nothing was done to these for a stable window before."""
        scopes = {*scopes, ALL}
        return not any(
            fault.scope in scopes
            and fault.begin <= end
            and fault.end >= begin - STABLE_WINDOW
            for fault in self.faults
        )

    def is_disturbed(self, node, begin):
        """Whether more than a planned stop was done to a node since `begin`."""
        return any(
            fault.scope in (node, ALL) and fault.kind != "stop" and fault.end >= begin
            for fault in self.faults
        )

    def are_in_touch(self, nodes, begin, end):
        """Whether nothing was done to these nodes or the store, as in is_calm."""
        return self.is_calm({*nodes, STORE}, begin, end)

    def versions_at(self, begin, end):
        """Versions that a request sent at `begin` may be handled by."""
        acknowledged = [v for v in self.versions if v.at <= begin]
        oldest = acknowledged[-1].number if acknowledged else 0
        return [v for v in self.versions if v.number >= oldest and v.at <= end]
