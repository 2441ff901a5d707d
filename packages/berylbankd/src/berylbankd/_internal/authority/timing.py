"""Durations of coordination, derived once from the settings."""

from typing import NamedTuple

from berylbank._internal.settings import TimingSettings

CLOCK_RATE_ERROR = 0.02
ACK_WINDOW_PART = 0.9


class Timing(NamedTuple):
    """Durations in milliseconds on the clock of the VM that waits.

    ``lease_lapse_ms`` and ``loan_lapse_ms`` are how long another VM waits until a lease or loan
    has surely ended; ``quarantine_ms`` how long a restarted VM vouches for nobody unless the
    store has answered it; ``ack_window_ms`` how old the pushes behind a majority may be.
    """

    lease_ms: int
    renew_every_ms: int
    loan_ms: int
    suspect_ms: int
    lease_lapse_ms: int
    loan_lapse_ms: int
    quarantine_ms: int
    ack_window_ms: int


def derive_timing(settings: TimingSettings) -> Timing:
    """Return the durations that follow from the settings."""
    return Timing(
        lease_ms=settings.lease_ms,
        renew_every_ms=settings.renew_every_ms,
        loan_ms=settings.loan_ms,
        suspect_ms=settings.suspect_ms,
        lease_lapse_ms=int(settings.lease_ms * (1 + CLOCK_RATE_ERROR)) + 1,
        loan_lapse_ms=int(settings.loan_ms * (1 + CLOCK_RATE_ERROR)) + 1,
        quarantine_ms=int(settings.lease_ms * (1 + CLOCK_RATE_ERROR)) + 1,
        ack_window_ms=int(settings.lease_ms * ACK_WINDOW_PART),
    )
