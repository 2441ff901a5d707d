"""HTTP servers of ``berylbankd steer``, on uvicorn's protocol class and httptools' parser.

Most callers open a new connection for each request, so a task for each connection would use too
much CPU time (docs/design/platform.md).
"""

import asyncio
import math
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, NamedTuple, cast

import httptools
from uvicorn.config import Config
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from berylbank._internal.utils.addresses import parse_address
from berylbankd._internal.connections.budget import (
    CONNECTION_BYTES,
    HEADER_FIELD_BYTES,
    REQUEST_BYTES,
    ConnectionBudget,
    ConnectionState,
    Progress,
)
from berylbankd._internal.connections.lingering import LingeringTransport
from berylbankd._internal.connections.request_input import HeadTooLargeError, RequestInput
from berylbankd._internal.connections.requests_ahead import RequestsAhead
from berylbankd._internal.connections.sockets import (
    accept_waiting,
    has_hung_up,
    has_input,
    read_send_queue_size,
)
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
LISTEN_BACKLOG_CONNECTIONS = 1_024
# Most bytes that are read at once, and what the kernel may hold of a connection's input.
MAX_READ_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 65_536
# Request bodies up to about this size are buffered, so that a retry can send them again. No backend
# server gets a part of one before it is complete. The rest of a longer one is sent as it arrives.
MAX_REPLAYABLE_BODY_BYTES = 262_144
# How often all connections that are to be closed read together what their callers still send.
LINGER_READS_PER_S = 500
MIN_LINGER_PAUSE_S = 0.01
# Callers that are refused here may try another VM at once.
RETRY_ELSEWHERE_AFTER_S = 0.05
STOP_POLL_INTERVAL_S = 0.02
# Names under which the state of an ASGI scope holds functions that tell whether the caller is still
# connected, and how many bytes that were written to the connection wait in this process; and
# whether the connection has had another request begin within ``RECENT_REQUEST_S``.
IS_CONNECTED = "is_connected"
COUNT_UNSENT_BYTES = "count_unsent_bytes"
SERVED_RECENTLY = "served_recently"
RECENT_REQUEST_S = 1.0
REQUEST_ID_HEADER = b"x-request-id"
UPGRADE_HEADER = b"upgrade"
CONNECT_METHOD = b"CONNECT"


class UndeliveredResponse(NamedTuple):
    """A response that has not left this VM, to the last request of a connection.

    ``unsent_bytes`` wait in this process, ``unacknowledged_bytes`` in the kernel, which sends them
    even if the process ends. A response that isn't ``complete`` has not been written to its end.
    """

    request_id: str
    unsent_bytes: int
    unacknowledged_bytes: int
    complete: bool


class RequestFlow(FlowControl):
    """Flow control of a connection; the protocol decides when it reads."""

    def __init__(self, protocol: "CallerProtocol") -> None:
        super().__init__(cast(asyncio.Transport, protocol.lingering_transport))
        self.protocol = protocol

    def pause_reading(self) -> None:
        """Stop reading if the protocol has enough."""
        self.protocol.update_reading()

    def resume_reading(self) -> None:
        """Read on if the protocol has room."""
        self.protocol.update_reading()

    def resume_writing(self) -> None:
        """Go on writing, and serve the next request if the caller has sent it already."""
        super().resume_writing()
        self.protocol.serve_ahead()


