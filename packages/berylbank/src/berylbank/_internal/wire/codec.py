"""Cap'n Proto codec of the messages between VMs."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import capnp

from berylbank._internal.exceptions import ProtocolError
from berylbank._internal.wire.messages import (
    ConfirmReply,
    ConfirmRequest,
    Envelope,
    HeadAck,
    HeadPush,
    Heartbeat,
    InFlightRequests,
    LoanGrant,
    LoanReply,
    LoanRequest,
    LoanRequestItem,
    Message,
    ShiftStats,
    VmAddresses,
)

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))


def encode_envelope(envelope: Envelope) -> bytes:
    """Return one message in its envelope as bytes."""
    builder = _schema.Envelope.new_message(
        protocol=PROTOCOL_VERSION, sender=envelope.sender, incarnation=envelope.incarnation
    )
    kind = type(envelope.message)
    _PACKERS[kind](builder.init(_UNION_FIELDS[kind]), envelope.message)
    data: bytes = builder.to_bytes()
    return data


def decode_envelope(data: bytes) -> Envelope:
    """Parse one message; raise :class:`ProtocolError` if the bytes are not valid."""
    try:
        with _schema.Envelope.from_bytes(data) as reader:
            return _read_envelope(reader)
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        raise ProtocolError(
            f"invalid message: {type(error).__name__}", hint="run the same version on both VMs"
        ) from None


def _read_envelope(reader: Any) -> Envelope:
    if reader.protocol != PROTOCOL_VERSION:
        raise ProtocolError(
            f"message has protocol version {reader.protocol}, expected {PROTOCOL_VERSION}",
            hint="upgrade the older VM",
        )
    which = str(reader.which())
    if which not in _READERS:
        raise ProtocolError(f"unknown message type {which}", hint="upgrade the older VM")
    message = _READERS[which](getattr(reader, which))
    return Envelope(str(reader.sender), int(reader.incarnation), message)


def _pack_fields(builder: Any, message: Any) -> None:
    for name, value in zip(message._fields, message, strict=True):
        setattr(builder, _schema_field(name), value)


def _pack_heartbeat(builder: Any, message: Heartbeat) -> None:
    builder.known = message.known
    builder.ready = message.ready
    builder.leaving = message.leaving
    _pack_fields(builder.init("seat"), message.seat)
    _pack_list(builder.init("draining", len(message.draining)), message.draining)
    _pack_list(builder.init("evidence", len(message.evidence)), message.evidence)
    builder.cuts = list(message.cuts)


def _pack_loans(builder: Any, message: LoanRequest | LoanReply) -> None:
    builder.requestId = message.request_id
    _pack_list(builder.init("items", len(message.items)), message.items)


def _pack_list(builders: Any, items: tuple[Any, ...]) -> None:
    for builder, item in zip(builders, items, strict=True):
        _pack_fields(builder, item)


def _read_fields(kind: Any, reader: Any) -> Any:
    return kind(*(getattr(reader, _schema_field(name)) for name in kind._fields))


def _read_heartbeat(reader: Any) -> Heartbeat:
    return Heartbeat(
        known=reader.known,
        ready=reader.ready,
        leaving=reader.leaving,
        seat=_read_fields(VmAddresses, reader.seat),
        draining=tuple(_read_fields(InFlightRequests, item) for item in reader.draining),
        evidence=tuple(_read_fields(ShiftStats, item) for item in reader.evidence),
        cuts=tuple(str(name) for name in reader.cuts),
    )


def _schema_field(name: str) -> str:
    return _SCHEMA_FIELDS.get(name, name)


_SCHEMA_FIELDS = {
    "failure_domain": "failureDomain",
    "round_id": "roundId",
    "request_id": "requestId",
    "latency_ms": "latencyMs",
}

_UNION_FIELDS: dict[type, str] = {
    Heartbeat: "heartbeat",
    HeadPush: "headPush",
    HeadAck: "headAck",
    ConfirmRequest: "confirmRequest",
    ConfirmReply: "confirmReply",
    LoanRequest: "loanRequest",
    LoanReply: "loanReply",
}

_PACKERS: dict[type, Callable[[Any, Any], None]] = {
    Heartbeat: _pack_heartbeat,
    HeadPush: _pack_fields,
    HeadAck: _pack_fields,
    ConfirmRequest: _pack_fields,
    ConfirmReply: _pack_fields,
    LoanRequest: _pack_loans,
    LoanReply: _pack_loans,
}

_READERS: dict[str, Callable[[Any], Message]] = {
    "heartbeat": _read_heartbeat,
    "headPush": lambda reader: _read_fields(HeadPush, reader),
    "headAck": lambda reader: _read_fields(HeadAck, reader),
    "confirmRequest": lambda reader: _read_fields(ConfirmRequest, reader),
    "confirmReply": lambda reader: _read_fields(ConfirmReply, reader),
    "loanRequest": lambda reader: LoanRequest(
        reader.requestId, tuple(_read_fields(LoanRequestItem, item) for item in reader.items)
    ),
    "loanReply": lambda reader: LoanReply(
        reader.requestId, tuple(_read_fields(LoanGrant, item) for item in reader.items)
    ),
}
