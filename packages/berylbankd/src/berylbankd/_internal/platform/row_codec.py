"""Decodes the JSON values of the platform's store rows, and encodes release states."""

import json
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from berylbank._internal.utils.addresses import parse_address
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.models.types import (
    BackendServer,
    CallerLimits,
    Configuration,
    Organisation,
    ReleaseOrder,
    ReleaseState,
    ReleaseStatus,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from berylbankd._internal.platform import names

Decoded = TypeVar("Decoded")
# Any writer of the store can leave a value of any content, nesting or size.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)
# Larger numbers are no server's; decisions calculate with them as 64-bit floating-point numbers.
MAX_SLOTS = 1_000_000
MAX_WARMUP_MS = 86_400_000
MAX_COUNT = 2**63 - 1
DRAINING_BY_STATE = {"ready": False, "draining": True}


class PlatformRowCodec:
    """Decodes and encodes rows of the platform's tables; see :class:`RowCodec`.

    The decoding methods return None for a row that was removed, that is of another kind, or whose
    value cannot be decoded.
    """

    orders_table = names.ORDERS_TABLE
    servers_table = names.SERVERS_TABLE
    vms_table = names.VMS_TABLE
    status_table = names.STATUS_TABLE
    configuration_key = RowKey(names.ORDERS_TABLE, names.CONFIGURATION_KEY)

    def decode_configuration(self, row: Row) -> Configuration | None:
        """Return the configuration in a row, or None."""
        return _decode_or_none(decode_configuration, row)

    def decode_server(self, row: Row) -> BackendServer | None:
        """Return the backend server that a row registers, or None."""
        return _decode_or_none(lambda raw: decode_server(row.key.key, raw), row)

    def decode_order(self, row: Row) -> ReleaseOrder | None:
        """Return the release order in a row, or None."""
        if not row.key.key.startswith(names.RELEASE_KEY_PREFIX):
            return None
        return _decode_or_none(lambda raw: decode_order(raw, row.revision), row)

    def decode_evacuation(self, row: Row) -> str | None:
        """Return the failure domain that a row orders to evacuate, or None."""
        if row.value is None or not row.key.key.startswith(names.EVACUATION_KEY_PREFIX):
            return None
        return row.key.key.removeprefix(names.EVACUATION_KEY_PREFIX)

    def status_key(self, service: str) -> RowKey:
        """Return the key of the row in which operators read the state of a service's release."""
        return RowKey(names.STATUS_TABLE, names.RELEASE_KEY_PREFIX + service)

    def decode_status(self, row: Row) -> ReleaseStatus | None:
        """Return the release state in a status row, or None."""
        if not row.key.key.startswith(names.RELEASE_KEY_PREFIX):
            return None
        service = row.key.key.removeprefix(names.RELEASE_KEY_PREFIX)
        return _decode_or_none(
            lambda raw: ReleaseStatus(service, raw["to"], ReleaseState(raw["state"])), row
        )

    def encode_status(self, status: ReleaseStatus) -> bytes:
        """Return the value of a status row."""
        return json.dumps({"state": status.state.value, "to": status.to_version}).encode()


def decode_configuration(raw: dict[str, Any]) -> Configuration:
    """Decode the configuration that operators write; raise if a field is missing or invalid."""
    organisations = tuple(
        _decode_organisation(item) for item in _iterate_records(raw.get("tenants"))
    )
    services = (_decode_service(item) for item in _iterate_records(raw["services"]))
    return Configuration(
        version=int(str(raw["version"]).removeprefix("r")),
        routes=tuple(_decode_route(item) for item in _iterate_records(raw["routes"])),
        services={service.name: service for service in services},
        organisations=organisations,
        keys_required="tenants" in raw and raw["tenants"] is not None,
        limits=_decode_limits(raw.get("limits") or {}),
    )


def decode_server(server_id: str, raw: dict[str, Any]) -> BackendServer:
    """Decode a backend server's registration; raise if a field is missing or of another type."""
    info, status = raw["info"], raw["status"]
    address = _require_string(raw["address"])
    parse_address(address)
    return BackendServer(
        id=_require_header_value(server_id),
        address=address,
        service=_require_string(info["service"]),
        version=_require_string(info["version"]),
        failure_domain=_require_string(info["zone"]),
        slots=_require_integer(info["capacity"], MAX_SLOTS),
        draining=DRAINING_BY_STATE[_require_string(status["state"])],
        warmup_left_ms=_require_integer(_to_milliseconds(status["warmupLeftS"]), MAX_WARMUP_MS),
        sequence=_require_integer(status["sequence"], MAX_COUNT),
        # Start time of this incarnation: a restarted server may reuse the id of an earlier one.
        started_ms=_require_integer(raw.get("born", 0), MAX_COUNT),
    )


def decode_order(raw: dict[str, Any], revision: int) -> ReleaseOrder:
    """Decode a release order; raise if a field is missing or of another type."""
    return ReleaseOrder(
        _require_string(raw["service"]),
        _require_string(raw["to"]),
        _to_milliseconds(raw["durationS"]),
        revision,
    )


def _decode_or_none(decode: Callable[[Any], Decoded], row: Row) -> Decoded | None:
    if row.value is None:
        return None
    try:
        return decode(json.loads(row.value))
    except DECODE_ERRORS:
        return None


def _iterate_records(table: Any) -> Iterator[dict[str, Any]]:
    """Yield the records of a ``columns`` and ``rows`` table, without the fields that are null."""
    if not table:
        return
    for row in table["rows"]:
        record = dict(zip(table["columns"], row, strict=False))
        yield {name: value for name, value in record.items() if value is not None}


def _decode_route(raw: dict[str, Any]) -> Route:
    weighted_services = raw.get("weightedServices") or [{"service": raw["service"], "weight": 1}]
    return Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        kind=RequestKind(raw["kind"]),
        services=tuple(
            WeightedService(item["service"], float(item["weight"])) for item in weighted_services
        ),
        timeout_ms=_to_milliseconds(raw["timeoutS"]),
        objective_ms=_to_milliseconds(raw["targetLatencyS"]),
        max_attempts=int(raw.get("maxAttempts", 1)),
        priority=int(raw.get("priority", 0)),
        public=bool(raw.get("public", False)),
        sticky=bool(raw.get("sticky", False)),
        regions=frozenset(raw.get("allowedRegions") or ()),
    )


