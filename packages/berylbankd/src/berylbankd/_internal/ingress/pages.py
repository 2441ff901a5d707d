"""The small pages beside the callers' address: readiness, look-up, rows for VMs, metrics."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qs

from berylbankd._internal.ingress.codec import HeaderList


class Page(NamedTuple):
    """An answer to a page's request."""

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"


class LookupQuestion(NamedTuple):
    """Where a caller stands, and which host it wants."""

    host: str
    region: str
    failure_domain: str


class LookupCodec(Protocol):
    """Decodes the calls of callers and the platform beside requests."""

    ready_path: str
    lookup_path: str

    def decode_question(self, query: dict[str, list[str]]) -> LookupQuestion:
        """Read a look-up's query."""

    def encode_addresses(self, addresses: list[str], ttl_ms: int) -> bytes:
        """Return the body of a look-up's answer."""


Query = dict[str, list[str]]
Handler = Callable[[Query], Page]


class PageApp:
    """An ASGI application of a few paths."""

    def __init__(self, handlers: dict[str, Handler]) -> None:
        self.handlers = handlers

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one connection event."""
        if scope["type"] != "http":
            return
        handler = self.handlers.get(scope["path"])
        query = parse_qs(scope["query_string"].decode("latin-1"))
        page = handler(query) if handler is not None else Page(404)
        headers: HeaderList = [
            (b"content-type", page.content_type),
            (b"content-length", str(len(page.body)).encode()),
        ]
        await send({"type": "http.response.start", "status": page.status, "headers": headers})
        await send({"type": "http.response.body", "body": page.body})
