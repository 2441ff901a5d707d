"""A loopback TCP proxy that delays, resets or silences its connections."""

import random
from enum import StrEnum

import anyio
from anyio.abc import SocketStream, TaskGroup

READ_BYTES = 65_536
MAX_DELAY_S = 0.25


class LinkMode(StrEnum):
    """What a proxy does to its connections.

    ``DELAY`` waits up to ``MAX_DELAY_S`` before it forwards what it received, ``RESET`` closes
    open and new connections, ``SILENT`` silences connections so that nothing is forwarded, and
    ``ONE_WAY`` silences a connection as soon as its target sends something. A silenced connection
    stays silent when the mode changes, as if a middlebox on the path had lost its state.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"


class Connection:
    """A proxied connection: the client's stream and that to the target."""

    def __init__(self, client: SocketStream, upstream: SocketStream) -> None:
        self.client = client
        self.upstream = upstream
        self.silent = False

    async def abort(self) -> None:
        """Close both streams without waiting for unsent data."""
        await anyio.aclose_forcefully(self.client)
        await anyio.aclose_forcefully(self.upstream)


class LinkProxy:
    """Forwards connections from a listening address to a target address."""

    def __init__(self, listen: str, target: str, rng: random.Random) -> None:
        self.listen = listen
        self.target = target
        self.rng = rng
        self.mode = LinkMode.PASS
        self.connections: set[Connection] = set()

    async def serve(self, group: TaskGroup) -> None:
        """Start to listen; the listener runs in the task group."""
        host, port = self.listen.rsplit(":", 1)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        group.start_soon(listener.serve, self._handle)

    async def set_mode(self, mode: LinkMode) -> None:
        """Change the mode of open and new connections."""
        self.mode = mode
        if mode is LinkMode.RESET:
            for connection in list(self.connections):
                await connection.abort()
        if mode is LinkMode.SILENT:
            for connection in self.connections:
                connection.silent = True

    async def _handle(self, client: SocketStream) -> None:
        async with client:
            if self.mode is LinkMode.RESET:
                return
            try:
                host, port = self.target.rsplit(":", 1)
                upstream = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            connection = Connection(client, upstream)
            connection.silent = self.mode is LinkMode.SILENT
            self.connections.add(connection)
            try:
                async with upstream, anyio.create_task_group() as group:
                    group.start_soon(
                        self._forward, connection, client, upstream, group.cancel_scope
                    )
                    group.start_soon(
                        self._forward, connection, upstream, client, group.cancel_scope
                    )
            finally:
                self.connections.discard(connection)

    async def _forward(
        self,
        connection: Connection,
        source: SocketStream,
        sink: SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(READ_BYTES)
                if self.mode is LinkMode.DELAY:
                    await anyio.sleep(self.rng.uniform(0, MAX_DELAY_S))
                discarded = self.mode is LinkMode.ONE_WAY and source is connection.upstream
                if connection.silent or discarded:
                    connection.silent = True
                    await anyio.sleep_forever()
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()
