"""Mutual authentication of two VMs by the fleet key, and the framing of messages after it.

After the handshake the dialer sends frames, and the listener sends nothing but the number of frames
that it has received. Every frame carries a message authentication code (MAC) over its sequence
number and payload, so that the listener accepts it at most once, in order and unchanged.
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
HANDSHAKE_MAC_BYTES = 32
FRAME_MAC_BYTES = 16
FRAME_LENGTH_FORMAT = struct.Struct("!I")
FRAME_COUNT_FORMAT = struct.Struct("!Q")
HANDSHAKE_TIMEOUT_S = 3.0
FLEET_KEY_HINT = "give both VMs the same fleet key file"


class FrameEncoder:
    """Encodes messages as frames, on the dialer's side; ``session_key`` authenticates them."""

    def __init__(self, session_key: bytes) -> None:
        self.session_key = session_key
        self.frame_count = 0

    def encode_frame(self, payload: bytes) -> bytes:
        """Return the next frame: length, MAC and payload."""
        self.frame_count += 1
        mac = _compute_frame_mac(self.session_key, self.frame_count, payload)
        return FRAME_LENGTH_FORMAT.pack(len(payload)) + mac + payload


class FrameReader:
    """Reads and authenticates frames, on the listener's side.

    ``frame_count`` is the number of frames received, and so the sequence number of the last one.
    """

    def __init__(self, session_key: bytes, stream: BufferedByteReceiveStream) -> None:
        self.session_key = session_key
        self.stream = stream
        self.frame_count = 0

    async def receive_frame(self) -> bytes:
        """Return the payload of the next frame; raise :class:`ProtocolError` if it is invalid."""
        header = await self.stream.receive_exactly(FRAME_LENGTH_FORMAT.size + FRAME_MAC_BYTES)
        (payload_bytes,) = FRAME_LENGTH_FORMAT.unpack(header[: FRAME_LENGTH_FORMAT.size])
        if payload_bytes > MAX_MESSAGE_BYTES:
            raise ProtocolError(
                f"frame length of {payload_bytes} bytes exceeds the limit for messages",
                hint=FLEET_KEY_HINT,
            )
        payload = await self.stream.receive_exactly(payload_bytes)
        self.frame_count += 1
        expected_mac = _compute_frame_mac(self.session_key, self.frame_count, payload)
        if not hmac.compare_digest(expected_mac, header[FRAME_LENGTH_FORMAT.size :]):
            raise ProtocolError(
                "MAC of the frame does not match its sequence number and payload",
                hint=FLEET_KEY_HINT,
            )
        return payload


async def handshake_as_dialer(stream: ByteStream, fleet_key: bytes) -> FrameEncoder:
    """Run the dialer's side of the handshake; raise :class:`ProtocolError` for a wrong key."""
    own_nonce = os.urandom(NONCE_BYTES)
    reader = BufferedByteReceiveStream(stream)
    with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
        await stream.send(own_nonce)
        peer_nonce = await reader.receive_exactly(NONCE_BYTES)
        peer_mac = await reader.receive_exactly(HANDSHAKE_MAC_BYTES)
        if not hmac.compare_digest(
            peer_mac, _compute_handshake_mac(fleet_key, b"listener", own_nonce, peer_nonce)
        ):
            raise ProtocolError("the listener does not hold the fleet key", hint=FLEET_KEY_HINT)
        await stream.send(_compute_handshake_mac(fleet_key, b"dialer", own_nonce, peer_nonce))
    return FrameEncoder(_compute_handshake_mac(fleet_key, b"session", own_nonce, peer_nonce))


async def handshake_as_listener(stream: ByteStream, fleet_key: bytes) -> FrameReader:
    """Run the listener's side of the handshake; raise :class:`ProtocolError` for a wrong key."""
    own_nonce = os.urandom(NONCE_BYTES)
    reader = BufferedByteReceiveStream(stream)
    with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
        peer_nonce = await reader.receive_exactly(NONCE_BYTES)
        await stream.send(
            own_nonce + _compute_handshake_mac(fleet_key, b"listener", peer_nonce, own_nonce)
        )
        peer_mac = await reader.receive_exactly(HANDSHAKE_MAC_BYTES)
    if not hmac.compare_digest(
        peer_mac, _compute_handshake_mac(fleet_key, b"dialer", peer_nonce, own_nonce)
    ):
        raise ProtocolError("the dialer does not hold the fleet key", hint=FLEET_KEY_HINT)
    return FrameReader(_compute_handshake_mac(fleet_key, b"session", peer_nonce, own_nonce), reader)


async def send_frame_count(stream: ByteStream, frame_count: int) -> None:
    """Send the dialer the number of frames received so far."""
    await stream.send(FRAME_COUNT_FORMAT.pack(frame_count))


async def receive_frame_count(reader: BufferedByteReceiveStream) -> int:
    """Return the number of frames that the listener has received so far."""
    (frame_count,) = FRAME_COUNT_FORMAT.unpack(
        await reader.receive_exactly(FRAME_COUNT_FORMAT.size)
    )
    return int(frame_count)


def make_count_reader(stream: ByteReceiveStream) -> BufferedByteReceiveStream:
    """Return a buffered reader for :func:`receive_frame_count`."""
    return BufferedByteReceiveStream(stream)


def _compute_handshake_mac(
    fleet_key: bytes, purpose: bytes, dialer_nonce: bytes, listener_nonce: bytes
) -> bytes:
    return hmac.digest(fleet_key, purpose + dialer_nonce + listener_nonce, hashlib.sha256)


def _compute_frame_mac(session_key: bytes, sequence_number: int, payload: bytes) -> bytes:
    return hmac.digest(
        session_key, FRAME_COUNT_FORMAT.pack(sequence_number) + payload, hashlib.sha256
    )[:FRAME_MAC_BYTES]
