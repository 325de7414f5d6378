"""Organisations of the configuration, with their limits and the keys of clients."""

import dataclasses
import random

import wire
from record import KeyLife

KEYS_EACH = 2
# Shares of requests without a key, with a key that no configuration ever held
# and with one that was withdrawn.
MISSING_SHARE = 0.03
INVENTED_SHARE = 0.03
WITHDRAWN_SHARE = 0.12
# The keys withdrawn last, of which clients go on using one. More would leave too
# few requests for each while its bound runs out.
WITHDRAWN_IN_USE = 3
# Weight of an organisation without a limit when a key is withdrawn. Without a
# coordinator the others' requests get 503, whatever their keys.
UNLIMITED_WEIGHT = 8
# Share of changes of the configuration that replace a key.
REPLACING_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class Organisation:
    name: str
    # Share of the clients' requests.
    share: float
    # Requests a second and burst; 0 for no limit.
    rate: float = 0
    burst: float = 0


# With 120 requests a second the limited ones send several times their limit.
ORGANISATIONS = (
    Organisation("lantern-press", 0.5),
    Organisation("north-archive", 0.3, rate=6, burst=6),
    Organisation("tide-school", 0.2, rate=8),
)


class KeyRing:
    """Keys in force and withdrawn, as the operator and clients know them."""

    def __init__(self, record, seed):
        self.record = record
        self.random = random.Random(f"organisations {seed}")
        self.withdrawn = []
        self.in_force = {
            each.name: [self.make_key() for _ in range(KEYS_EACH)]
            for each in ORGANISATIONS
        }
        record.limits = {
            each.name: (each.rate, each.burst) for each in ORGANISATIONS if each.rate
        }

    def make_key(self):
        return f"{wire.KEY_PREFIX}{self.random.randbytes(12).hex()}"

    def replace_key(self):
        """Withdraws a key; takes effect with the next configuration."""
        weights = [1 if each.rate else UNLIMITED_WEIGHT for each in ORGANISATIONS]
        keys = self.in_force[self.random.choices(ORGANISATIONS, weights)[0].name]
        self.withdrawn.append(keys.pop(0))
        keys.append(self.make_key())

    def describe(self):
        """Organisations as the configuration has them."""
        return [
            {
                "name": each.name,
                "api_keys": self.in_force[each.name],
                "priority": 1,
                "rate_per_s": each.rate,
                "burst": each.burst,
            }
            for each in ORGANISATIONS
        ]

    def note(self, at):
        """Notes the keys of a configuration that the store acknowledged."""
        for name, keys in self.in_force.items():
            for key in keys:
                self.record.keys.setdefault(key, KeyLife(name, at))
        for key in self.withdrawn:
            life = self.record.keys[key]
            life.withdrawn_at = min(life.withdrawn_at, at)

    def current(self):
        """A key in force of an organisation without a limit."""
        return self.random.choice(self.in_force[ORGANISATIONS[0].name])

    def pick(self):
        """Returns a client's key, and whether it was withdrawn."""
        choice = self.random.random()
        if choice < MISSING_SHARE:
            return "", False
        choice -= MISSING_SHARE
        if choice < INVENTED_SHARE:
            return self.make_key(), False
        choice -= INVENTED_SHARE
        if choice < WITHDRAWN_SHARE and self.withdrawn:
            return self.random.choice(self.withdrawn[-WITHDRAWN_IN_USE:]), True
        shares = [each.share for each in ORGANISATIONS]
        name = self.random.choices(ORGANISATIONS, shares)[0].name
        return self.random.choice(self.in_force[name]), False
