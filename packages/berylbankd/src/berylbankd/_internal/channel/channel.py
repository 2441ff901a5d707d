"""Connections to and from the other VMs; every connection is owned by one task."""

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
    FrameOpener,
    buffer_stream,
    prove_as_dialer,
    prove_as_listener,
    receive_count,
    send_count,
)

QUEUE_MESSAGES = 256
CONNECT_TIMEOUT_S = 1.0
SILENCE_S = 3.0
COUNT_EVERY_S = 0.9
REDIAL_S = 0.2
REDIAL_MOST_S = 2.0
BROKEN = (
    OSError,
    TimeoutError,
    ProtocolError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ChannelSettings(NamedTuple):
    """Identity of this VM on the channel; ``address`` is IP:port, contexts are None without TLS."""

    vm: str
    incarnation: int
    address: str
    key: bytes
    server_context: ssl.SSLContext | None = None
    client_context: ssl.SSLContext | None = None


class Encoded(NamedTuple):
    """The message encoded last."""

    message: Message | None
    payload: bytes


class ChannelCounters:
    """What went over the channel."""

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.dropped = 0
        self.rejected = 0


class PeerLink:
    """The outgoing connection to one VM and the bounded queue before it."""

    def __init__(self, vm: str, address: str) -> None:
        self.vm = vm
        self.address = address
        self.scope = anyio.CancelScope()
        self.connected = False
        self.sender: MemoryObjectSendStream[bytes]
        self.queue: MemoryObjectReceiveStream[bytes]
        self.sender, self.queue = anyio.create_memory_object_stream[bytes](QUEUE_MESSAGES)


class Channel:
    """Sends to VMs by name and hands incoming messages to ``deliver``."""

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
        self.encoded = Encoded(None, b"")
        self.counters = ChannelCounters()
        self.group: TaskGroup | None = None

    async def run(self, group: TaskGroup) -> None:
        """Listen until cancelled; links run in ``group``."""
        self.group = group
        address = parse_address(self.settings.address)
        listener = await anyio.create_tcp_listener(local_host=address.host, local_port=address.port)
        if self.settings.server_context is not None:
            await TLSListener(listener, self.settings.server_context).serve(self._serve)
        else:
            await listener.serve(self._serve)

    def connect(self, vm: str, address: str) -> None:
        """Keep a connection to ``vm``; a new address replaces the old one."""
        link = self.links.get(vm)
        if link is not None and link.address == address:
            return
        if link is not None:
            link.scope.cancel()
        link = PeerLink(vm, address)
        self.links[vm] = link
        assert self.group is not None
        self.group.start_soon(self._run_link, link)

    def disconnect(self, vm: str) -> None:
        """Drop the connection to ``vm``."""
        link = self.links.pop(vm, None)
        if link is not None:
            link.scope.cancel()

    def send(self, vm: str, message: Message) -> bool:
        """Queue a message; it leaves at most once. False when it was dropped."""
        link = self.links.get(vm)
        if link is None or not link.connected:
            self.counters.dropped += 1
            return False
        try:
            link.sender.send_nowait(self._encode(message))
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.counters.dropped += 1
            return False
        return True

    def _encode(self, message: Message) -> bytes:
        """Encode a message, once for all VMs that it goes to."""
        if message is not self.encoded.message:
            envelope = Envelope(self.settings.vm, self.settings.incarnation, message)
            self.encoded = Encoded(message, encode_envelope(envelope))
        return self.encoded.payload

    async def _run_link(self, link: PeerLink) -> None:
        pause_s = REDIAL_S
        with link.scope:
            while True:
                try:
                    stream = await self._dial(link.address)
                    async with stream:
                        pause_s = REDIAL_S
                        await self._feed(link, stream)
                except BROKEN:
                    pass
                link.connected = False
                await anyio.sleep(pause_s * (0.5 + self.jitter()))
                pause_s = min(REDIAL_MOST_S, pause_s * 2)

    async def _dial(self, address: str) -> ByteStream:
        target = parse_address(address)
        context = self.settings.client_context
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            if context is None:
                return await anyio.connect_tcp(target.host, target.port)
            return await anyio.connect_tcp(
                target.host, target.port, ssl_context=context, tls_standard_compatible=False
            )

    async def _feed(self, link: PeerLink, stream: ByteStream) -> None:
        sealer = await prove_as_dialer(stream, self.settings.key)
        _discard_queued(link.queue)
        link.connected = True
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, stream, group)
            async for payload in link.queue:
                frame = sealer.seal(payload)
                await stream.send(frame)
                self.counters.sent += 1
                self.counters.sent_bytes += len(frame)

    async def _watch(self, stream: ByteStream, group: TaskGroup) -> None:
        """End the connection when the listener has been silent for too long."""
        reader = buffer_stream(stream)
        try:
            while True:
                with anyio.fail_after(SILENCE_S):
                    await receive_count(reader)
        except BROKEN:
            group.cancel_scope.cancel()

    async def _receive_frames(self, stream: ByteStream, opener: FrameOpener) -> None:
        """Take frames, and tell the dialer from time to time that they arrive."""
        counted = 0.0
        while True:
            with anyio.fail_after(SILENCE_S):
                payload = await opener.receive()
            self.counters.received += 1
            self.counters.received_bytes += len(payload)
            if _is_due(counted):
                counted = anyio.current_time()
                await send_count(stream, opener.count)
            self.deliver(decode_envelope(payload))

    async def _serve(self, stream: ByteStream) -> None:
        async with stream:
            try:
                opener = await prove_as_listener(stream, self.settings.key)
                await self._receive_frames(stream, opener)
            except ProtocolError:
                self.counters.rejected += 1
            except BROKEN:
                return


def _is_due(last: float) -> bool:
    return anyio.current_time() - last >= COUNT_EVERY_S


def _discard_queued(queue: MemoryObjectReceiveStream[bytes]) -> None:
    """Drop what was queued for an earlier connection: its answers would come too late."""
    while True:
        try:
            queue.receive_nowait()
        except anyio.WouldBlock:
            return
