"""HTTP endpoints that aren't forwarded: readiness, look-up, rows for other VMs, metrics."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qs

from berylbankd._internal.ingress.codec import HeaderList


class EndpointResponse(NamedTuple):
    """An endpoint's response."""

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"


class LookupQuery(NamedTuple):
    """The host that a caller looks up, and the caller's region and failure domain."""

    host: str
    region: str
    failure_domain: str


class LookupCodec(Protocol):
    """Decodes look-ups and encodes the responses to them.

    ``ready_path`` and ``lookup_path`` are the paths that the platform requests.
    """

    ready_path: str
    lookup_path: str

    def decode_query(self, query: dict[str, list[str]]) -> LookupQuery:
        """Decode the query string of a look-up."""

    def encode_addresses(self, addresses: list[str], ttl_ms: int) -> bytes:
        """Return the body of a look-up's response: ``addresses``, valid for ``ttl_ms``."""


QueryParameters = dict[str, list[str]]
Handler = Callable[[QueryParameters], EndpointResponse]


class EndpointApp:
    """An ASGI application that maps each path to a handler; other paths get status 404."""

    def __init__(self, handlers: dict[str, Handler]) -> None:
        self.handlers = handlers

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one connection event."""
        if scope["type"] != "http":
            return
        handler = self.handlers.get(scope["path"])
        query = parse_qs(scope["query_string"].decode("latin-1"))
        response = handler(query) if handler is not None else EndpointResponse(404)
        headers: HeaderList = [
            (b"content-type", response.content_type),
            (b"content-length", str(len(response.body)).encode()),
        ]
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": response.body})
