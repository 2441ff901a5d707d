"""Enforces the deadlines of all connections by polling, without a timer for each."""

import anyio

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.backends.connection import BackendConnection

CHECK_INTERVAL_S = 0.05


class DeadlineMonitor:
    """Closes connections past their deadline; the task using one then gets an error."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.active: set[BackendConnection] = set()

    async def run(self) -> None:
        """Check the deadlines periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Close every connection whose deadline has passed."""
        now_ms = self.clock.now_ms()
        for connection in [c for c in self.active if c.deadline_ms <= now_ms]:
            self.active.discard(connection)
            connection.timed_out = True
            await connection.aclose()
