"""Links between regions: loopback proxies between the processes, which can be cut.

The processes of each region use ports of their own for the traffic between nodes. A proxy stands at
each port of another region and passes datagrams and connections on, so that every process finds all
others at the same ports as its own.
"""

import asyncio
from typing import Any

from standins.deployment import Node


class DatagramLink(asyncio.DatagramProtocol):
    """Passes datagrams on to a node unless the links are cut."""

    def __init__(self, links: "RegionLinks", node: Node) -> None:
        self.links = links
        self.node = node
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport, from which datagrams are also sent."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass a datagram on, or drop it while the links are cut."""
        if self.transport is not None and not self.links.cut:
            self.transport.sendto(data, (self.node.ip, self.node.ports.ephemeral))


class RegionLinks:
    """All links between regions; while ``cut`` is set they carry nothing."""

    def __init__(self) -> None:
        self.cut = False

    async def open(self, node: Node, port: int) -> None:
        """Stand at a port of a node's address for the processes of another region."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: DatagramLink(self, node), local_addr=(node.ip, port)
        )
        await self.open_stream(node.ip, port, f"{node.ip}:{node.ports.ephemeral}")

    async def open_stream(self, host: str, port: int, far_address: str) -> str:
        """Pass connections on to an address; return the address at which they are accepted."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._connect(far_address, reader, writer)

        server = await asyncio.start_server(serve, host, port)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def _connect(
        self, far_address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_host, far_port = far_address.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(far_host, int(far_port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                while self.cut:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()
