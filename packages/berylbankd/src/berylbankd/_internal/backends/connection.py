"""An HTTP/1.1 client connection to a backend server, used by one task at a time."""

import socket
from collections.abc import AsyncIterator, Callable
from types import TracebackType
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import SocketAttribute, SocketStream

from berylbank._internal.utils.addresses import parse_address

MAX_READ_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 131_072
CONNECT_TIMEOUT_S = 1.0
DEADLINE_REASON = "deadline"
INVALID_STATUS_REASON = "invalid status"
FINAL_STATUSES = range(200, 600)
INFORMATIONAL_STATUSES = range(100, 200)
# No request offers another protocol.
SWITCHING_PROTOCOLS_STATUS = 101
# Longest head of a response, with any informational responses before it, and most bytes between two
# parts of a body or after the last one: chunk extensions and trailer fields. A faulty server may
# send any of them without end.
MAX_HEAD_BYTES = 65_536
# Longest body that is read only to be discarded; a faulty server may send one without end.
MAX_DISCARDED_BODY_BYTES = 65_536
Headers = tuple[tuple[bytes, bytes], ...]


class BackendConnectionError(Exception):
    """An exchange with a backend server failed; ``reason`` is a short code for log lines."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ResponseHead(NamedTuple):
    """Status and headers of a response."""

    status: int
    headers: Headers


class PartialResponse:
    """A response as far as it has been received.

    ``has_framing`` is set where the headers define the length of the body; without it the body
    ends with the connection.
    """

    def __init__(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.head: ResponseHead | None = None
        self.chunks: list[bytes] = []
        self.complete = False
        self.has_framing = False


class ResponseParser:
    """Parses received bytes into responses.

    There may be several: a late response to an earlier request can precede the expected one.

    ``expects_no_body`` must be set for a HEAD request, whose response has no body.
    ``overhead_bytes`` were received since the last part of a body or the end of a response.
    """

    def __init__(self) -> None:
        self.http_parser = httptools.HttpResponseParser(self)
        self.responses: list[PartialResponse] = []
        self.expects_no_body = False
        self.keep_alive = False
        self.overhead_bytes = 0
        self.invalid_status = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes; empty bytes mean that the server has closed the connection.

        :raises BackendConnectionError: when the bytes are no valid response, or it is incomplete.
        """
        if data:
            self.overhead_bytes += len(data)
            try:
                self.http_parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
                reason = INVALID_STATUS_REASON if self.invalid_status else "truncated"
                raise BackendConnectionError(reason) from error
            if self.overhead_bytes > MAX_HEAD_BYTES:
                raise BackendConnectionError("head or trailer too long")
            return
        self.keep_alive = False
        last = self.responses[-1] if self.responses else None
        if last is None or last.head is None or (last.has_framing and not last.complete):
            raise BackendConnectionError("truncated" if self.responses else "closed")
        last.complete = True

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a new response."""
        self.responses.append(PartialResponse())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the current response; the fields of a trailer section are dropped."""
        response = self.responses[-1]
        if response.head is not None:
            return
        name = name.lower()
        response.headers.append((name, value.strip()))
        response.has_framing |= name in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Store the head of the current response, unless its status is informational (1xx).

        :raises ValueError: when the status is neither a final nor an informational one, or an
            informational response has a body.
        """
        response, status = self.responses[-1], self.http_parser.get_status_code()
        if status in FINAL_STATUSES:
            response.head = ResponseHead(status, tuple(response.headers))
            response.complete = self.expects_no_body
            return
        informational = status in INFORMATIONAL_STATUSES and status != SWITCHING_PROTOCOLS_STATUS
        if not informational or response.has_framing:
            self.invalid_status = True
            raise ValueError(f"invalid status {status}")

    def on_body(self, body: bytes) -> None:
        """Add a chunk to the current body."""
        self.overhead_bytes = 0
        self.responses[-1].chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the current response; drop it if its status is informational (1xx)."""
        response = self.responses[-1]
        if response.head is None:
            self.responses.pop()
            return
        self.overhead_bytes = 0
        response.complete = True
        self.keep_alive = self.http_parser.should_keep_alive() and not self.expects_no_body


