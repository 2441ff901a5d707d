"""Runs an ASGI application in hypercorn."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
# Hypercorn closes a connection after this number of requests: high enough to be no limit.
KEEP_ALIVE_MAX_REQUESTS = 2**31


async def serve_app(app: AsgiApp, address: str, stop: anyio.Event) -> None:
    """Serve ``app`` on IP:port until ``stop`` is set."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_max_requests = KEEP_ALIVE_MAX_REQUESTS
    config.graceful_timeout = 1.0
    await serve(app, config, shutdown_trigger=stop.wait)


async def read_body(receive: Any) -> bytes:
    """Read the complete body of a request."""
    body_parts = []
    while True:
        event = await receive()
        body_parts.append(event.get("body", b""))
        if not event.get("more_body"):
            return b"".join(body_parts)


async def send_response(
    send: Any,
    status: int,
    body: bytes,
    content_type: bytes = b"application/json",
    extra_headers: Sequence[tuple[bytes, bytes]] = (),
) -> None:
    """Send a complete response."""
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
        *extra_headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
