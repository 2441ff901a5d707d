"""Cap'n Proto codec for the messages between VMs."""

import math
import socket
import sys
import zlib
from array import array
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import capnp

from berylbank._internal.exceptions import ProtocolError
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.peers.messages import (
    Datagram,
    DigestScope,
    DomainMembers,
    Member,
    Position,
    RegionSums,
    ReleaseReport,
    RouteEvidence,
    SilentMember,
    StateDigest,
    TableRows,
    TokenGrant,
    TokenRequest,
)

PROTOCOL_VERSION = 4
DECODE_ERRORS = (capnp.KjException, UnicodeDecodeError, ValueError, KeyError, zlib.error)
# Rows are text with many repeated words, so the fastest level already takes most of their size.
ROWS_COMPRESSION_LEVEL = 1
# Longest decompressed rows that are accepted from another VM.
MAX_ROWS_BYTES = 16_777_216

_schema = capnp.load(str(Path(__file__).with_name("datagrams.capnp")))
# Fields with the same name in the schema and in :class:`StateDigest`.
_SAME_NAME_FIELDS = ("vm", "incarnation", "sequence", "part", "parts")


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
        complete=table_rows.complete,
        sure=table_rows.sure,
        rows=[
            {
                "key": row.key.key,
                "value": row.value or b"",
                "removed": row.value is None,
                "revision": row.revision,
                "asOf": row.as_of,
            }
            for row in table_rows.rows
        ],
    )
    data: bytes = message.to_bytes_packed()
    return zlib.compress(data, ROWS_COMPRESSION_LEVEL)


def decode_rows(data: bytes) -> TableRows:
    """Decode rows of a table from another VM.

    :raises ProtocolError: for data that cannot be decoded.
    """
    try:
        decompressor = zlib.decompressobj()
        message = _schema.Rows.from_bytes_packed(decompressor.decompress(data, MAX_ROWS_BYTES))
        rows = tuple(_decode_row(message.table, item) for item in message.rows)
        return TableRows(message.table, message.position, rows, message.complete, message.sure)
    except DECODE_ERRORS as error:
        raise _make_decode_error(error) from None


def _encode_union_member(datagram: Datagram) -> tuple[str, dict[str, Any]]:
    """Return the name of a datagram's member in the schema's union, and the member's fields."""
    if isinstance(datagram, StateDigest):
        return "digest", _encode_digest(datagram)
    if isinstance(datagram, TokenRequest):
        return "tokenAsk", datagram._asdict()
    return "tokenGrant", datagram._asdict()


def _encode_digest(digest: StateDigest) -> dict[str, Any]:
    return {
        "scope": int(digest.scope),
        "host": digest.host,
        "failureDomain": digest.failure_domain,
        "positions": [position._asdict() for position in digest.positions],
        "domains": [
            {
                "failureDomain": domain.failure_domain,
                "members": [_encode_member(member) for member in domain.members],
            }
            for domain in digest.domains
        ],
        "liveDomains": list(digest.live_domains),
        "loads": _encode_amounts(digest.loads),
        "limits": _encode_amounts(digest.limits),
        "regions": [
            {
                "region": sums.region,
                "demands": _encode_amounts(sums.demands),
                "organisations": _encode_amounts(sums.organisations),
            }
            for sums in digest.regions
        ],
        "releases": [_encode_release(report) for report in digest.releases],
        "hosts": list(digest.hosts),
        "ageMs": digest.age_ms,
        "storeTimeMs": digest.store_time_ms,
        "silent": [
            {
                "failureDomain": silent.member.failure_domain,
                "member": _encode_member(silent.member),
                "silentMs": silent.silent_ms,
            }
            for silent in digest.silent
        ],
        **{name: getattr(digest, name) for name in _SAME_NAME_FIELDS},
    }


def _encode_member(member: Member) -> dict[str, Any]:
    return {
        "vm": member.vm,
        "host": member.host,
        # The address for callers has the VM's own host.
        "callerPort": int(member.callers.rpartition(":")[2]),
        "incarnation": member.incarnation,
        "sequence": member.sequence,
        "capacity": member.capacity,
        "ready": member.ready,
        "leaving": member.leaving,
        "reading": member.reading,
        "starting": member.starting,
    }


