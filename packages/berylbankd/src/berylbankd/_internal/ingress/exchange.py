"""A caller's HTTP request and the response to it."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio

from berylbankd._internal.http_server import (
    COUNT_UNSENT_BYTES,
    IS_CONNECTED,
    MAX_REPLAYABLE_BODY_BYTES,
    SERVED_RECENTLY,
)
from berylbankd._internal.ingress.codec import HeaderCodec, HeaderList, RequestMetadata
from berylbankd._internal.models.types import Organisation, Route
from berylbankd._internal.refusals import Refusal

# Longest wait for the next chunk of a request body.
BODY_CHUNK_TIMEOUT_S = 5.0
# The event loop reads the close of a connection in its next passes.
READ_CLOSE_TIMEOUT_S = 1.0

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]


def assume_connected() -> bool:
    """Stand in for the check of connections where the server offers none."""
    return True


def assume_sent() -> int:
    """Stand in for the count of unsent bytes where the server offers none."""
    return 0


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class CallerExchange:
    """A caller's request with its body; sends the response.

    ``is_connected`` tells whether the caller is still there, ``count_unsent_bytes`` how much of the
    response waits in this process, ``served_recently`` whether its connection has had another
    request served a moment ago. ``body`` is the buffered part of the
    request body, ``body_complete`` is set once the whole body has been received, buffered or not,
    and ``body_replayable`` is unset once a part of it was received that is not in the buffer.
    ``route`` and ``organisation`` are set when the request is admitted. ``response_started`` is set
    once the status was sent.
    """

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
        state = scope.get("state", {})
        self.is_connected: Callable[[], bool] = state.get(IS_CONNECTED, assume_connected)
        self.count_unsent_bytes: Callable[[], int] = state.get(COUNT_UNSENT_BYTES, assume_sent)
        self.served_recently: bool = state.get(SERVED_RECENTLY, False)
        self.arrived_ms = now_ms
        self.metadata: RequestMetadata = codec.decode_request(self.headers)
        self.body = b""
        self.body_complete = not any(
            name in (b"content-length", b"transfer-encoding") for name, _ in self.headers
        )
        self.body_replayable = True
        self.body_received = anyio.Event()
        self.route: Route | None = None
        self.organisation: Organisation | None = None
        self.close_connection = False
        self.response_started = False

    async def buffer_body(self) -> None:
        """Buffer the body up to the size limit.

        :raises CallerDisconnectedError: when the caller closes its connection.
        :raises TimeoutError: when the next chunk of the body doesn't arrive in time.
        """
        chunks: list[bytes] = []
        size = 0
        while not self.body_complete and size <= MAX_REPLAYABLE_BODY_BYTES:
            chunk = await self.receive_body_chunk()
            chunks.append(chunk)
            size += len(chunk)
        self.body = b"".join(chunks)

    async def receive_body_chunk(self) -> bytes:
        """Return the next chunk of the body; it raises the same errors as :meth:`buffer_body`."""
        with anyio.fail_after(BODY_CHUNK_TIMEOUT_S):
            event = await self.receive()
        if event["type"] == "http.disconnect":
            raise CallerDisconnectedError
        if not event.get("more_body", False):
            self.body_complete = True
            self.body_received.set()
        chunk: bytes = event.get("body", b"")
        return chunk

    async def stream_body(self) -> AsyncIterator[bytes]:
        """Yield the buffered part of the body and then the rest, which is not kept.

        It raises the same errors as :meth:`buffer_body`.
        """
        if self.body:
            yield self.body
        while not self.body_complete:
            chunk = await self.receive_body_chunk()
            if chunk:
                self.body_replayable = False
            yield chunk

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller closes its connection, once its body has been received."""
        if not self.body_complete:
            await self.body_received.wait()
        while True:
            event = await self.receive()
            if event["type"] == "http.disconnect":
                return

    async def read_close(self) -> None:
        """Wait until the server has read that the caller closed its connection."""
        self.body_complete = True
        with anyio.move_on_after(READ_CLOSE_TIMEOUT_S):
            await self.wait_for_disconnect()

    async def start_response(self, status: int, headers: HeaderList) -> None:
        """Send the status and the headers of the response."""
        if self.close_connection:
            headers = [*headers, (b"connection", b"close")]
        self.response_started = True
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_chunk(self, chunk: bytes, *, last: bool) -> None:
        """Send a chunk of the response's body."""
        await self.send({"type": "http.response.body", "body": chunk, "more_body": not last})

    async def send_refusal(self, refusal: Refusal) -> None:
        """Send a refusal as the response."""
        body = refusal.make_body(self.metadata.request_id.decode("latin-1"))
        headers = refusal.make_headers(len(body))
        if self.metadata.request_id:
            headers.append((b"x-request-id", self.metadata.request_id))
        if not self.body_complete:
            self.close_connection = True
        await self.start_response(refusal.template.status, headers)
        await self.send_chunk(body, last=True)
