"""A stand-in backend server: slots, service time, drains, shedding and faults on request."""

import json
import time
from typing import Any, NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

READ_BYTES = 65_536
SHED_HEADERS = [("not-run", "true")]


class BackendBehaviour(NamedTuple):
    """How the backend server behaves now.

    ``fail_paths`` and ``slow_paths`` are prefixes of routes; ``truncate`` ends answers half-way,
    ``silent`` keeps connections open without a word, ``drop`` closes them after a request,
    ``late_ms`` delays answers.
    """

    slots: int = 8
    service_ms: int = 0
    shed: bool = False
    late_ms: int = 0
    truncate: bool = False
    silent: bool = False
    fail_paths: tuple[str, ...] = ()
    slow_paths: tuple[str, ...] = ()
    slow_ms: int = 1_000
    close_idle: bool = False
    drop: bool = False
    lying_load: int | None = None


class BackendCounters(NamedTuple):
    """What the backend server saw; ``executed`` counts by the idempotency key of bookings."""

    requests: int = 0
    shed: int = 0
    overloaded: int = 0
    most_running: int = 0
    bad_headers: int = 0


class Received(NamedTuple):
    """A request, read whole."""

    request: h11.Request
    body: bytes


class StandInBackend:
    """The state of one stand-in backend server."""

    def __init__(self, name: str, behaviour: BackendBehaviour) -> None:
        self.name = name
        self.behaviour = behaviour
        self.counters = BackendCounters()
        self.executed: dict[str, int] = {}
        self.organisations: dict[str, int] = {}
        self.last_request_ms = 0
        self.running = 0
        self.opened = 0
        self.silenced = 0

    def state(self) -> dict[str, Any]:
        """Return behaviour and counters as a plain document."""
        return {
            "name": self.name,
            "running": self.running,
            "behaviour": self.behaviour._asdict(),
            "executed": self.executed,
            "organisations": self.organisations,
            "last_request_ms": self.last_request_ms,
            **self.counters._asdict(),
        }

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until it closes."""
        connection = h11.Connection(h11.SERVER)
        self.opened += 1
        number = self.opened
        async with stream:
            try:
                while await self._serve_request(connection, stream, number):
                    connection.start_next_cycle()
            except (h11.RemoteProtocolError, anyio.BrokenResourceError, anyio.EndOfStream):
                return
            except (anyio.ClosedResourceError, h11.LocalProtocolError):
                return

    async def _serve_request(
        self, connection: h11.Connection, stream: SocketStream, number: int
    ) -> bool:
        received = await _read_request(connection, stream)
        if received is None:
            return False
        if received.request.target == b"/control":
            await self._control(received, connection, stream)
            return True
        if self.behaviour.silent or number <= self.silenced:
            await anyio.sleep(3600)
        self._count(received)
        if self.behaviour.drop:
            return False
        return await self._run(received, connection, stream)

    async def _run(
        self, received: Received, connection: h11.Connection, stream: SocketStream
    ) -> bool:
        behaviour = self.behaviour
        if behaviour.shed or self.running >= behaviour.slots:
            self._bump(shed=1, overloaded=int(not behaviour.shed))
            await _answer(connection, stream, 503, b'{"shed":true}', SHED_HEADERS)
            return True
        self.running += 1
        self._bump(most_running=max(0, self.running - self.counters.most_running))
        try:
            self._execute(received)
            await anyio.sleep(self._service_ms(received) / 1000)
            return await self._answer_request(received, connection, stream)
        finally:
            self.running -= 1

    async def _answer_request(
        self, received: Received, connection: h11.Connection, stream: SocketStream
    ) -> bool:
        target = received.request.target.decode("latin-1")
        status = 500 if target.startswith(self.behaviour.fail_paths or ("\0",)) else 200
        body = self._body(received)
        if self.behaviour.truncate:
            await _answer(connection, stream, status, body, [], cut_at=len(body) // 2)
            return False
        await _answer(connection, stream, status, body, [("x-backend", self.name)])
        return not self.behaviour.close_idle

    def _service_ms(self, received: Received) -> int:
        target = received.request.target.decode("latin-1")
        slow = target.startswith(self.behaviour.slow_paths or ("\0",))
        extra = self.behaviour.slow_ms if slow else 0
        return self.behaviour.service_ms + self.behaviour.late_ms + extra

    def _body(self, received: Received) -> bytes:
        headers = dict(received.request.headers)
        size = headers.get(b"x-answer-bytes")
        if size is not None:
            return b"x" * int(size)
        echo = {
            "backend": self.name,
            "organisation": headers.get(b"x-berylbank-organisation", b"").decode(),
            "target": received.request.target.decode("latin-1"),
            "token": headers.get(b"x-token", b"").decode(),
            "received": len(received.body),
        }
        return json.dumps(echo).encode()

    def _execute(self, received: Received) -> None:
        headers = dict(received.request.headers)
        key = headers.get(b"idempotency-key", b"").decode()
        if key:
            self.executed[key] = self.executed.get(key, 0) + 1

    def _count(self, received: Received) -> None:
        headers = dict(received.request.headers)
        leaked = b"authorization" in headers or any(b"bb_" in v for v in headers.values())
        organisation = headers.get(b"x-berylbank-organisation", b"").decode()
        self.organisations[organisation] = self.organisations.get(organisation, 0) + 1
        self.last_request_ms = time.monotonic_ns() // 1_000_000
        self._bump(requests=1, bad_headers=int(leaked))

    def _bump(self, **changes: int) -> None:
        values = {name: getattr(self.counters, name) + by for name, by in changes.items()}
        self.counters = self.counters._replace(**values)

    async def _control(
        self, received: Received, connection: h11.Connection, stream: SocketStream
    ) -> None:
        if received.request.method == b"POST":
            changes = json.loads(received.body)
            if changes.pop("silence_open", False):
                self.silenced = self.opened
            for name in ("fail_paths", "slow_paths"):
                if name in changes:
                    changes[name] = tuple(changes[name])
            self.behaviour = self.behaviour._replace(**changes)
        await _answer(connection, stream, 200, json.dumps(self.state()).encode(), [])


async def _read_request(connection: h11.Connection, stream: SocketStream) -> Received | None:
    request: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive(READ_BYTES))
            except anyio.EndOfStream:
                connection.receive_data(b"")
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            return Received(request, bytes(body))
        else:
            return None


async def _answer(
    connection: h11.Connection,
    stream: SocketStream,
    status: int,
    body: bytes,
    headers: list[tuple[str, str]],
    cut_at: int | None = None,
) -> None:
    whole = [("content-length", str(len(body))), ("content-type", "application/json"), *headers]
    head = connection.send(h11.Response(status_code=status, headers=whole))
    data = connection.send(h11.Data(data=body if cut_at is None else body[:cut_at]))
    if cut_at is None:
        connection.send(h11.EndOfMessage())
    await stream.send((head or b"") + (data or b""))


async def run_backend(
    name: str, host: str, port: int, behaviour: BackendBehaviour, stop: anyio.Event
) -> None:
    """Serve a stand-in backend server until ``stop`` is set."""
    backend = StandInBackend(name, behaviour)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, backend.serve)
        await stop.wait()
        await listener.aclose()
        group.cancel_scope.cancel()
