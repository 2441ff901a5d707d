"""Tracks the VMs of the fleet by the heartbeats that they send.

VMs can crash, freeze, restart or be partitioned at any moment. A VM counts as live while its
heartbeats arrive, and a newer incarnation of a VM replaces the older one.
"""

from collections.abc import Iterable

from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.peers.messages import Heartbeat
from berylbankd._internal.steering.placement import hash_to_fraction

HEARTBEAT_INTERVAL_MS = 250
# Consecutive heartbeats that may be lost before a VM is no longer live.
MAX_MISSED_HEARTBEATS = 5
# A silent VM still counts in the fleet size for this long, as it may only be partitioned.
FLEET_SIZE_TTL_MS = 20_000
# Up to this many peers each heartbeat goes to all of them; beyond it, to HEARTBEAT_FAN_OUT of them
# in rotation.
FULL_MESH_PEERS = 16
HEARTBEAT_FAN_OUT = 10
# Peer hosts listed in each heartbeat, so that VMs discover each other through any one of them.
HOSTS_PER_HEARTBEAT = 8
# Number of VMs that read the store for the whole fleet; the second covers a failure of the first.
STORE_READER_COUNT = 2


class Peer:
    """Another VM's latest heartbeat, and when it was received."""

    def __init__(self, heartbeat: Heartbeat, now_ms: int) -> None:
        self.heartbeat = heartbeat
        self.received_ms = now_ms


class Membership:
    """All VMs from which this VM has received heartbeats.

    ``hosts`` are the IP addresses of all other VMs that may be running, known from heartbeats,
    settings or the store.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.vm = deployment.vm
        self.host = deployment.host
        self.peers: dict[str, Peer] = {}
        self.hosts: set[str] = set()
        self.heartbeat_round = 0
        self.shared_hosts_offset = 0

    def record_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Store a heartbeat unless it is older than the known one; return whether it was stored."""
        if heartbeat.vm == self.vm:
            return False
        known = self.peers.get(heartbeat.vm)
        version = (heartbeat.incarnation, heartbeat.sequence)
        if known is not None and version <= (known.heartbeat.incarnation, known.heartbeat.sequence):
            # The clock may have been set back before a restart, so a lower incarnation of a VM
            # that has timed out is accepted.
            restarted = heartbeat.incarnation != known.heartbeat.incarnation
            if not restarted or now_ms - known.received_ms < self.heartbeat_timeout_ms():
                return False
        self.peers[heartbeat.vm] = Peer(heartbeat, now_ms)
        self.hosts.update((heartbeat.host, *heartbeat.hosts))
        self.hosts.discard(self.host)
        return True

    def next_shared_hosts(self) -> tuple[str, ...]:
        """Return hosts to include in the next heartbeat, rotating through all known hosts."""
        hosts = sorted(self.hosts)
        self.shared_hosts_offset += HOSTS_PER_HEARTBEAT
        start = self.shared_hosts_offset % max(1, len(hosts))
        return tuple((hosts + hosts)[start : start + min(HOSTS_PER_HEARTBEAT, len(hosts))])

    def heartbeat_timeout_ms(self) -> int:
        """Return how long a VM may be silent before it is no longer live."""
        rounds = (
            1 if len(self.peers) <= FULL_MESH_PEERS else -(-len(self.peers) // HEARTBEAT_FAN_OUT)
        )
        return HEARTBEAT_INTERVAL_MS * MAX_MISSED_HEARTBEATS + HEARTBEAT_INTERVAL_MS * 2 * (
            rounds - 1
        )

    def live_heartbeats(self, now_ms: int) -> list[Heartbeat]:
        """Return the latest heartbeats of the other live VMs."""
        timeout_ms = self.heartbeat_timeout_ms()
        return [
            peer.heartbeat for peer in self.peers.values() if now_ms - peer.received_ms < timeout_ms
        ]

    def fleet_size(self, now_ms: int) -> int:
        """Return the number of VMs, including this one and those that fell silent recently."""
        return 1 + sum(
            1
            for peer in self.peers.values()
            if now_ms - peer.received_ms < FLEET_SIZE_TTL_MS and not peer.heartbeat.leaving
        )

    def next_receivers(self) -> list[str]:
        """Return the hosts to send the next heartbeat to."""
        hosts = sorted(self.hosts)
        self.heartbeat_round += 1
        if len(hosts) <= FULL_MESH_PEERS:
            return hosts
        start = (self.heartbeat_round * HEARTBEAT_FAN_OUT) % len(hosts)
        return (hosts + hosts)[start : start + HEARTBEAT_FAN_OUT]


def compute_reader_rank(vm: str) -> float:
    """Return a VM's rank for reading the store, from 0 (first) to 1; it is the same on all VMs."""
    return hash_to_fraction("reader", vm)


def choose_readers(
    live_heartbeats: Iterable[Heartbeat], vm: str, store_available: bool
) -> set[str]:
    """Return the VMs that read the store, by a ranking that is the same on all VMs.

    A VM that gets no answer from the store is left out of the ranking while a peer can read it. It
    keeps trying to read the store in any case.
    """
    candidates = [
        heartbeat.vm for heartbeat in live_heartbeats if heartbeat.reading and not heartbeat.leaving
    ]
    if store_available or not candidates:
        candidates.append(vm)
    ranked = sorted(candidates, key=compute_reader_rank)
    readers = set(ranked[:STORE_READER_COUNT])
    return readers if store_available else readers | {vm}


def rank_row_sources(
    live_heartbeats: Iterable[Heartbeat], table: str, revision: int, membership: Membership
) -> list[Heartbeat]:
    """Return the VMs that hold a table up to a revision, nearest first."""
    deployment = membership.deployment

    def sort_key(heartbeat: Heartbeat) -> tuple[bool, bool, float]:
        return (
            heartbeat.failure_domain != deployment.failure_domain,
            heartbeat.region != deployment.region,
            hash_to_fraction(membership.vm, heartbeat.vm),
        )

    sources = [
        heartbeat for heartbeat in live_heartbeats if _has_revision(heartbeat, table, revision)
    ]
    return sorted(sources, key=sort_key)


def _has_revision(heartbeat: Heartbeat, table: str, revision: int) -> bool:
    return any(
        position.table == table and position.revision >= revision
        for position in heartbeat.positions
    )
