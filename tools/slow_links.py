"""Callers that read slowly, behind a proxy with little room.

The sockets of the proxy and of the caller have small buffers and segments as on Ethernet, so that
most of a response stays in the process that sends it until the caller has read what came before.
With the segments of the loopback device the kernel takes megabytes at once.
"""

import asyncio
import socket
from typing import NamedTuple

SOCKET_BUFFER_BYTES = 16_384
SEGMENT_BYTES = 1_448
READ_BYTES = 16_384
# Enough for the head of a response.
MAX_HEAD_BYTES = 65_536


class Received(NamedTuple):
    """What a caller got of a response.

    ``status`` is 0 if no head came, ``end`` tells how the response ended: "whole", "closed" or
    "reset" early.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    end: str


def open_small_socket() -> socket.socket:
    """Return a TCP socket with small buffers and segments, to be connected."""
    small = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    small.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    small.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    small.setblocking(False)
    return small


class SlowCaller:
    """A caller that reads at most ``bytes_per_s``, in small pieces, over one connection."""

    def __init__(self, host: str, port: int, bytes_per_s: float) -> None:
        self.address = (host, port)
        self.bytes_per_s = bytes_per_s
        self.socket = open_small_socket()
        self.buffer = b""

    async def connect(self) -> None:
        """Open the connection."""
        await asyncio.get_running_loop().sock_connect(self.socket, self.address)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()

    async def send(self, data: bytes) -> None:
        """Send bytes; those that the other end no longer takes are dropped."""
        try:
            await asyncio.get_running_loop().sock_sendall(self.socket, data)
        except OSError:
            return

    async def request(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Received:
        """Send a request and read its response."""
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {headers[name]}" for name in headers)]
        if body:
            lines.append(f"content-length: {len(body)}")
        await self.send("\r\n".join([*lines, "", ""]).encode())
        sending = asyncio.create_task(self.send(body))
        received = await self.read_response()
        sending.cancel()
        return received

    async def read_response(self) -> Received:
        """Read a response with a content length or with chunks."""
        status, headers = 0, {}
        try:
            while b"\r\n\r\n" not in self.buffer:
                await self._read_more()
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").split("\r\n")
            status = int(first.split(" ")[1])
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            if headers.get("transfer-encoding") == "chunked":
                return Received(status, headers, await self._read_chunks(), "whole")
            size = int(headers.get("content-length", "0"))
            return Received(status, headers, await self._take(size), "whole")
        except EOFError:
            return Received(status, headers, self.buffer, "closed")
        except OSError:
            return Received(status, headers, self.buffer, "reset")

    async def _read_chunks(self) -> bytes:
        body = b""
        while True:
            while b"\r\n" not in self.buffer:
                await self._read_more()
            size_line, _, self.buffer = self.buffer.partition(b"\r\n")
            chunk = await self._take(int(size_line, 16) + 2)
            if len(chunk) == 2:
                return body
            body += chunk[:-2]

    async def _take(self, size: int) -> bytes:
        while len(self.buffer) < size:
            await self._read_more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    async def _read_more(self) -> None:
        data = await asyncio.get_running_loop().sock_recv(self.socket, READ_BYTES)
        if not data:
            raise EOFError
        self.buffer += data
        await asyncio.sleep(len(data) / self.bytes_per_s)


class SlowProxy:
    """Forwards connections to a target; what comes from it passes at most at ``bytes_per_s``.

    The first bytes in each direction are delayed by ``delay_s``. A connection ends as its target
    ends it: closed or reset.
    """

    def __init__(self, target: tuple[str, int], bytes_per_s: float, delay_s: float) -> None:
        self.target = target
        self.bytes_per_s = bytes_per_s
        self.delay_s = delay_s
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()

    def start(self) -> None:
        """Start to accept connections."""
        self._run(self._accept())

    def close(self) -> None:
        """Stop, and drop all connections."""
        for task in self.tasks:
            task.cancel()
        self.listener.close()

    def _run(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self) -> None:
        while True:
            caller, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            caller.setblocking(False)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
            self._run(self._serve(caller))

    async def _serve(self, caller: socket.socket) -> None:
        with caller, open_small_socket() as target:
            try:
                await asyncio.get_running_loop().sock_connect(target, self.target)
            except OSError:
                reset(caller)
                return
            to_target = asyncio.create_task(self._forward(caller, target, None))
            await self._forward(target, caller, self.bytes_per_s)
            to_target.cancel()

    async def _forward(
        self, source: socket.socket, sink: socket.socket, bytes_per_s: float | None
    ) -> None:
        loop = asyncio.get_running_loop()
        next_s = 0.0
        try:
            while data := await loop.sock_recv(source, READ_BYTES):
                now_s = loop.time()
                next_s = max(next_s, now_s) if next_s else now_s + self.delay_s
                await asyncio.sleep(next_s - now_s)
                await loop.sock_sendall(sink, data)
                if bytes_per_s is not None:
                    next_s += len(data) / bytes_per_s
            sink.shutdown(socket.SHUT_WR)
        except (OSError, ValueError):  # ValueError: the other direction has closed the sockets
            reset(sink)


def reset(connection: socket.socket) -> None:
    """Reset a connection, unless it was closed already."""
    if connection.fileno() < 0:
        return
    no_linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    connection.close()
