"""Communication between VMs: datagrams over UDP, and rows fetched over HTTP."""

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

import anyio
import httpx
from loguru import logger

from berylbank._internal.exceptions import ProtocolError
from berylbankd._internal.models.revisions import describe_revision
from berylbankd._internal.peers.codec import decode_datagram, decode_rows, encode_datagram
from berylbankd._internal.peers.messages import (
    Datagram,
    RowsRequest,
    StateDigest,
    TableRows,
    TokenGrant,
    TokenRequest,
)
from berylbankd._internal.supervision import describe_error

# The nearest VM that has the rows is asked first; on a timeout the caller tries another VM.
FETCH_ROWS_TIMEOUT_S = 0.8
ROWS_PATH = "/rows"
# Revisions have 64 bits.
MAX_REVISION_DIGITS = 20
# Numbers of token requests start at 0 again when they reach this limit.
TOKEN_REQUEST_NUMBER_LIMIT = 2**32 - 1


class PeerMessageHandler(Protocol):
    """Handles messages from other VMs."""

    def handle_digest(self, digest: StateDigest) -> None:
        """Process a digest."""

    def grant_tokens(self, request: TokenRequest) -> TokenGrant:
        """Return the answer to a token request."""


class PendingTokenRequest:
    """A token request that has not been answered yet."""

    def __init__(self) -> None:
        self.answered = anyio.Event()
        self.grant: TokenGrant | None = None


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes each datagram to a callback as soon as it is received.

    Separate tasks for receiving and sending would cost several times the processor time of the
    messages themselves, in fleets where some VMs receive a hundred digests a second.
    """

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self.on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass a datagram and its sender's host to the callback."""
        self.on_datagram(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram sent earlier could not be delivered."""
        logger.debug("datagram could not be delivered: {}", exc)


class PeerTransport:
    """Sends datagrams to other VMs, and passes received ones to a handler."""

    def __init__(self, host: str, port: int, handler: PeerMessageHandler) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.udp_transport: asyncio.DatagramTransport | None = None
        self.last_request_number = 0
        self.pending_requests: dict[int, PendingTokenRequest] = {}
        self.sent_bytes = 0
        self.rejected_datagrams = 0

    async def run(self) -> None:
        """Send and receive until cancelled."""
        self.udp_transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: DatagramReceiver(self._receive), local_addr=(self.host, self.port)
        )
        try:
            await anyio.sleep_forever()
        finally:
            self.udp_transport.close()

    def send_digest(self, digest: StateDigest, hosts: Iterable[str]) -> None:
        """Send a digest to some VMs; datagrams that cannot be sent are dropped."""
        data = encode_datagram(digest)
        for host in hosts:
            self._send(data, host)

    async def ask_tokens(
        self, host: str, request: TokenRequest, timeout_s: float
    ) -> TokenGrant | None:
        """Request tokens from a VM; return None if it does not answer within the timeout."""
        number = self.last_request_number = (
            self.last_request_number + 1
        ) % TOKEN_REQUEST_NUMBER_LIMIT
        pending = self.pending_requests[number] = PendingTokenRequest()
        try:
            self._send(encode_datagram(request._replace(number=number)), host)
            with anyio.move_on_after(timeout_s):
                await pending.answered.wait()
            return pending.grant
        finally:
            del self.pending_requests[number]

    def _receive(self, data: bytes, host: str) -> None:
        try:
            self._handle(decode_datagram(data), host)
        except ProtocolError as error:
            self.rejected_datagrams += 1
            logger.warning("rejected a datagram from another VM at {}: {}", host, error)
        except Exception as error:  # no datagram may end the processing of the next ones
            self.rejected_datagrams += 1
            logger.error(
                "datagram from another VM at {} could not be handled: {}",
                host,
                describe_error(error),
            )

    def _handle(self, datagram: Datagram, host: str) -> None:
        if isinstance(datagram, StateDigest):
            self.handler.handle_digest(datagram)
        elif isinstance(datagram, TokenRequest):
            self._send(encode_datagram(self.handler.grant_tokens(datagram)), host)
        else:
            pending = self.pending_requests.get(datagram.number)
            if pending is not None:
                pending.grant = datagram
                pending.answered.set()

    def _send(self, data: bytes, host: str) -> None:
        if self.udp_transport is not None and not self.udp_transport.is_closing():
            self.udp_transport.sendto(data, (host, self.port))
            self.sent_bytes += len(data)


def decode_rows_request(query: Mapping[str, Sequence[str]]) -> RowsRequest | None:
    """Return the request for rows in a query string's parameters, or None if it is invalid."""
    table, after = query.get("table", [""])[0], query.get("after", [""])[0]
    if not after.isascii() or not after.isdigit() or len(after) > MAX_REVISION_DIGITS:
        return None
    return RowsRequest(table, int(after), "complete" in query)


async def fetch_rows(
    client: httpx.AsyncClient, host: str, port: int, request: RowsRequest
) -> TableRows | None:
    """Fetch rows of a table from a VM; return None if the call fails."""
    url = f"http://{host}:{port}{ROWS_PATH}"
    params = {"table": request.table, "after": str(request.after)}
    if request.complete:
        params["complete"] = "1"
    try:
        response = await client.get(url, params=params, timeout=FETCH_ROWS_TIMEOUT_S)
        response.raise_for_status()
        return decode_rows(response.content)
    except (httpx.HTTPError, ProtocolError) as error:
        logger.info(
            "rows of table {} after revision {} could not be fetched from VM at {}: {}",
            request.table,
            describe_revision(request.after),
            host,
            type(error).__name__,
        )
        return None


def make_incarnation() -> int:
    """Return a number that is higher at each start of a VM, unless its clock was set back."""
    return time.time_ns() // 1_000_000
