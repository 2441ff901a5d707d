"""Enforces the deadlines of all connections by checking them periodically, without timers."""

from collections.abc import Callable

import anyio

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.backends.connection import BackendConnection

CHECK_INTERVAL_S = 0.05


class DeadlineMonitor:
    """Closes connections whose deadline has expired.

    The task that uses such a connection gets a :class:`BackendConnectionError`.

    ``silence_limits_ms`` holds the cancel scopes of waits for responses, and when to cancel each.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.active_connections: set[BackendConnection] = set()
        self.silence_limits_ms: dict[anyio.CancelScope, int] = {}

    async def run(self) -> None:
        """Check the deadlines periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.cancel_silent()
            await self.close_expired()

    def cancel_silent(self) -> None:
        """Cancel every wait for a server that is silent for too long."""
        now_ms = self.clock.now_ms()
        for scope, limit_ms in self.silence_limits_ms.items():
            if limit_ms <= now_ms:
                scope.cancel()

    async def close_expired(self) -> None:
        """Close every connection whose deadline has passed."""
        now_ms = self.clock.now_ms()
        await self._close_where(lambda connection: connection.deadline_ms <= now_ms)

    async def expire_unanswered(self) -> None:
        """Close every connection whose response has not begun, as if its deadline had passed."""
        await self._close_where(lambda connection: not connection.response_started)

    async def _close_where(self, is_due: Callable[[BackendConnection], bool]) -> None:
        for connection in tuple(self.active_connections):
            # While another one was being closed, it may have been answered, released or reused.
            if connection in self.active_connections and is_due(connection):
                self.active_connections.discard(connection)
                connection.timed_out = True
                await connection.aclose()