def _decode_digest(message: Any) -> StateDigest:
    digest = message.digest
    return StateDigest(
        **{name: getattr(digest, name) for name in _SAME_NAME_FIELDS},
        scope=DigestScope(digest.scope),
        host=_require_host(digest.host),
        failure_domain=digest.failureDomain,
        positions=tuple(
            Position(position.table, position.revision, position.sure)
            for position in digest.positions
        ),
        domains=tuple(_decode_domain(domain) for domain in digest.domains),
        live_domains=tuple(digest.liveDomains),
        loads=_decode_amounts(digest.loads),
        limits=_decode_amounts(digest.limits),
        regions=tuple(
            RegionSums(
                sums.region, _decode_amounts(sums.demands), _decode_amounts(sums.organisations)
            )
            for sums in digest.regions
        ),
        releases=tuple(_decode_release(item) for item in digest.releases),
        hosts=tuple(_require_host(host) for host in digest.hosts),
        age_ms=digest.ageMs,
        store_time_ms=digest.storeTimeMs,
        silent=tuple(
            SilentMember(_decode_member(item.member, item.failureDomain), item.silentMs)
            for item in digest.silent
        ),
    )


def _decode_domain(domain: Any) -> DomainMembers:
    failure_domain = domain.failureDomain
    return DomainMembers(
        failure_domain,
        tuple(_decode_member(item, failure_domain) for item in domain.members),
    )


def _decode_member(item: Any, failure_domain: str) -> Member:
    host = _require_host(item.host)
    return Member(
        item.vm,
        host,
        f"{host}:{item.callerPort}",
        failure_domain,
        item.incarnation,
        item.sequence,
        item.capacity,
        item.ready,
        item.leaving,
        item.reading,
        item.starting,
    )


def _require_host(host: str) -> str:
    """Return a host; datagrams must never be sent to something that is no IP address.

    :raises ValueError: if it is no IPv4 address.
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise ValueError(f"{host!r} is no IPv4 address") from None
    return host


def _decode_token_request(message: Any) -> TokenRequest:
    request = message.tokenAsk
    return TokenRequest(request.organisation, request.tokens, request.requests, request.number)


def _decode_token_grant(message: Any) -> TokenGrant:
    grant = message.tokenGrant
    return TokenGrant(grant.number, grant.tokens, grant.known)


_DECODERS: dict[str, Callable[[Any], Datagram]] = {
    "digest": _decode_digest,
    "tokenAsk": _decode_token_request,
    "tokenGrant": _decode_token_grant,
}


def _decode_row(table: str, item: Any) -> Row:
    value = None if item.removed else bytes(item.value)
    return Row(RowKey(table, item.key), value, item.revision, item.asOf)


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


def _encode_amounts(amounts: Mapping[int, float]) -> dict[str, bytes]:
    return {
        "keys": _to_little_endian(array("I", amounts.keys())),
        "amounts": _to_little_endian(array("f", amounts.values())),
    }


def _decode_amounts(table: Any) -> dict[int, float]:
    keys, amounts = array("I"), array("f")
    keys.frombytes(table.keys)
    amounts.frombytes(table.amounts)
    if sys.byteorder == "big":
        keys.byteswap()
        amounts.byteswap()
    decoded = dict(zip(keys, amounts, strict=True))
    if not all(map(math.isfinite, amounts)):
        raise ValueError("an amount is not finite")
    return decoded


def _to_little_endian(values: "array[int] | array[float]") -> bytes:
    if sys.byteorder == "big":
        values.byteswap()
    return values.tobytes()


def _encode_release(report: ReleaseReport) -> dict[str, Any]:
    return {
        "service": report.service,
        "revision": report.revision,
        "step": report.step,
        "rolledBack": report.rolled_back,
        "elapsedMs": report.elapsed_ms,
        "oldInFlight": report.old_in_flight,
        "lowestStep": report.lowest_step,
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
        report.lowestStep,
    )
