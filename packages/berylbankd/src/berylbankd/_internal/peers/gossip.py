"""Datagrams between VMs, and rows that a VM asks of another over HTTP."""

import itertools
import time
from typing import Protocol

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


# Numbers of token requests start anew beyond this one.
LAST_NUMBER = 2**32 - 1


class Listener(Protocol):
    """Takes what other VMs send."""

    def take_heartbeat(self, beat: Heartbeat) -> None:
        """Take a heartbeat."""

    def grant_tokens(self, ask: TokenAsk) -> int:
        """Return how many tokens the VM that asks gets."""


class PendingGrant:
    """A token request that is not answered yet."""

    def __init__(self) -> None:
        self.answered = anyio.Event()
        self.tokens = 0


class Gossip:
    """Sends datagrams to other VMs and hands over theirs."""

    def __init__(self, host: str, port: int, listener: Listener) -> None:
        self.host = host
        self.port = port
        self.listener = listener
        self.socket: UDPSocket | None = None
        self.numbers = itertools.cycle(range(LAST_NUMBER))
        self.pending: dict[int, PendingGrant] = {}
        self.sent_bytes = 0
        self.rejected = 0

    async def run(self) -> None:
        """Receive until cancelled."""
        async with await anyio.create_udp_socket(
            local_host=self.host, local_port=self.port
        ) as self.socket:
            while True:
                await self._receive(self.socket)

    async def send_heartbeat(self, beat: Heartbeat, hosts: list[str]) -> None:
        """Send a heartbeat to some VMs; what can't be sent is lost."""
        data = encode_datagram(beat)
        for host in hosts:
            await self._send(data, host)

    async def ask_tokens(self, host: str, ask: TokenAsk, timeout_s: float) -> int | None:
        """Ask a VM for tokens; return how many it grants, None where it does not answer."""
        number = next(self.numbers)
        pending = self.pending[number] = PendingGrant()
        try:
            await self._send(encode_datagram(ask._replace(number=number)), host)
            with anyio.move_on_after(timeout_s):
                await pending.answered.wait()
                return pending.tokens
            return None
        finally:
            del self.pending[number]

    async def _receive(self, socket: UDPSocket) -> None:
        try:
            data, (host, _) = await socket.receive()
            await self._take(decode_datagram(data), host)
        except ProtocolError as error:
            self.rejected += 1
            logger.warning("datagram rejected: {}", error)
        except OSError as error:
            logger.debug("datagram socket: {}", error)

    async def _take(self, item: Datagram, host: str) -> None:
        if isinstance(item, Heartbeat):
            self.listener.take_heartbeat(item)
        elif isinstance(item, TokenAsk):
            grant = TokenGrant(item.number, self.listener.grant_tokens(item))
            await self._send(encode_datagram(grant), host)
        else:
            pending = self.pending.get(item.number)
            if pending is not None:
                pending.tokens = item.tokens
                pending.answered.set()

    async def _send(self, data: bytes, host: str) -> None:
        if self.socket is None:
            return
        try:
            await self.socket.sendto(data, host, self.port)
            self.sent_bytes += len(data)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            logger.debug("datagram to {}: {}", host, error)


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
