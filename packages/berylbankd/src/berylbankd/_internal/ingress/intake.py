"""Starts the work on requests a few at a time while a VM has more requests than processor time.

If every request that arrives is started at once, a burst keeps the event loop busy for most of a
second at a time. Meanwhile the VM reads no connection, so that it answers late, works for callers
that have left, and finishes few requests in time. Here requests wait outside, a long wait is
refused early, and once there is a queue, the newest request is started first: its caller has the
most time left. Requests of connections that were served a moment ago wait in a queue of their own,
which gets one start of each pass and those that the others leave: a few callers who send request
after request would always have the newest ones.
"""

from collections import deque

import anyio
import anyio.lowlevel

from berylbank._internal.utils.clock import Clock

# Requests started before the event loop reads and writes its connections again, and how many
# refusals take as much processor time as one start.
MAX_STARTS_PER_PASS = 8
REFUSALS_PER_START = 8
# A request is refused when it has waited for this share of its caller's deadline, so that the
# caller can still try another VM.
MAX_WAIT_DEADLINE_RATIO = 0.125
# When the oldest request has waited for longer, the newest one is started first.
FIFO_WAIT_MS = 50
# Starts of each pass that are left to connections that were served a moment ago.
MIN_STARTS_AGAIN_PER_PASS = 1


class WaitingRequest:
    """A request that has not been started; ``admitted`` is valid once ``decided`` is set."""

    def __init__(self, arrived_ms: int, max_wait_ms: float) -> None:
        self.arrived_ms = arrived_ms
        self.max_wait_ms = max_wait_ms
        self.decided = anyio.Event()
        self.admitted = False

    def decide(self, admitted: bool) -> None:
        """Start the request, or refuse it."""
        self.admitted = admitted
        self.decided.set()


class RequestIntake:
    """Decides when each request is started, or that it is refused.

    ``waiting`` holds the requests in the order of their arrival, ``waiting_again`` those of
    connections that were served a moment ago.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.waiting: deque[WaitingRequest] = deque()
        self.waiting_again: deque[WaitingRequest] = deque()
        self.started_in_pass = 0
        self.decisions_in_pass = 0.0
        self.pass_due = anyio.Event()

    async def admit(self, arrived_ms: int, deadline_ms: int, again: bool = False) -> bool:
        """Wait until a request may be started; return False if it must be refused.

        ``arrived_ms`` is a time of the clock, ``deadline_ms`` how long the caller waits in total.
        ``again`` is set if its connection was served a moment ago.
        """
        self.pass_due.set()
        if not self.has_waiting() and self.started_in_pass < MAX_STARTS_PER_PASS:
            self.started_in_pass += 1
            return True
        request = WaitingRequest(arrived_ms, deadline_ms * MAX_WAIT_DEADLINE_RATIO)
        queue = self.waiting_again if again else self.waiting
        queue.append(request)
        try:
            await request.decided.wait()
        finally:
            if not request.decided.is_set():
                queue.remove(request)
        return request.admitted

    def has_waiting(self) -> bool:
        """Tell whether a request waits to be started."""
        return bool(self.waiting or self.waiting_again)

    async def run(self) -> None:
        """Start waiting requests after each pass of the event loop, until cancelled."""
        while True:
            await self.pass_due.wait()
            await anyio.lowlevel.checkpoint()
            self.start_pass(self.clock.now_ms())
            if not self.has_waiting():
                self.pass_due = anyio.Event()

    def start_pass(self, now_ms: int) -> None:
        """Decide on as many waiting requests as one pass of the event loop can handle."""
        self.started_in_pass, self.decisions_in_pass = 0, 0.0
        self._decide(self.waiting_again, now_ms, MIN_STARTS_AGAIN_PER_PASS, newest_first=False)
        self._decide(self.waiting, now_ms, MAX_STARTS_PER_PASS, newest_first=True)
        self._decide(self.waiting_again, now_ms, MAX_STARTS_PER_PASS, newest_first=False)

    def _decide(
        self, queue: deque[WaitingRequest], now_ms: int, max_decisions: int, *, newest_first: bool
    ) -> None:
        """Start or refuse requests of a queue until a pass has so many; a refusal counts less."""
        while queue and self.decisions_in_pass < max_decisions:
            waited_ms = now_ms - queue[0].arrived_ms
            if waited_ms > queue[0].max_wait_ms:
                queue.popleft().decide(False)
                self.decisions_in_pass += 1 / REFUSALS_PER_START
                continue
            use_newest = newest_first and waited_ms > FIFO_WAIT_MS
            (queue.pop() if use_newest else queue.popleft()).decide(True)
            self.started_in_pass += 1
            self.decisions_in_pass += 1
