"""Heartbeats over UDP, and rows that a VM asks of another over HTTP."""

import time
from collections.abc import Callable

import anyio
import httpx
from anyio.abc import UDPSocket
from loguru import logger

from berylbank._internal.exceptions import ProtocolError
from berylbankd._internal.peers.codec import decode_heartbeat, decode_rows, encode_heartbeat
from berylbankd._internal.peers.messages import Heartbeat, Position, TableRows

# Rows come from a VM nearby; a silent one is asked again elsewhere.
ROWS_TIMEOUT_S = 0.8
ROWS_PATH = "/rows"


class Gossip:
    """Sends this VM's heartbeat and hands over those of the others."""

    def __init__(self, host: str, port: int, deliver: Callable[[Heartbeat], None]) -> None:
        self.host = host
        self.port = port
        self.deliver = deliver
        self.socket: UDPSocket | None = None
        self.sent_bytes = 0
        self.rejected = 0

    async def run(self) -> None:
        """Receive until cancelled."""
        async with await anyio.create_udp_socket(
            local_host=self.host, local_port=self.port
        ) as self.socket:
            while True:
                await self._receive(self.socket)

    async def _receive(self, socket: UDPSocket) -> None:
        try:
            data, _ = await socket.receive()
            self.deliver(decode_heartbeat(data))
        except ProtocolError as error:
            self.rejected += 1
            logger.warning("heartbeat rejected: {}", error)
        except OSError as error:
            logger.debug("heartbeat socket: {}", error)

    async def send(self, beat: Heartbeat, hosts: list[str]) -> None:
        """Send a heartbeat to some VMs; what can't be sent is lost."""
        if self.socket is None:
            return
        data = encode_heartbeat(beat)
        for host in hosts:
            try:
                await self.socket.sendto(data, host, self.port)
                self.sent_bytes += len(data)
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                logger.debug("heartbeat to {}: {}", host, error)


async def fetch_rows(
    client: httpx.AsyncClient, host: str, port: int, position: Position
) -> TableRows | None:
    """Ask a VM for the rows of a table after a position; None where that failed."""
    url = f"http://{host}:{port}{ROWS_PATH}"
    params = {"table": position.table, "after": str(position.revision)}
    try:
        answer = await client.get(url, params=params, timeout=ROWS_TIMEOUT_S)
        answer.raise_for_status()
        return decode_rows(answer.content)
    except (httpx.HTTPError, ProtocolError) as error:
        logger.info(
            "rows of {} after {} not had from {}: {}",
            position.table,
            position.revision,
            host,
            type(error).__name__,
        )
        return None


def make_incarnation() -> int:
    """Return a number that grows with every start of a VM, as far as its clock does."""
    return time.time_ns() // 1_000_000
