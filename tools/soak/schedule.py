"""Draws a seeded schedule of overlapping faults and planned operations."""

import random
from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """Kinds of faults and planned operations.

    The first word of a value tells what the fault affects: a VM, the store, a link or a server.
    """

    VM_KILL = "vm killed"
    VM_PAUSE = "vm paused"
    VM_STOP = "vm stopped gracefully"
    VM_RELOAD = "vm reloads its settings"
    STORE_LINK = "store link of a vm"
    SERVER_LINK = "link of a server"
    STORE_REFUSES = "store refuses calls"
    STORE_UNRESPONSIVE = "store does not respond"
    STORE_SLOW = "store responds slowly"
    STORE_LOSES_RESPONSES = "store loses responses"
    STORE_COMPACTS = "store compacts its history"
    SERVER_HANGS = "server hangs"
    SERVER_TRUNCATES = "server truncates responses"
    SERVER_SHEDS = "server sheds requests"
    SERVER_DRAINS = "server drains"
    KEY_WITHDRAWN = "key withdrawn"
    CONFIGURATION_CHANGE = "configuration changes"
    EVACUATION = "failure domain evacuated"
    STORE_COPY = "store comes back from a copy"


# Relative frequency of a kind; 1 for those not listed.
KIND_WEIGHTS = {
    FaultKind.VM_KILL: 2,
    FaultKind.VM_PAUSE: 2,
    FaultKind.VM_STOP: 3,
    FaultKind.VM_RELOAD: 1,
    FaultKind.STORE_LINK: 3,
    FaultKind.SERVER_LINK: 3,
    FaultKind.KEY_WITHDRAWN: 2,
    FaultKind.CONFIGURATION_CHANGE: 2,
    FaultKind.SERVER_DRAINS: 2,
}
# Planned operations, around which no request may be lost.
PLANNED_KINDS = (
    FaultKind.VM_STOP,
    FaultKind.VM_RELOAD,
    FaultKind.SERVER_DRAINS,
    FaultKind.CONFIGURATION_CHANGE,
)
# Drawn apart from the others, so that the schedules of known seeds stay as they are.
SEPARATE_KINDS = (FaultKind.STORE_COPY,)
MAX_COPIES = 2
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0
FAULTS_PER_S = 1.2


class Fault(NamedTuple):
    """One fault of a schedule.

    ``target_number`` picks the VM or server, ``link_mode_number`` what a link does; both are taken
    modulo the number of choices.
    """

    at_s: float
    duration_s: float
    kind: FaultKind
    target_number: int
    link_mode_number: int


def make_schedule(
    seed: int, length_s: float, planned: bool = False, copies: bool = False
) -> list[Fault]:
    """Return the faults of a seed, ordered by time; with ``planned`` only planned operations.

    A quarter of them repeat the kind drawn before, so that some schedules have many faults of one
    kind. With ``copies`` the store also comes back from copies.
    """
    rng = random.Random(seed)
    kinds = [kind for kind in FaultKind if kind not in SEPARATE_KINDS]
    kinds = list(PLANNED_KINDS) if planned else kinds
    weights = [KIND_WEIGHTS.get(kind, 1) for kind in kinds]
    faults: list[Fault] = []
    for _ in range(round(length_s * FAULTS_PER_S)):
        repeated = bool(faults) and rng.random() < 0.25
        kind = faults[-1].kind if repeated else rng.choices(kinds, weights)[0]
        at_s = rng.uniform(0, length_s)
        faults.append(
            Fault(
                at_s,
                rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
                kind,
                rng.randrange(64),
                rng.randrange(64),
            )
        )
    if copies:
        faults += draw_copies(random.Random(f"copies {seed}"), length_s)
    return sorted(faults)


def draw_copies(rng: random.Random, length_s: float) -> list[Fault]:
    """Return times at which the store is copied; it comes back from the copy after the fault."""
    return [
        Fault(
            rng.uniform(0, length_s),
            rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
            FaultKind.STORE_COPY,
            0,
            0,
        )
        for _ in range(rng.randint(1, MAX_COPIES))
    ]
