"""Runs ASGI applications on Hypercorn, with limits on the resources that callers can use up."""

import asyncio
import select
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import anyio
from hypercorn.asyncio.tcp_server import MAX_RECV, TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.typing import LifespanState
from hypercorn.utils import wrap_app

from berylbankd._internal.connections.sockets import accept_waiting

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
# In effect no limit.
MAX_REQUESTS_PER_CONNECTION = 2**31
MAX_HEADER_BYTES = 32_768
KEEP_ALIVE_S = 30.0
LISTEN_BACKLOG_CONNECTIONS = 1_024
# How long an idle connection that is to be closed may take to have its input read.
MAX_UNREAD_INPUT_S = 1.0
INPUT_POLL_INTERVAL_S = 0.005
# How long applications may take to respond once their requests were ended.
RESPONSE_AFTER_END_S = 0.25


def make_server_config(address: str) -> Config:
    """Return the Hypercorn configuration of a server on IP:port ``address``."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.read_timeout = None
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.backlog = LISTEN_BACKLOG_CONNECTIONS
    config.alpn_protocols = ["http/1.1"]
    return config


class CallerConnection(TCPServer):
    """A caller's connection that is closed while idle only if no request has arrived on it.

    Hypercorn may close it in the turn of the event loop in which it passes on a request.
    """

    idle = True
    closing = False

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the protocol; note whether a request runs."""
        if isinstance(event, Updated):
            self.idle = event.idle
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(MAX_RECV)
            except OSError:
                break
            if self.closing:
                # A request that is not passed on has not run.
                break
            await self.protocol.handle(RawData(data))
        await self.protocol.handle(Closed())

    async def _initiate_server_close(self) -> None:
        with anyio.move_on_after(MAX_UNREAD_INPUT_S):
            while self.idle and self._has_unread_input():
                await asyncio.sleep(INPUT_POLL_INTERVAL_S)
        # Lets the reader handle what it has taken from the socket.
        await asyncio.sleep(0)
        if self.idle:
            self.closing = True
            await super()._initiate_server_close()

    def _has_unread_input(self) -> bool:
        transport_socket = self.writer.get_extra_info("socket")
        if self.writer.is_closing() or self.reader.at_eof() or transport_socket is None:
            return False
        poll = select.poll()
        poll.register(transport_socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))


class HypercornServer:
    """Serves an ASGI application on the connections of one listening socket."""

    def __init__(self, app: AsgiApp, address: str) -> None:
        self.config = make_server_config(address)
        self.app = wrap_app(app, self.config.wsgi_max_body_size, "asgi")
        self.context = WorkerContext(None)
        self.connection_tasks: set[asyncio.Task[None]] = set()
        self.listener = self.config.create_sockets().insecure_sockets[0]

    async def run(self, stop: anyio.Event) -> None:
        """Accept connections until ``stop``; then accept those that wait, and close idle ones."""
        # The transport closes its own socket only, so the kernel keeps the queue of connections.
        server = await asyncio.start_server(
            self.serve_connection, sock=self.listener.dup(), backlog=self.config.backlog
        )
        try:
            await stop.wait()
        finally:
            server.close()
            waiting = accept_waiting(self.listener)
            self.listener.close()
        loop = asyncio.get_running_loop()
        for accepted in waiting:
            reader = asyncio.StreamReader(loop=loop)
            protocol = asyncio.StreamReaderProtocol(reader, self.serve_connection, loop=loop)
            await loop.connect_accepted_socket(lambda p=protocol: p, accepted)  # type: ignore[misc]
        # Lets the tasks of the connections start, which are accepted by now.
        await asyncio.sleep(INPUT_POLL_INTERVAL_S)
        await self.context.terminated.set()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.connection_tasks.add(task)
        task.add_done_callback(self.connection_tasks.discard)
        loop, state = asyncio.get_running_loop(), LifespanState()
        # asyncio logs the cancellation of a connection's task as an error.
        with suppress(asyncio.CancelledError):
            await CallerConnection(self.app, loop, self.config, self.context, state, reader, writer)

    async def wait_until_closed(self, timeout_s: float) -> None:
        """Wait until all connections are closed, at most ``timeout_s``."""
        with anyio.move_on_after(timeout_s):
            while self.connection_tasks:
                await asyncio.wait(tuple(self.connection_tasks))

    async def aclose(self) -> None:
        """Close all connections at once, with whatever runs on them."""
        tasks = tuple(self.connection_tasks)
        for task in tasks:
            task.cancel()
        with anyio.CancelScope(shield=True):
            await asyncio.gather(*tasks, return_exceptions=True)


async def serve_http(
    app: AsgiApp,
    address: str,
    stop: anyio.Event,
    stop_grace_ms: int,
    end_requests: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serve ``app`` on IP:port until ``stop``; running requests get ``stop_grace_ms`` to finish.

    Then ``end_requests`` is called, so that the application can respond to those that still run.
    """
    server = HypercornServer(app, address)
    try:
        await server.run(stop)
        await server.wait_until_closed(stop_grace_ms / 1000)
        if server.connection_tasks and end_requests is not None:
            await end_requests()
            await server.wait_until_closed(RESPONSE_AFTER_END_S)
    finally:
        await server.aclose()


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Acknowledge the startup and shutdown events of the ASGI lifespan protocol."""
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return