class BackendConnection:
    """An HTTP/1.1 connection, for one request at a time.

    ``request_started`` is set once a byte of the request may have been sent, ``request_complete``
    once all of it was. ``reused`` is set if the connection has carried an earlier request.

    ``deadline_ms`` is the deadline of the operation in progress; when it expires,
    :class:`DeadlineMonitor` closes the connection and sets ``timed_out``. ``idle_before_reuse_ms``
    is how long the connection was idle before its current use, ``max_idle_ms`` the idle time after
    which it must not be reused, None for the default.
    """

    def __init__(self, stream: SocketStream, now_ms: int) -> None:
        self.stream = stream
        self.file_descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
        self.response_parser = ResponseParser()
        self.opened_ms = now_ms
        self.idle_since_ms = now_ms
        self.idle_before_reuse_ms = 0
        self.request_started = False
        self.request_complete = False
        self.request_count = 0
        self.reused = False
        self.deadline_ms = 0
        self.timed_out = False
        self.max_idle_ms: int | None = None
        self.connect_ms = 0.0

    @property
    def response_started(self) -> bool:
        """Tell whether the head of a response has been received."""
        responses = self.response_parser.responses
        return bool(responses) and responses[0].head is not None

    @classmethod
    async def open(
        cls, address: str, now_ms: int, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> "BackendConnection":
        """Connect to IP:port.

        :raises BackendConnectionError: when the connection can't be opened in time.
        """
        endpoint = parse_address(address)
        started_s = anyio.current_time()
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(endpoint.host, endpoint.port)
        except (OSError, TimeoutError):
            raise BackendConnectionError("connect") from None
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection = cls(stream, now_ms)
        connection.connect_ms = (anyio.current_time() - started_s) * 1000
        return connection

    async def send_request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: AsyncIterator[bytes] | None,
        on_send: Callable[[], None] = lambda: None,
    ) -> None:
        """Send a request with its whole body; ``on_send`` is called before its first byte.

        :raises BackendConnectionError: when sending fails or the deadline expires.
        """
        self.reused = self.request_count > 0
        self.request_count += 1
        self.request_started = self.request_complete = False
        self.response_parser.expects_no_body = method == b"HEAD"
        head = serialize_head(method, target, headers)
        try:
            self.request_started = True
            if body is None:
                on_send()
                await self.stream.send(head)
            else:
                await self._send_body(head, body, is_chunked(headers), on_send)
        except OSError as error:
            raise BackendConnectionError("send") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BackendConnectionError(DEADLINE_REASON if self.timed_out else "send") from error
        self.request_complete = True

    async def receive_head(self) -> ResponseHead:
        """Return the head of the first final response.

        :raises BackendConnectionError: when the connection fails or the deadline expires.
        """
        while not self.response_started:
            self.response_parser.feed(await self._receive())
        head = self.response_parser.responses[0].head
        assert head is not None
        return head

    async def receive_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or None when the body is complete.

        :raises BackendConnectionError: when the connection fails or the deadline expires.
        """
        response = self.response_parser.responses[0]
        while not response.chunks:
            if response.complete:
                return None
            self.response_parser.feed(await self._receive())
        chunk = b"".join(response.chunks)
        response.chunks.clear()
        return chunk

    async def discard_body(self, max_bytes: int) -> None:
        """Read and discard the body of the first response.

        :raises BackendConnectionError: when the body is longer than ``max_bytes``.
        """
        size = 0
        while (chunk := await self.receive_chunk()) is not None:
            size += len(chunk)
            if size > max_bytes:
                raise BackendConnectionError("body too long")

    async def discard_response(self, max_bytes: int) -> None:
        """Read and discard a response to an earlier request; the expected one may follow it.

        :raises BackendConnectionError: when its body is longer than ``max_bytes``, or the server
            closes the connection after it.
        """
        await self.discard_body(max_bytes)
        if not self.response_parser.keep_alive:
            raise BackendConnectionError("crossed")
        self.response_parser.responses.pop(0)

    def reset_for_reuse(self, now_ms: int) -> bool:
        """Prepare for the next request; return False if the connection must be closed instead."""
        self.idle_since_ms = now_ms
        responses = self.response_parser.responses
        if len(responses) != 1 or not responses[0].complete or not self.response_parser.keep_alive:
            return False
        responses.clear()
        return self.request_complete

    async def aclose(self) -> None:
        """Close immediately, without waiting for the server.

        This can't be cancelled: the caller may know the outcome of its request already.
        """
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)

    async def __aenter__(self) -> "BackendConnection":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.aclose()

    async def _send_body(
        self,
        head: bytes,
        body: AsyncIterator[bytes],
        chunked: bool,
        on_send: Callable[[], None],
    ) -> None:
        data = head
        async for chunk in body:
            if data is head:
                on_send()
            data += b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked and chunk else chunk
            if data:
                await self.stream.send(data)
            data = b""
        if data is head:
            on_send()
        if chunked:
            data += b"0\r\n\r\n"
        if data:
            await self.stream.send(data)

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive(MAX_READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BackendConnectionError(DEADLINE_REASON if self.timed_out else "reset") from error


def serialize_head(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes of a request head.

    Names and values aren't checked: they come from a request that was parsed already.
    """
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines.extend(b"%b: %b" % header for header in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def is_chunked(headers: list[tuple[bytes, bytes]]) -> bool:
    """Tell whether the body is sent with chunked transfer encoding."""
    return any(name == b"transfer-encoding" for name, _ in headers)
