"""Idle connections to backend servers; one in doubt is never kept."""

import select

from berylbankd._internal.backends.connection import CONNECT_TIMEOUT_S, BackendConnection

MAX_AGE_MS = 60_000
MAX_IDLE_MS = 5_000
MAX_IDLE_PER_BACKEND = 16
# After a server has forgotten an idle connection, others to it may rest for this part of that time;
# each one that is still there after its rest raises the limit again.
FORGOTTEN_PART = 0.5
HELD_RATIO = 1.5
LEAST_IDLE_MS = 50


class ConnectionPool:
    """Idle connections by address, newest first."""

    def __init__(self) -> None:
        self.idle: dict[str, list[BackendConnection]] = {}
        self.limits_ms: dict[str, float] = {}

    async def acquire(
        self,
        address: str,
        now_ms: int,
        *,
        fresh: bool,
        max_idle_ms: int = MAX_IDLE_MS,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> BackendConnection:
        """Return a connection; ``fresh`` demands a new one, for work that must run once.

        ``max_idle_ms`` is how long a connection may have been idle, ``timeout_s`` how long a new
        one may take to open.
        """
        max_idle_ms = min(max_idle_ms, int(self.limits_ms.get(address, max_idle_ms)))
        waiting = self.idle.get(address, [])
        while waiting and not fresh:
            connection = waiting[-1]
            if _is_usable(connection, now_ms) and now_ms - connection.idle_since_ms > max_idle_ms:
                break
            waiting.pop()
            if _is_usable(connection, now_ms):
                connection.rested_ms = now_ms - connection.idle_since_ms
                return connection
            await connection.aclose()
        return await BackendConnection.open(address, now_ms, timeout_s)

    def note_forgotten(self, address: str, rested_ms: int) -> None:
        """Record that a connection was gone after its rest, without a word."""
        self.limits_ms[address] = max(LEAST_IDLE_MS, rested_ms * FORGOTTEN_PART)

    def note_held(self, address: str) -> None:
        """Record that a connection was still there after its rest."""
        limit_ms = self.limits_ms.get(address)
        if limit_ms is None:
            return
        if limit_ms * HELD_RATIO >= MAX_IDLE_MS:
            del self.limits_ms[address]
        else:
            self.limits_ms[address] = limit_ms * HELD_RATIO

    async def release(self, address: str, connection: BackendConnection, now_ms: int) -> None:
        """Keep a connection whose exchange ended properly, or close it."""
        waiting = self.idle.setdefault(address, [])
        if connection.finish(now_ms) and len(waiting) < MAX_IDLE_PER_BACKEND:
            waiting.append(connection)
        else:
            await connection.aclose()

    async def drop(self, address: str) -> None:
        """Close the idle connections to a server of which one has gone silent."""
        for connection in self.idle.pop(address, []):
            await connection.aclose()

    async def close_idle(self, now_ms: int) -> None:
        """Close connections that are old, idle for long or closed by the other end."""
        for address, waiting in list(self.idle.items()):
            kept = [c for c in waiting if _is_usable(c, now_ms)]
            dropped = [c for c in waiting if c not in kept]
            self.idle[address] = kept
            for connection in dropped:
                await connection.aclose()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for waiting in self.idle.values():
            for connection in waiting:
                await connection.aclose()
        self.idle.clear()


def _is_usable(connection: BackendConnection, now_ms: int) -> bool:
    if now_ms - connection.opened_ms > MAX_AGE_MS:
        return False
    most_ms = MAX_IDLE_MS if connection.max_idle_ms is None else connection.max_idle_ms
    if now_ms - connection.idle_since_ms > most_ms:
        return False
    return not _has_pending_input(connection)


def _has_pending_input(connection: BackendConnection) -> bool:
    """Tell whether the other end has closed or sent something unasked."""
    poll = select.poll()
    poll.register(connection.descriptor, select.POLLIN)
    return bool(poll.poll(0))
