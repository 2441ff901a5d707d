"""What this VM sees of each backend server: latency and failures of real requests."""

EJECT_AFTER_FAILURES = 3
EJECT_FOR_MS = 2_000
EJECT_MOST_MS = 30_000
SHED_PAUSE_MS = 100
LATENCY_WEIGHT = 0.2


class BackendHealth:
    """Passive health of one backend server; its own word is not asked."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.latency_ms = 0.0

    def is_usable(self, now_ms: int) -> bool:
        """Tell whether requests may go there now."""
        return now_ms >= self.ejected_until_ms

    def note_success(self, latency_ms: int) -> None:
        """Take note of a whole answer."""
        self.failures = 0
        self.ejections = 0
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def note_failure(self, now_ms: int) -> None:
        """Take note of a failure; several in a row keep requests away for a growing while."""
        self.failures += 1
        if self.failures < EJECT_AFTER_FAILURES:
            return
        away_ms = min(EJECT_MOST_MS, EJECT_FOR_MS * 2**self.ejections)
        self.ejections += 1
        self.failures = EJECT_AFTER_FAILURES - 1
        self.ejected_until_ms = now_ms + away_ms

    def note_shed(self, now_ms: int) -> None:
        """Take note that the server refused work; keep away for a moment."""
        self.ejected_until_ms = max(self.ejected_until_ms, now_ms + SHED_PAUSE_MS)