class CallerProtocol(HttpToolsProtocol):
    """A connection of a caller, which requests can ask whether the caller has closed it.

    Requests are parsed and served one at a time: the next one waits as bytes until the caller has
    read enough of the response before it. ``request_count`` counts the requests whose head was
    complete, ``body_bytes`` the body of the last one as far as it has come; ``dispatched`` tells
    whether the application has got it.
    """

    def __init__(self, http_server: "HttpServer") -> None:
        super().__init__(
            config=http_server.config, server_state=http_server.server_state, app_state={}
        )
        self.http_server = http_server
        self.budget = http_server.budget
        self.request_input: RequestInput = RequestInput()
        self.refused = False
        self.reading = True
        self.input_ended = False
        self.ignored_bytes = 0
        self.head_due = False
        self.offers_upgrade = False
        self.in_body: bool = False
        self.dispatched = False
        self.request_count = 0
        self.body_bytes = 0
        self.head_bytes = 0
        self.last_request_s = -math.inf

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start to serve a connection, if there is room for it."""
        self.lingering_transport = LingeringTransport(transport, self)
        super().connection_made(cast(asyncio.Transport, self.lingering_transport))
        self.flow = RequestFlow(self)
        if not self.budget.open(self):
            self.lingering_transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the requests of the connection."""
        self.budget.close(self)
        self.http_server.lingering.discard(self)
        self.http_server.requests_ahead.discard(self)
        self.request_input.clear()
        self.input_ended = True
        self.lingering_transport.close_now()
        super().connection_lost(exc)

    def get_read_size(self) -> int:
        """Return how many bytes may be read at once, at least 1."""
        if self.in_body or self.lingering_transport.lingering:
            return MAX_READ_BYTES
        room = self.budget.limits.max_header_bytes + 1 - len(self.request_input.held)
        return min(MAX_READ_BYTES, max(1, room))

    def data_received(self, data: bytes) -> None:
        """Take what the caller has sent, and parse it as far as it can be served."""
        if self.lingering_transport.lingering:
            self.lingering_transport.read_later(self.http_server.get_linger_pause_s())
            return
        if self.input_ended:
            self.ignored_bytes += len(data)
            self.update_reading()
            return
        self.request_input.add(data)
        self.process_input()

    # Requests

    def process_input(self) -> None:
        """Parse what has arrived, up to the end of the request that is served next."""
        while self.request_input.held and not self.input_ended:
            if self.transport.is_closing():
                self.request_input.clear()
                break
            if self.in_body:
                self._parse_body()
            elif not self._may_start_request() or not self._parse_head():
                break
        self.update_reading()
        self.budget.charge(self)

    def _may_start_request(self) -> bool:
        waits_for_turn = self in self.http_server.requests_ahead.waiting
        return not waits_for_turn and not self.is_serving() and not self.flow.write_paused

    def _parse_head(self) -> bool:
        """Parse the next head; return False if it is incomplete."""
        try:
            head = self.request_input.take_head(self.budget.limits.max_header_bytes)
        except HeadTooLargeError:
            # The part within the limit may show that this is no HTTP at all.
            self.head_due = True
            self._feed(self.request_input.held[: self.budget.limits.max_header_bytes])
            if not self.refused:
                self.refuse(RefusalKind.HEAD_TOO_LARGE)
            return False
        if head is None:
            return False
        self.head_bytes = len(head)
        self.head_due = True
        self._feed(head)
        if self.offers_upgrade:
            self._parse_without_offer()
        if self.head_due and not self.refused:
            self.refuse(RefusalKind.MALFORMED)
        return True

    def _parse_body(self) -> None:
        limits = self.budget.limits
        try:
            part = self.request_input.take_body(limits.max_header_bytes)
        except HeadTooLargeError:
            self.refuse(RefusalKind.HEAD_TOO_LARGE)
            return
        self._feed(part)
        if self.body_bytes > limits.max_body_bytes:
            self.refuse(RefusalKind.BODY_TOO_LARGE)

    def _parse_without_offer(self) -> None:
        """Parse the head again without its offer of another protocol, which is not taken.

        The parser takes such an offer for the end of the request, and does not parse its body. A
        tunnel (CONNECT) is refused.
        """
        self.offers_upgrade = False
        method = self.parser.get_method()
        if method == CONNECT_METHOD:
            return
        version = self.parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (method, self.url, version)]
        lines += [b"%b: %b" % field for field in self.headers if field[0] != UPGRADE_HEADER]
        self.parser = httptools.HttpRequestParser(self)
        self._feed(b"\r\n".join([*lines, b"", b""]))

    def _feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.offers_upgrade = True
        except httptools.HttpParserError:
            self.refuse(RefusalKind.MALFORMED)

    def on_message_begin(self) -> None:
        """Start a new request.

        :raises ValueError: when the parser finds a request inside another one.
        """
        if not self.head_due:
            raise ValueError("a request begins inside another one")
        super().on_message_begin()
        state = self.scope["state"]
        state[IS_CONNECTED] = self.is_connected
        state[COUNT_UNSENT_BYTES] = self.transport.get_write_buffer_size
        now_s = self.loop.time()
        state[SERVED_RECENTLY] = now_s < self.last_request_s + RECENT_REQUEST_S
        self.last_request_s = now_s

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the request; the fields of a trailer section are dropped."""
        if self.head_due:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Serve the request, unless its length alone is too much or there is no room for it."""
        if self.parser.should_upgrade():
            return
        self.head_due = False
        self.dispatched = False
        self.request_count += 1
        self.body_bytes = 0
        fields = dict(self.headers)
        length = None if b"transfer-encoding" in fields else int(fields.get(b"content-length", 0))
        self.request_input.start_body(length)
        self.in_body = True
        if length is not None and length > self.budget.limits.max_body_bytes:
            self.refuse(RefusalKind.BODY_TOO_LARGE)
            return
        if not _names_host(self.url, fields.get(b"host", b"")):
            self.refuse(RefusalKind.MALFORMED)
            return
        if not self.budget.admit(self):
            self.refuse(RefusalKind.CALLERS_HOLD_TOO_MUCH)
            return
        super().on_headers_complete()
        self.dispatched = True

    def on_body(self, body: bytes) -> None:
        """Add a part of the body to the request."""
        self.request_input.overhead_bytes = 0
        self.body_bytes += len(body)
        if not self.refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """End the request's body.

        :raises ValueError: when it is shorter than its head says.
        """
        if self.head_due:
            return
        if self.request_input.body_left:
            raise ValueError("the body is shorter than its head says")
        self.in_body = False
        if self.refused:
            return
        super().on_message_complete()
        if not self.parser.should_keep_alive():
            self.end_input()

    def on_response_complete(self) -> None:
        """Serve the next request, if the caller has sent it already."""
        self.server_state.total_requests += 1
        if not self.transport.is_closing():
            self.serve_ahead()

    def serve_ahead(self) -> None:
        """Serve the next request when it is this connection's turn, if it was sent ahead."""
        if self.request_input.held and not self.in_body:
            self.http_server.requests_ahead.add(self)
        else:
            self.process_input()

    def end_input(self) -> None:
        """Ignore what the caller sends from now on."""
        self.input_ended = True
        self.request_input.clear()

    def refuse(self, kind: RefusalKind) -> None:
        """Refuse the request that the caller is sending, and end the connection.

        If its response has begun already, the connection ends without another one, which would be
        taken for a part of it or for the response to another request.
        """
        may_refuse = self.may_refuse()
        self.refused = True
        self.end_input()
        if self.transport.is_closing():
            return
        in_request = self.is_serving()
        request_id = ""
        if self.in_body or in_request:
            request_id = dict(self.headers).get(REQUEST_ID_HEADER, b"").decode("latin-1")
        self.budget.on_refusal(kind.value, request_id)
        if in_request:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        if in_request and self.cycle.response_started:
            self.lingering_transport.close_now()
            return
        responded = self.in_body and self.dispatched and not in_request
        if not responded:
            ran = Ran.NO if may_refuse or not in_request else Ran.UNKNOWN
            refusal = Refusal(kind, ran, RETRY_ELSEWHERE_AFTER_S)
            self.transport.write(make_refusal_response(refusal, request_id))
        self.transport.close()

    # Reading

    def update_reading(self) -> None:
        """Read on if there is room for what the caller sends, else stop reading."""
        if self.transport.is_closing():
            return
        if self.in_body:
            reading = not self.is_serving() or len(self.cycle.body) <= HIGH_WATER_LIMIT
        else:
            # The close of a connection shows only while it is read.
            unused_bytes = len(self.request_input.held) + self.ignored_bytes
            reading = unused_bytes <= self.budget.limits.max_header_bytes
        if reading != self.reading:
            self.reading = reading
            if reading:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def start_lingering(self) -> None:
        """Read on, without use for what is read, until the caller has its response."""
        self.end_input()
        self.http_server.lingering.add(self)
        if not self.reading:
            self.reading = True
            self.transport.resume_reading()

    def must_linger(self) -> bool:
        """Tell whether the caller may send more before it has read its response."""
        return (
            self.in_body
            or self.refused
            or bool(self.request_input.held)
            or not self.reading
            or self.http_server.stopping
        )

    # What the connection holds

    def measure_progress(self) -> Progress:
        """Return how far the caller has come."""
        state = next(state for state, applies in STATE_CONDITIONS if applies(self))
        if state in (ConnectionState.CLOSING, ConnectionState.READER):
            return Progress(state, self.lingering_transport.count_taken_bytes())
        if state is ConnectionState.REST:
            return Progress(state, self.body_bytes)
        return Progress(state, self.request_count)

    def is_serving(self) -> bool:
        """Tell whether a request has no complete response yet."""
        return self.cycle is not None and not self.cycle.response_complete

    def may_refuse(self) -> bool:
        """Tell whether no backend server can have got anything of the request being served."""
        waits = self.is_serving() and self.in_body and not self.cycle.response_started
        return waits and self.body_bytes <= MAX_REPLAYABLE_BODY_BYTES

    def measure_held_bytes(self) -> int:
        """Return the memory that the connection takes, in bytes."""
        held_bytes = CONNECTION_BYTES + len(self.request_input.held)
        held_bytes += self.transport.get_write_buffer_size()
        if self.in_body or self.is_serving():
            held_bytes += REQUEST_BYTES + self.head_bytes + HEADER_FIELD_BYTES * len(self.headers)
            held_bytes += min(self.body_bytes, MAX_REPLAYABLE_BODY_BYTES + HIGH_WATER_LIMIT)
        return held_bytes

    def expire(self, state: ConnectionState) -> None:
        """End the connection because its caller took too long."""
        EXPIRE_ACTIONS[state](self)

    def give_way(self, state: ConnectionState) -> bool:
        """End the connection for others; return False if a request has just arrived on it."""
        if state is ConnectionState.IDLE:
            return self._close_idle()
        GIVE_WAY_ACTIONS[state](self)
        return True

    def _close_idle(self) -> bool:
        if has_input(self.transport.get_extra_info("socket").fileno()):
            return False
        self.lingering_transport.close_now()
        return True

    def _refuse_slow_head(self) -> None:
        self.refuse(RefusalKind.HEAD_TOO_SLOW)

    def _refuse_for_others(self) -> None:
        self.refuse(RefusalKind.CALLERS_HOLD_TOO_MUCH)
        self.lingering_transport.close_now()

    def _close_now(self) -> None:
        self.lingering_transport.close_now()

    def _abort(self) -> None:
        self.lingering_transport.abort()

    def is_connected(self) -> bool:
        """Tell whether the caller is connected, also if the event loop has not read its close."""
        if self.transport.is_closing():
            return False
        return not has_hung_up(self.transport.get_extra_info("socket").fileno())

    def close_if_delivered(self) -> None:
        """Close the connection if nothing of a response is left, else let no request follow."""
        if self.find_undelivered() is not None:
            if self.cycle is not None:
                self.cycle.keep_alive = False
        elif not has_input(self.transport.get_extra_info("socket").fileno()):
            self.lingering_transport.close_now()

    def hand_over_to_kernel(self) -> None:
        """Let the kernel hold as much of what is unsent as it allows."""
        size = self.transport.get_write_buffer_size()
        if not size:
            return
        connection = self.transport.get_extra_info("socket")
        held = read_send_queue_size(connection.fileno())
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size + held)

    def find_undelivered(self) -> UndeliveredResponse | None:
        """Return the response of which something is still in this VM, or None."""
        complete = self.cycle is None or self.cycle.response_complete
        unsent_bytes = self.transport.get_write_buffer_size()
        unacknowledged_bytes = read_send_queue_size(
            self.transport.get_extra_info("socket").fileno()
        )
        if complete and not unsent_bytes and not unacknowledged_bytes:
            return None
        request_id = dict(self.headers or ()).get(REQUEST_ID_HEADER, b"").decode("latin-1")
        return UndeliveredResponse(request_id, unsent_bytes, unacknowledged_bytes, complete)


