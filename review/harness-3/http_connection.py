"""Plain HTTP/1.1 for the stand-ins: a server connection and a client connection."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


class Message(NamedTuple):
    """A request or a response: its start line, its headers in lower case, and its body.

    ``target`` is empty in a response, ``status`` is 0 in a request.
    """

    method: str
    target: str
    status: int
    headers: dict[str, str]
    body: bytes


class HttpServerConnection:
    """A connection that a stand-in serves, one request at a time."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    def abort(self) -> None:
        """End the connection at once."""
        self.writer.transport.abort()

    def respond(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Send a complete response."""
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode("latin-1") + body)


Answer = Callable[[Message, HttpServerConnection], Awaitable[None]]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a request or a response.

    :raises asyncio.IncompleteReadError: when the connection ends before the message.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    first, second, *_ = start.split(" ")
    if first.startswith("HTTP/"):
        return Message("", "", int(second), headers, body)
    return Message(first, second, 0, headers, body)


async def start_server(host: str, port: int, answer: Answer) -> asyncio.Server:
    """Serve requests with ``answer``; requests of one connection are answered in order."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpServerConnection(writer)
        try:
            while True:
                await answer(await read_message(reader), connection)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The end of the case; the streams of this Python version report a cancelled task.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port, backlog=1_024)


class HttpClient:
    """Kept connections of clients to one address.

    ``kept_ids`` gets the ids of the requests that were sent on a connection that had been used.
    """

    def __init__(self, host: str, port: int, kept_ids: set[str] | None = None) -> None:
        self.kept_ids = kept_ids if kept_ids is not None else set()
        self.host = host
        self.port = port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def request(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Message:
        """Send a request and return its response.

        :raises OSError: when the connection fails.
        :raises asyncio.IncompleteReadError: when it ends before the response.
        """
        if self.idle:
            reader, writer = self.idle.pop()
            self.kept_ids.add(headers.get("X-Request-Id", ""))
        else:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        keep = False
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            response = await read_message(reader)
            keep = "close" not in response.headers.get("connection", "").lower()
            return response
        finally:
            if keep:
                self.idle.append((reader, writer))
            else:
                writer.close()
