"""Chooses the backend server of a request.

Requests are for a few hundred objects, and a server that handled an object recently is several
times faster. A region can run out of slots while others have some free, and a server can become
slow. Each object therefore ranks the servers by a hash that is the same on all VMs, so that VMs
agree without exchanging messages, and the first server in the ranking with capacity is used.
"""

import math
import statistics
from collections.abc import Callable, Iterable
from typing import NamedTuple

from berylbankd._internal.steering.hashing import HASH_RANGE, hash_to_fraction
from berylbankd._internal.steering.servers import ServerState

# A server slower than the group's median latency by more than this ratio is given fewer slots.
SLOW_SERVER_RATIO = 3.5
# Responses needed before a server's mean latency is used.
MIN_LATENCY_SAMPLES = 5
# Largest share of the servers that may be ejected; beyond it all servers are used again.
MAX_EJECTED_SHARE = 0.5
MIN_RANK_WEIGHT = 0.001
# Servers that may handle one object: enough for a busy object, but few enough that they keep the
# object cached.
SERVERS_PER_OBJECT = 2
# Rankings cached per group.
MAX_CACHED_RANKINGS = 5_000
# Requests that may queue at the first server in the ranking, per slot, before the next one is used:
# a short wait costs less than processing an object on a server that has not handled it before.
FIRST_SERVER_QUEUE_PER_SLOT = 0.34
# Interval at which the median latency of a group is recomputed.
MEDIAN_LATENCY_TTL_MS = 250
# Interval at which the utilisation of a group is recomputed.
UTILISATION_TTL_MS = 100


class PlacementQuery(NamedTuple):
    """Constraints and preferences for placing a request.

    An empty ``object_key`` means that all servers are equally fast for the request. Servers in
    ``failure_domain`` are preferred; it is empty where affinity matters more than traffic between
    failure domains. ``max_queue_per_slot`` is how many requests per slot may be queued at a server
    ahead of this one. ``servers_per_object`` is how many servers may handle the object.
    """

    object_key: str
    failure_domain: str
    tried: frozenset[str]
    max_queue_per_slot: float
    servers_per_object: int = SERVERS_PER_OBJECT


class Placement(NamedTuple):
    """The chosen server, its rank for the object, and its load when it was chosen."""

    server: ServerState
    rank: int
    load: int


def compute_weighted_rank(weight: float, *parts: str) -> float:
    """Return a rank by weighted rendezvous hashing, lowest first, the same on all VMs.

    Of several candidates each ranks first in proportion to its weight.
    """
    fraction = max(hash_to_fraction(*parts), 1 / HASH_RANGE)
    return -math.log(fraction) / max(weight, MIN_RANK_WEIGHT)


def rank_servers(servers: Iterable[ServerState], query: PlacementQuery) -> list[ServerState]:
    """Rank servers for an object: the preferred failure domain first, then by hash."""

    def sort_key(state: ServerState) -> tuple[bool, float]:
        is_remote = bool(query.failure_domain) and (
            state.registration.failure_domain != query.failure_domain
        )
        return is_remote, hash_to_fraction(query.object_key, state.registration.id)

    return sorted(servers, key=sort_key)


def rank_by_load(
    servers: Iterable[ServerState], query: PlacementQuery, now_ms: int
) -> list[ServerState]:
    """Rank servers by load per slot; of equally loaded ones, the preferred failure domain first."""

    def sort_key(state: ServerState) -> tuple[float, bool, float]:
        is_remote = state.registration.failure_domain != query.failure_domain
        load_per_slot = state.load(now_ms) / max(1, state.registration.slots)
        return load_per_slot, is_remote, hash_to_fraction(query.object_key, state.registration.id)

    return sorted(servers, key=sort_key)


def exclude_ejected(servers: list[ServerState], now_ms: int) -> list[ServerState]:
    """Return the servers that are not ejected, or all if more than the allowed share is."""
    not_ejected = [state for state in servers if not state.is_ejected(now_ms)]
    if len(not_ejected) < len(servers) * (1 - MAX_EJECTED_SHARE):
        return servers
    return not_ejected


def compute_effective_slots(state: ServerState, median_ms: float) -> float:
    """Return a server's slots, reduced where it is much slower than the median."""
    slots = float(state.registration.slots)
    if state.responses < MIN_LATENCY_SAMPLES or median_ms <= 0:
        return slots
    if state.latency_ms <= SLOW_SERVER_RATIO * median_ms:
        return slots
    return max(0.5, slots * median_ms / state.latency_ms)


