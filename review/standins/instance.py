"""A stand-in for an instance of a service."""

import asyncio
import hashlib
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from standins.http import Message, encode_response, read_message
from standins.store import Store


class Answer(NamedTuple):
    """What an instance answers, and whether it ran the request."""

    status: int = 200
    ran: bool = True
    close: bool = False
    endless: bool = False


class Run(NamedTuple):
    """A request that an instance ran: when, which one, and its body's length and digest."""

    at_s: float
    instance: str
    version: str
    request_id: str
    tenant: str
    path: str
    body_bytes: int
    body_digest: str


Behaviour = Callable[["Instance", Message], Awaitable[Answer]]


def digest(body: bytes) -> str:
    """Return a short digest of a body."""
    return hashlib.sha256(body).hexdigest()[:16]


async def send_without_end(
    writer: asyncio.StreamWriter, headers: dict[str, str], body: bytes
) -> None:
    """Send an answer in chunks whose trailer section does not end, until the caller closes."""
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append("Transfer-Encoding: chunked")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    writer.write(head + b"%x\r\n%b\r\n0\r\n" % (len(body), body))
    while not writer.is_closing():
        writer.write(b"a: b\r\n" * 5_000)
        await writer.drain()


class Instance:
    """An instance; ``behave`` decides on its answers, ``runs`` lists what all instances ran."""

    def __init__(
        self,
        store: Store,
        runs: list[Run],
        behave: Behaviour,
        *,
        name: str,
        service: str,
        zone: str,
        version: str = "v1",
        capacity: int = 8,
    ) -> None:
        self.store = store
        self.runs = runs
        self.behave = behave
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.capacity = capacity
        self.running = 0
        self.address = ""
        self.sequence = 0
        self.warmup_left_s = 0.0
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port and register in the store."""
        self.server = await asyncio.start_server(self._serve, host, 0, limit=1 << 20)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"
        self.register("ready")

    def register(self, state: str) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        status = {"state": state, "sequence": self.sequence, "warmupLeftS": self.warmup_left_s}
        info = {
            "service": self.service,
            "version": self.version,
            "zone": self.zone,
            "capacity": self.capacity,
        }
        entry: dict[str, Any] = {"address": self.address, "born": 1, "info": info}
        self.store.put("servers", self.name, {**entry, "status": status})

    def stop(self) -> None:
        """End at once: stop listening, cut the connections and remove the entry."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.store.put("servers", self.name, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self._respond(message, writer):
                    break
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _respond(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = message.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        if message.headers.get("x-expected-instance", self.name) != self.name:
            writer.write(encode_response(421, {**headers, "X-Instance-Id": self.name}, b""))
            return True
        self.running += 1
        try:
            answer = await self.behave(self, message)
        finally:
            self.running -= 1
        if not answer.ran:
            writer.write(encode_response(answer.status, {**headers, "X-Not-Executed": "1"}, b""))
            return True
        headers["X-Server-Signature"] = f"{self.name}.{self.version}.{request_id}"
        headers["X-Server-Load"] = f"{self.running},0,{self.capacity}"
        if answer.close:
            headers["Connection"] = "close"
        body = f"{self.name} {self.version} {request_id}".encode()
        if answer.endless:
            await send_without_end(writer, headers, body)
            return False
        writer.write(encode_response(answer.status, headers, body))
        await writer.drain()
        return not answer.close

    def record_run(self, message: Message) -> None:
        """Record that the instance has begun to work on a request."""
        self.runs.append(self.make_run(message))

    def make_run(self, message: Message) -> Run:
        """Return the record of a run that begins now."""
        return Run(
            time.monotonic(),
            self.name,
            self.version,
            message.headers.get("x-request-id", ""),
            message.headers.get("x-tenant", ""),
            message.start[1],
            len(message.body),
            digest(message.body),
        )
