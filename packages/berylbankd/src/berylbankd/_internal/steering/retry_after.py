"""Tells callers whose request was refused when to come back.

Load pattern answered: a burst fills the servers of some objects for about one service time. Callers
that come back a fixed time later are late, and arrive in one wave; spread around the time in which
a server gives a slot back, most find room while their answer can still be in time.
"""

# Callers come back between these multiples of the time that a request takes.
MIN_DELAY_RATIO = 0.5
SPREAD_RATIO = 1.0
# A caller needs a new connection anyway; less would be no pause.
MIN_DELAY_MS = 50.0
# Steps of this part of the spread visit it evenly, however many callers there are.
GOLDEN_RATIO_STEP = 0.6180339887


class RetryAfterSpread:
    """Spreads the callers that one VM refuses."""

    def __init__(self) -> None:
        self.position = 0.0

    def next_delay_ms(self, service_ms: float) -> float:
        """Return after which time the next refused caller should come back."""
        self.position = (self.position + GOLDEN_RATIO_STEP) % 1.0
        return max(MIN_DELAY_MS, service_ms * (MIN_DELAY_RATIO + SPREAD_RATIO * self.position))