def compute_median_latency_ms(servers: Iterable[ServerState]) -> float:
    """Return the median latency of the servers with enough responses."""
    latencies = [state.latency_ms for state in servers if state.responses >= MIN_LATENCY_SAMPLES]
    return statistics.median(latencies) if latencies else 0.0


class ServerGroup:
    """The servers of one service and version in one region."""

    def __init__(self, servers: list[ServerState]) -> None:
        self.servers = servers
        self.rankings: dict[tuple[str, str], list[ServerState]] = {}
        self.median_ms = 0.0
        self.median_expires_ms = 0
        self.known_utilisation = 0.0
        self.utilisation_expires_ms = 0

    def utilisation(self, now_ms: int) -> float:
        """Return the requests at the servers that are not ejected, per slot."""
        if now_ms >= self.utilisation_expires_ms:
            usable = [state for state in self.servers if not state.is_ejected(now_ms)]
            slots = sum(state.registration.slots for state in usable)
            load = sum(state.load(now_ms) for state in usable)
            self.known_utilisation = load / slots if slots else 1.0
            self.utilisation_expires_ms = now_ms + UTILISATION_TTL_MS
        return self.known_utilisation

    def choose(
        self, query: PlacementQuery, admit: Callable[[ServerState], bool], now_ms: int
    ) -> Placement | None:
        """Return the server to use, or None where none has capacity.

        The first server in the ranking with a free slot is used, where the first one may also
        queue a few requests. Otherwise the one with the shortest queue is used, among the first
        ``servers_per_object`` that are not rationed. A request for an object is never placed beyond
        those: under load each server would handle more objects than it can cache, and all requests
        would take several times longer. ``admit`` is called last, as it may take a token of a
        rationed server.
        """
        usable = [
            state for state in exclude_ejected(self.servers, now_ms) if not state.is_paused(now_ms)
        ]
        median_ms = self._current_median_ms(usable, now_ms)
        candidates: list[Placement] = []
        for rank, state in enumerate(self._rank_usable(usable, query, now_ms)):
            if state.registration.id in query.tried:
                continue
            if state.limit is not None and query.object_key and rank >= query.servers_per_object:
                # Its few requests are for its own objects, which it handles fastest.
                continue
            placement = Placement(state, rank, state.load(now_ms))
            slots = compute_effective_slots(state, median_ms)
            if query.object_key and not candidates:
                slots *= 1 + min(FIRST_SERVER_QUEUE_PER_SLOT, query.max_queue_per_slot)
            if placement.load + 1 <= slots and admit(state):
                return placement
            if not state.is_rationed(now_ms):
                candidates.append(placement)
            if query.object_key and len(candidates) >= query.servers_per_object:
                break
        return choose_shortest_queue(candidates, query, median_ms)

    def has_usable_server(self, now_ms: int) -> bool:
        """Tell whether at least one server is neither ejected nor in a pause."""
        return any(
            not state.is_ejected(now_ms) and not state.is_paused(now_ms) for state in self.servers
        )

    def _rank_usable(
        self, usable: list[ServerState], query: PlacementQuery, now_ms: int
    ) -> Iterable[ServerState]:
        if not query.object_key:
            return rank_by_load(usable, query, now_ms)
        key = (query.object_key, query.failure_domain)
        ranking = self.rankings.get(key)
        if ranking is None:
            if len(self.rankings) >= MAX_CACHED_RANKINGS:
                self.rankings.clear()
            ranking = self.rankings[key] = rank_servers(self.servers, query)
        if len(usable) == len(ranking):
            return ranking
        usable_ids = {state.registration.id for state in usable}
        return [state for state in ranking if state.registration.id in usable_ids]

    def _current_median_ms(self, usable: list[ServerState], now_ms: int) -> float:
        if now_ms >= self.median_expires_ms:
            self.median_ms = compute_median_latency_ms(usable)
            self.median_expires_ms = now_ms + MEDIAN_LATENCY_TTL_MS
        return self.median_ms


def choose_shortest_queue(
    placements: list[Placement], query: PlacementQuery, median_ms: float
) -> Placement | None:
    """Return the server with the shortest queue per slot, or None if all queues are too long."""
    shortest: Placement | None = None
    lowest = 1 + query.max_queue_per_slot
    for placement in placements:
        utilisation = (placement.load + 1) / compute_effective_slots(placement.server, median_ms)
        if utilisation <= lowest:
            shortest, lowest = placement, utilisation
    return shortest
