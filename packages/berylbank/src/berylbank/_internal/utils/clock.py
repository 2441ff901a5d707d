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
