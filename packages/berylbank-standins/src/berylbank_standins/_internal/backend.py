"""A stand-in backend server with slots, a service time, load shedding and injected faults."""

import json
import time
from typing import Any, NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

RECEIVE_BYTES = 65_536
# Header that tells the daemon that a rejected request was not executed.
NOT_RUN_HEADERS = [("not-run", "true")]


class BackendBehaviour(NamedTuple):
    """Settings of the backend server that its ``/control`` path can change.

    Request targets that start with one of ``fail_paths`` get status 500; those that start with one
    of ``slow_paths`` take ``slow_ms`` longer. ``shed`` rejects every request, ``truncate`` sends
    half of the response body and closes the connection, ``silent`` holds each request for an hour,
    ``drop`` closes the connection after a request, ``close_idle`` closes it after a response, and
    ``late_ms`` delays responses.
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
    """Requests that the backend server received.

    ``shed`` counts the requests that were rejected, ``overloaded`` those of them that found every
    slot taken, ``most_running`` is the highest number of concurrent requests, and ``bad_headers``
    counts requests whose headers held credentials of a caller.
    """

    requests: int = 0
    shed: int = 0
    overloaded: int = 0
    most_running: int = 0
    bad_headers: int = 0


class ReceivedRequest(NamedTuple):
    """The head of a request, and its complete body."""

    request: h11.Request
    body: bytes


class StandInBackend:
    """One stand-in backend server.

    ``executed`` counts the executed requests by their idempotency key, and ``organisations`` the
    requests by organisation. Requests on the first ``silenced_connections`` connections are held
    for an hour.
    """

    def __init__(self, name: str, behaviour: BackendBehaviour) -> None:
        self.name = name
        self.behaviour = behaviour
        self.counters = BackendCounters()
        self.executed: dict[str, int] = {}
        self.organisations: dict[str, int] = {}
        self.last_request_ms = 0
        self.running = 0
        self.opened_connections = 0
        self.silenced_connections = 0

    def get_state(self) -> dict[str, Any]:
        """Return the behaviour and the counters, as ``/control`` responds with them."""
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
        self.opened_connections += 1
        connection_number = self.opened_connections
        async with stream:
            try:
                while await self._serve_request(connection, stream, connection_number):
                    connection.start_next_cycle()
            except (h11.RemoteProtocolError, anyio.BrokenResourceError, anyio.EndOfStream):
                return
            except (anyio.ClosedResourceError, h11.LocalProtocolError):
                return

    async def _serve_request(
        self, connection: h11.Connection, stream: SocketStream, connection_number: int
    ) -> bool:
        received = await _read_request(connection, stream)
        if received is None:
            return False
        if received.request.target == b"/control":
            await self._handle_control(received, connection, stream)
            return True
        if self.behaviour.silent or connection_number <= self.silenced_connections:
            await anyio.sleep(3600)
        self._count_request(received)
        if self.behaviour.drop:
            return False
        return await self._handle_request(received, connection, stream)

    async def _handle_request(
        self, received: ReceivedRequest, connection: h11.Connection, stream: SocketStream
    ) -> bool:
        behaviour = self.behaviour
        if behaviour.shed or self.running >= behaviour.slots:
            self._add_to_counters(shed=1, overloaded=int(not behaviour.shed))
            await _send_response(connection, stream, 503, b'{"shed":true}', NOT_RUN_HEADERS)
            return True
        self.running += 1
        self._add_to_counters(most_running=max(0, self.running - self.counters.most_running))
        try:
            self._count_execution(received)
            await anyio.sleep(self._service_ms(received) / 1000)
            return await self._respond(received, connection, stream)
        finally:
            self.running -= 1

    async def _respond(
        self, received: ReceivedRequest, connection: h11.Connection, stream: SocketStream
    ) -> bool:
        target = received.request.target.decode("latin-1")
        status = 500 if target.startswith(self.behaviour.fail_paths or ("\0",)) else 200
        body = self._response_body(received)
        if self.behaviour.truncate:
            await _send_response(connection, stream, status, body, [], truncate_at=len(body) // 2)
            return False
        await _send_response(connection, stream, status, body, [("x-backend", self.name)])
        return not self.behaviour.close_idle

    def _service_ms(self, received: ReceivedRequest) -> int:
        target = received.request.target.decode("latin-1")
        is_slow = target.startswith(self.behaviour.slow_paths or ("\0",))
        extra_ms = self.behaviour.slow_ms if is_slow else 0
        return self.behaviour.service_ms + self.behaviour.late_ms + extra_ms

    def _response_body(self, received: ReceivedRequest) -> bytes:
        headers = dict(received.request.headers)
        size = headers.get(b"x-answer-bytes")
        if size is not None:
            return b"x" * int(size)
        document = {
            "backend": self.name,
            "organisation": headers.get(b"x-berylbank-organisation", b"").decode(),
            "target": received.request.target.decode("latin-1"),
            "token": headers.get(b"x-token", b"").decode(),
            "received": len(received.body),
        }
        return json.dumps(document).encode()

    def _count_execution(self, received: ReceivedRequest) -> None:
        headers = dict(received.request.headers)
        key = headers.get(b"idempotency-key", b"").decode()
        if key:
            self.executed[key] = self.executed.get(key, 0) + 1

    def _count_request(self, received: ReceivedRequest) -> None:
        headers = dict(received.request.headers)
        has_credentials = b"authorization" in headers or any(b"bb_" in v for v in headers.values())
        organisation = headers.get(b"x-berylbank-organisation", b"").decode()
        self.organisations[organisation] = self.organisations.get(organisation, 0) + 1
        self.last_request_ms = time.monotonic_ns() // 1_000_000
        self._add_to_counters(requests=1, bad_headers=int(has_credentials))

    def _add_to_counters(self, **increments: int) -> None:
        values = {
            name: getattr(self.counters, name) + increment for name, increment in increments.items()
        }
        self.counters = self.counters._replace(**values)

    async def _handle_control(
        self, received: ReceivedRequest, connection: h11.Connection, stream: SocketStream
    ) -> None:
        if received.request.method == b"POST":
            settings = json.loads(received.body)
            if settings.pop("silence_open", False):
                self.silenced_connections = self.opened_connections
            for name in ("fail_paths", "slow_paths"):
                if name in settings:
                    settings[name] = tuple(settings[name])
            self.behaviour = self.behaviour._replace(**settings)
        await _send_response(connection, stream, 200, json.dumps(self.get_state()).encode(), [])


async def _read_request(connection: h11.Connection, stream: SocketStream) -> ReceivedRequest | None:
    request: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive(RECEIVE_BYTES))
            except anyio.EndOfStream:
                connection.receive_data(b"")
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            return ReceivedRequest(request, bytes(body))
        else:
            return None


async def _send_response(
    connection: h11.Connection,
    stream: SocketStream,
    status: int,
    body: bytes,
    headers: list[tuple[str, str]],
    truncate_at: int | None = None,
) -> None:
    fields = [("content-length", str(len(body))), ("content-type", "application/json"), *headers]
    head = connection.send(h11.Response(status_code=status, headers=fields))
    data = connection.send(h11.Data(data=body if truncate_at is None else body[:truncate_at]))
    if truncate_at is None:
        connection.send(h11.EndOfMessage())
    await stream.send((head or b"") + (data or b""))


async def run_backend(
    name: str, host: str, port: int, behaviour: BackendBehaviour, stop: anyio.Event
) -> None:
    """Run a stand-in backend server until ``stop`` is set."""
    backend = StandInBackend(name, behaviour)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, backend.serve)
        await stop.wait()
        await listener.aclose()
        group.cancel_scope.cancel()
