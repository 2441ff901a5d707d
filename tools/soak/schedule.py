"""What goes wrong when: a seeded schedule of faults and planned work that overlap."""

import random
from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """Faults from outside, and planned work."""

    VM_KILL = "vm killed"
    VM_PAUSE = "vm paused"
    VM_STOP = "vm stopped gracefully"
    VM_RELOAD = "vm reloads"
    STORE_LINK = "store link of a vm"
    SERVER_LINK = "link of a server"
    STORE_REFUSES = "store refuses"
    STORE_SILENT = "store silent"
    STORE_SLOW = "store slow"
    STORE_LOSES = "store loses answers"
    STORE_FORGETS = "store forgets its history"
    SERVER_HANGS = "server hangs"
    SERVER_BREAKS = "server breaks answers off"
    SERVER_SHEDS = "server sheds"
    SERVER_DRAINS = "server drains"
    KEY_WITHDRAWN = "key withdrawn"
    CONFIGURATION = "configuration changes"
    EVACUATION = "failure domain evacuated"


# How often each kind comes, relative to the others.
WEIGHTS = {
    FaultKind.VM_KILL: 2,
    FaultKind.VM_PAUSE: 2,
    FaultKind.VM_STOP: 3,
    FaultKind.VM_RELOAD: 1,
    FaultKind.STORE_LINK: 3,
    FaultKind.SERVER_LINK: 3,
    FaultKind.KEY_WITHDRAWN: 2,
    FaultKind.CONFIGURATION: 2,
    FaultKind.SERVER_DRAINS: 2,
}
LEAST_S = 0.3
MOST_S = 3.0
# Faults a second of the schedule.
FAULTS_PER_S = 1.2


class Fault(NamedTuple):
    """One fault: when it begins, how long it lasts, and a number that picks its target."""

    at_s: float
    for_s: float
    kind: FaultKind
    target: int
    variant: int


def make_schedule(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a seed, in order; series of one kind are as likely as mixtures."""
    rng = random.Random(seed)
    kinds = list(FaultKind)
    weights = [WEIGHTS.get(kind, 1) for kind in kinds]
    faults: list[Fault] = []
    for _ in range(round(length_s * FAULTS_PER_S)):
        repeated = bool(faults) and rng.random() < 0.25
        kind = faults[-1].kind if repeated else rng.choices(kinds, weights)[0]
        at_s = rng.uniform(0, length_s)
        faults.append(
            Fault(at_s, rng.uniform(LEAST_S, MOST_S), kind, rng.randrange(64), rng.randrange(64))
        )
    return sorted(faults)
