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


class Wanted(NamedTuple):
    """What a request asks of placement.

    ``failure_domain`` is where a server is preferred, empty where affinity matters more than
    bytes between failure domains. ``wait_slots`` is how many requests per slot may wait at a
    server ahead of this one.
    """

    object_key: str
    failure_domain: str
    tried: frozenset[str]
    wait_slots: float


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


def choose_server(
    servers: list[ServerState],
    wanted: Wanted,
    admits: Callable[[ServerState], bool],
    now_ms: int,
) -> ServerState | None:
    """Return the server to use, or None where none has room.

    First choice is the highest rank with a free slot, then the least loaded whose queue is short
    enough. ``admits`` is asked last, as it may spend a cold server's allowance.
    """
    usable = find_usable(servers, now_ms)
    untried = [state for state in usable if state.entry.id not in wanted.tried]
    median_ms = median_latency(usable)
    ranked = (
        rank_servers(untried, wanted)
        if wanted.object_key
        else rank_by_load(untried, wanted, now_ms)
    )
    for state in ranked:
        if state.load(now_ms) + 1 <= effective_slots(state, median_ms) and admits(state):
            return state
    for state in rank_by_load(untried, wanted, now_ms):
        most = effective_slots(state, median_ms) * (1 + wanted.wait_slots)
        if state.load(now_ms) + 1 <= most and admits(state):
            return state
    return None
