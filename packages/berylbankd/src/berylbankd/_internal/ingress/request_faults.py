"""Decides when a VM that cannot handle requests reports that it is not ready.

An unexpected error can hit every request of a service on one VM, for example after a row or a
response that no code expected. The VM must then leave the look-up answers, so that callers use
other VMs, and come back by itself once the cause has passed.
"""

# Requests in a row that must fail by an unexpected error; a single one may be the request's own.
MIN_CONSECUTIVE_FAULTS = 3
# The VM is not ready for this long after the last of them; then callers try it again.
NOT_READY_MS = 5_000


class RequestFaults:
    """Counts unexpected errors in the handling of requests on one VM."""

    def __init__(self) -> None:
        self.consecutive_faults = 0
        self.not_ready_until_ms = 0

    def record_fault(self, now_ms: int) -> None:
        """Count a request that failed by an unexpected error."""
        self.consecutive_faults += 1
        if self.consecutive_faults >= MIN_CONSECUTIVE_FAULTS:
            self.not_ready_until_ms = now_ms + NOT_READY_MS

    def record_success(self) -> None:
        """Count a request that got an answer from a backend server."""
        self.consecutive_faults = 0

    def is_ready(self, now_ms: int) -> bool:
        """Tell whether callers may be sent to this VM."""
        return now_ms >= self.not_ready_until_ms
