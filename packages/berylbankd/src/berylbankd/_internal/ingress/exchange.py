"""One caller's request, and its answer."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from berylbankd._internal.ingress.codec import CallerRequest, HeaderCodec, HeaderList
from berylbankd._internal.models.types import Organisation, Route
from berylbankd._internal.refusals import Refusal

# Bodies up to this size are kept, so that they can be sent again.
KEPT_BODY_BYTES = 262_144
# Two parts of a body are never further apart than this.
BODY_STALL_S = 5.0

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]


class CallerGoneError(Exception):
    """The caller closed its connection."""


class CallerExchange:
    """A request with its body, and the way back to its caller."""

    def __init__(
        self, scope: Any, receive: Receive, send: Send, codec: HeaderCodec, now_ms: int
    ) -> None:
        self.method: bytes = scope["method"].encode()
        self.path: str = scope["raw_path"].decode("latin-1")
        self.target: bytes = scope["raw_path"]
        if scope["query_string"]:
            self.target += b"?" + scope["query_string"]
        self.headers: HeaderList = scope["headers"]
        self.receive = receive
        self.send = send
        self.arrived_ms = now_ms
        self.request: CallerRequest = codec.decode_request(self.headers)
        self.body = b""
        self.body_complete = not any(
            name in (b"content-length", b"transfer-encoding") for name, _ in self.headers
        )
        self.route: Route | None = None
        self.organisation: Organisation | None = None
        self.closing = False

    async def read_body(self) -> None:
        """Read a body as far as it is kept; raise :class:`CallerGoneError`, ``TimeoutError``."""
        parts: list[bytes] = []
        size = 0
        while not self.body_complete and size <= KEPT_BODY_BYTES:
            part = await self.receive_part()
            parts.append(part)
            size += len(part)
        self.body = b"".join(parts)

    async def receive_part(self) -> bytes:
        """Return the next part of the body."""
        with anyio.fail_after(BODY_STALL_S):
            event = await self.receive()
        if event["type"] == "http.disconnect":
            raise CallerGoneError
        self.body_complete = not event.get("more_body", False)
        part: bytes = event.get("body", b"")
        return part

    async def wait_gone(self) -> None:
        """Return when the caller has closed its connection; the body must be complete."""
        while True:
            event = await self.receive()
            if event["type"] == "http.disconnect":
                return

    async def start_answer(self, status: int, headers: HeaderList) -> None:
        """Begin the answer."""
        if self.closing:
            headers = [*headers, (b"connection", b"close")]
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_part(self, part: bytes, *, last: bool) -> None:
        """Send a part of the answer."""
        await self.send({"type": "http.response.body", "body": part, "more_body": not last})

    async def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""
        body = refusal.body(self.request.request_id.decode("latin-1"))
        headers = refusal.headers(len(body))
        if self.request.request_id:
            headers.append((b"x-request-id", self.request.request_id))
        if not self.body_complete:
            self.closing = True
        await self.start_answer(refusal.text.status, headers)
        await self.send_part(body, last=True)
