"""A stand-in for an instance (backend server) of a service."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import NamedTuple

from harness import wire

QUEUE_PER_SLOT = 3


class Work(NamedTuple):
    """What an instance does for a request: the time that it takes, and the status of its answer."""

    seconds: float
    status: int = 200


class Run(NamedTuple):
    """A request that an instance ran; ``status`` is 0 if its connection closed before the answer.

    ``body`` is the request's. Times are of the monotonic clock.
    """

    instance: str
    version: str
    request_id: str
    first_line: str
    tenant: str
    arrived: float
    ended: float
    status: int
    body: bytes


class Instance:
    """One instance, which keeps to the users' pages.

    ``work`` returns for the first line of a request what is to be done. ``arrivals`` has the time
    and the id of each request that arrived, whether it was run or not. ``delay`` returns for a
    request's id how long a message takes from or to the machine that sent the request.
    """

    def __init__(
        self, name: str, service: str, version: str, zone: str, work: Callable[[str], Work]
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.work = work
        self.slots = 9
        self.free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        self.leaving = False
        self.delay: Callable[[str], float] = lambda _: 0.0
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[Run] = []
        self.address = ""
        self.born_ms = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(self._serve, host, port, limit=1_048_576)
        self.address = f"{host}:{port}"
        self.born_ms = int(time.time() * 1000)

    def stop(self) -> None:
        """End at once, as a killed process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, warmup_left_s: float = 0) -> dict[str, object]:
        """Return this instance's entry in the store."""
        return {
            "address": self.address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": self.zone,
                "capacity": self.slots,
            },
            "status": {
                "state": "draining" if self.leaving else "ready",
                "sequence": 4,
                "warmupLeftS": warmup_left_s,
            },
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await wire.read_message(reader)) is not None:
                if not await self._answer(message, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, message: wire.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection is kept."""
        headers = message.headers
        request_id = headers.get("x-request-id", "")
        delay_s = self.delay(request_id)
        await asyncio.sleep(delay_s)
        arrived = time.monotonic()
        self.arrivals.append((arrived, request_id))
        echoed = {"X-Request-Id": request_id}
        if headers.get("x-expected-instance") != self.name:
            return await self._send(writer, 421, {**echoed, "X-Instance-Id": self.name})
        if self.waiting >= self.slots * QUEUE_PER_SLOT:
            return await self._send(writer, 503, {**echoed, "X-Not-Executed": "1"})
        deadline = arrived + int(headers.get("x-deadline-ms", "60000")) / 1000
        self.waiting += 1
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + deadline - arrived):
                await self.free.acquire()
        except TimeoutError:
            return await self._send(writer, 503, {**echoed, "X-Not-Executed": "1"})
        finally:
            self.waiting -= 1
        self.running += 1
        status = 0
        try:
            work = self.work(message.first_line)
            left = deadline - time.monotonic()
            in_time = work.seconds <= left
            seconds = work.seconds if in_time else max(0.0, left)
            if not await _sleep_unless_closed(seconds, reader):
                return False
            status = work.status if in_time else 504
            await asyncio.sleep(delay_s)
            return await self._send(writer, status, self._signed(echoed), self._body(request_id))
        finally:
            self.running -= 1
            self.free.release()
            self.runs.append(
                Run(
                    self.name,
                    self.version,
                    request_id,
                    message.first_line,
                    headers.get("x-tenant", ""),
                    arrived,
                    time.monotonic(),
                    status,
                    message.body,
                )
            )

    def _signed(self, headers: dict[str, str]) -> dict[str, str]:
        load = f"{self.running},{self.waiting},{self.slots}"
        return {**headers, "X-Server-Signature": f"signed-{self.name}", "X-Server-Load": load}

    def _body(self, request_id: str) -> bytes:
        return json.dumps({"instance": self.name, "request": request_id}).encode()

    async def _send(
        self, writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes = b""
    ) -> bool:
        if self.leaving:
            headers = {**headers, "Connection": "close", "Server-Leaving": "1"}
        writer.write(wire.encode(f"HTTP/1.1 {status} Answer", headers, body))
        await writer.drain()
        return not self.leaving


async def _sleep_unless_closed(seconds: float, reader: asyncio.StreamReader) -> bool:
    """Sleep, and return False as soon as the other end has closed the connection."""
    ends = time.monotonic() + seconds
    while (left := ends - time.monotonic()) > 0:
        if reader.at_eof() or reader.exception() is not None:
            return False
        await asyncio.sleep(min(left, 0.02))
    return True
