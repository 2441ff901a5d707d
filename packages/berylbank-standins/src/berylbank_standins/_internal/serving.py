"""Start hypercorn for an ASGI application."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
UNLIMITED_REQUESTS = 2**31


async def serve_app(app: AsgiApp, address: str, stop: anyio.Event) -> None:
    """Serve ``app`` on IP:port until ``stop`` is set."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_max_requests = UNLIMITED_REQUESTS
    config.graceful_timeout = 1.0
    await serve(app, config, shutdown_trigger=stop.wait)


async def read_body(receive: Any) -> bytes:
    """Return the whole body of a request."""
    chunks = []
    while True:
        event = await receive()
        chunks.append(event.get("body", b""))
        if not event.get("more_body"):
            return b"".join(chunks)


async def send_answer(
    send: Any, status: int, body: bytes, content_type: bytes = b"application/json"
) -> None:
    """Send a whole answer."""
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
