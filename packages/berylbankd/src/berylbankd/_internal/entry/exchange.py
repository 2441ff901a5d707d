"""One caller's request on its way through the filters."""

import secrets
from collections.abc import Awaitable, Callable
from typing import Any

from berylbank._internal.models.configuration import IDEMPOTENT_METHODS, Service
from berylbankd._internal.entry.routes import Grant
from berylbankd._internal.rates.bucket import Bucket

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
HeaderList = list[tuple[bytes, bytes]]
MAX_ID_BYTES = 64
MAX_RECORDED_BYTES = 65_536
OPEN_ORGANISATION = "(open)"


class Exchange:
    """A request, what the filters found out about it, and its answer so far."""

    def __init__(self, scope: Any, receive: Receive, send: Send, started_ms: int) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.target: bytes = scope["raw_path"]
        if scope["query_string"]:
            self.target += b"?" + scope["query_string"]
        self.headers: HeaderList = scope["headers"]
        self.receive = receive
        self.send = send
        self.started_ms = started_ms
        self.request_id = _request_id(self.headers)
        self.grant: Grant | None = None
        self.service: Service | None = None
        self.bucket: Bucket | None = None
        self.status = 0
        self.backends: tuple[str, ...] = ()
        self.record = False
        self.answered = False
        self.answer_headers: HeaderList = []
        self.answer_body = bytearray()
        self.body = b""
        self.body_complete = not has_body(self.headers)

    async def send_start(self, status: int, headers: HeaderList) -> None:
        """Begin the answer."""
        self.status = status
        self.answer_headers = headers
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the answer that more will follow."""
        if self.record and len(self.answer_body) <= MAX_RECORDED_BYTES:
            self.answer_body += chunk
        await self.send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def send_end(self, chunk: bytes) -> None:
        """Send the last part of the answer."""
        if self.record and len(self.answer_body) <= MAX_RECORDED_BYTES:
            self.answer_body += chunk
        self.answered = True
        await self.send({"type": "http.response.body", "body": chunk})

    @property
    def organisation(self) -> str:
        """Return the organisation that the request runs for."""
        return self.grant.organisation if self.grant is not None else OPEN_ORGANISATION

    @property
    def idempotent(self) -> bool:
        """Tell whether running the request twice does no harm."""
        return self.method in IDEMPOTENT_METHODS


def has_body(headers: HeaderList) -> bool:
    """Tell whether the headers announce a body."""
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)


def _request_id(headers: HeaderList) -> str:
    for name, value in headers:
        if name == b"x-request-id" and 0 < len(value) <= MAX_ID_BYTES and value.isalnum():
            return value.decode()
    return secrets.token_hex(8)
