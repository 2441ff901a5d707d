"""HTTP servers for the platform's addresses, over uvicorn's protocol and httptools' parser.

Callers mostly open a connection for each request; a task a connection costs too much processor
time for that (docs/design/platform.md).
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from berylbank._internal.utils.addresses import parse_address

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
BACKLOG = 1_024
# A caller's connection is kept at least this long; callers may reuse it for a part of the idle
# time that the configuration tells them.
KEEP_ALIVE_S = 61
POLL_S = 0.02


class HttpServer:
    """An ASGI application on one address."""

    def __init__(self, app: AsgiApp, address: str) -> None:
        self.address = parse_address(address)
        self.config = Config(
            app,
            http=HttpToolsProtocol,
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        self.config.load()
        self.state = ServerState()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.get_running_loop().create_server(
            self._make_protocol, self.address.host, self.address.port, backlog=BACKLOG
        )

    def keep_connections_for(self, idle_ms: int) -> None:
        """Keep idle connections that are opened from now on at least this long."""
        self.config.timeout_keep_alive = max(KEEP_ALIVE_S, idle_ms // 1000 + 1)

    def stop_listening(self) -> None:
        """Take no new connection, and close those that are idle or once they have answered."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.state.connections):
            connection.shutdown()

    async def stop(self, grace_s: float) -> None:
        """Stop listening, and give running requests some time."""
        self.stop_listening()
        deadline = asyncio.get_running_loop().time() + grace_s
        while self.state.tasks and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(POLL_S)

    def _make_protocol(self) -> HttpToolsProtocol:
        return HttpToolsProtocol(config=self.config, server_state=self.state, app_state={})
