"""The facts that decisions rest on, free of any wire format."""

from enum import StrEnum
from typing import NamedTuple

ANYWHERE: frozenset[str] = frozenset()


class RequestKind(StrEnum):
    """What may be repeated: only ``UNSAFE`` requests may run once at most."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def idempotent(self) -> bool:
        """Tell whether running the request twice does no harm."""
        return self is not RequestKind.UNSAFE


class WeightedService(NamedTuple):
    """A service and its part of a route's requests; weights are relative."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go, and what they may cost.

    ``regions`` empty means anywhere; priority 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_ms: int
    objective_ms: int
    max_attempts: int
    priority: int
    public: bool
    sticky: bool
    regions: frozenset[str]


class Service(NamedTuple):
    """A group of backend servers; ``warmup_per_s`` is what a cold one tolerates, fleet-wide."""

    name: str
    health_path: str
    max_connections: int
    warmup_ms: int
    warmup_per_s: float


class Organisation(NamedTuple):
    """A customer's keys and rates; a rate of 0 means no limit, ``regions`` empty anywhere."""

    name: str
    keys: tuple[str, ...]
    priority: int
    rate_per_s: float
    burst: float
    regions: frozenset[str]


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send and how long it may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """One version of everything that operators set; ``keyed`` is false without organisations."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: tuple[Organisation, ...]
    keys_required: bool
    limits: CallerLimits

    def find_organisation(self, name: str) -> Organisation | None:
        """Return an organisation by its name."""
        return next((item for item in self.organisations if item.name == name), None)


class BackendServer(NamedTuple):
    """One incarnation of a backend server, as it registered itself.

    ``warmup_left_ms`` counts from the moment of the entry, ``born_ms`` is Unix time.
    """

    id: str
    address: str
    service: str
    version: str
    failure_domain: str
    slots: int
    draining: bool
    warmup_left_ms: int
    sequence: int
    started_ms: int


class ReleaseOrder(NamedTuple):
    """An operator's order to move a service to a version; ``revision`` names the order."""

    service: str
    to_version: str
    duration_ms: int
    revision: int


class ReleaseState(StrEnum):
    """How an order stands, as operators are told."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


class ReleaseStatus(NamedTuple):
    """What operators are told about a release."""

    service: str
    to_version: str
    state: ReleaseState
