"""Connections to and from the other VMs; one task owns each connection.

A connection carries messages in one direction only, from the VM that dialed it.
"""

import ssl
from collections.abc import Callable
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from anyio.streams.tls import TLSListener

from berylbank._internal.exceptions import ProtocolError
from berylbank._internal.utils.addresses import parse_address
from berylbank._internal.wire.codec import decode_envelope, encode_envelope
from berylbank._internal.wire.messages import Envelope, Message
from berylbankd._internal.channel.handshake import (
    FrameReader,
    handshake_as_dialer,
    handshake_as_listener,
    make_count_reader,
    receive_frame_count,
    send_frame_count,
)

MAX_QUEUED_MESSAGES = 256
CONNECT_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 3.0
FRAME_COUNT_INTERVAL_S = 0.9
MIN_REDIAL_DELAY_S = 0.2
MAX_REDIAL_DELAY_S = 2.0
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    ProtocolError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ChannelSettings(NamedTuple):
    """Identity of this VM on the channel.

    ``incarnation`` is different for each start of this VM, ``address`` is the IP:port to listen
    on and ``key`` the fleet key. Without TLS both contexts are None.
    """

    vm: str
    incarnation: int
    address: str
    key: bytes
    server_context: ssl.SSLContext | None = None
    client_context: ssl.SSLContext | None = None


class EncodedMessage(NamedTuple):
    """The most recent message and its encoding."""

    message: Message | None
    payload: bytes


