"""One connection to a backend server, owned by the task that dispatches on it."""

import socket
from collections.abc import AsyncIterator
from types import TracebackType
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from berylbank._internal.utils.addresses import parse_address

READ_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 131_072
CONNECT_TIMEOUT_S = 1.0
DEADLINE = "deadline"
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


class BackendConnection:
    """An HTTP/1.1 connection; ``sent`` tells whether a byte of the request may have left.

    ``deadline_ms`` is when the step in progress must be over; :class:`DeadlineWatch` closes the
    connection then and sets ``timed_out``.
    """

    def __init__(self, stream: SocketStream, now_ms: int) -> None:
        self.stream = stream
        self.descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
        self.protocol = h11.Connection(h11.CLIENT)
        self.opened_ms = now_ms
        self.idle_since_ms = now_ms
        self.sent = False
        self.requests = 0
        self.reused = False
        self.deadline_ms = 0
        self.timed_out = False
        self.max_idle_ms: int | None = None
        self.request: h11.Request | None = None

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
        self.sent = False
        try:
            self.request = h11.Request(method=method, target=target, headers=headers)
            head = self.protocol.send(self.request)
            if body is None:
                head = (head or b"") + (self.protocol.send(h11.EndOfMessage()) or b"")
            self.sent = True
            await self.stream.send(head or b"")
            if body is not None:
                await self._send_body(body)
        except (h11.LocalProtocolError, OSError) as error:
            raise BackendFailure("send") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BackendFailure(DEADLINE if self.timed_out else "send") from error

    async def receive_head(self) -> ResponseHead:
        """Return the final response head; raise :class:`BackendFailure`."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, tuple(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise BackendFailure("closed")

    async def receive_chunk(self) -> bytes | None:
        """Return the next part of the body, or None at its proper end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return event.data
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BackendFailure("truncated")

    async def discard_answer(self) -> None:
        """Read away an answer to an earlier request; the one awaited may follow it.

        Raise :class:`BackendFailure` where nothing can follow.
        """
        while await self.receive_chunk() is not None:
            pass
        if self.request is None:
            raise BackendFailure("crossed")
        try:
            self.protocol.start_next_cycle()
            self.protocol.send(self.request)
            self.protocol.send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            raise BackendFailure("crossed") from None

    def finish(self, now_ms: int) -> bool:
        """Get ready for another request; False when the connection must be closed."""
        self.idle_since_ms = now_ms
        done = self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE
        if done and not self.protocol.trailing_data[0]:
            self.protocol.start_next_cycle()
            return True
        return False

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

    async def _send_body(self, body: AsyncIterator[bytes]) -> None:
        async for chunk in body:
            data = self.protocol.send(h11.Data(data=chunk))
            if data:
                await self.stream.send(data)
        end = self.protocol.send(h11.EndOfMessage())
        if end:
            await self.stream.send(end)

    async def _next_event(self) -> object:
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise BackendFailure("truncated") from error
            if event is not h11.NEED_DATA:
                return event
            self.protocol.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BackendFailure(DEADLINE if self.timed_out else "reset") from error
