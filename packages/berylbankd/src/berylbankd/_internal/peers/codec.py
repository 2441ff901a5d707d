"""Cap'n Proto codec of the messages between VMs."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import capnp

from berylbank._internal.exceptions import ProtocolError
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.peers.messages import (
    Datagram,
    Figure,
    Heartbeat,
    Position,
    ReleaseReport,
    RouteEvidence,
    TableRows,
    TokenAsk,
    TokenGrant,
)

PROTOCOL_VERSION = 2
UNREADABLE = (capnp.KjException, UnicodeDecodeError, ValueError, KeyError)

_schema = capnp.load(str(Path(__file__).with_name("heartbeat.capnp")))
_PLAIN_FIELDS = (
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


def encode_datagram(item: Datagram) -> bytes:
    """Return the bytes of one datagram."""
    member, fields = _pack(item)
    message = _schema.Datagram.new_message(protocol=PROTOCOL_VERSION, **{member: fields})
    data: bytes = message.to_bytes_packed()
    return data


def decode_datagram(data: bytes) -> Datagram:
    """Read one datagram; raise :class:`ProtocolError` for anything else."""
    try:
        message = _schema.Datagram.from_bytes_packed(data)
        _check_protocol(message.protocol)
        return _UNPACKERS[message.which()](message)
    except UNREADABLE as error:
        raise _unreadable(error) from None


def encode_rows(found: TableRows) -> bytes:
    """Return the bytes of some rows of a table."""
    message = _schema.Rows.new_message(
        table=found.table,
        position=found.position,
        rows=[
            {
                "key": row.key.key,
                "value": row.value or b"",
                "removed": row.value is None,
                "revision": row.revision,
            }
            for row in found.rows
        ],
    )
    data: bytes = message.to_bytes_packed()
    return data


def decode_rows(data: bytes) -> TableRows:
    """Read rows of a table; raise :class:`ProtocolError` for anything else."""
    try:
        message = _schema.Rows.from_bytes_packed(data)
        rows = tuple(_unpack_row(message.table, item) for item in message.rows)
        return TableRows(message.table, message.position, rows)
    except UNREADABLE as error:
        raise _unreadable(error) from None


def _pack(item: Datagram) -> tuple[str, dict[str, Any]]:
    """Return the member of the schema's union that an item is, and its fields."""
    if isinstance(item, Heartbeat):
        return "heartbeat", _pack_heartbeat(item)
    if isinstance(item, TokenAsk):
        return "tokenAsk", item._asdict()
    return "tokenGrant", item._asdict()


def _pack_heartbeat(beat: Heartbeat) -> dict[str, Any]:
    return {
        "failureDomain": beat.failure_domain,
        "positions": [position._asdict() for position in beat.positions],
        "hosts": list(beat.hosts),
        "demands": [figure._asdict() for figure in beat.demands],
        "organisations": [figure._asdict() for figure in beat.organisations],
        "loads": [figure._asdict() for figure in beat.loads],
        "releases": [_pack_release(report) for report in beat.releases],
        **{name: getattr(beat, name) for name in _PLAIN_FIELDS},
    }


def _unpack_heartbeat(datagram: Any) -> Heartbeat:
    message = datagram.heartbeat
    return Heartbeat(
        **{name: getattr(message, name) for name in _PLAIN_FIELDS},
        failure_domain=message.failureDomain,
        positions=tuple(Position(p.table, p.revision) for p in message.positions),
        hosts=tuple(message.hosts),
        demands=_figures(message.demands),
        organisations=_figures(message.organisations),
        loads=_figures(message.loads),
        releases=tuple(_unpack_release(item) for item in message.releases),
    )


def _unpack_ask(datagram: Any) -> TokenAsk:
    ask = datagram.tokenAsk
    return TokenAsk(ask.organisation, ask.tokens, ask.requests, ask.number)


def _unpack_grant(datagram: Any) -> TokenGrant:
    grant = datagram.tokenGrant
    return TokenGrant(grant.number, grant.tokens, grant.known)


_UNPACKERS: dict[str, Callable[[Any], Datagram]] = {
    "heartbeat": _unpack_heartbeat,
    "tokenAsk": _unpack_ask,
    "tokenGrant": _unpack_grant,
}


def _unpack_row(table: str, item: Any) -> Row:
    value = None if item.removed else bytes(item.value)
    return Row(RowKey(table, item.key), value, item.revision)


def _check_protocol(version: int) -> None:
    if version != PROTOCOL_VERSION:
        raise ProtocolError(
            f"protocol {version}, expected {PROTOCOL_VERSION}", hint="upgrade the older VM"
        )


def _unreadable(error: Exception) -> ProtocolError:
    return ProtocolError(
        f"not a message: {type(error).__name__}", hint="run the same version on both VMs"
    )


def _figures(items: Any) -> tuple[Figure, ...]:
    return tuple(Figure(item.name, item.amount) for item in items)


def _pack_release(report: ReleaseReport) -> dict[str, Any]:
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


def _unpack_release(item: Any) -> ReleaseReport:
    evidence = tuple(
        RouteEvidence(e.route, e.newRequests, e.newBad, e.oldRequests, e.oldBad)
        for e in item.evidence
    )
    return ReleaseReport(
        item.service,
        item.revision,
        item.step,
        item.rolledBack,
        item.elapsedMs,
        item.oldInFlight,
        evidence,
    )
