"""Durations used in coordination, derived once from the settings."""

from typing import NamedTuple

from berylbank._internal.settings import TimingSettings

MAX_CLOCK_RATE_ERROR = 0.02
ACK_WINDOW_LEASE_FRACTION = 0.9


class Timing(NamedTuple):
    """Durations in milliseconds on the clock of the VM that waits.

    ``lease_expiry_wait_ms`` and ``loan_expiry_wait_ms`` are how long another VM waits until a lease
    or loan has certainly expired: its term and the largest error of clock rates.
    ``startup_wait_ms`` is how long after its start a VM neither takes a lease by a vote of the
    other VMs nor confirms theirs; an answer of the store ends this wait early.
    ``ack_window_ms`` is the greatest age of the pushes whose acknowledgements make a majority.
    """

    lease_ms: int
    renew_every_ms: int
    loan_ms: int
    suspect_ms: int
    lease_expiry_wait_ms: int
    loan_expiry_wait_ms: int
    startup_wait_ms: int
    ack_window_ms: int


def derive_timing(settings: TimingSettings) -> Timing:
    """Return the durations that follow from the settings."""
    return Timing(
        lease_ms=settings.lease_ms,
        renew_every_ms=settings.renew_every_ms,
        loan_ms=settings.loan_ms,
        suspect_ms=settings.suspect_ms,
        lease_expiry_wait_ms=int(settings.lease_ms * (1 + MAX_CLOCK_RATE_ERROR)) + 1,
        loan_expiry_wait_ms=int(settings.loan_ms * (1 + MAX_CLOCK_RATE_ERROR)) + 1,
        startup_wait_ms=int(settings.lease_ms * (1 + MAX_CLOCK_RATE_ERROR)) + 1,
        ack_window_ms=int(settings.lease_ms * ACK_WINDOW_LEASE_FRACTION),
    )
