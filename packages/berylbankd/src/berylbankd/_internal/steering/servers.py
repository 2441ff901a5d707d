"""Backend servers as one VM sees them: the entry, the load, and how answers turned out."""

from berylbankd._internal.models.types import BackendServer

# Weight of the newest answer in the running mean of a server's latency.
LATENCY_WEIGHT = 0.15
# Consecutive failures after which a server is left alone for a while.
FAILURES_TO_EJECT = 3
MIN_EJECTION_MS = 1_000
MAX_EJECTION_MS = 8_000
# A server whose address answers for another one is not asked again in this time.
REPLACED_EJECTION_MS = 10_000
# A report of load is ignored after this time: the server has long moved on.
LOAD_REPORT_TTL_MS = 400
# An entry may have been written this long before it is read.
REGISTRATION_DELAY_MS = 300


class ServerState:
    """One backend server: its newest entry and what this VM observed of it."""

    def __init__(self, registration: BackendServer, now_ms: int) -> None:
        self.registration = registration
        self.in_flight = 0
        self.peers_in_flight = 0
        self.reported_peer_load = 0
        self.reported_ms = -LOAD_REPORT_TTL_MS
        self.latency_ms = 0.0
        self.responses = 0
        self.consecutive_failures = 0
        self.ejection_ms = MIN_EJECTION_MS
        self.ejected_until_ms = 0
        self.cold_until_ms = 0
        self.missing_since_ms: int | None = None
        self.update_registration(registration, now_ms)

    def update_registration(self, registration: BackendServer, now_ms: int) -> None:
        """Take a newer entry; a new incarnation starts with a clean record."""
        if (
            registration.started_ms != self.registration.started_ms
            or registration.address != self.registration.address
        ):
            self.consecutive_failures, self.ejected_until_ms, self.ejection_ms = (
                0,
                0,
                MIN_EJECTION_MS,
            )
            self.latency_ms, self.responses = 0.0, 0
        self.registration = registration
        self.missing_since_ms = None
        if registration.warmup_left_ms:
            self.cold_until_ms = now_ms + registration.warmup_left_ms + REGISTRATION_DELAY_MS

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether the server tolerates only a low rate now."""
        return now_ms < self.cold_until_ms

    def is_ejected(self, now_ms: int) -> bool:
        """Tell whether recent failures keep requests away."""
        return now_ms < self.ejected_until_ms

    def load(self, now_ms: int) -> int:
        """Return how many requests the server holds, from all VMs as far as known."""
        is_fresh = now_ms - self.reported_ms < LOAD_REPORT_TTL_MS
        peer_load = self.reported_peer_load if is_fresh else self.peers_in_flight
        return self.in_flight + peer_load

    def record_load_report(self, running: int, waiting: int, now_ms: int) -> None:
        """Take the load that the server reported with an answer to this VM."""
        self.reported_peer_load = max(0, running + waiting - self.in_flight)
        self.reported_ms = now_ms

    def record_success(self, latency_ms: float) -> None:
        """Record an answer."""
        self.responses += 1
        weight = max(LATENCY_WEIGHT, 1 / self.responses)
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.consecutive_failures, self.ejection_ms = 0, MIN_EJECTION_MS

    def record_failure(self, now_ms: int) -> bool:
        """Record a failure; tell whether the server is ejected by it."""
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_TO_EJECT or self.is_ejected(now_ms):
            return False
        self.eject(now_ms)
        return True

    def record_unreachable(self, now_ms: int) -> bool:
        """Record that no connection could be opened; tell whether the server is ejected by it."""
        self.consecutive_failures = max(self.consecutive_failures, FAILURES_TO_EJECT - 1)
        return self.record_failure(now_ms)

    def eject(self, now_ms: int) -> None:
        """Leave the server alone for a while, longer each time."""
        self.ejected_until_ms = now_ms + self.ejection_ms
        self.ejection_ms = min(MAX_EJECTION_MS, self.ejection_ms * 2)

    def eject_replaced(self, now_ms: int) -> None:
        """Leave the server alone until a newer entry: its address belongs to another one."""
        self.consecutive_failures = FAILURES_TO_EJECT
        self.ejected_until_ms = now_ms + REPLACED_EJECTION_MS
