"""The configuration: organisations, plans, services and backend servers."""

import json
import re
from typing import NamedTuple

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.models.shifts import STATES, Shift
from berylbank._internal.utils.records import RecordError, decode, encode

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
TRAFFIC_CLASSES = ("lookup", "booking", "transfer")
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class ApiKey(NamedTuple):
    """A caller's API key; only its SHA-256 is stored."""

    name: str
    sha256: str


class Organisation(NamedTuple):
    """A customer: its plan and the API keys that its callers send."""

    name: str
    plan: str
    keys: tuple[ApiKey, ...] = ()


class Entitlement(NamedTuple):
    """Access to one service, limited to ``rate`` requests per second with ``burst`` requests."""

    service: str
    rate: float
    burst: float


class Plan(NamedTuple):
    """A named list of entitlements.

    While requests wait for slots, organisations are served in proportion to ``weight``.
    """

    name: str
    entitlements: tuple[Entitlement, ...]
    weight: int = 1


class Service(NamedTuple):
    """A group of backend servers behind one path prefix.

    Requests whose path begins with one of ``open_prefixes`` need no API key.
    ``version`` is the backend version that serves while no release shifts traffic to another;
    empty allows every version.
    """

    name: str
    prefix: str
    traffic_class: str
    open_prefixes: tuple[str, ...] = ()
    timeout_ms: int = 10_000
    version: str = ""


class Backend(NamedTuple):
    """One backend server: its address as IP:port, its location and its limits.

    ``slots`` is the maximum number of requests in flight to it from all VMs together.
    ``connections`` is stored, but not enforced.
    """

    name: str
    service: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int = 330
    draining: bool = False
    version: str = ""


class ClientBlock(NamedTuple):
    """A network of client addresses and its nearest region."""

    network: str
    region: str


class Configuration(NamedTuple):
    """Everything that operators configure, as one immutable value."""

    organisations: tuple[Organisation, ...] = ()
    plans: tuple[Plan, ...] = ()
    services: tuple[Service, ...] = ()
    backends: tuple[Backend, ...] = ()
    client_blocks: tuple[ClientBlock, ...] = ()
    shifts: tuple[Shift, ...] = ()


def parse_configuration(raw: object, source: str) -> Configuration:
    """Validate a decoded TOML or JSON document and return it as a configuration.

    :raises InvalidDocumentError: naming ``source`` and the key at fault.
    """
    try:
        configuration = decode(Configuration, raw)
    except RecordError as error:
        raise InvalidDocumentError(
            error.message, context=f"{source}, key {error.path}", hint="correct that key"
        ) from None
    check_configuration(configuration, source)
    return configuration


def check_configuration(configuration: Configuration, source: str) -> None:
    """Check names, references and ranges; raise :class:`InvalidDocumentError`."""
    plans = {plan.name for plan in configuration.plans}
    services = {service.name for service in configuration.services}
    for kind in ("organisations", "plans", "services", "backends"):
        _check_names([item.name for item in getattr(configuration, kind)], f"{source}, {kind}")
    for organisation in configuration.organisations:
        where = f"{source}, organisation {organisation.name}"
        _require(organisation.plan in plans, where, f"unknown plan {organisation.plan!r}")
        for key in organisation.keys:
            _require(
                HASH_PATTERN.fullmatch(key.sha256) is not None,
                where,
                "sha256 of a key is not 64 lower-case hexadecimal digits",
            )
    for plan in configuration.plans:
        _check_plan(plan, services, f"{source}, plan {plan.name}")
    for service in configuration.services:
        where = f"{source}, service {service.name}"
        _require(
            service.traffic_class in TRAFFIC_CLASSES,
            where,
            "traffic_class must be lookup, booking or transfer",
        )
        _require(
            re.fullmatch(r"/[^?#]*/", service.prefix) is not None,
            where,
            "prefix must have the form /path/ and contain no ? or #",
        )
    for backend in configuration.backends:
        where = f"{source}, backend {backend.name}"
        _require(backend.service in services, where, f"unknown service {backend.service!r}")
        _require(backend.slots > 0, where, "slots must be positive")
    for shift in configuration.shifts:
        where = f"{source}, shift {shift.name}"
        _require(shift.service in services, where, f"unknown service {shift.service!r}")
        _require(shift.state in STATES, where, "unknown state of a shift")
        _require(1 <= shift.step <= len(shift.steps), where, "step is not a position in steps")
    _check_unique_hashes(configuration, source)


def dump_configuration(configuration: Configuration) -> bytes:
    """Return the configuration as canonical JSON."""
    return json.dumps(encode(configuration), sort_keys=True, separators=(",", ":")).encode()


def load_configuration(data: bytes, source: str) -> Configuration:
    """Parse the output of :func:`dump_configuration`; raise :class:`InvalidDocumentError`."""
    try:
        raw = json.loads(data)
    except ValueError as error:
        raise InvalidDocumentError(
            str(error), context=source, hint="apply the lists again"
        ) from None
    return parse_configuration(raw, source)


def _require(condition: bool, where: str, message: str) -> None:
    if not condition:
        raise InvalidDocumentError(
            message, context=where, hint="correct the list and apply it again"
        )


def _check_names(names: list[str], where: str) -> None:
    for name in names:
        _require(
            NAME_PATTERN.fullmatch(name) is not None,
            where,
            f"invalid name {name!r}: use at most 63 lower-case letters, digits and hyphens",
        )
    _require(len(set(names)) == len(names), where, "two entries have the same name")


def _check_plan(plan: Plan, services: set[str], where: str) -> None:
    _require(plan.weight > 0, where, "weight must be positive")
    for entitlement in plan.entitlements:
        _require(entitlement.service in services, where, f"unknown service {entitlement.service!r}")
        _require(entitlement.rate > 0, where, "rate must be positive, in requests per second")
        _require(entitlement.burst >= 1, where, "burst must be at least 1 request")


def _check_unique_hashes(configuration: Configuration, source: str) -> None:
    hashes = [
        key.sha256 for organisation in configuration.organisations for key in organisation.keys
    ]
    _require(len(set(hashes)) == len(hashes), source, "two keys have the same hash")
