"""State of a backend server on one VM: its registration, load, latency and failures."""

from typing import NamedTuple

from berylbankd._internal.models.types import BackendServer
from berylbankd._internal.steering.server_limits import (
    LIMIT_TTL_MS,
    NO_LIMIT,
    OBSERVATION_MS,
    ServerLimit,
)

# Weight of the latest response in the mean latency of a server.
LATENCY_WEIGHT = 0.15
# Consecutive failures after which a server is ejected.
FAILURES_TO_EJECT = 3
MIN_EJECTION_MS = 1_000
MAX_EJECTION_MS = 8_000
# Ejection time of a server whose address now belongs to another server.
REPLACED_SERVER_EJECTION_MS = 10_000
# A server's load report is ignored after this time, as the load has changed since.
LOAD_REPORT_TTL_MS = 400
# Maximum assumed time between the writing of a registration and its arrival here.
REGISTRATION_DELAY_MS = 300


class Departure(NamedTuple):
    """When and how this VM learned that a server wants no more requests, for logs and metrics.

    ``revision`` is that of the row that said so, 0 where the server itself did.
    """

    known_ms: int
    source: str
    revision: int


class ServerState:
    """One backend server: its latest registration and what this VM observed of it.

    ``failures`` counts consecutive failed requests, ``ejection_ms`` is how long the next ejection
    lasts. ``missing`` is set while the registration is missing after a store outage.
    ``departure`` is set once this VM knows that the server wants no more requests, and
    ``last_sent_ms`` is when this VM last began to send it one.
    ``leaving`` is set once the server has said in a response that it will stop, and until
    ``paused_until_ms`` it wants no requests from this VM. ``limit`` is set while it allows only
    some requests per second, and ``unlimited_ms`` is when a response showed the end of a limit.
    ``peers_in_flight`` is the sum of what other VMs report, ``reported_peer_load`` comes from the
    server itself.
    """

    def __init__(self, registration: BackendServer, now_ms: int) -> None:
        self.registration = registration
        self.in_flight = 0
        self.peers_in_flight = 0
        self.reported_peer_load = 0
        self.load_reported_ms = -LOAD_REPORT_TTL_MS
        self.latency_ms = 0.0
        self.responses = 0
        self.failures = 0
        self.ejection_ms = MIN_EJECTION_MS
        self.ejected_until_ms = 0
        self.cold_until_ms = 0
        self.paused_until_ms = 0
        self.leaving = False
        self.limit: ServerLimit | None = None
        self.unlimited_ms = -OBSERVATION_MS
        self.missing = False
        self.departure: Departure | None = None
        self.last_sent_ms: int | None = None
        self.update_registration(registration, now_ms)

    def update_registration(self, registration: BackendServer, now_ms: int) -> None:
        """Store a newer registration; a new incarnation or address resets the observations."""
        if (
            registration.started_ms != self.registration.started_ms
            or registration.address != self.registration.address
        ):
            self.failures, self.ejected_until_ms, self.ejection_ms = 0, 0, MIN_EJECTION_MS
            self.latency_ms, self.responses = 0.0, 0
            self.leaving, self.paused_until_ms = False, 0
            self.limit, self.unlimited_ms = None, -OBSERVATION_MS
        self.registration = registration
        self.missing = False
        if not registration.draining and not self.leaving:
            self.departure = None
        if registration.warmup_left_ms:
            self.cold_until_ms = now_ms + registration.warmup_left_ms + REGISTRATION_DELAY_MS

    def record_departure(self, departure: Departure) -> bool:
        """Record that the server wants no more requests; return whether it is the first news."""
        if self.departure is not None:
            return False
        self.departure = departure
        return True

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether the server is warming up and accepts only a low rate."""
        return now_ms < self.cold_until_ms

    def is_rationed(self, now_ms: int) -> bool:
        """Tell whether the server gets only requests that a token allows."""
        return self.limit is not None or self.is_cold(now_ms)

    def record_limit(self, rate_per_s: float | None, sent_ms: int, now_ms: int) -> None:
        """Record the limit that a response named, or that it named none.

        ``sent_ms`` is when its request was sent. A response does not end a limit that was seen
        after that.
        """
        if rate_per_s is not None:
            if self.limit is None:
                self.limit = ServerLimit(rate_per_s, now_ms, observed=True)
            self.limit.observe(rate_per_s, now_ms)
        elif self.limit is not None and sent_ms >= self.limit.observed_ms:
            self.limit = None
            self.unlimited_ms = now_ms

    def learn_limit(self, rate_per_s: float, now_ms: int) -> None:
        """Record what other VMs saw of the server's limit; ``NO_LIMIT`` tells of its end."""
        if rate_per_s == NO_LIMIT:
            if self.limit is not None and now_ms - self.limit.observed_ms >= OBSERVATION_MS:
                self.limit = None
        elif self.limit is not None:
            self.limit.learn(rate_per_s, now_ms)
        elif now_ms - self.unlimited_ms >= OBSERVATION_MS:
            self.limit = ServerLimit(rate_per_s, now_ms, observed=False)

    def observed_limit(self, now_ms: int) -> float | None:
        """Return the limit that this VM saw recently, ``NO_LIMIT`` if it saw its end."""
        if self.limit is not None and now_ms - self.limit.observed_ms < OBSERVATION_MS:
            return self.limit.rate_per_s
        return NO_LIMIT if now_ms - self.unlimited_ms < OBSERVATION_MS else None

    def forget_old_limit(self, now_ms: int) -> None:
        """Drop a limit that no VM has seen for long."""
        if self.limit is not None and now_ms - self.limit.seen_ms >= LIMIT_TTL_MS:
            self.limit = None

    def is_paused(self, now_ms: int) -> bool:
        """Tell whether the server has asked this VM to send no requests for some time."""
        return now_ms < self.paused_until_ms

    def is_ejected(self, now_ms: int) -> bool:
        """Tell whether the server gets no requests because of recent failures."""
        return now_ms < self.ejected_until_ms

    def load(self, now_ms: int) -> int:
        """Return the number of requests from all VMs at the server, running or queued, as known."""
        is_fresh = now_ms - self.load_reported_ms < LOAD_REPORT_TTL_MS
        peer_load = self.reported_peer_load if is_fresh else self.peers_in_flight
        return self.in_flight + peer_load

    def record_load_report(self, running: int, waiting: int, now_ms: int) -> None:
        """Store the requests that the server reported with a response to this VM.

        ``running`` hold a slot and ``waiting`` are queued; both include requests of this VM.
        """
        self.reported_peer_load = max(0, running + waiting - self.in_flight)
        self.load_reported_ms = now_ms

    def record_success(self, latency_ms: float) -> None:
        """Record a successful response."""
        self.responses += 1
        weight = max(LATENCY_WEIGHT, 1 / self.responses)
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.failures, self.ejection_ms = 0, MIN_EJECTION_MS

    def record_failure(self, now_ms: int) -> bool:
        """Record a failure; return whether it ejected the server."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or self.is_ejected(now_ms):
            return False
        self.eject(now_ms)
        return True

    def record_unreachable(self, now_ms: int) -> bool:
        """Record a failed connection, which ejects the server at once; return whether it did."""
        self.failures = max(self.failures, FAILURES_TO_EJECT - 1)
        return self.record_failure(now_ms)

    def eject(self, now_ms: int) -> None:
        """Eject the server, for twice as long each time until it succeeds again."""
        self.ejected_until_ms = now_ms + self.ejection_ms
        self.ejection_ms = min(MAX_EJECTION_MS, self.ejection_ms * 2)

    def eject_replaced(self, now_ms: int) -> None:
        """Eject the server because another one answers at its address."""
        self.failures = FAILURES_TO_EJECT
        self.ejected_until_ms = now_ms + REPLACED_SERVER_EJECTION_MS