# The state of a connection is the first whose condition holds.
STATE_CONDITIONS: tuple[tuple[ConnectionState, Callable[[CallerProtocol], Any]], ...] = (
    (ConnectionState.CLOSING, lambda connection: connection.transport.is_closing()),
    (ConnectionState.BODY, CallerProtocol.may_refuse),
    (ConnectionState.READER, lambda connection: connection.flow.write_paused),
    (ConnectionState.SERVING, CallerProtocol.is_serving),
    (ConnectionState.READER, lambda connection: connection.transport.get_write_buffer_size()),
    (ConnectionState.REST, lambda connection: connection.in_body),
    (ConnectionState.HEAD, lambda connection: connection.request_input.has_begun()),
    (ConnectionState.IDLE, lambda _: True),
)
# What ends a connection whose caller took too long, and one that is closed for others.
EXPIRE_ACTIONS: dict[ConnectionState, Callable[[CallerProtocol], Any]] = {
    ConnectionState.IDLE: CallerProtocol._close_idle,
    ConnectionState.HEAD: CallerProtocol._refuse_slow_head,
    ConnectionState.REST: CallerProtocol._close_now,
    ConnectionState.READER: CallerProtocol._abort,
    ConnectionState.CLOSING: CallerProtocol._abort,
}
GIVE_WAY_ACTIONS: dict[ConnectionState, Callable[[CallerProtocol], Any]] = {
    ConnectionState.HEAD: CallerProtocol._close_now,
    ConnectionState.BODY: CallerProtocol._refuse_for_others,
    ConnectionState.REST: CallerProtocol._close_now,
    ConnectionState.READER: CallerProtocol._abort,
    ConnectionState.CLOSING: CallerProtocol._abort,
}


