"""Runs ASGI applications on Hypercorn, with limits on the resources that callers can use up."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
# In effect no limit.
MAX_REQUESTS_PER_CONNECTION = 2**31
MAX_HEADER_BYTES = 32_768
KEEP_ALIVE_S = 30.0
LISTEN_BACKLOG_CONNECTIONS = 1_024


def make_server_config(address: str, stop_grace_ms: int) -> Config:
    """Return the Hypercorn configuration of a server on IP:port ``address``."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.read_timeout = None
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.backlog = LISTEN_BACKLOG_CONNECTIONS
    config.graceful_timeout = stop_grace_ms / 1000
    config.alpn_protocols = ["http/1.1"]
    return config


async def serve_http(app: AsgiApp, address: str, stop: anyio.Event, stop_grace_ms: int) -> None:
    """Serve ``app`` on IP:port until ``stop``; running requests get ``stop_grace_ms`` to finish."""
    config = make_server_config(address, stop_grace_ms)
    await serve(app, config, shutdown_trigger=stop.wait)


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Acknowledge the startup and shutdown events of the ASGI lifespan protocol."""
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return
