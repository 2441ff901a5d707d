"""What the callers of a VM may send and hold: limits for each connection and for all together.

Whoever asks for more than fits, :class:`ConnectionBudget` closes connections that wait for their
callers. A connection with an admitted request is never closed for it.
"""

import asyncio
import resource
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from berylbankd._internal.models.types import CallerLimits

DEFAULT_MEMORY_MB = 300
DEFAULT_MAX_DESCRIPTORS = 4_100
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# The other sockets are left to the backend servers, one for each caller, the store and the VMs.
CALLER_SOCKETS_SHARE = 0.5
CALLER_MEMORY_SHARE = 0.375
BYTES_PER_MB = 1_048_576
# Memory of a connection, of a request and of a header field, beside the bytes that were received.
CONNECTION_BYTES = 16_384
REQUEST_BYTES = 8_192
HEADER_FIELD_BYTES = 200
# The part of what may be held that is freed at once, so that not every new connection searches.
FREED_SHARE = 1 / 16
CHECK_INTERVAL_S = 0.5
# How long the rest of a body may stop while its response has been sent already.
BODY_REST_TIMEOUT_MS = 5_000
# A response is given up for others when its caller has read nothing of it for this long.
MIN_STALLED_S = 3.0


class ConnectionState(Enum):
    """What a connection waits for.

    ``IDLE`` for the first byte of a request, ``HEAD`` for the rest of its head, ``BODY`` for the
    rest of a body of which no backend server has got anything, ``REST`` for that of a body whose
    response has been sent, ``READER`` for the caller to read a response. ``CLOSING`` connections
    only let the caller read the last response. ``SERVING`` ones wait for this VM.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    REST = "rest"
    READER = "reader"
    CLOSING = "closing"
    SERVING = "serving"


# The longest time without progress, for the states that have one.
STATE_TIMEOUTS_MS: dict[ConnectionState, Callable[[CallerLimits], int]] = {
    ConnectionState.IDLE: lambda limits: limits.idle_timeout_ms,
    ConnectionState.HEAD: lambda limits: limits.header_timeout_ms,
    ConnectionState.REST: lambda _: BODY_REST_TIMEOUT_MS,
    ConnectionState.READER: lambda limits: limits.idle_timeout_ms,
    ConnectionState.CLOSING: lambda limits: limits.idle_timeout_ms,
}
# The states in which a connection may be closed for others, and how long it must have been there.
MIN_WAITS_S = {
    ConnectionState.CLOSING: 0.0,
    ConnectionState.IDLE: 0.0,
    ConnectionState.HEAD: 0.0,
    ConnectionState.BODY: 0.0,
    ConnectionState.REST: 0.0,
    ConnectionState.READER: MIN_STALLED_S,
}


class Progress(NamedTuple):
    """The state of a connection and how far its caller has come; equal while it stands still."""

    state: ConnectionState
    amount: int


class CallerConnection(Protocol):
    """A connection, as the budget sees it."""

    def measure_progress(self) -> Progress:
        """Return how far the caller has come."""

    def measure_held_bytes(self) -> int:
        """Return the memory that the connection takes, in bytes."""

    def expire(self, state: ConnectionState) -> None:
        """End the connection because its caller took too long."""

    def give_way(self, state: ConnectionState) -> bool:
        """End the connection for others; return False if a request has just arrived on it."""


class HeldConnection:
    """What the budget knows of a connection: its progress, since when, and its bytes."""

    def __init__(self, connection: CallerConnection, now_s: float) -> None:
        self.connection = connection
        self.progress = connection.measure_progress()
        self.since_s = now_s
        self.held_bytes = 0

    def update_progress(self, now_s: float) -> None:
        """Note whether the caller has come further."""
        progress = self.connection.measure_progress()
        if progress != self.progress:
            self.progress, self.since_s = progress, now_s


class ConnectionBudget:
    """The limits of callers, and what their connections hold on all ports of the VM.

    ``limits`` are those of the newest configuration. ``on_refusal`` is called with the cause and
    the request's id when a connection ends before its request was admitted.
    """

    def __init__(
        self,
        memory_mb: int = DEFAULT_MEMORY_MB,
        max_descriptors: int = DEFAULT_MAX_DESCRIPTORS,
    ) -> None:
        self.limits = CallerLimits()
        descriptors = min(
            max_descriptors or DEFAULT_MAX_DESCRIPTORS,
            resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        )
        sockets = max(0, descriptors - FILE_DESCRIPTORS)
        self.max_connections = max(1, int(sockets * CALLER_SOCKETS_SHARE))
        memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        self.max_bytes = int(memory_bytes * CALLER_MEMORY_SHARE)
        self.held: dict[CallerConnection, HeldConnection] = {}
        self.held_bytes = 0
        self.on_refusal: Callable[[str, str], None] = lambda _cause, _request_id: None

    def open(self, connection: CallerConnection) -> bool:
        """Count a new connection; return False if there is no room for it."""
        if len(self.held) >= self.max_connections:
            self._free_connections()
        if len(self.held) >= self.max_connections:
            self.on_refusal("no_room_for_connection", "")
            return False
        self.held[connection] = HeldConnection(connection, asyncio.get_running_loop().time())
        self.charge(connection)
        return True

    def close(self, connection: CallerConnection) -> None:
        """Forget a connection."""
        held = self.held.pop(connection, None)
        if held is not None:
            self.held_bytes -= held.held_bytes

    def charge(self, connection: CallerConnection) -> None:
        """Count anew what a connection holds; others may be closed for it, or it itself."""
        if self._count_bytes(connection) > 0 and self.held_bytes > self.max_bytes:
            self._free_bytes()

    def admit(self, connection: CallerConnection) -> bool:
        """Tell whether there is room for a request; others may be closed for it."""
        self._count_bytes(connection)
        if self.held_bytes > self.max_bytes:
            self._free_bytes(keep=connection)
        return self.held_bytes <= self.max_bytes

    async def run(self) -> None:
        """End connections whose callers take too long, until cancelled."""
        last_s = asyncio.get_running_loop().time()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            self._excuse(now_s - last_s - CHECK_INTERVAL_S)
            self.check(now_s)
            last_s = now_s

    def check(self, now_s: float) -> None:
        """End connections whose callers have made no progress for too long."""
        for held in list(self.held.values()):
            held.update_progress(now_s)
            self.charge(held.connection)
            get_timeout_ms = STATE_TIMEOUTS_MS.get(held.progress.state)
            if get_timeout_ms is None:
                continue
            if (now_s - held.since_s) * 1000 >= get_timeout_ms(self.limits):
                held.connection.expire(held.progress.state)

    def _excuse(self, late_s: float) -> None:
        """Don't count against the callers a time in which this process did not run."""
        if late_s >= CHECK_INTERVAL_S:
            for held in self.held.values():
                held.since_s += late_s

    def _count_bytes(self, connection: CallerConnection) -> int:
        """Count anew what a connection holds, and return by how much it has grown."""
        held = self.held.get(connection)
        if held is None:
            return 0
        held_bytes = connection.measure_held_bytes()
        grown_bytes = held_bytes - held.held_bytes
        self.held_bytes += grown_bytes
        held.held_bytes = held_bytes
        return grown_bytes

    def _free_connections(self) -> None:
        """Close the connections that have waited longest for their callers."""
        freed = max(1, int(self.max_connections * FREED_SHARE))
        for held in sorted(self._list_waiting(), key=lambda held: held.since_s):
            if freed <= 0:
                return
            freed -= self._end(held)

    def _free_bytes(self, keep: CallerConnection | None = None) -> None:
        """Close the connections that hold most while they wait for their callers, but for one."""
        target = self.max_bytes * (1 - FREED_SHARE)
        for held in sorted(self._list_waiting(), key=lambda held: -held.held_bytes):
            if self.held_bytes <= target:
                return
            if held.connection is not keep:
                self._end(held)

    def _list_waiting(self) -> list[HeldConnection]:
        now_s = asyncio.get_running_loop().time()
        waiting = []
        for held in self.held.values():
            held.update_progress(now_s)
            min_wait_s = MIN_WAITS_S.get(held.progress.state)
            if min_wait_s is not None and now_s - held.since_s >= min_wait_s:
                waiting.append(held)
        return waiting

    def _end(self, held: HeldConnection) -> bool:
        """End a connection for others, and tell whether that was possible."""
        state = held.progress.state
        if not held.connection.give_way(state):
            return False
        # The refusal of a request whose body had begun to arrive has been reported with its id.
        if state is not ConnectionState.BODY:
            self.on_refusal(f"gave_way_{state.value}", "")
        self.close(held.connection)
        return True