class ChannelCounters:
    """Counters of messages and bytes on all connections of this VM.

    ``dropped`` counts messages that were not queued or not delivered because a queue was full or
    the VM not connected; ``rejected`` counts connections that the listener closed because of a
    wrong key or an invalid frame.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.dropped = 0
        self.rejected = 0


class PeerLink:
    """The outgoing connection to one VM and its bounded queue of messages to send."""

    def __init__(self, vm: str, address: str) -> None:
        self.vm = vm
        self.address = address
        self.cancel_scope = anyio.CancelScope()
        self.connected = False
        self.queue_sender: MemoryObjectSendStream[bytes]
        self.queue: MemoryObjectReceiveStream[bytes]
        self.queue_sender, self.queue = anyio.create_memory_object_stream[bytes](
            MAX_QUEUED_MESSAGES
        )


class Channel:
    """Sends messages to VMs by name and passes incoming ones to ``deliver``.

    ``jitter`` returns a random number from 0 to 1, which spreads the delays before redialing.
    """

    def __init__(
        self,
        settings: ChannelSettings,
        deliver: Callable[[Envelope], None],
        jitter: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.deliver = deliver
        self.jitter = jitter
        self.links: dict[str, PeerLink] = {}
        self.last_encoded = EncodedMessage(None, b"")
        self.counters = ChannelCounters()
        self.link_group: TaskGroup | None = None

    async def run(self, group: TaskGroup) -> None:
        """Listen until cancelled; outgoing links run as tasks of ``group``."""
        self.link_group = group
        local = parse_address(self.settings.address)
        listener = await anyio.create_tcp_listener(local_host=local.host, local_port=local.port)
        if self.settings.server_context is not None:
            await TLSListener(listener, self.settings.server_context).serve(self._serve_connection)
        else:
            await listener.serve(self._serve_connection)

    def connect(self, vm: str, address: str) -> None:
        """Keep a connection to ``vm`` open; a new address replaces the old one."""
        link = self.links.get(vm)
        if link is not None and link.address == address:
            return
        if link is not None:
            link.cancel_scope.cancel()
        link = PeerLink(vm, address)
        self.links[vm] = link
        assert self.link_group is not None
        self.link_group.start_soon(self._maintain_link, link)

    def disconnect(self, vm: str) -> None:
        """Close the connection to ``vm`` and don't dial it again."""
        link = self.links.pop(vm, None)
        if link is not None:
            link.cancel_scope.cancel()

    def send(self, vm: str, message: Message) -> bool:
        """Queue a message, to be sent at most once; return False if it was dropped.

        A message is dropped if ``vm`` isn't connected or its queue is full.
        """
        link = self.links.get(vm)
        if link is None or not link.connected:
            self.counters.dropped += 1
            return False
        try:
            link.queue_sender.send_nowait(self._encode(message))
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.counters.dropped += 1
            return False
        return True

    def _encode(self, message: Message) -> bytes:
        """Encode a message; one that goes to several VMs in a row is encoded once."""
        if message is not self.last_encoded.message:
            envelope = Envelope(self.settings.vm, self.settings.incarnation, message)
            self.last_encoded = EncodedMessage(message, encode_envelope(envelope))
        return self.last_encoded.payload

    async def _maintain_link(self, link: PeerLink) -> None:
        """Keep ``link`` connected until it is cancelled; the delay before redialing doubles."""
        redial_delay_s = MIN_REDIAL_DELAY_S
        with link.cancel_scope:
            while True:
                try:
                    stream = await self._dial(link.address)
                    async with stream:
                        redial_delay_s = MIN_REDIAL_DELAY_S
                        await self._send_queued(link, stream)
                except CONNECTION_ERRORS:
                    pass
                link.connected = False
                await anyio.sleep(redial_delay_s * (0.5 + self.jitter()))
                redial_delay_s = min(MAX_REDIAL_DELAY_S, redial_delay_s * 2)

    async def _dial(self, address: str) -> ByteStream:
        target = parse_address(address)
        context = self.settings.client_context
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            if context is None:
                return await anyio.connect_tcp(target.host, target.port)
            return await anyio.connect_tcp(
                target.host, target.port, ssl_context=context, tls_standard_compatible=False
            )

    async def _send_queued(self, link: PeerLink, stream: ByteStream) -> None:
        """Authenticate the connection, then send queued messages until it breaks."""
        encoder = await handshake_as_dialer(stream, self.settings.key)
        _discard_queued(link.queue)
        link.connected = True
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_frame_counts, stream, group)
            async for payload in link.queue:
                frame = encoder.encode_frame(payload)
                await stream.send(frame)
                self.counters.sent += 1
                self.counters.sent_bytes += len(frame)

    async def _watch_frame_counts(self, stream: ByteStream, group: TaskGroup) -> None:
        """Close the connection once no frame count has arrived for ``SILENCE_TIMEOUT_S``."""
        reader = make_count_reader(stream)
        try:
            while True:
                with anyio.fail_after(SILENCE_TIMEOUT_S):
                    await receive_frame_count(reader)
        except CONNECTION_ERRORS:
            group.cancel_scope.cancel()

    async def _receive_frames(self, stream: ByteStream, reader: FrameReader) -> None:
        """Deliver frames, and send the dialer their count every ``FRAME_COUNT_INTERVAL_S``.

        Raise :class:`TimeoutError` once no frame has arrived for ``SILENCE_TIMEOUT_S``.
        """
        last_count_sent_s = 0.0
        while True:
            with anyio.fail_after(SILENCE_TIMEOUT_S):
                payload = await reader.receive_frame()
            self.counters.received += 1
            self.counters.received_bytes += len(payload)
            if _is_count_due(last_count_sent_s):
                last_count_sent_s = anyio.current_time()
                await send_frame_count(stream, reader.frame_count)
            self.deliver(decode_envelope(payload))

    async def _serve_connection(self, stream: ByteStream) -> None:
        """Authenticate an incoming connection and receive its frames until it breaks."""
        async with stream:
            try:
                reader = await handshake_as_listener(stream, self.settings.key)
                await self._receive_frames(stream, reader)
            except ProtocolError:
                self.counters.rejected += 1
            except CONNECTION_ERRORS:
                return


def _is_count_due(last_count_sent_s: float) -> bool:
    return anyio.current_time() - last_count_sent_s >= FRAME_COUNT_INTERVAL_S


def _discard_queued(queue: MemoryObjectReceiveStream[bytes]) -> None:
    """Drop messages queued before the connection was open: replies to them would come too late."""
    while True:
        try:
            queue.receive_nowait()
        except anyio.WouldBlock:
            return
