"""The clock type: whole milliseconds since an arbitrary start."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time that never goes backwards."""

    def now_ms(self) -> int:
        """Return the time in milliseconds; only differences have a meaning."""


class BootClock:
    """Time since boot; it keeps counting while the guest is suspended."""

    def now_ms(self) -> int:
        """Return milliseconds since boot."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock:
    """A clock that tests move by hand."""

    def __init__(self, start_ms: int = 0) -> None:
        self.time_ms = start_ms

    def now_ms(self) -> int:
        """Return the time that was set."""
        return self.time_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward by ``by_ms`` milliseconds."""
        self.time_ms += by_ms
