"""When the store last answered any VM of the fleet, and whether it was away before that."""

import math

# A VM that ran nothing for longer, because it was frozen or cut off, cannot tell an outage of the
# store from its own.
MAX_UNWATCHED_MS = 3_500


class StoreWatch:
    """Tells an outage of the store from calls of single VMs that fail.

    ``last_answer_ms`` is the time of the newest answer that this VM or, by their digests, another
    one got, 0 before the first; it is a time of the store's clock, so that passing it on from VM to
    VM does not change it. ``offset_ms`` is how far this VM's clock is ahead of the store's, with
    the shortest delay of an answer that was seen. ``watched_ms`` is when this VM last made a call
    or heard of another VM.
    """

    def __init__(self) -> None:
        self.last_answer_ms = 0
        self.offset_ms = math.inf
        self.watched_ms = 0

    def record_watching(self, now_ms: int) -> bool:
        """Record that this VM runs; return whether it did so without a long break."""
        last_ms, self.watched_ms = self.watched_ms, now_ms
        return now_ms - last_ms <= MAX_UNWATCHED_MS

    def record_answer(self, answered_ms: int, min_outage_ms: int, now_ms: int) -> int | None:
        """Record an answer of the store to any VM, and return the time of its return if it is one.

        That is so if the store had answered nobody for at least ``min_outage_ms``. ``answered_ms``
        is a time of the store's clock, the result one of this VM's.
        """
        watched = self.record_watching(now_ms)
        last_ms = self.last_answer_ms
        if answered_ms <= last_ms:
            return None
        self.last_answer_ms = answered_ms
        self.offset_ms = min(self.offset_ms, now_ms - answered_ms)
        if not watched or not last_ms or answered_ms - last_ms < min_outage_ms:
            return None
        return answered_ms + int(self.offset_ms)
