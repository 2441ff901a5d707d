"""Plans the stop of a VM.

The load that it answers: callers go on sending to a VM for seconds after it has left the look-up
answers, until the process is killed at the end of the grace time. A request that is started too
late would be cut, one that is refused too early could have been served.
"""

from typing import NamedTuple

# A stopping VM starts requests for this share of the grace time, but no longer than the maximum, as
# callers still use earlier look-up answers. Requests that are sent later than 3 s after the signal
# must not be cut, and the interpreter may notice the signal late.
ACCEPT_GRACE_RATIO = 0.5
MAX_START_MS = 2_900
# Connections that were accepted last deliver their requests within this time.
LAST_REQUESTS_MS = 100
# After that it refuses new requests and finishes running ones, until this share has passed.
FINISH_GRACE_RATIO = 0.88
# Callers read the last responses until this share of the grace time has passed.
DELIVER_GRACE_RATIO = 0.92


class StopPlan(NamedTuple):
    """The times of a stop, of the clock.

    The VM stops accepting connections at ``close_ms`` and starting requests at ``last_start_ms``.
    At ``end_ms`` it ends those still running, and at ``deliver_ms`` the process ends, whatever
    callers have read.
    """

    close_ms: int
    last_start_ms: int
    end_ms: int
    deliver_ms: int

    def may_start(self, now_ms: int, deadline_ms: int, longest_ms: float) -> bool:
        """Tell whether a request that arrives now would end before the VM ends it.

        ``deadline_ms`` is a time of the clock, ``longest_ms`` how long requests like it take until
        their callers have read the response.
        """
        if now_ms > self.last_start_ms:
            return False
        return min(deadline_ms, now_ms + longest_ms) <= self.end_ms


def plan_stop(signal_ms: int, grace_ms: int) -> StopPlan:
    """Plan the stop for which a signal arrived at ``signal_ms``, a time of the clock.

    ``grace_ms`` is the time from the signal until the process is killed.
    """
    start_ms = min(int(grace_ms * ACCEPT_GRACE_RATIO), MAX_START_MS)
    return StopPlan(
        signal_ms + max(0, start_ms - LAST_REQUESTS_MS),
        signal_ms + start_ms,
        signal_ms + int(grace_ms * FINISH_GRACE_RATIO),
        signal_ms + int(grace_ms * DELIVER_GRACE_RATIO),
    )
