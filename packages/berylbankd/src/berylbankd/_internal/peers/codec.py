"""Cap'n Proto codec for the messages between VMs."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import capnp

from berylbank._internal.exceptions import ProtocolError
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.peers.messages import (
    Datagram,
    Heartbeat,
    NamedAmount,
    Position,
    ReleaseReport,
    RouteEvidence,
    TableRows,
    TokenGrant,
    TokenRequest,
)

PROTOCOL_VERSION = 2
DECODE_ERRORS = (capnp.KjException, UnicodeDecodeError, ValueError, KeyError)

_schema = capnp.load(str(Path(__file__).with_name("heartbeat.capnp")))
# Fields with the same name in the schema and in :class:`Heartbeat`.
_SAME_NAME_FIELDS = (
    "vm",
    "incarnation",
    "sequence",
    "host",
    "callers",
    "region",
    "ready",
    "leaving",
    "reading",
)


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode one datagram."""
    member, fields = _encode_union_member(datagram)
    message = _schema.Datagram.new_message(protocol=PROTOCOL_VERSION, **{member: fields})
    data: bytes = message.to_bytes_packed()
    return data


def decode_datagram(data: bytes) -> Datagram:
    """Decode one datagram.

    :raises ProtocolError: for another protocol version, or data that cannot be decoded.
    """
    try:
        message = _schema.Datagram.from_bytes_packed(data)
        _check_protocol(message.protocol)
        return _DECODERS[message.which()](message)
    except DECODE_ERRORS as error:
        raise _make_decode_error(error) from None


def encode_rows(table_rows: TableRows) -> bytes:
    """Encode rows of a table for another VM."""
    message = _schema.Rows.new_message(
        table=table_rows.table,
        position=table_rows.position,
        rows=[
            {
                "key": row.key.key,
                "value": row.value or b"",
                "removed": row.value is None,
                "revision": row.revision,
            }
            for row in table_rows.rows
        ],
    )
    data: bytes = message.to_bytes_packed()
    return data


def decode_rows(data: bytes) -> TableRows:
    """Decode rows of a table from another VM.

    :raises ProtocolError: for data that cannot be decoded.
    """
    try:
        message = _schema.Rows.from_bytes_packed(data)
        rows = tuple(_decode_row(message.table, item) for item in message.rows)
        return TableRows(message.table, message.position, rows)
    except DECODE_ERRORS as error:
        raise _make_decode_error(error) from None


def _encode_union_member(datagram: Datagram) -> tuple[str, dict[str, Any]]:
    """Return the name of a datagram's member in the schema's union, and the member's fields."""
    if isinstance(datagram, Heartbeat):
        return "heartbeat", _encode_heartbeat(datagram)
    if isinstance(datagram, TokenRequest):
        return "tokenAsk", datagram._asdict()
    return "tokenGrant", datagram._asdict()


def _encode_heartbeat(heartbeat: Heartbeat) -> dict[str, Any]:
    return {
        "failureDomain": heartbeat.failure_domain,
        "positions": [position._asdict() for position in heartbeat.positions],
        "hosts": list(heartbeat.hosts),
        "demands": [item._asdict() for item in heartbeat.demands],
        "organisations": [item._asdict() for item in heartbeat.organisations],
        "loads": [item._asdict() for item in heartbeat.loads],
        "releases": [_encode_release(report) for report in heartbeat.releases],
        **{name: getattr(heartbeat, name) for name in _SAME_NAME_FIELDS},
    }


def _decode_heartbeat(message: Any) -> Heartbeat:
    heartbeat = message.heartbeat
    return Heartbeat(
        **{name: getattr(heartbeat, name) for name in _SAME_NAME_FIELDS},
        failure_domain=heartbeat.failureDomain,
        positions=tuple(
            Position(position.table, position.revision) for position in heartbeat.positions
        ),
        hosts=tuple(heartbeat.hosts),
        demands=_decode_amounts(heartbeat.demands),
        organisations=_decode_amounts(heartbeat.organisations),
        loads=_decode_amounts(heartbeat.loads),
        releases=tuple(_decode_release(item) for item in heartbeat.releases),
    )


def _decode_token_request(message: Any) -> TokenRequest:
    request = message.tokenAsk
    return TokenRequest(request.organisation, request.tokens, request.requests, request.number)


def _decode_token_grant(message: Any) -> TokenGrant:
    grant = message.tokenGrant
    return TokenGrant(grant.number, grant.tokens, grant.known)


_DECODERS: dict[str, Callable[[Any], Datagram]] = {
    "heartbeat": _decode_heartbeat,
    "tokenAsk": _decode_token_request,
    "tokenGrant": _decode_token_grant,
}


def _decode_row(table: str, item: Any) -> Row:
    value = None if item.removed else bytes(item.value)
    return Row(RowKey(table, item.key), value, item.revision)


def _check_protocol(version: int) -> None:
    if version != PROTOCOL_VERSION:
        raise ProtocolError(
            f"unsupported protocol version {version}, expected {PROTOCOL_VERSION}",
            hint="upgrade the older VM",
        )


def _make_decode_error(error: Exception) -> ProtocolError:
    return ProtocolError(
        f"message cannot be decoded: {type(error).__name__}",
        hint="run the same version on both VMs",
    )


def _decode_amounts(items: Any) -> tuple[NamedAmount, ...]:
    return tuple(NamedAmount(item.name, item.amount) for item in items)


def _encode_release(report: ReleaseReport) -> dict[str, Any]:
    return {
        "service": report.service,
        "revision": report.revision,
        "step": report.step,
        "rolledBack": report.rolled_back,
        "elapsedMs": report.elapsed_ms,
        "oldInFlight": report.old_in_flight,
        "evidence": [
            {
                "route": item.route,
                "newRequests": item.new_requests,
                "newBad": item.new_bad,
                "oldRequests": item.old_requests,
                "oldBad": item.old_bad,
            }
            for item in report.evidence
        ],
    }


def _decode_release(report: Any) -> ReleaseReport:
    evidence = tuple(
        RouteEvidence(
            counts.route, counts.newRequests, counts.newBad, counts.oldRequests, counts.oldBad
        )
        for counts in report.evidence
    )
    return ReleaseReport(
        report.service,
        report.revision,
        report.step,
        report.rolledBack,
        report.elapsedMs,
        report.oldInFlight,
        evidence,
    )
