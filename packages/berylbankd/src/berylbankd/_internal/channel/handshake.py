"""Mutual proof that both ends of a connection hold the fleet key, and the frames that follow.

The dialer sends frames, the listener only counts them back. Every frame carries a code over its
position, so that it is taken at most once, in order and unchanged.
"""

import hashlib
import hmac
import os
import struct

import anyio
from anyio.abc import ByteReceiveStream, ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from berylbank._internal.exceptions import ProtocolError
from berylbank._internal.wire.codec import MAX_MESSAGE_BYTES

NONCE_BYTES = 16
PROOF_BYTES = 32
CODE_BYTES = 16
HEADER = struct.Struct("!I")
COUNT = struct.Struct("!Q")
HANDSHAKE_TIMEOUT_S = 3.0
KEY_HINT = "give both VMs the same fleet key file"


class FrameSealer:
    """Makes frames on the dialer's side."""

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.count = 0

    def seal(self, payload: bytes) -> bytes:
        """Return one frame."""
        self.count += 1
        code = _code(self.key, self.count, payload)
        return HEADER.pack(len(payload)) + code + payload


class FrameOpener:
    """Reads frames on the listener's side."""

    def __init__(self, key: bytes, stream: BufferedByteReceiveStream) -> None:
        self.key = key
        self.stream = stream
        self.count = 0

    async def receive(self) -> bytes:
        """Return the payload of the next frame; raise :class:`ProtocolError` for a bad one."""
        header = await self.stream.receive_exactly(HEADER.size + CODE_BYTES)
        (size,) = HEADER.unpack(header[: HEADER.size])
        if size > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"frame of {size} bytes", hint=KEY_HINT)
        payload = await self.stream.receive_exactly(size)
        self.count += 1
        expected = _code(self.key, self.count, payload)
        if not hmac.compare_digest(expected, header[HEADER.size :]):
            raise ProtocolError("frame with a wrong code", hint=KEY_HINT)
        return payload


async def prove_as_dialer(stream: ByteStream, key: bytes) -> FrameSealer:
    """Run the dialer's side of the handshake."""
    own = os.urandom(NONCE_BYTES)
    reader = BufferedByteReceiveStream(stream)
    with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
        await stream.send(own)
        other = await reader.receive_exactly(NONCE_BYTES)
        proof = await reader.receive_exactly(PROOF_BYTES)
        if not hmac.compare_digest(proof, _proof(key, b"listener", own, other)):
            raise ProtocolError("the listener does not hold the fleet key", hint=KEY_HINT)
        await stream.send(_proof(key, b"dialer", own, other))
    return FrameSealer(_proof(key, b"session", own, other))


async def prove_as_listener(stream: ByteStream, key: bytes) -> FrameOpener:
    """Run the listener's side of the handshake."""
    own = os.urandom(NONCE_BYTES)
    reader = BufferedByteReceiveStream(stream)
    with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
        other = await reader.receive_exactly(NONCE_BYTES)
        await stream.send(own + _proof(key, b"listener", other, own))
        proof = await reader.receive_exactly(PROOF_BYTES)
    if not hmac.compare_digest(proof, _proof(key, b"dialer", other, own)):
        raise ProtocolError("the dialer does not hold the fleet key", hint=KEY_HINT)
    return FrameOpener(_proof(key, b"session", other, own), reader)


async def send_count(stream: ByteStream, count: int) -> None:
    """Tell the dialer how many frames arrived."""
    await stream.send(COUNT.pack(count))


async def receive_count(reader: BufferedByteReceiveStream) -> int:
    """Return how many frames the listener has taken."""
    (count,) = COUNT.unpack(await reader.receive_exactly(COUNT.size))
    return int(count)


def buffer_stream(stream: ByteReceiveStream) -> BufferedByteReceiveStream:
    """Return a reader for :func:`receive_count`."""
    return BufferedByteReceiveStream(stream)


def _proof(key: bytes, role: bytes, dialer: bytes, listener: bytes) -> bytes:
    return hmac.digest(key, role + dialer + listener, hashlib.sha256)


def _code(key: bytes, count: int, payload: bytes) -> bytes:
    return hmac.digest(key, COUNT.pack(count) + payload, hashlib.sha256)[:CODE_BYTES]
