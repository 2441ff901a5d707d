"""Links between machines: loopback proxies between the processes, which can be cut.

Every machine uses a port of its own for the traffic between nodes. On each machine's address a
proxy stands at the port of every other machine, and passes datagrams and connections on, so that
every process finds all others at the same port as its own.
"""

import asyncio
from typing import Any

from standins.deployment import Node


class DatagramLink(asyncio.DatagramProtocol):
    """Passes one machine's datagrams on to another unless the link is cut."""

    def __init__(self, links: "Links", sender: Node, receiver: Node) -> None:
        self.links = links
        self.sender = sender
        self.receiver = receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport, from which datagrams are also sent."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass a datagram on, or drop it while the link is cut."""
        if self.transport is not None and not self.links.is_cut(self.sender, self.receiver):
            self.transport.sendto(data, (self.receiver.ip, self.receiver.ports.ephemeral))


class Links:
    """All links; ``cut_off`` holds the names of the machines whose links carry nothing."""

    def __init__(self) -> None:
        self.cut_off: set[str] = set()

    def is_cut(self, *ends: Node) -> bool:
        """Tell whether a link between machines, or from one to the store, is cut."""
        return any(end.name in self.cut_off for end in ends)

    async def open(self, sender: Node, receiver: Node) -> None:
        """Open the link on which one machine reaches another."""
        loop, port = asyncio.get_running_loop(), sender.ports.ephemeral
        await loop.create_datagram_endpoint(
            lambda: DatagramLink(self, sender, receiver), local_addr=(receiver.ip, port)
        )
        far_address = f"{receiver.ip}:{receiver.ports.ephemeral}"
        await self._open_stream(receiver.ip, port, far_address, sender, receiver)

    async def open_store(self, sender: Node, store_address: str) -> str:
        """Open the link on which a machine reaches the store; return the address of its end."""
        return await self._open_stream(sender.ip, 0, store_address, sender)

    async def _open_stream(self, host: str, port: int, far_address: str, *ends: Node) -> str:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            far_host, far_port = far_address.split(":")
            try:
                far_reader, far_writer = await asyncio.open_connection(far_host, int(far_port))
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                self._copy(reader, far_writer, ends), self._copy(far_reader, writer, ends)
            )

        server = await asyncio.start_server(serve, host, port)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ends: tuple[Node, ...]
    ) -> None:
        try:
            while data := await reader.read(65_536):
                while self.is_cut(*ends):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()