def _names_host(target: bytes, host: bytes) -> bool:
    """Tell whether a request's target is a path, or a URL of the host that its header names."""
    scheme, separator, rest = target.partition(b"://")
    if not separator or b"/" in scheme:
        return True
    authority = rest.partition(b"/")[0].partition(b"?")[0]
    return authority.lower() == host.lower()


def make_refusal_response(refusal: Refusal, request_id: str) -> bytes:
    """Return the whole response that refuses a request and ends its connection."""
    body = refusal.make_body(request_id)
    status = refusal.template.status
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}".encode()]
    headers = [*refusal.make_headers(len(body)), (b"connection", b"close")]
    if request_id:
        headers.append((REQUEST_ID_HEADER, request_id.encode("latin-1")))
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class ConnectionReader(asyncio.BufferedProtocol):
    """Passes the callbacks of a transport to a protocol, and lets it choose how much to read.

    ``buffer`` may be shared by all connections of an event loop: it is emptied at once.
    """

    def __init__(self, protocol: CallerProtocol, buffer: memoryview) -> None:
        self.protocol = protocol
        self.buffer = buffer
        self.connection_lost = protocol.connection_lost  # type: ignore[method-assign]
        self.eof_received = protocol.eof_received  # type: ignore[method-assign]
        self.pause_writing = protocol.pause_writing  # type: ignore[method-assign]
        self.resume_writing = protocol.resume_writing  # type: ignore[method-assign]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve a connection."""
        self.protocol.connection_made(cast(asyncio.Transport, transport))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return self.buffer[: self.protocol.get_read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on."""
        self.protocol.data_received(bytes(self.buffer[:nbytes]))


class HttpServer:
    """Serves an ASGI application on one address."""

    def __init__(self, app: AsgiApp, address: str, budget: ConnectionBudget | None = None) -> None:
        self.address = parse_address(address)
        self.budget = budget or ConnectionBudget()
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self.lingering: set[CallerProtocol] = set()
        self.requests_ahead = RequestsAhead()
        self.config = Config(
            app,
            http=HttpToolsProtocol,
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            proxy_headers=False,
        )
        self.config.load()
        self.server_state = ServerState()
        self.server: asyncio.Server | None = None
        self.listener: socket.socket | None = None
        self.stopping = False

    async def start(self) -> None:
        """Start listening."""
        address = (self.address.host, self.address.port)
        self.listener = socket.create_server(address, backlog=LISTEN_BACKLOG_CONNECTIONS)
        # Connections inherit it.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.server = await asyncio.get_running_loop().create_server(
            self._make_protocol, sock=self.listener, backlog=LISTEN_BACKLOG_CONNECTIONS
        )

    def get_linger_pause_s(self) -> float:
        """Return how long a connection that is to be closed waits before it reads on."""
        return max(MIN_LINGER_PAUSE_S, len(self.lingering) / LINGER_READS_PER_S)

    def prepare_stop(self) -> None:
        """Close connections from now on only when their callers have closed them or have waited."""
        self.stopping = True

    async def stop_accepting(self) -> None:
        """Stop accepting connections; those that are open, for the kernel too, are still served."""
        if self.server is None or self.listener is None:
            return
        waiting = accept_waiting(self.listener)
        self.listener = None
        self.server.close()
        for connection in waiting:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._make_protocol, connection
            )

    def list_undelivered(self) -> list[UndeliveredResponse]:
        """Return the responses of which something is still in this VM."""
        found = [connection.find_undelivered() for connection in self._list_connections()]
        return [response for response in found if response is not None]

    async def stop(self, grace_s: float) -> None:
        """Stop listening, and close each connection once the caller has its whole response.

        It returns after ``grace_s`` even if callers have not read their responses by then. The
        kernel, which goes on sending when the process has ended, then gets what it can hold.
        """
        self.prepare_stop()
        await self.stop_accepting()
        deadline_s = asyncio.get_running_loop().time() + grace_s
        while self.server_state.connections:
            for connection in self._list_connections():
                connection.close_if_delivered()
            if asyncio.get_running_loop().time() >= deadline_s:
                break
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        else:
            return
        for connection in self._list_connections():
            connection.hand_over_to_kernel()
        await asyncio.sleep(STOP_POLL_INTERVAL_S)

    def _list_connections(self) -> list[CallerProtocol]:
        return list(cast(set[CallerProtocol], self.server_state.connections))

    def _make_protocol(self) -> ConnectionReader:
        return ConnectionReader(CallerProtocol(self), self.read_buffer)
