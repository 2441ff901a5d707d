"""HTTP servers of ``berylbankd steer``, on uvicorn's protocol class and httptools' parser.

Most callers open a new connection for each request, so a task for each connection would use too
much CPU time (docs/design/platform.md).
"""

import asyncio
import fcntl
import os
import select
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, cast

from loguru import logger
from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from berylbank._internal.utils.addresses import parse_address

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
LISTEN_BACKLOG_CONNECTIONS = 1_024
# Callers' idle connections are kept open for at least this long. Callers reuse a connection only
# for part of the idle time that the configuration gives them.
KEEP_ALIVE_S = 61
# How long a connection that is to be closed is kept for a caller that still sends.
LINGER_TIMEOUT_S = 5.0
STOP_POLL_INTERVAL_S = 0.02
# Names under which the state of an ASGI scope holds functions that tell whether the caller is still
# connected, and how many bytes that were written to the connection wait in this process.
IS_CONNECTED = "is_connected"
COUNT_UNSENT_BYTES = "count_unsent_bytes"
REQUEST_ID_HEADER = b"x-request-id"
QUEUE_SIZE_FORMAT = "i"


class UndeliveredResponse(NamedTuple):
    """A response that has not left this VM, to the last request of a connection.

    ``unsent_bytes`` wait in this process, ``unacknowledged_bytes`` in the kernel, which sends them
    even if the process ends. A response that isn't ``complete`` has not been written to its end.
    """

    request_id: str
    unsent_bytes: int
    unacknowledged_bytes: int
    complete: bool


class LingeringTransport:
    """A caller's transport that can be closed while the caller still sends.

    The kernel resets a connection that is closed before all input was read, and drops what it has
    not delivered of the response. So the transport first ends its own direction only, and is closed
    when the caller closes, or has its response and sends on after ``LINGER_TIMEOUT_S``.
    """

    def __init__(self, transport: asyncio.Transport, protocol: "CallerProtocol") -> None:
        self.transport = transport
        self.protocol = protocol
        self.lingering = False
        self.timer: asyncio.TimerHandle | None = None
        self.write = transport.write
        self.get_extra_info = transport.get_extra_info
        self.get_write_buffer_size = transport.get_write_buffer_size
        self.pause_reading = transport.pause_reading
        self.resume_reading = transport.resume_reading

    def is_closing(self) -> bool:
        """Tell whether nothing more is sent after what was written already."""
        return self.lingering or self.transport.is_closing()

    def close(self) -> None:
        """Close the connection after what was written, and wait for a caller that still sends."""
        if self.is_closing():
            return
        if not self.protocol.must_linger():
            self.transport.close()
            return
        self.lingering = True
        self.protocol.flow.resume_reading()
        self.transport.write_eof()
        self._start_timer()

    def close_now(self) -> None:
        """Close the connection after what was written, whether or not the caller still sends."""
        if self.timer is not None:
            self.timer.cancel()
        self.transport.close()

    def _start_timer(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._on_timeout)

    def _on_timeout(self) -> None:
        if self.protocol.find_undelivered() is None:
            self.close_now()
        else:
            self._start_timer()


class CallerProtocol(HttpToolsProtocol):
    """A connection of a caller, which requests can ask whether the caller has closed it."""

    def __init__(self, http_server: "HttpServer") -> None:
        super().__init__(
            config=http_server.config, server_state=http_server.server_state, app_state={}
        )
        self.http_server = http_server
        self.malformed = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start to serve a connection."""
        self.lingering_transport = LingeringTransport(transport, self)
        super().connection_made(cast(asyncio.Transport, self.lingering_transport))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the requests of the connection."""
        self.lingering_transport.close_now()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what the caller has sent, unless the connection is ending."""
        if not self.lingering_transport.lingering:
            super().data_received(data)

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request, and end the connection."""
        self.malformed = True
        super().send_400_response(msg)

    def must_linger(self) -> bool:
        """Tell whether the caller may send more before it has read its response."""
        body_expected = self.cycle is not None and self.cycle.more_body
        return body_expected or self.malformed or bool(self.pipeline) or self.http_server.stopping

    def on_message_begin(self) -> None:
        """Start a new request."""
        super().on_message_begin()
        state = self.scope["state"]
        state[IS_CONNECTED] = self.is_connected
        state[COUNT_UNSENT_BYTES] = self.transport.get_write_buffer_size

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


def read_send_queue_size(file_descriptor: int) -> int:
    """Return how many bytes the kernel holds that the other end has not acknowledged.

    It is 0 where the kernel does not tell.
    """
    try:
        size = fcntl.ioctl(file_descriptor, termios.TIOCOUTQ, struct.pack(QUEUE_SIZE_FORMAT, 0))
    except (OSError, ValueError):  # ValueError: the connection has just been closed
        return 0
    return int(struct.unpack(QUEUE_SIZE_FORMAT, size)[0])


def has_input(file_descriptor: int) -> bool:
    """Tell whether there is input on a connection that the event loop has not read.

    That is a request which has just arrived. The close of the other end does not count.
    """
    poll = select.poll()
    poll.register(file_descriptor, select.POLLIN | select.POLLRDHUP)
    events = poll.poll(0)
    return bool(events) and events[0][1] == select.POLLIN


def has_hung_up(file_descriptor: int) -> bool:
    """Tell whether the other end of a TCP connection has closed it."""
    poll = select.poll()
    poll.register(file_descriptor, select.POLLIN | select.POLLRDHUP)
    events = poll.poll(0)
    if not events:
        return False
    if events[0][1] & ~select.POLLIN:
        return True
    try:
        duplicate = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, 0, fileno=os.dup(file_descriptor)
        )
        with duplicate:
            return not duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


class HttpServer:
    """Serves an ASGI application on one address."""

    def __init__(self, app: AsgiApp, address: str) -> None:
        self.address = parse_address(address)
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
            timeout_keep_alive=KEEP_ALIVE_S,
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
        self.server = await asyncio.get_running_loop().create_server(
            self._make_protocol, sock=self.listener, backlog=LISTEN_BACKLOG_CONNECTIONS
        )

    def set_min_keep_alive(self, min_idle_ms: int) -> None:
        """Set for how long at least connections opened from now on are kept open while idle."""
        self.config.timeout_keep_alive = max(KEEP_ALIVE_S, min_idle_ms // 1000 + 1)

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

    def _make_protocol(self) -> CallerProtocol:
        return CallerProtocol(self)


def accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Accept the connections that callers have opened and the event loop has not accepted yet."""
    waiting: list[socket.socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return waiting
        except OSError as error:
            logger.warning("connections that wait to be accepted are closed: {}", error)
            return waiting
        connection.setblocking(False)
        waiting.append(connection)