def _decode_service(raw: dict[str, Any]) -> Service:
    return Service(
        name=raw["name"],
        health_path=raw.get("healthPath", ""),
        max_connections=int(raw.get("maxConnections", 0)),
        warmup_ms=_to_milliseconds(raw.get("warmupS", 0)),
        warmup_per_s=float(raw.get("warmupPerS", 0)),
    )


def _decode_organisation(raw: dict[str, Any]) -> Organisation:
    return Organisation(
        name=raw["name"],
        keys=tuple(raw.get("apiKeys") or ()),
        priority=int(raw.get("priority", 0)),
        rate_per_s=float(raw.get("ratePerS", 0)),
        burst=float(raw.get("burst", 0)),
        regions=frozenset(raw.get("allowedRegions") or ()),
    )


def _decode_limits(raw: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        int(raw.get("maxHeaderBytes", default.max_header_bytes)),
        int(raw.get("maxBodyBytes", default.max_body_bytes)),
        _to_milliseconds(raw.get("headerTimeoutS", default.header_timeout_ms / 1000)),
        _to_milliseconds(raw.get("idleTimeoutS", default.idle_timeout_ms / 1000)),
    )


def _require_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError("expected a non-empty string")
    # Escaped surrogates are valid JSON, but can be neither hashed nor sent.
    value.encode()
    return value


def _require_header_value(value: str) -> str:
    """Return a text that can be sent in a header as it is."""
    if not value or not value.isascii() or not value.isprintable() or " " in value:
        raise ValueError("expected printable ASCII characters without spaces")
    return value


def _require_integer(value: Any, maximum: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError("expected an integer")
    if not 0 <= value <= maximum:
        raise ValueError(f"expected a number from 0 to {maximum}")
    return value


def _to_milliseconds(seconds: Any) -> int:
    if not isinstance(seconds, int | float) or isinstance(seconds, bool):
        raise TypeError("expected a number of seconds")
    return int(seconds * 1000)
