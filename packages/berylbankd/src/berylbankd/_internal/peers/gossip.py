"""Datagrams between VMs, and rows that a VM asks of another over HTTP."""

import itertools
import time
from typing import NamedTuple, Protocol

import anyio
import httpx
from anyio.abc import UDPSocket
from loguru import logger

from berylbank._internal.exceptions import ProtocolError
from berylbankd._internal.peers.codec import decode_datagram, decode_rows, encode_datagram
from berylbankd._internal.peers.messages import (
    Datagram,
    Heartbeat,
    Position,
    TableRows,
    TokenAsk,
    TokenGrant,
)

# Rows come from a VM nearby; a silent one is asked again elsewhere.
ROWS_TIMEOUT_S = 0.8
ROWS_PATH = "/rows"


# Datagrams that wait for the socket; more are dropped, as the network may do.
MAX_WAITING = 1_000
# Numbers of token requests start anew beyond this one.
LAST_NUMBER = 2**32 - 1


class Listener(Protocol):
    """Takes what other VMs send."""

    def take_heartbeat(self, beat: Heartbeat) -> None:
        """Take a heartbeat."""

    def grant_tokens(self, ask: TokenAsk) -> TokenGrant:
        """Return how many tokens the VM that asks gets."""


class PendingGrant:
    """A token request that is not answered yet."""

    def __init__(self) -> None:
        self.answered = anyio.Event()
        self.grant: TokenGrant | None = None


class Outgoing(NamedTuple):
    """A datagram and the VM that it goes to."""

    data: bytes
    host: str


class Gossip:
    """Sends datagrams to other VMs and hands over theirs.

    One task receives and one sends: the socket takes one datagram at a time.
    """

    def __init__(self, host: str, port: int, listener: Listener) -> None:
        self.host = host
        self.port = port
        self.listener = listener
        self.outbox, self.outgoing = anyio.create_memory_object_stream[Outgoing](MAX_WAITING)
        self.numbers = itertools.cycle(range(LAST_NUMBER))
        self.pending: dict[int, PendingGrant] = {}
        self.sent_bytes = 0
        self.rejected = 0
        self.dropped = 0

    async def run(self) -> None:
        """Send and receive until cancelled."""
        async with (
            await anyio.create_udp_socket(local_host=self.host, local_port=self.port) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._send_waiting, socket)
            while True:
                await self._receive(socket)

    def send_heartbeat(self, beat: Heartbeat, hosts: list[str]) -> None:
        """Send a heartbeat to some VMs; what can't be sent is lost."""
        data = encode_datagram(beat)
        for host in hosts:
            self._send(data, host)

    async def ask_tokens(self, host: str, ask: TokenAsk, timeout_s: float) -> TokenGrant | None:
        """Ask a VM for tokens; return its answer, None where there is none in time."""
        number = next(self.numbers)
        pending = self.pending[number] = PendingGrant()
        try:
            self._send(encode_datagram(ask._replace(number=number)), host)
            with anyio.move_on_after(timeout_s):
                await pending.answered.wait()
            return pending.grant
        finally:
            del self.pending[number]

    async def _receive(self, socket: UDPSocket) -> None:
        try:
            data, (host, _) = await socket.receive()
            self._take(decode_datagram(data), host)
        except ProtocolError as error:
            self.rejected += 1
            logger.warning("datagram rejected: {}", error)
        except OSError as error:
            logger.debug("datagram socket: {}", error)

    def _take(self, item: Datagram, host: str) -> None:
        if isinstance(item, Heartbeat):
            self.listener.take_heartbeat(item)
        elif isinstance(item, TokenAsk):
            self._send(encode_datagram(self.listener.grant_tokens(item)), host)
        else:
            pending = self.pending.get(item.number)
            if pending is not None:
                pending.grant = item
                pending.answered.set()

    def _send(self, data: bytes, host: str) -> None:
        try:
            self.outbox.send_nowait(Outgoing(data, host))
        except anyio.WouldBlock:
            self.dropped += 1
            if self.dropped % MAX_WAITING == 1:
                logger.warning("{} datagrams dropped: the socket does not take them", self.dropped)

    async def _send_waiting(self, socket: UDPSocket) -> None:
        async for item in self.outgoing:
            try:
                await socket.sendto(item.data, item.host, self.port)
                self.sent_bytes += len(item.data)
            except OSError as error:
                logger.debug("datagram to {}: {}", item.host, error)


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
