"""A pool of idle connections to backend servers, which reuses only those that are still usable."""

import select

from berylbankd._internal.backends.connection import CONNECT_TIMEOUT_S, BackendConnection

MAX_CONNECTION_AGE_MS = 60_000
MAX_IDLE_MS = 5_000
MAX_IDLE_CONNECTIONS_PER_BACKEND = 16
# When a reused connection to a server turns out to be stale, the idle limit for that server becomes
# the first factor times how long the connection was idle. Each reused connection that is still live
# multiplies the limit by the second factor.
IDLE_LIMIT_DECREASE_FACTOR = 0.5
IDLE_LIMIT_INCREASE_FACTOR = 1.5
MIN_IDLE_LIMIT_MS = 50


class ConnectionPool:
    """Idle connections by address; the most recently used one is reused first.

    A connection that is taken for a request or is to be closed leaves ``idle`` before anything is
    awaited, so that no other task finds it there.

    ``idle_limits_ms`` holds the idle limits that were lowered after a stale connection, by address.
    """

    def __init__(self) -> None:
        self.idle: dict[str, list[BackendConnection]] = {}
        self.idle_limits_ms: dict[str, float] = {}

    async def acquire(
        self,
        address: str,
        now_ms: int,
        *,
        force_new: bool,
        max_idle_ms: int = MAX_IDLE_MS,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> BackendConnection:
        """Return an idle connection, or open a new one.

        ``force_new`` always opens a new one, for requests that must run at most once.
        ``max_idle_ms`` is how long a reused connection may have been idle, ``timeout_s`` the
        timeout for opening a new one.

        :raises BackendConnectionError: when a new connection can't be opened in time.
        """
        max_idle_ms = min(max_idle_ms, int(self.idle_limits_ms.get(address, max_idle_ms)))
        while not force_new:
            connection = self._pop_most_recent(address)
            if connection is None:
                break
            if not _is_usable(connection, now_ms):
                await connection.aclose()
                continue
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms > max_idle_ms:
                self.idle.setdefault(address, []).append(connection)
                break
            connection.idle_before_reuse_ms = idle_ms
            return connection
        return await BackendConnection.open(address, now_ms, timeout_s)

    def record_stale_connection(self, address: str, idle_before_reuse_ms: int) -> None:
        """Record that a reused connection failed: the server had dropped it without closing it."""
        self.idle_limits_ms[address] = max(
            MIN_IDLE_LIMIT_MS, idle_before_reuse_ms * IDLE_LIMIT_DECREASE_FACTOR
        )

    def record_live_connection(self, address: str) -> None:
        """Record that a reused connection was still live, which raises a lowered idle limit."""
        limit_ms = self.idle_limits_ms.get(address)
        if limit_ms is None:
            return
        if limit_ms * IDLE_LIMIT_INCREASE_FACTOR >= MAX_IDLE_MS:
            del self.idle_limits_ms[address]
        else:
            self.idle_limits_ms[address] = limit_ms * IDLE_LIMIT_INCREASE_FACTOR

    async def release(self, address: str, connection: BackendConnection, now_ms: int) -> None:
        """Return a connection to the pool if it can be reused, otherwise close it."""
        idle_connections = self.idle.setdefault(address, [])
        if (
            connection.reset_for_reuse(now_ms)
            and len(idle_connections) < MAX_IDLE_CONNECTIONS_PER_BACKEND
        ):
            idle_connections.append(connection)
        else:
            await connection.aclose()

    async def close_idle_to(self, address: str) -> None:
        """Close all idle connections to a server, as they may be as dead as one that failed."""
        for connection in self.idle.pop(address, []):
            await connection.aclose()

    async def close_unusable(self, now_ms: int) -> None:
        """Close connections that are too old, idle for too long or closed by the server."""
        unusable: list[BackendConnection] = []
        for address in list(self.idle):
            usable: list[BackendConnection] = []
            for connection in self.idle.pop(address):
                (usable if _is_usable(connection, now_ms) else unusable).append(connection)
            if usable:
                self.idle[address] = usable
        for connection in unusable:
            await connection.aclose()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for address in list(self.idle):
            await self.close_idle_to(address)

    def _pop_most_recent(self, address: str) -> BackendConnection | None:
        idle_connections = self.idle.get(address)
        return idle_connections.pop() if idle_connections else None


def _is_usable(connection: BackendConnection, now_ms: int) -> bool:
    if now_ms - connection.opened_ms > MAX_CONNECTION_AGE_MS:
        return False
    max_idle_ms = MAX_IDLE_MS if connection.max_idle_ms is None else connection.max_idle_ms
    if now_ms - connection.idle_since_ms > max_idle_ms:
        return False
    return not _has_pending_input(connection)


def _has_pending_input(connection: BackendConnection) -> bool:
    """Tell whether the server has closed the connection or sent unexpected data."""
    poll = select.poll()
    poll.register(connection.file_descriptor, select.POLLIN)
    return bool(poll.poll(0))
