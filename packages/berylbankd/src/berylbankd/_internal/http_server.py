"""HTTP servers of ``berylbankd steer``, on uvicorn's protocol class and httptools' parser.

Most callers open a new connection for each request, so a task for each connection would use too
much CPU time (docs/design/platform.md).
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from berylbank._internal.utils.addresses import parse_address

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
LISTEN_BACKLOG_CONNECTIONS = 1_024
# Callers' idle connections are kept open for at least this long. Callers reuse a connection only
# for part of the idle time that the configuration gives them.
KEEP_ALIVE_S = 61
STOP_POLL_INTERVAL_S = 0.02


class HttpServer:
    """Serves an ASGI application on one address."""

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
        self.server_state = ServerState()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.get_running_loop().create_server(
            self._make_protocol,
            self.address.host,
            self.address.port,
            backlog=LISTEN_BACKLOG_CONNECTIONS,
        )

    def set_min_keep_alive(self, min_idle_ms: int) -> None:
        """Set for how long at least connections opened from now on are kept open while idle."""
        self.config.timeout_keep_alive = max(KEEP_ALIVE_S, min_idle_ms // 1000 + 1)

    def stop_listening(self) -> None:
        """Stop accepting connections; close idle ones now and the others after their response."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.server_state.connections):
            connection.shutdown()

    async def stop(self, grace_s: float) -> None:
        """Stop listening, and wait up to ``grace_s`` for running requests to finish."""
        self.stop_listening()
        deadline_s = asyncio.get_running_loop().time() + grace_s
        while self.server_state.tasks and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    def _make_protocol(self) -> HttpToolsProtocol:
        return HttpToolsProtocol(config=self.config, server_state=self.server_state, app_state={})
