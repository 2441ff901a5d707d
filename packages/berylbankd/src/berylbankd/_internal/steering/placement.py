"""Chooses the backend server of a request.

Load patterns answered: demand for a few hundred objects, each much cheaper on a server that
handled it lately; demand that exceeds the slots of one region while others have room; servers that
turn slow. Each object ranks the servers by a hash that all VMs share, so their choices agree
without messages; the first in rank with room is taken.
"""

import statistics
from collections.abc import Callable, Iterable
from typing import NamedTuple

import xxhash

from berylbankd._internal.steering.servers import ServerState

# A server this many times slower than the median of its service gets less than its slots.
SLOW_SERVER_RATIO = 3.5
# Answers before a server's latency says anything.
MIN_LATENCY_SAMPLES = 5
# Part of the servers that may be ejected; beyond it all are used again.
MAX_EJECTED_SHARE = 0.5
HASH_RANGE = float(2**64)
# Servers that may handle one object: enough for a busy one, few enough to stay warm.
SERVERS_PER_OBJECT = 2
# Rankings remembered at most in a group.
MAX_CACHED_RANKINGS = 5_000
# Requests that may wait at the first server in rank, as a part of its slots, before the next one is
# used: waiting for a moment costs less than work on an object that the next one has not seen.
FIRST_SERVER_QUEUE_PER_SLOT = 0.34
# How often the median latency of a group is computed anew.
MEDIAN_TTL_MS = 250


class PlacementQuery(NamedTuple):
    """What a request asks of placement.

    ``failure_domain`` is where a server is preferred, empty where affinity matters more than
    bytes between failure domains. ``wait_slots`` is how many requests per slot may wait at a
    server ahead of this one. ``ranks`` is how many servers may handle the object.
    """

    object_key: str
    failure_domain: str
    tried: frozenset[str]
    max_queue_per_slot: float
    servers_per_object: int = SERVERS_PER_OBJECT


class Placement(NamedTuple):
    """The server chosen, its place in the object's rank, and the load that it was chosen by."""

    server: ServerState
    rank: int
    load: int


def hash_fraction(*parts: str) -> float:
    """Return a number from 0 to 1 that all VMs compute alike."""
    return float(xxhash.xxh64_intdigest("\0".join(parts).encode()) / HASH_RANGE)


def rank_servers(servers: Iterable[ServerState], query: PlacementQuery) -> list[ServerState]:
    """Order servers for an object: those of a preferred failure domain first, then by hash."""

    def sort_key(state: ServerState) -> tuple[bool, float]:
        is_remote = bool(query.failure_domain) and (
            state.registration.failure_domain != query.failure_domain
        )
        return is_remote, hash_fraction(query.object_key, state.registration.id)

    return sorted(servers, key=sort_key)


def rank_by_load(
    servers: Iterable[ServerState], query: PlacementQuery, now_ms: int
) -> list[ServerState]:
    """Order servers by load, nearest first where equal."""

    def sort_key(state: ServerState) -> tuple[float, bool, float]:
        is_remote = state.registration.failure_domain != query.failure_domain
        share = state.load(now_ms) / max(1, state.registration.slots)
        return share, is_remote, hash_fraction(query.object_key, state.registration.id)

    return sorted(servers, key=sort_key)


def exclude_ejected(servers: list[ServerState], now_ms: int) -> list[ServerState]:
    """Leave out ejected servers, but never more than a share of them."""
    not_ejected = [state for state in servers if not state.is_ejected(now_ms)]
    if len(not_ejected) < len(servers) * (1 - MAX_EJECTED_SHARE):
        return servers
    return not_ejected


def effective_slots(state: ServerState, median_ms: float) -> float:
    """Return the slots of a server, fewer where it is much slower than the others."""
    slots = float(state.registration.slots)
    if state.responses < MIN_LATENCY_SAMPLES or median_ms <= 0:
        return slots
    if state.latency_ms <= SLOW_SERVER_RATIO * median_ms:
        return slots
    return max(0.5, slots * median_ms / state.latency_ms)


def median_latency(servers: Iterable[ServerState]) -> float:
    """Return the median latency of the servers that have answered often enough."""
    latencies = [state.latency_ms for state in servers if state.responses >= MIN_LATENCY_SAMPLES]
    return statistics.median(latencies) if latencies else 0.0


class ServerGroup:
    """The servers of one service and version in one region."""

    def __init__(self, servers: list[ServerState]) -> None:
        self.servers = servers
        self.ranking: dict[tuple[str, str], list[ServerState]] = {}
        self.median_ms = 0.0
        self.median_expires_ms = 0

    def choose(
        self, query: PlacementQuery, admit: Callable[[ServerState], bool], now_ms: int
    ) -> Placement | None:
        """Return the server to use, or None where none has room.

        First choice is the highest rank with a free slot, or nearly so, then the one of the first
        ranks whose queue is shortest. A request for an object never goes beyond its first ranks:
        under load each server would see more objects than it remembers, and all work would take
        several times longer. ``admits`` is asked last, as it may spend a cold server's allowance.
        """
        usable = exclude_ejected(self.servers, now_ms)
        median_ms = self._current_median_ms(usable, now_ms)
        candidates: list[Placement] = []
        for rank, state in enumerate(self._rank_usable(usable, query, now_ms)):
            if state.registration.id in query.tried:
                continue
            choice = Placement(state, rank, state.load(now_ms))
            slots = effective_slots(state, median_ms)
            if query.object_key and not candidates:
                slots *= 1 + min(FIRST_SERVER_QUEUE_PER_SLOT, query.max_queue_per_slot)
            if choice.load + 1 <= slots and admit(state):
                return choice
            if not state.is_cold(now_ms):
                candidates.append(choice)
            if query.object_key and len(candidates) >= query.servers_per_object:
                break
        return shortest_queue(candidates, query, median_ms)

    def has_usable_server(self, now_ms: int) -> bool:
        """Tell whether any server is not ejected."""
        return any(not state.is_ejected(now_ms) for state in self.servers)

    def _rank_usable(
        self, usable: list[ServerState], query: PlacementQuery, now_ms: int
    ) -> Iterable[ServerState]:
        if not query.object_key:
            return rank_by_load(usable, query, now_ms)
        key = (query.object_key, query.failure_domain)
        ranking = self.ranking.get(key)
        if ranking is None:
            if len(self.ranking) >= MAX_CACHED_RANKINGS:
                self.ranking.clear()
            ranking = self.ranking[key] = rank_servers(self.servers, query)
        if len(usable) == len(ranking):
            return ranking
        return [state for state in ranking if not state.is_ejected(now_ms)]

    def _current_median_ms(self, usable: list[ServerState], now_ms: int) -> float:
        if now_ms >= self.median_expires_ms:
            self.median_ms = median_latency(usable)
            self.median_expires_ms = now_ms + MEDIAN_TTL_MS
        return self.median_ms


def shortest_queue(
    choices: list[Placement], query: PlacementQuery, median_ms: float
) -> Placement | None:
    """Return the server with the shortest queue for its slots, if it is short enough."""
    shortest: Placement | None = None
    lowest = 1 + query.max_queue_per_slot
    for choice in choices:
        utilisation = (choice.load + 1) / effective_slots(choice.server, median_ms)
        if utilisation <= lowest:
            shortest, lowest = choice, utilisation
    return shortest
