"""Datagrams between VMs, and rows that a VM asks of another over HTTP."""

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Any, Protocol

import anyio
import httpx
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


class DatagramReceiver(asyncio.DatagramProtocol):
    """Hands each datagram over as it comes.

    A task that receives and one that sends cost several times what the messages themselves do, on
    fleets where each VM hears forty heartbeats a second.
    """

    def __init__(self, take: Callable[[bytes, str], None]) -> None:
        self.take = take

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take a datagram."""
        self.take(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Note that an earlier datagram could not be delivered."""
        logger.debug("datagram socket: {}", exc)


class Gossip:
    """Sends datagrams to other VMs and hands over theirs."""

    def __init__(self, host: str, port: int, listener: Listener) -> None:
        self.host = host
        self.port = port
        self.listener = listener
        self.transport: asyncio.DatagramTransport | None = None
        self.numbers = itertools.cycle(range(LAST_NUMBER))
        self.pending: dict[int, PendingGrant] = {}
        self.sent_bytes = 0
        self.rejected = 0

    async def run(self) -> None:
        """Send and receive until cancelled."""
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: DatagramReceiver(self._receive), local_addr=(self.host, self.port)
        )
        try:
            await anyio.sleep_forever()
        finally:
            self.transport.close()

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

    def _receive(self, data: bytes, host: str) -> None:
        try:
            self._take(decode_datagram(data), host)
        except ProtocolError as error:
            self.rejected += 1
            logger.warning("datagram rejected: {}", error)

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
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (host, self.port))
            self.sent_bytes += len(data)


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
