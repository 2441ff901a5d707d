"""When the store last answered any VM of the fleet, and whether it was away before that."""

from berylbankd._internal.peers.messages import UNKNOWN_AGE_MS


class StoreWatch:
    """Tells an outage of the store from calls of single VMs that fail.

    ``last_answer_ms`` is when the store last answered this VM or, by their digests, another one;
    None before the first answer.
    """

    def __init__(self) -> None:
        self.last_answer_ms: int | None = None

    def record_answer(self, answered_ms: int, min_outage_ms: int) -> bool:
        """Record an answer of the store to any VM; return whether it ended an outage.

        That is so if the store had answered nobody for at least ``min_outage_ms``.
        """
        last_ms = self.last_answer_ms
        if last_ms is not None and answered_ms <= last_ms:
            return False
        self.last_answer_ms = answered_ms
        return last_ms is not None and answered_ms - last_ms >= min_outage_ms

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the last answer was, ``UNKNOWN_AGE_MS`` if there was none."""
        if self.last_answer_ms is None:
            return UNKNOWN_AGE_MS
        return min(UNKNOWN_AGE_MS, max(0, now_ms - self.last_answer_ms))
