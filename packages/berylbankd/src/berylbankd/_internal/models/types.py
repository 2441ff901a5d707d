"""Records of the configuration, backend servers and releases, independent of any wire format."""

from enum import StrEnum
from typing import NamedTuple

from berylbankd._internal.models.revisions import era_of

ANYWHERE: frozenset[str] = frozenset()


class RequestKind(StrEnum):
    """Kind of the requests of a route: an ``UNSAFE`` request must run at most once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def idempotent(self) -> bool:
        """Tell whether the request may safely run twice."""
        return self is not RequestKind.UNSAFE


class WeightedService(NamedTuple):
    """A service and its relative weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Routing and limits for the requests of one host and path prefix.

    ``objective_ms`` is the latency objective. Priority 0 is the highest. An empty ``regions``
    allows all regions. ``sticky`` means that a server is faster on objects that it handled
    recently.
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
    """A group of interchangeable backend servers.

    While a server is cold, it tolerates ``warmup_per_s`` requests per second, counted over all VMs;
    0 means no limit.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_ms: int
    warmup_per_s: float


class Organisation(NamedTuple):
    """A customer's keys and limits; a rate of 0 is unlimited, an empty ``regions`` allows all."""

    name: str
    keys: tuple[str, ...]
    priority: int
    rate_per_s: float
    burst: float
    regions: frozenset[str]


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's requests and on how long its connection may be idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """One version of all settings by operators.

    ``keys_required`` is false if the operators have configured no organisations.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: tuple[Organisation, ...]
    keys_required: bool
    limits: CallerLimits

    def find_organisation(self, name: str) -> Organisation | None:
        """Return the organisation with a name, or None."""
        return next((item for item in self.organisations if item.name == name), None)


class BackendServer(NamedTuple):
    """One incarnation of a backend server, as it registered itself.

    ``warmup_left_ms`` is the remaining warm-up time when the registration was written, and
    ``started_ms`` is the incarnation's start in Unix time.
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


class ServerNotices(NamedTuple):
    """What a backend server says of itself in a response.

    ``leaving`` means that it will stop. ``pause_ms`` is how long it wants no requests from this VM,
    ``limit_per_s`` how many requests per second it takes from all VMs together; each is None if it
    does not say so.
    """

    leaving: bool = False
    pause_ms: int | None = None
    limit_per_s: float | None = None


class ReleaseOrder(NamedTuple):
    """An operator's order to move a service to a version; ``revision`` identifies the order."""

    service: str
    to_version: str
    duration_ms: int
    revision: int

    def is_same(self, other: "ReleaseOrder") -> bool:
        """Tell whether two rows hold one order: the same row, or one that was written again.

        Orders are written again after the store came back from a copy.
        """
        if era_of(self.revision) == era_of(other.revision):
            return self.revision == other.revision
        return self._replace(revision=0) == other._replace(revision=0)


class ReleaseState(StrEnum):
    """The state of a release, as shown to operators."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


class ReleaseStatus(NamedTuple):
    """The status of a release, as shown to operators."""

    service: str
    to_version: str
    state: ReleaseState
