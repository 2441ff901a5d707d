"""Which VMs are there, from the heartbeats they send.

Load pattern answered: VMs that die, freeze, restart or are cut off at any moment. A VM counts as
live while its heartbeats arrive, and its newest incarnation replaces older ones.
"""

from collections.abc import Iterable

from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.peers.messages import Heartbeat
from berylbankd._internal.steering.placement import hash_fraction

HEARTBEAT_INTERVAL_MS = 250
# Heartbeats that may be lost before a VM counts as gone.
MAX_MISSED_HEARTBEATS = 5
# A silent VM counts in the size of the fleet for this long: it may only be cut off.
FLEET_SIZE_TTL_MS = 20_000
# Up to this size each heartbeat goes to all; beyond it the receivers take turns.
FULL_MESH_MAX_PEERS = 16
HEARTBEAT_FAN_OUT = 10
# Hosts named in each heartbeat, so that VMs find each other through any one of them.
HOSTS_PER_HEARTBEAT = 8


# VMs that read the store for all; the second one covers the first one's failure.
STORE_READERS = 2


class Peer:
    """Another VM and its newest heartbeat."""

    def __init__(self, heartbeat: Heartbeat, now_ms: int) -> None:
        self.heartbeat = heartbeat
        self.received_ms = now_ms


class Membership:
    """All VMs that this one has heard."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.vm = deployment.vm
        self.host = deployment.host
        self.peers: dict[str, Peer] = {}
        self.hosts: set[str] = set()
        self.receiver_round = 0
        self.shared_hosts_offset = 0

    def record_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Take a heartbeat unless it is older than the one known; tell whether it is new."""
        if heartbeat.vm == self.vm:
            return False
        known = self.peers.get(heartbeat.vm)
        version = (heartbeat.incarnation, heartbeat.sequence)
        if known is not None and version <= (known.heartbeat.incarnation, known.heartbeat.sequence):
            # A clock may have been set back before a restart: a silent VM may begin anew.
            restarted = heartbeat.incarnation != known.heartbeat.incarnation
            if not restarted or now_ms - known.received_ms < self.heartbeat_timeout_ms():
                return False
        self.peers[heartbeat.vm] = Peer(heartbeat, now_ms)
        self.hosts.update((heartbeat.host, *heartbeat.hosts))
        self.hosts.discard(self.host)
        return True

    def next_shared_hosts(self) -> tuple[str, ...]:
        """Return a few hosts to tell others of, different ones each time."""
        hosts = sorted(self.hosts)
        self.shared_hosts_offset += HOSTS_PER_HEARTBEAT
        start = self.shared_hosts_offset % max(1, len(hosts))
        return tuple((hosts + hosts)[start : start + min(HOSTS_PER_HEARTBEAT, len(hosts))])

    def heartbeat_timeout_ms(self) -> int:
        """Return after which silence a VM counts as gone."""
        rounds = (
            1
            if len(self.peers) <= FULL_MESH_MAX_PEERS
            else -(-len(self.peers) // HEARTBEAT_FAN_OUT)
        )
        return HEARTBEAT_INTERVAL_MS * MAX_MISSED_HEARTBEATS + HEARTBEAT_INTERVAL_MS * 2 * (
            rounds - 1
        )

    def live_heartbeats(self, now_ms: int) -> list[Heartbeat]:
        """Return the newest heartbeats of the other VMs that are live."""
        timeout_ms = self.heartbeat_timeout_ms()
        return [
            peer.heartbeat for peer in self.peers.values() if now_ms - peer.received_ms < timeout_ms
        ]

    def fleet_size(self, now_ms: int) -> int:
        """Return the size of the fleet, with this VM and those silent for a while."""
        return 1 + sum(
            1
            for peer in self.peers.values()
            if now_ms - peer.received_ms < FLEET_SIZE_TTL_MS and not peer.heartbeat.leaving
        )

    def next_receivers(self) -> list[str]:
        """Return the hosts that the next heartbeat goes to."""
        hosts = sorted(self.hosts)
        self.receiver_round += 1
        if len(hosts) <= FULL_MESH_MAX_PEERS:
            return hosts
        start = (self.receiver_round * HEARTBEAT_FAN_OUT) % len(hosts)
        return (hosts + hosts)[start : start + HEARTBEAT_FAN_OUT]


def reader_rank(vm: str) -> float:
    """Return a VM's place among those that may read the store, from 0 (first) to 1."""
    return hash_fraction("reader", vm)


def choose_readers(live_heartbeats: Iterable[Heartbeat], vm: str, store_answers: bool) -> set[str]:
    """Return the VMs that read the store, by a rank that all compute alike.

    A VM that the store does not answer is passed over, but goes on trying while it is alone.
    """
    candidates = [
        heartbeat.vm for heartbeat in live_heartbeats if heartbeat.reading and not heartbeat.leaving
    ]
    if store_answers or not candidates:
        candidates.append(vm)
    ranked = sorted(candidates, key=reader_rank)
    readers = set(ranked[:STORE_READERS])
    return readers if store_answers else readers | {vm}


def rank_sources(
    live_heartbeats: Iterable[Heartbeat], table: str, revision: int, membership: Membership
) -> list[Heartbeat]:
    """Return the VMs that have a table up to a revision, the nearest first."""
    deployment = membership.deployment

    def order(heartbeat: Heartbeat) -> tuple[bool, bool, float]:
        return (
            heartbeat.failure_domain != deployment.failure_domain,
            heartbeat.region != deployment.region,
            hash_fraction(membership.vm, heartbeat.vm),
        )

    sources = [
        heartbeat for heartbeat in live_heartbeats if _has_revision(heartbeat, table, revision)
    ]
    return sorted(sources, key=order)


def _has_revision(heartbeat: Heartbeat, table: str, revision: int) -> bool:
    return any(peer.table == table and peer.revision >= revision for peer in heartbeat.positions)
