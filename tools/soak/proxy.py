"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

import random
from enum import StrEnum

import anyio
from anyio.abc import SocketStream, TaskGroup

READ_BYTES = 65_536
# Longest pause before a part of a delayed connection goes on.
MOST_DELAY_S = 0.25


class LinkMode(StrEnum):
    """What a link does to its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"


class Connection:
    """One proxied connection; once ``silent`` it stays so, as if the path had forgotten it."""

    def __init__(self, near: SocketStream, far: SocketStream) -> None:
        self.near = near
        self.far = far
        self.silent = False

    async def abort(self) -> None:
        """Close both ends at once."""
        await anyio.aclose_forcefully(self.near)
        await anyio.aclose_forcefully(self.far)


class LinkProxy:
    """Forwards connections from one address to another."""

    def __init__(self, listen: str, target: str, rng: random.Random) -> None:
        self.listen = listen
        self.target = target
        self.rng = rng
        self.mode = LinkMode.PASS
        self.connections: set[Connection] = set()

    async def serve(self, group: TaskGroup) -> None:
        """Listen; connections run in the task group."""
        host, port = self.listen.rsplit(":", 1)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        group.start_soon(listener.serve, self._handle)

    async def set_mode(self, mode: LinkMode) -> None:
        """Change what happens to connections, those that are open included."""
        self.mode = mode
        if mode is LinkMode.RESET:
            for connection in list(self.connections):
                await connection.abort()
        if mode is LinkMode.SILENT:
            for connection in self.connections:
                connection.silent = True

    async def _handle(self, near: SocketStream) -> None:
        async with near:
            if self.mode is LinkMode.RESET:
                return
            try:
                host, port = self.target.rsplit(":", 1)
                far = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            connection = Connection(near, far)
            connection.silent = self.mode is LinkMode.SILENT
            self.connections.add(connection)
            try:
                async with far, anyio.create_task_group() as group:
                    group.start_soon(self._pump, connection, near, far, group.cancel_scope)
                    group.start_soon(self._pump, connection, far, near, group.cancel_scope)
            finally:
                self.connections.discard(connection)

    async def _pump(
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
                    await anyio.sleep(self.rng.uniform(0, MOST_DELAY_S))
                lost = self.mode is LinkMode.ONE_WAY and source is connection.far
                if connection.silent or lost:
                    connection.silent = True
                    await anyio.sleep_forever()
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()
