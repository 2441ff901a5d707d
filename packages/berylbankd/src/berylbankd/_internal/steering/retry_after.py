"""Chooses retry delays for callers whose request was refused.

A burst fills the servers of some objects for about one service time. Callers that all retry after
the same delay come late and arrive together. When their retries are spread around the time at
which a server frees a slot, most of them get a slot while their response can still be in time.
"""

# Delays range from MIN_DELAY_RATIO to MIN_DELAY_RATIO + SPREAD_RATIO times the service time.
MIN_DELAY_RATIO = 0.5
SPREAD_RATIO = 1.0
# Opening a new connection takes time anyway, so a shorter delay would have no effect.
MIN_DELAY_MS = 50.0
# Golden-ratio steps cover the range evenly for any number of callers.
GOLDEN_RATIO_STEP = 0.6180339887


class RetryAfterSpread:
    """Spreads the retries of the callers that one VM refuses."""

    def __init__(self) -> None:
        self.spread_position = 0.0

    def next_delay_ms(self, service_ms: float) -> float:
        """Return the retry delay for the next refused caller."""
        self.spread_position = (self.spread_position + GOLDEN_RATIO_STEP) % 1.0
        return max(
            MIN_DELAY_MS, service_ms * (MIN_DELAY_RATIO + SPREAD_RATIO * self.spread_position)
        )
