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

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from berylbank._internal.utils.addresses import parse_address

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
LISTEN_BACKLOG_CONNECTIONS = 1_024
# Callers' idle connections are kept open for at least this long. Callers reuse a connection only
# for part of the idle time that the configuration gives them.
KEEP_ALIVE_S = 61
STOP_POLL_INTERVAL_S = 0.02
# Name under which the state of an ASGI scope holds a function that tells whether the caller is
# still connected.
IS_CONNECTED = "is_connected"
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


class CallerProtocol(HttpToolsProtocol):
    """A connection of a caller, which requests can ask whether the caller has closed it."""

    def on_message_begin(self) -> None:
        """Start a new request."""
        super().on_message_begin()
        self.scope["state"][IS_CONNECTED] = self.is_connected

    def is_connected(self) -> bool:
        """Tell whether the caller is connected, also if the event loop has not read its close."""
        if self.transport.is_closing():
            return False
        return not has_hung_up(self.transport.get_extra_info("socket").fileno())

    def close_if_delivered(self) -> None:
        """Close the connection if nothing of a response is left, else let no request follow."""
        if self.find_undelivered() is None:
            self.transport.close()
        else:
            self.cycle.keep_alive = False

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
    except OSError:
        return 0
    return int(struct.unpack(QUEUE_SIZE_FORMAT, size)[0])


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

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.get_running_loop().create_server(
            self._make_protocol,
            self.address.host,
            self.address.port,
            backlog=LISTEN_BACKLOG_CONNECTIONS,
        )

    def set_min_keep_alive(self, min_idle_ms: int) -> None:
        """Set for how long at least connections opened from now on are kept open while idle."""
        self.config.timeout_keep_alive = max(KEEP_ALIVE_S, min_idle_ms // 1000 + 1)

    def stop_accepting(self) -> None:
        """Stop accepting connections; those that are open are still served."""
        if self.server is not None:
            self.server.close()

    def list_undelivered(self) -> list[UndeliveredResponse]:
        """Return the responses of which something is still in this VM."""
        found = [connection.find_undelivered() for connection in self._list_connections()]
        return [response for response in found if response is not None]

    async def stop(self, grace_s: float) -> None:
        """Stop listening, and close each connection once the caller has its whole response.

        It returns after ``grace_s`` even if callers have not read their responses by then.
        """
        self.stop_accepting()
        deadline_s = asyncio.get_running_loop().time() + grace_s
        while self.server_state.connections:
            for connection in self._list_connections():
                connection.close_if_delivered()
            if asyncio.get_running_loop().time() >= deadline_s:
                return
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    def _list_connections(self) -> list[CallerProtocol]:
        return list(cast(set[CallerProtocol], self.server_state.connections))

    def _make_protocol(self) -> CallerProtocol:
        return CallerProtocol(config=self.config, server_state=self.server_state, app_state={})
