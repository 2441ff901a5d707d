"""Passive health checks of backend servers, from the latency and failures of real requests."""

EJECTION_FAILURE_COUNT = 3
BASE_EJECTION_MS = 2_000
MAX_EJECTION_MS = 30_000
SHED_PAUSE_MS = 100
LATENCY_EWMA_WEIGHT = 0.2


class BackendHealth:
    """Passive health of one backend server; no probes are sent to it.

    ``latency_ms`` is an exponentially weighted moving average.
    """

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until_ms = 0
        self.latency_ms = 0.0

    def is_usable(self, now_ms: int) -> bool:
        """Tell whether the server may get requests now: it is neither ejected nor paused."""
        return now_ms >= self.ejected_until_ms

    def record_success(self, latency_ms: int) -> None:
        """Record a complete response."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - self.latency_ms)

    def record_failure(self, now_ms: int) -> None:
        """Record a failure; several in a row eject the server.

        Each ejection without a success in between lasts twice as long as the one before.
        """
        self.consecutive_failures += 1
        if self.consecutive_failures < EJECTION_FAILURE_COUNT:
            return
        ejection_ms = min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2**self.consecutive_ejections)
        self.consecutive_ejections += 1
        self.consecutive_failures = EJECTION_FAILURE_COUNT - 1
        self.ejected_until_ms = now_ms + ejection_ms

    def record_shed(self, now_ms: int) -> None:
        """Record that the server shed a request; send it none for a short while."""
        self.ejected_until_ms = max(self.ejected_until_ms, now_ms + SHED_PAUSE_MS)
