"""One token bucket of which this VM holds a share.

Tokens are whole millionths. The bucket never holds more than its share of the burst and mints no
more than its share of the rate, so that all VMs together stay within both.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from berylbank._internal.models.head import SHARE_UNITS
from berylbankd._internal.loans.ledger import Borrower, Lender

TOKEN = 1_000_000
DEMAND_WINDOW_MS = 1_000
SHORTEST_SAMPLE_MS = 250
DEMAND_KEPT = 0.7
DEMAND_NONE = 0.01
DEMAND_MARGIN = 1.15
WAITER_MARGIN = 2
ASK_MEMORY_MS = 1_000


class Ask(NamedTuple):
    """What a borrower wanted in all when it last asked."""

    want: int
    at_ms: int


class Lent(NamedTuple):
    """What a lender gave: units in all, and the micro-tokens that go along with the new ones."""

    units: int
    tokens: int


class Waiter:
    """A request that waits for a token; ``wake`` is called once it has one."""

    def __init__(self, wake: Callable[[], None]) -> None:
        self.wake = wake
        self.granted = False


class Bucket:
    """The share of one organisation's rate and burst for one service.

    ``rate`` is in requests per second, ``burst`` in requests, shares in millionths.
    """

    def __init__(self, resource: str, rate: float, burst: float, term_ms: int) -> None:
        self.resource = resource
        self.rate = rate
        self.burst = burst
        self.own_share = 0
        self.tokens = 0
        self.updated_ms = 0
        self.lease_epoch = -1
        self.lender = Lender()
        self.borrower = Borrower(term_ms)
        self.waiters: deque[Waiter] = deque()
        self.demand = 0.0
        self.demand_ms = 0
        self.arrivals = 0
        self.asks: dict[str, Ask] = {}

    def own_left(self, now_ms: int) -> int:
        """Return the part of the own share that is not lent."""
        return max(0, self.own_share - self.lender.lent(now_ms))

    def held(self, now_ms: int) -> int:
        """Return the share that this VM may use now."""
        return self.own_left(now_ms) + self.borrower.held(now_ms)

    def capacity(self, now_ms: int) -> int:
        """Return the most micro-tokens that this VM may hold now."""
        return int(self.burst * self.held(now_ms))

    def settle(self, now_ms: int, lease_until_ms: int, lease_epoch: int) -> None:
        """Mint for the time since the last call; after a gap in the lease, start empty.

        A loan that ended since then counts as lent, and as not borrowed, for the whole time.
        """
        if lease_epoch != self.lease_epoch:
            self.lease_epoch = lease_epoch
            self.tokens = 0
            self.updated_ms = now_ms
            return
        end_ms = min(now_ms, lease_until_ms)
        elapsed_ms = end_ms - self.updated_ms
        if elapsed_ms > 0:
            share = self.own_left(self.updated_ms) + self.borrower.held(end_ms)
            self.tokens += int(self.rate * share * elapsed_ms / 1000)
            self.updated_ms = end_ms
        self.tokens = min(self.tokens, self.capacity(now_ms))

    def take(self) -> bool:
        """Take one token from a settled bucket."""
        if self.tokens < TOKEN:
            return False
        self.tokens -= TOKEN
        return True

    def give_back(self, now_ms: int) -> None:
        """Put back the token of a request that did not run."""
        self.tokens = min(self.tokens + TOKEN, self.capacity(now_ms))

    def note_arrival(self, now_ms: int) -> None:
        """Count a request towards the demand."""
        self._roll_demand(now_ms)
        self.arrivals += 1

    def need(self, now_ms: int) -> int:
        """Return the share that the demand of this VM asks for."""
        self._roll_demand(now_ms)
        elapsed_ms = max(SHORTEST_SAMPLE_MS, now_ms - self.demand_ms)
        expected = max(self.demand, self.arrivals * 1000 / elapsed_ms)
        share = expected * DEMAND_MARGIN / self.rate
        if self.waiters:
            short = WAITER_MARGIN * len(self.waiters) / self.burst
            share = max(share, self.held(now_ms) / SHARE_UNITS + short)
        return min(SHARE_UNITS, int(share * SHARE_UNITS + 0.5))

    def is_idle(self, now_ms: int) -> bool:
        """Tell whether nobody here has used or needs the bucket lately."""
        return not self.waiters and not self.need(now_ms) and not self.borrower.held(now_ms)

    def lend(self, borrower: str, want: int, until_ms: int, now_ms: int) -> Lent:
        """Lend up to ``want`` in all to ``borrower``.

        The bucket must be settled. What was lent already stays lent until it lapses.
        """
        current = self.lender.lent_to(borrower, now_ms)
        before = self.held(now_ms)
        self.asks[borrower] = Ask(want, now_ms)
        most = min(current + self.spare(now_ms), self._fair_part(want, now_ms))
        units = max(0, min(want, most))
        self.lender.lend(borrower, units, until_ms, now_ms)
        moved = 0
        if units > current and before > 0:
            moved = self.tokens * (units - current) // before
            self.tokens -= moved
        self.tokens = min(self.tokens, self.capacity(now_ms))
        return Lent(units, moved)

    def _fair_part(self, want: int, now_ms: int) -> int:
        """Return what ``want`` may get of the share that all recent borrowers ask for."""
        wanted = sum(a.want for a in self.asks.values() if now_ms - a.at_ms < ASK_MEMORY_MS)
        lendable = max(0, self.own_share - self.need(now_ms))
        return want if wanted <= lendable else lendable * want // wanted

    def spare(self, now_ms: int) -> int:
        """Return how much more of the own share could be lent; negative when short."""
        own = self.own_share - self.lender.lent(now_ms)
        return min(own, own + self.borrower.held(now_ms) - self.need(now_ms))

    def serve_waiters(self) -> None:
        """Give tokens of a settled bucket to waiting requests, oldest first."""
        while self.waiters and self.take():
            waiter = self.waiters.popleft()
            waiter.granted = True
            waiter.wake()

    def wait_estimate_ms(self, now_ms: int) -> float:
        """Return how long the next request would wait on the share held now."""
        missing = (len(self.waiters) + 1) * TOKEN - self.tokens
        minted_per_ms = self.rate * self.held(now_ms) / 1000
        return missing / minted_per_ms if minted_per_ms else float("inf")

    def _roll_demand(self, now_ms: int) -> None:
        """Close a window of arrivals; demand rises at once and falls slowly."""
        elapsed_ms = now_ms - self.demand_ms
        if elapsed_ms < DEMAND_WINDOW_MS:
            return
        fresh = self.arrivals * 1000 / elapsed_ms
        faded = self.demand * DEMAND_KEPT ** (elapsed_ms / DEMAND_WINDOW_MS)
        self.demand = max(fresh, faded) if max(fresh, faded) > DEMAND_NONE else 0.0
        self.arrivals = 0
        self.demand_ms = now_ms
