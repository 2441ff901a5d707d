"""Monotonic clocks that count whole milliseconds from an arbitrary start."""

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock."""

    def now_ms(self) -> int:
        """Return the time in milliseconds; only differences are meaningful."""


class BootClock:
    """Time since boot; unlike the monotonic clock it also counts while the VM is suspended."""

    def now_ms(self) -> int:
        """Return milliseconds since boot."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
