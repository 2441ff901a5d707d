"""A caller's HTTP request and the response to it."""

import secrets
from collections.abc import Awaitable, Callable
from typing import Any

from berylbank._internal.models.configuration import IDEMPOTENT_METHODS, Service
from berylbankd._internal.entry.routes import KeyGrant
from berylbankd._internal.rates.bucket import Bucket

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
HeaderList = list[tuple[bytes, bytes]]
MAX_REQUEST_ID_BYTES = 64
MAX_RECORDED_RESPONSE_BYTES = 65_536
OPEN_ORGANISATION = "(open)"


class Exchange:
    """A request, what the filters determined about it, and the response sent so far.

    ``key_grant`` stays None on an open route. ``tried_backends`` lists the names of the backend
    servers that a connection for the request was obtained to, in order.

    ``body`` is the buffered part of the request body, ``body_complete`` is set once the whole body
    has been received, and ``body_replayable`` is unset once a part of it was received that is not
    in the buffer.

    ``record_response`` asks to keep the response body for the replay of an idempotent request.
    """

    def __init__(self, scope: Any, receive: Receive, send: Send, arrived_ms: int) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.target: bytes = scope["raw_path"]
        if scope["query_string"]:
            self.target += b"?" + scope["query_string"]
        self.headers: HeaderList = scope["headers"]
        self.receive = receive
        self.send = send
        self.arrived_ms = arrived_ms
        self.request_id = _find_or_make_request_id(self.headers)
        self.key_grant: KeyGrant | None = None
        self.service: Service | None = None
        self.bucket: Bucket | None = None
        self.status = 0
        self.tried_backends: tuple[str, ...] = ()
        self.record_response = False
        self.response_complete = False
        self.response_headers: HeaderList = []
        self.response_body = bytearray()
        self.body = b""
        self.body_complete = not has_body(self.headers)
        self.body_replayable = True

    async def start_response(self, status: int, headers: HeaderList) -> None:
        """Send the status and the headers of the response."""
        self.status = status
        self.response_headers = headers
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of the response's body that isn't the last."""
        if self.record_response and len(self.response_body) <= MAX_RECORDED_RESPONSE_BYTES:
            self.response_body += chunk
        await self.send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def finish_response(self, chunk: bytes) -> None:
        """Send the last chunk of the response's body."""
        if self.record_response and len(self.response_body) <= MAX_RECORDED_RESPONSE_BYTES:
            self.response_body += chunk
        self.response_complete = True
        await self.send({"type": "http.response.body", "body": chunk})

    @property
    def organisation(self) -> str:
        """Return the organisation that owns the key, or a placeholder on an open route."""
        return self.key_grant.organisation if self.key_grant is not None else OPEN_ORGANISATION

    @property
    def idempotent(self) -> bool:
        """Tell whether the request's method is idempotent, so that it may run more than once."""
        return self.method in IDEMPOTENT_METHODS


def has_body(headers: HeaderList) -> bool:
    """Tell whether the headers announce a request body."""
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)


def _find_or_make_request_id(headers: HeaderList) -> str:
    for name, value in headers:
        if name == b"x-request-id" and 0 < len(value) <= MAX_REQUEST_ID_BYTES and value.isalnum():
            return value.decode()
    return secrets.token_hex(8)
