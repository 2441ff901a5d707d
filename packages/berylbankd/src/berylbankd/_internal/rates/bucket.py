"""A token bucket that is divided among VMs, of which this VM holds a share.

Token counts are integers in millionths of a token. A VM never holds more tokens than its share of
the burst and adds no more than its share of the rate, so all VMs together stay within both.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from berylbank._internal.models.head import WHOLE_SHARE_MILLIONTHS
from berylbankd._internal.loans.ledger import Borrower, Lender

MICROTOKENS_PER_TOKEN = 1_000_000
DEMAND_WINDOW_MS = 1_000
MIN_DEMAND_SAMPLE_MS = 250
DEMAND_DECAY_RATIO_PER_WINDOW = 0.7
MIN_DEMAND_REQUESTS_PER_S = 0.01
DEMAND_HEADROOM_FACTOR = 1.15
BURST_TOKENS_PER_WAITER = 2
BORROWER_REQUEST_MAX_AGE_MS = 1_000


class BorrowerRequest(NamedTuple):
    """The total share, in millionths, that a borrower last requested, and when that arrived."""

    requested_share: int
    received_ms: int


class GrantedLoan(NamedTuple):
    """The total share that a lender granted, and the microtokens that move with the new part.

    ``units`` are millionths of the rate and the burst.
    """

    units: int
    microtokens: int


class Waiter:
    """A request that waits for a token; ``wake`` is called once it has one."""

    def __init__(self, wake: Callable[[], None]) -> None:
        self.wake = wake
        self.granted = False


class Bucket:
    """This VM's share of one organisation's rate and burst for one service.

    ``rate`` is in requests per second, ``burst`` in requests, shares are in millionths. The own
    share comes from this VM's seat; ``lender`` and ``borrower`` hold the loans of parts of shares.
    ``demand_per_s`` is the estimated rate of requests that arrive at this VM.
    """

    def __init__(self, resource: str, rate: float, burst: float, term_ms: int) -> None:
        self.resource = resource
        self.rate = rate
        self.burst = burst
        self.own_share = 0
        self.microtokens = 0
        self.refilled_ms = 0
        self.lease_epoch = -1
        self.lender = Lender()
        self.borrower = Borrower(term_ms)
        self.waiters: deque[Waiter] = deque()
        self.demand_per_s = 0.0
        self.demand_window_started_ms = 0
        self.window_arrivals = 0
        self.borrower_requests: dict[str, BorrowerRequest] = {}

    def unlent_share(self, now_ms: int) -> int:
        """Return the part of the own share that is not lent."""
        return max(0, self.own_share - self.lender.total_lent(now_ms))

    def held_share(self, now_ms: int) -> int:
        """Return the share that this VM may use now, including what it borrowed."""
        return self.unlent_share(now_ms) + self.borrower.total_borrowed(now_ms)

    def capacity(self, now_ms: int) -> int:
        """Return the most microtokens that this VM may hold now."""
        return int(self.burst * self.held_share(now_ms))

    def refill(self, now_ms: int, lease_until_ms: int, lease_epoch: int) -> None:
        """Add the tokens for the time since the last call, up to the capacity.

        Nothing is added for time after the end of the lease. After a gap in the lease the bucket
        starts empty. The share of a loan that ended since the last call is added neither by the
        lender nor by the borrower for any part of that time.
        """
        if lease_epoch != self.lease_epoch:
            self.lease_epoch = lease_epoch
            self.microtokens = 0
            self.refilled_ms = now_ms
            return
        end_ms = min(now_ms, lease_until_ms)
        elapsed_ms = end_ms - self.refilled_ms
        if elapsed_ms > 0:
            share = self.unlent_share(self.refilled_ms) + self.borrower.total_borrowed(end_ms)
            self.microtokens += int(self.rate * share * elapsed_ms / 1000)
            self.refilled_ms = end_ms
        self.microtokens = min(self.microtokens, self.capacity(now_ms))

    def take_token(self) -> bool:
        """Take one token, if there is one; call :meth:`refill` first."""
        if self.microtokens < MICROTOKENS_PER_TOKEN:
            return False
        self.microtokens -= MICROTOKENS_PER_TOKEN
        return True

    def return_token(self, now_ms: int) -> None:
        """Put back the token of a request that did not run."""
        self.microtokens = min(self.microtokens + MICROTOKENS_PER_TOKEN, self.capacity(now_ms))

    def record_arrival(self, now_ms: int) -> None:
        """Count a request towards the demand."""
        self._update_demand(now_ms)
        self.window_arrivals += 1

    def needed_share(self, now_ms: int) -> int:
        """Return the share that the demand on this VM needs.

        Requests that wait raise it above the share held now by so much that the capacity grows by
        ``BURST_TOKENS_PER_WAITER`` tokens for each of them.
        """
        self._update_demand(now_ms)
        elapsed_ms = max(MIN_DEMAND_SAMPLE_MS, now_ms - self.demand_window_started_ms)
        expected_per_s = max(self.demand_per_s, self.window_arrivals * 1000 / elapsed_ms)
        share_ratio = expected_per_s * DEMAND_HEADROOM_FACTOR / self.rate
        if self.waiters:
            missing_ratio = BURST_TOKENS_PER_WAITER * len(self.waiters) / self.burst
            share_ratio = max(
                share_ratio, self.held_share(now_ms) / WHOLE_SHARE_MILLIONTHS + missing_ratio
            )
        return min(WHOLE_SHARE_MILLIONTHS, int(share_ratio * WHOLE_SHARE_MILLIONTHS + 0.5))

    def is_idle(self, now_ms: int) -> bool:
        """Tell whether this VM has no waiting request, no recent demand and no borrowed share."""
        return (
            not self.waiters
            and not self.needed_share(now_ms)
            and not self.borrower.total_borrowed(now_ms)
        )

    def lend(self, borrower: str, requested_share: int, until_ms: int, now_ms: int) -> GrantedLoan:
        """Lend up to ``requested_share`` in total to ``borrower``; call :meth:`refill` first.

        If less is granted than is lent already, the older loans stay subtracted until they expire.
        The tokens of the newly lent part move to the borrower.
        """
        already_lent = self.lender.lent_to(borrower, now_ms)
        held_before = self.held_share(now_ms)
        self.borrower_requests[borrower] = BorrowerRequest(requested_share, now_ms)
        max_units = min(
            already_lent + self.spare_share(now_ms), self._fair_share(requested_share, now_ms)
        )
        units = max(0, min(requested_share, max_units))
        self.lender.lend(borrower, units, until_ms, now_ms)
        moved_microtokens = 0
        if units > already_lent and held_before > 0:
            moved_microtokens = self.microtokens * (units - already_lent) // held_before
            self.microtokens -= moved_microtokens
        self.microtokens = min(self.microtokens, self.capacity(now_ms))
        return GrantedLoan(units, moved_microtokens)

    def _fair_share(self, requested_share: int, now_ms: int) -> int:
        """Return ``requested_share``, reduced in proportion if recent requests exceed the supply.

        The supply is the own share less what the demand on this VM needs.
        """
        total_requested = sum(
            request.requested_share
            for request in self.borrower_requests.values()
            if now_ms - request.received_ms < BORROWER_REQUEST_MAX_AGE_MS
        )
        lendable = max(0, self.own_share - self.needed_share(now_ms))
        return (
            requested_share
            if total_requested <= lendable
            else lendable * requested_share // total_requested
        )

    def spare_share(self, now_ms: int) -> int:
        """Return how much more of the own share could be lent; negative if this VM needs more."""
        unlent = self.own_share - self.lender.total_lent(now_ms)
        return min(
            unlent, unlent + self.borrower.total_borrowed(now_ms) - self.needed_share(now_ms)
        )

    def grant_to_waiters(self) -> None:
        """Give tokens to waiting requests, oldest first; call :meth:`refill` first."""
        while self.waiters and self.take_token():
            waiter = self.waiters.popleft()
            waiter.granted = True
            waiter.wake()

    def estimate_wait_ms(self, now_ms: int) -> float:
        """Return how long the next request would wait with the share held now; may be infinite."""
        missing_microtokens = (len(self.waiters) + 1) * MICROTOKENS_PER_TOKEN - self.microtokens
        microtokens_per_ms = self.rate * self.held_share(now_ms) / 1000
        return missing_microtokens / microtokens_per_ms if microtokens_per_ms else float("inf")

    def _update_demand(self, now_ms: int) -> None:
        """End the window of arrivals when it is over and update the demand.

        The demand rises at once and decays by ``DEMAND_DECAY_RATIO_PER_WINDOW``.
        """
        elapsed_ms = now_ms - self.demand_window_started_ms
        if elapsed_ms < DEMAND_WINDOW_MS:
            return
        window_per_s = self.window_arrivals * 1000 / elapsed_ms
        decayed_per_s = self.demand_per_s * DEMAND_DECAY_RATIO_PER_WINDOW ** (
            elapsed_ms / DEMAND_WINDOW_MS
        )
        self.demand_per_s = (
            max(window_per_s, decayed_per_s)
            if max(window_per_s, decayed_per_s) > MIN_DEMAND_REQUESTS_PER_S
            else 0.0
        )
        self.window_arrivals = 0
        self.demand_window_started_ms = now_ms
