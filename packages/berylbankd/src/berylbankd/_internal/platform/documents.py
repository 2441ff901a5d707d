"""Decodes the values of the platform's rows into facts, and encodes what we write there."""

import json
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

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

T = TypeVar("T")
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, IndexError)
SERVER_STATES = {"ready": False, "draining": True}


class PlatformDocuments:
    """Tells what a row says; None or an absent fact where its bytes can't be read."""

    orders_table = names.ORDERS_TABLE
    servers_table = names.SERVERS_TABLE
    vms_table = names.VMS_TABLE
    status_table = names.STATUS_TABLE
    configuration_key = RowKey(names.ORDERS_TABLE, names.CONFIGURATION_KEY)

    def decode_configuration(self, row: Row) -> Configuration | None:
        """Return the configuration of a row, or None."""
        return _attempt(decode_configuration, row)

    def decode_server(self, row: Row) -> BackendServer | None:
        """Return the backend server of an entry, or None where it names none to use."""
        return _attempt(lambda raw: decode_server(row.key.key, raw), row)

    def decode_order(self, row: Row) -> ReleaseOrder | None:
        """Return the release order of a row, or None."""
        if not row.key.key.startswith(names.RELEASE_PREFIX):
            return None
        return _attempt(lambda raw: decode_order(raw, row.revision), row)

    def decode_evacuation(self, row: Row) -> str | None:
        """Return the failure domain that a row orders to evacuate, or None."""
        if row.value is None or not row.key.key.startswith(names.EVACUATION_PREFIX):
            return None
        return row.key.key.removeprefix(names.EVACUATION_PREFIX)

    def status_key(self, service: str) -> RowKey:
        """Return the row in which operators look for a release's state."""
        return RowKey(names.STATUS_TABLE, names.RELEASE_PREFIX + service)

    def decode_status(self, row: Row) -> ReleaseStatus | None:
        """Return the state that a status row tells, or None."""
        if not row.key.key.startswith(names.RELEASE_PREFIX):
            return None
        service = row.key.key.removeprefix(names.RELEASE_PREFIX)
        return _attempt(
            lambda raw: ReleaseStatus(service, raw["to"], ReleaseState(raw["state"])), row
        )

    def encode_status(self, status: ReleaseStatus) -> bytes:
        """Return the bytes of a status row."""
        return json.dumps({"state": status.state.value, "to": status.to_version}).encode()


def decode_configuration(raw: dict[str, Any]) -> Configuration:
    """Decode the operator's whole configuration."""
    organisations = tuple(_organisation(item) for item in _records(raw.get("tenants")))
    services = (_service(item) for item in _records(raw["services"]))
    return Configuration(
        version=int(str(raw["version"]).removeprefix("r")),
        routes=tuple(_route(item) for item in _records(raw["routes"])),
        services={service.name: service for service in services},
        organisations=organisations,
        keys_required="tenants" in raw and raw["tenants"] is not None,
        limits=_limits(raw.get("limits") or {}),
    )


def decode_server(server_id: str, raw: dict[str, Any]) -> BackendServer:
    """Decode a backend server's entry; raise where a field is missing or of another type."""
    info, status = raw["info"], raw["status"]
    return BackendServer(
        id=server_id,
        address=_text(raw["address"]),
        service=_text(info["service"]),
        version=_text(info["version"]),
        failure_domain=_text(info["zone"]),
        slots=_whole(info["capacity"]),
        draining=SERVER_STATES[_text(status["state"])],
        warmup_left_ms=_ms(status["warmupLeftS"]),
        sequence=_whole(status["sequence"]),
        # The start of this incarnation; the id alone may be that of an earlier one.
        started_ms=_whole(raw.get("born", 0)),
    )


def decode_order(raw: dict[str, Any], revision: int) -> ReleaseOrder:
    """Decode a release order."""
    return ReleaseOrder(_text(raw["service"]), _text(raw["to"]), _ms(raw["durationS"]), revision)


def _attempt(decode: Callable[[Any], T], row: Row) -> T | None:
    if row.value is None:
        return None
    try:
        return decode(json.loads(row.value))
    except UNREADABLE:
        return None


def _records(table: Any) -> Iterator[dict[str, Any]]:
    """Yield the records of a table of columns and rows; null means that a field is left out."""
    if not table:
        return
    for row in table["rows"]:
        record = dict(zip(table["columns"], row, strict=False))
        yield {name: value for name, value in record.items() if value is not None}


def _route(raw: dict[str, Any]) -> Route:
    split = raw.get("weightedServices") or [{"service": raw["service"], "weight": 1}]
    return Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        kind=RequestKind(raw["kind"]),
        services=tuple(WeightedService(part["service"], float(part["weight"])) for part in split),
        timeout_ms=_ms(raw["timeoutS"]),
        objective_ms=_ms(raw["targetLatencyS"]),
        max_attempts=int(raw.get("maxAttempts", 1)),
        priority=int(raw.get("priority", 0)),
        public=bool(raw.get("public", False)),
        sticky=bool(raw.get("sticky", False)),
        regions=frozenset(raw.get("allowedRegions") or ()),
    )


def _service(raw: dict[str, Any]) -> Service:
    return Service(
        name=raw["name"],
        health_path=raw.get("healthPath", ""),
        max_connections=int(raw.get("maxConnections", 0)),
        warmup_ms=_ms(raw.get("warmupS", 0)),
        warmup_per_s=float(raw.get("warmupPerS", 0)),
    )


def _organisation(raw: dict[str, Any]) -> Organisation:
    return Organisation(
        name=raw["name"],
        keys=tuple(raw.get("apiKeys") or ()),
        priority=int(raw.get("priority", 0)),
        rate_per_s=float(raw.get("ratePerS", 0)),
        burst=float(raw.get("burst", 0)),
        regions=frozenset(raw.get("allowedRegions") or ()),
    )


def _limits(raw: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        int(raw.get("maxHeaderBytes", default.max_header_bytes)),
        int(raw.get("maxBodyBytes", default.max_body_bytes)),
        _ms(raw.get("headerTimeoutS", default.header_timeout_ms / 1000)),
        _ms(raw.get("idleTimeoutS", default.idle_timeout_ms / 1000)),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError("expected a text")
    return value


def _whole(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError("expected a whole number")
    return value


def _ms(seconds: Any) -> int:
    if not isinstance(seconds, int | float) or isinstance(seconds, bool):
        raise TypeError("expected seconds")
    return int(seconds * 1000)
