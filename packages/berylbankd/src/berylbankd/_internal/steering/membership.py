"""Which VMs are there, from the heartbeats they send.

Load pattern answered: VMs that die, freeze, restart or are cut off at any moment. A VM counts as
live while its heartbeats arrive, and its newest incarnation replaces older ones.
"""

from collections.abc import Iterable

from berylbankd._internal.facts.deployment import Deployment
from berylbankd._internal.peers.messages import Heartbeat
from berylbankd._internal.steering.placement import hash_unit

HEARTBEAT_MS = 250
# Heartbeats that may be lost before a VM counts as gone.
MISSED_HEARTBEATS = 5
# A silent VM counts in the size of the fleet for this long: it may only be cut off.
FORGET_MS = 20_000
# Up to this size each heartbeat goes to all; beyond it the receivers take turns.
FULL_MESH = 16
FAN_OUT = 10
# Hosts named in each heartbeat, so that VMs find each other through any one of them.
TOLD_HOSTS = 8


# VMs that read the store for all; the second one covers the first one's failure.
READERS = 2


class Peer:
    """Another VM and its newest heartbeat."""

    def __init__(self, beat: Heartbeat, now_ms: int) -> None:
        self.beat = beat
        self.heard_ms = now_ms


class Membership:
    """All VMs that this one has heard."""

    def __init__(self, place: Deployment) -> None:
        self.place = place
        self.vm = place.vm
        self.host = place.host
        self.peers: dict[str, Peer] = {}
        self.hosts: set[str] = set()
        self.turn = 0
        self.told = 0

    def note(self, beat: Heartbeat, now_ms: int) -> bool:
        """Take a heartbeat unless it is older than the one known; tell whether it is new."""
        if beat.vm == self.vm:
            return False
        known = self.peers.get(beat.vm)
        age = (beat.incarnation, beat.sequence)
        if known is not None and age <= (known.beat.incarnation, known.beat.sequence):
            # A clock may have been set back before a restart: a silent VM may begin anew.
            restarted = beat.incarnation != known.beat.incarnation
            if not restarted or now_ms - known.heard_ms < self.silence_ms():
                return False
        self.peers[beat.vm] = Peer(beat, now_ms)
        self.hosts.update((beat.host, *beat.hosts))
        self.hosts.discard(self.host)
        return True

    def some_hosts(self) -> tuple[str, ...]:
        """Return a few hosts to tell others of, different ones each time."""
        hosts = sorted(self.hosts)
        self.told += TOLD_HOSTS
        start = self.told % max(1, len(hosts))
        return tuple((hosts + hosts)[start : start + min(TOLD_HOSTS, len(hosts))])

    def silence_ms(self) -> int:
        """Return after which silence a VM counts as gone."""
        turns = 1 if len(self.peers) <= FULL_MESH else -(-len(self.peers) // FAN_OUT)
        return HEARTBEAT_MS * MISSED_HEARTBEATS + HEARTBEAT_MS * 2 * (turns - 1)

    def live(self, now_ms: int) -> list[Heartbeat]:
        """Return the newest heartbeats of the other VMs that are live."""
        silence = self.silence_ms()
        return [p.beat for p in self.peers.values() if now_ms - p.heard_ms < silence]

    def known_count(self, now_ms: int) -> int:
        """Return the size of the fleet, with this VM and those silent for a while."""
        return 1 + sum(
            1
            for peer in self.peers.values()
            if now_ms - peer.heard_ms < FORGET_MS and not peer.beat.leaving
        )

    def choose_receivers(self) -> list[str]:
        """Return the hosts that the next heartbeat goes to."""
        hosts = sorted(self.hosts)
        self.turn += 1
        if len(hosts) <= FULL_MESH:
            return hosts
        start = (self.turn * FAN_OUT) % len(hosts)
        return (hosts + hosts)[start : start + FAN_OUT]


def reader_rank(vm: str) -> float:
    """Return a VM's place among those that may read the store, from 0 (first) to 1."""
    return hash_unit("reader", vm)


def choose_readers(live: Iterable[Heartbeat], vm: str, store_answers: bool) -> set[str]:
    """Return the VMs that read the store, by a rank that all compute alike.

    A VM that the store does not answer is passed over, but goes on trying while it is alone.
    """
    names = [beat.vm for beat in live if beat.reading and not beat.leaving]
    if store_answers or not names:
        names.append(vm)
    ranked = sorted(names, key=reader_rank)
    chosen = set(ranked[:READERS])
    return chosen if store_answers else chosen | {vm}


def rank_sources(
    live: Iterable[Heartbeat], table: str, revision: int, members: Membership
) -> list[Heartbeat]:
    """Return the VMs that have a table up to a revision, the nearest first."""
    place = members.place

    def order(beat: Heartbeat) -> tuple[bool, bool, float]:
        return (
            beat.failure_domain != place.failure_domain,
            beat.region != place.region,
            hash_unit(members.vm, beat.vm),
        )

    having = [beat for beat in live if _has(beat, table, revision)]
    return sorted(having, key=order)


def _has(beat: Heartbeat, table: str, revision: int) -> bool:
    return any(p.table == table and p.revision >= revision for p in beat.positions)
