"""One connection to a backend server, owned by the task that dispatches on it."""

import socket
from collections.abc import AsyncIterator
from types import TracebackType
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import SocketAttribute, SocketStream

from berylbank._internal.utils.addresses import parse_address

READ_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 131_072
CONNECT_TIMEOUT_S = 1.0
DEADLINE = "deadline"
FIRST_FINAL_STATUS = 200
Headers = tuple[tuple[bytes, bytes], ...]


class BackendFailure(Exception):  # noqa: N818
    """The exchange broke; ``reason`` is a short word for counters."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ResponseHead(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Headers


class Message:
    """One answer as far as it has arrived."""

    def __init__(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.head: ResponseHead | None = None
        self.chunks: list[bytes] = []
        self.complete = False
        self.framed = False


class AnswerParser:
    """Turns bytes into answers; there may be more than the one that was asked for."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.messages: list[Message] = []
        self.bodiless = False
        self.keep_alive = False

    def feed(self, data: bytes) -> None:
        """Take bytes, or the end of the connection where there are none."""
        if data:
            try:
                self.parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
                raise BackendFailure("truncated") from error
            return
        self.keep_alive = False
        last = self.messages[-1] if self.messages else None
        if last is None or last.head is None or (last.framed and not last.complete):
            raise BackendFailure("truncated" if self.messages else "closed")
        last.complete = True

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.messages.append(Message())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        name = name.lower()
        message = self.messages[-1]
        message.headers.append((name, value.strip()))
        message.framed |= name in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Take a head; those of informational answers are passed over."""
        message, status = self.messages[-1], self.parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            message.head = ResponseHead(status, tuple(message.headers))
            message.complete = self.bodiless

    def on_body(self, body: bytes) -> None:
        """Take a part of a body."""
        self.messages[-1].chunks.append(body)

    def on_message_complete(self) -> None:
        """End an answer."""
        message = self.messages[-1]
        if message.head is None:
            self.messages.pop()
            return
        message.complete = True
        self.keep_alive = self.parser.should_keep_alive() and not self.bodiless


class BackendConnection:
    """An HTTP/1.1 connection; ``sent`` tells whether a byte of the request may have left.

    ``deadline_ms`` is when the step in progress must be over; :class:`DeadlineWatch` closes the
    connection then and sets ``timed_out``.
    """

    def __init__(self, stream: SocketStream, now_ms: int) -> None:
        self.stream = stream
        self.descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
        self.answers = AnswerParser()
        self.opened_ms = now_ms
        self.idle_since_ms = now_ms
        self.rested_ms = 0
        self.sent = False
        self.sent_whole = False
        self.requests = 0
        self.reused = False
        self.deadline_ms = 0
        self.timed_out = False
        self.max_idle_ms: int | None = None

    @classmethod
    async def open(
        cls, address: str, now_ms: int, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> "BackendConnection":
        """Connect to IP:port; raise :class:`BackendFailure`."""
        target = parse_address(address)
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(target.host, target.port)
        except (OSError, TimeoutError):
            raise BackendFailure("connect") from None
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return cls(stream, now_ms)

    async def send_request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: AsyncIterator[bytes] | None,
    ) -> None:
        """Send a whole request; raise :class:`BackendFailure`."""
        self.reused = self.requests > 0
        self.requests += 1
        self.sent = self.sent_whole = False
        self.answers.bodiless = method == b"HEAD"
        head = serialize_head(method, target, headers)
        try:
            self.sent = True
            if body is None:
                await self.stream.send(head)
            else:
                await self._send_body(head, body, is_chunked(headers))
        except OSError as error:
            raise BackendFailure("send") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BackendFailure(DEADLINE if self.timed_out else "send") from error
        self.sent_whole = True

    async def receive_head(self) -> ResponseHead:
        """Return the final response head; raise :class:`BackendFailure`."""
        while not self.answers.messages or self.answers.messages[0].head is None:
            self.answers.feed(await self._receive())
        head = self.answers.messages[0].head
        assert head is not None
        return head

    async def receive_chunk(self) -> bytes | None:
        """Return the next part of the body, or None at its proper end."""
        message = self.answers.messages[0]
        while not message.chunks:
            if message.complete:
                return None
            self.answers.feed(await self._receive())
        chunk = b"".join(message.chunks)
        message.chunks.clear()
        return chunk

    async def discard_answer(self) -> None:
        """Read away an answer to an earlier request; the one awaited may follow it.

        Raise :class:`BackendFailure` where nothing can follow.
        """
        while await self.receive_chunk() is not None:
            pass
        if not self.answers.keep_alive:
            raise BackendFailure("crossed")
        self.answers.messages.pop(0)

    def finish(self, now_ms: int) -> bool:
        """Get ready for another request; False when the connection must be closed."""
        self.idle_since_ms = now_ms
        messages = self.answers.messages
        if len(messages) != 1 or not messages[0].complete or not self.answers.keep_alive:
            return False
        messages.clear()
        return self.sent_whole

    async def aclose(self) -> None:
        """Close at once, without waiting for the other end."""
        await anyio.aclose_forcefully(self.stream)

    async def __aenter__(self) -> "BackendConnection":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.aclose()

    async def _send_body(self, head: bytes, body: AsyncIterator[bytes], chunked: bool) -> None:
        data = head
        async for chunk in body:
            data += b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked and chunk else chunk
            if data:
                await self.stream.send(data)
            data = b""
        if chunked:
            data += b"0\r\n\r\n"
        if data:
            await self.stream.send(data)

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BackendFailure(DEADLINE if self.timed_out else "reset") from error


def serialize_head(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes of a request's head; names and values come from a parsed request."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines.extend(b"%b: %b" % header for header in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def is_chunked(headers: list[tuple[bytes, bytes]]) -> bool:
    """Tell whether a body goes out in chunks."""
    return any(name == b"transfer-encoding" for name, _ in headers)
