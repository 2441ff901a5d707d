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
SLOW_RATIO = 3.5
# Answers before a server's latency says anything.
MIN_ANSWERS = 5
# Part of the servers that may be ejected; beyond it all are used again.
MAX_EJECTED_SHARE = 0.5
HASH_SPAN = float(2**64)
# Servers that may handle one object: enough for a busy one, few enough to stay warm.
RANKS_PER_OBJECT = 2
# Rankings remembered at most in a group.
MAX_RANKINGS = 5_000
# Requests that may wait at the first server in rank, as a part of its slots, before the next one is
# used: waiting for a moment costs less than work on an object that the next one has not seen.
WAIT_BEFORE_NEXT = 0.34
# How often the median latency of a group is computed anew.
MEDIAN_EVERY_MS = 250


class Wanted(NamedTuple):
    """What a request asks of placement.

    ``failure_domain`` is where a server is preferred, empty where affinity matters more than
    bytes between failure domains. ``wait_slots`` is how many requests per slot may wait at a
    server ahead of this one. ``ranks`` is how many servers may handle the object.
    """

    object_key: str
    failure_domain: str
    tried: frozenset[str]
    wait_slots: float
    ranks: int = RANKS_PER_OBJECT


class Choice(NamedTuple):
    """The server chosen, its place in the object's rank, and the load that it was chosen by."""

    server: ServerState
    rank: int
    load: int


def hash_unit(*parts: str) -> float:
    """Return a number from 0 to 1 that all VMs compute alike."""
    return float(xxhash.xxh64_intdigest("\0".join(parts).encode()) / HASH_SPAN)


def rank_servers(servers: Iterable[ServerState], wanted: Wanted) -> list[ServerState]:
    """Order servers for an object: those of a preferred failure domain first, then by hash."""

    def order(state: ServerState) -> tuple[bool, float]:
        away = bool(wanted.failure_domain) and (state.entry.failure_domain != wanted.failure_domain)
        return away, hash_unit(wanted.object_key, state.entry.id)

    return sorted(servers, key=order)


def rank_by_load(servers: Iterable[ServerState], wanted: Wanted, now_ms: int) -> list[ServerState]:
    """Order servers by load, nearest first where equal."""

    def order(state: ServerState) -> tuple[float, bool, float]:
        away = state.entry.failure_domain != wanted.failure_domain
        share = state.load(now_ms) / max(1, state.entry.slots)
        return share, away, hash_unit(wanted.object_key, state.entry.id)

    return sorted(servers, key=order)


def find_usable(servers: list[ServerState], now_ms: int) -> list[ServerState]:
    """Leave out ejected servers, but never more than a share of them."""
    sound = [state for state in servers if not state.is_ejected(now_ms)]
    if len(sound) < len(servers) * (1 - MAX_EJECTED_SHARE):
        return servers
    return sound


def effective_slots(state: ServerState, median_ms: float) -> float:
    """Return the slots of a server, fewer where it is much slower than the others."""
    slots = float(state.entry.slots)
    if state.answers < MIN_ANSWERS or median_ms <= 0:
        return slots
    if state.latency_ms <= SLOW_RATIO * median_ms:
        return slots
    return max(0.5, slots * median_ms / state.latency_ms)


def median_latency(servers: Iterable[ServerState]) -> float:
    """Return the median latency of the servers that have answered often enough."""
    known = [state.latency_ms for state in servers if state.answers >= MIN_ANSWERS]
    return statistics.median(known) if known else 0.0


class ServerGroup:
    """The servers of one service and version in one region."""

    def __init__(self, servers: list[ServerState]) -> None:
        self.servers = servers
        self.ranked: dict[tuple[str, str], list[ServerState]] = {}
        self.median_ms = 0.0
        self.median_until_ms = 0

    def choose(
        self, wanted: Wanted, admits: Callable[[ServerState], bool], now_ms: int
    ) -> Choice | None:
        """Return the server to use, or None where none has room.

        First choice is the highest rank with a free slot, or nearly so, then the one of the first
        ranks whose queue is shortest. A request for an object never goes beyond its first ranks:
        under load each server would see more objects than it remembers, and all work would take
        several times longer. ``admits`` is asked last, as it may spend a cold server's allowance.
        """
        usable = find_usable(self.servers, now_ms)
        median_ms = self._median(usable, now_ms)
        first: list[Choice] = []
        for rank, state in enumerate(self._order(usable, wanted, now_ms)):
            if state.entry.id in wanted.tried:
                continue
            choice = Choice(state, rank, state.load(now_ms))
            slots = effective_slots(state, median_ms)
            if wanted.object_key and not first:
                slots *= 1 + min(WAIT_BEFORE_NEXT, wanted.wait_slots)
            if choice.load + 1 <= slots and admits(state):
                return choice
            if not state.is_cold(now_ms):
                first.append(choice)
            if wanted.object_key and len(first) >= wanted.ranks:
                break
        return shortest_queue(first, wanted, median_ms)

    def is_reachable(self, now_ms: int) -> bool:
        """Tell whether any server is not ejected."""
        return any(not state.is_ejected(now_ms) for state in self.servers)

    def _order(
        self, usable: list[ServerState], wanted: Wanted, now_ms: int
    ) -> Iterable[ServerState]:
        if not wanted.object_key:
            return rank_by_load(usable, wanted, now_ms)
        key = (wanted.object_key, wanted.failure_domain)
        ranked = self.ranked.get(key)
        if ranked is None:
            if len(self.ranked) >= MAX_RANKINGS:
                self.ranked.clear()
            ranked = self.ranked[key] = rank_servers(self.servers, wanted)
        if len(usable) == len(ranked):
            return ranked
        return [state for state in ranked if not state.is_ejected(now_ms)]

    def _median(self, usable: list[ServerState], now_ms: int) -> float:
        if now_ms >= self.median_until_ms:
            self.median_ms = median_latency(usable)
            self.median_until_ms = now_ms + MEDIAN_EVERY_MS
        return self.median_ms


def shortest_queue(choices: list[Choice], wanted: Wanted, median_ms: float) -> Choice | None:
    """Return the server with the shortest queue for its slots, if it is short enough."""
    best: Choice | None = None
    least = 1 + wanted.wait_slots
    for choice in choices:
        filled = (choice.load + 1) / effective_slots(choice.server, median_ms)
        if filled <= least:
            best, least = choice, filled
    return best
