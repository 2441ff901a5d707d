"""The order in which requests are served that callers sent ahead of their responses."""

import asyncio
from typing import Protocol


class ServedInTurn(Protocol):
    """A connection that waits for its turn."""

    def process_input(self) -> None:
        """Parse what has arrived, up to the end of the request that is served next."""


class RequestsAhead:
    """Connections whose callers sent the next request before they had the last response.

    They take turns, one request in each pass of the event loop, so that they leave the passes to
    the callers that wait for their responses.
    """

    def __init__(self) -> None:
        self.waiting: dict[ServedInTurn, None] = {}
        self.scheduled = False

    def add(self, connection: ServedInTurn) -> None:
        """Let a connection wait for its turn."""
        self.waiting[connection] = None
        self._schedule()

    def discard(self, connection: ServedInTurn) -> None:
        """Forget a connection that has ended."""
        self.waiting.pop(connection, None)

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._serve_first)

    def _serve_first(self) -> None:
        self.scheduled = False
        if not self.waiting:
            return
        connection = next(iter(self.waiting))
        del self.waiting[connection]
        connection.process_input()
        if self.waiting:
            self._schedule()
