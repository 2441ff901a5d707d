"""Concurrency slots of backend servers.

The slots of each group of backend servers belong to one owner VM, which lends them to the others.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from berylbank._internal.models.configuration import Backend, Configuration
from berylbank._internal.models.seating import name_slot_group
from berylbank._internal.wire.messages import LoanGrant, LoanRequestItem
from berylbankd._internal.backends.health import BackendHealth
from berylbankd._internal.coordination.lease_state import LeaseState
from berylbankd._internal.coordination.timing import Timing
from berylbankd._internal.loans.ledger import REPLY_TIMEOUT_MS, Borrower, Lender, RequestSequence
from berylbankd._internal.loans.router import DesiredLoan

RESOURCE_PREFIX = "slots"
SPARE_REPORT_TTL_MS = 300
PEAK_WINDOW_MS = 2_000
UNMET_DEMAND_TTL_MS = 1_000
BASE_FREE_SLOTS = 1
KEPT_SURPLUS_SLOTS = 2
RENEWAL_TERM_FRACTION = 0.5


class UnmetDemand(NamedTuple):
    """How many of the slots that a borrower asked for were not granted, and when it asked."""

    at_ms: int
    missing: int


class BackendSubset(NamedTuple):
    """The backend servers whose ``attribute`` equals ``value``; all if ``attribute`` is empty."""

    attribute: str = ""
    value: str = ""

    def includes(self, backend: Backend) -> bool:
        """Tell whether a backend server belongs to this subset."""
        return not self.attribute or getattr(backend, self.attribute) == self.value


ALL_BACKENDS = BackendSubset()


class SlotPool:
    """The slots of one backend server that this VM owns, lends or has borrowed.

    ``owned_slots`` is the number of slots while this VM owns and may grant them, otherwise 0.
    ``in_use`` is how many requests of this VM run on the server. Pools with a lower ``distance``
    are preferred.
    """

    def __init__(self, backend: Backend, loan_term_ms: int) -> None:
        self.backend = backend
        self.resource = f"{RESOURCE_PREFIX}:{backend.name}"
        self.owner: str | None = None
        self.owned_slots = 0
        self.in_use = 0
        self.lender = Lender()
        self.borrower = Borrower(loan_term_ms)
        self.health = BackendHealth()
        self.unmet_demand: dict[str, UnmetDemand] = {}
        self.last_asked_ms = -SPARE_REPORT_TTL_MS
        self.distance = 0

    def count_held(self, now_ms: int) -> int:
        """Return how many slots this VM may use now: owned ones that aren't lent, and borrowed."""
        return max(
            0, self.owned_slots - self.lender.total_lent(now_ms)
        ) + self.borrower.total_borrowed(now_ms)

    def count_free(self, now_ms: int) -> int:
        """Return how many of the slots that this VM may use are free."""
        return max(0, self.count_held(now_ms) - self.in_use)

    def is_usable(self, now_ms: int) -> bool:
        """Tell whether the backend server may get new requests."""
        return not self.backend.draining and self.health.is_usable(now_ms)

    def count_lendable(self, now_ms: int) -> int:
        """Return how many owned slots are neither lent nor in use."""
        return max(0, self.owned_slots - self.lender.total_lent(now_ms) - self.in_use)

    def max_loan_to(self, borrower: str, now_ms: int) -> int:
        """Return the most slots that ``borrower`` may hold.

        These are all slots, unless other borrowers recently got fewer slots than they asked for;
        then each borrower and the owner get an equal share.
        """
        oldest_ms = now_ms - UNMET_DEMAND_TTL_MS
        unserved_borrowers = {
            vm
            for vm, demand in self.unmet_demand.items()
            if demand.at_ms >= oldest_ms and demand.missing
        }
        if not unserved_borrowers - {borrower}:
            return self.owned_slots
        holders = unserved_borrowers | {borrower} | set(self.lender.records)
        return max(1, -(-self.owned_slots // (len(holders) + 1)))


class ServiceSlots:
    """The pools of one service, nearest first, and how many requests wait for a slot.

    ``peak_in_use`` is the recent peak of slots in use; it expires after ``PEAK_WINDOW_MS``.
    """

    def __init__(self) -> None:
        self.pools: list[SlotPool] = []
        self.waiting: Counter[BackendSubset] = Counter()
        self.peak_in_use = 0
        self.peak_recorded_ms = 0

    def count_in_use(self) -> int:
        """Return how many requests run on all pools."""
        return sum(pool.in_use for pool in self.pools)

    def target_free_slots(self, now_ms: int) -> int:
        """Return how many free slots this VM wants to hold.

        They cover the waiting requests, and as many running requests as at the recent peak.
        """
        running = self.count_in_use()
        if running >= self.peak_in_use or now_ms - self.peak_recorded_ms > PEAK_WINDOW_MS:
            self.peak_in_use = running
            self.peak_recorded_ms = now_ms
        return BASE_FREE_SLOTS + self.waiting[ALL_BACKENDS] + max(0, self.peak_in_use - running)

    def choose_pool(
        self, now_ms: int, excluded: frozenset[str], subset: BackendSubset = ALL_BACKENDS
    ) -> SlotPool | None:
        """Return the best pool of a subset with a free slot, or None.

        The nearest pools are preferred, then the lowest product of latency and requests in use.
        """
        usable = [
            pool
            for pool in self.pools
            if pool.backend.name not in excluded
            and subset.includes(pool.backend)
            and pool.is_usable(now_ms)
            and pool.count_free(now_ms)
        ]
        return min(usable, key=_make_selection_key, default=None)


def _make_selection_key(pool: SlotPool) -> tuple[int, float]:
    return pool.distance, (pool.in_use + 1) * (1.0 + pool.health.latency_ms)


class SlotInventory:
    """All slot pools of one VM and the loans of their slots; a :class:`LoanHandler`."""

    prefix = RESOURCE_PREFIX

    def __init__(
        self,
        lease_state: LeaseState,
        timing: Timing,
        measure_distance: Callable[[Backend], int],
    ) -> None:
        self.lease_state = lease_state
        self.timing = timing
        self.measure_distance = measure_distance
        self.pools: dict[str, SlotPool] = {}
        self.services: dict[str, ServiceSlots] = {}
        self.applied_head_number = -1
        self.applied_may_grant = False

    def refresh(self, now_ms: int) -> None:
        """Update the pools and the owners of their slots from the current head.

        After a start, slots aren't granted until all loans of the previous run have expired.
        """
        head = self.lease_state.head
        if head is None:
            return
        may_grant = now_ms >= self.lease_state.started_ms + self.timing.loan_expiry_wait_ms
        if head.number == self.applied_head_number and may_grant == self.applied_may_grant:
            return
        if head.number != self.applied_head_number:
            self._rebuild_pools(self.lease_state.configuration)
        for pool in self.pools.values():
            pool.owner = head.owners.get(name_slot_group(pool.backend))
            owned = pool.owner == self.lease_state.vm and may_grant
            pool.owned_slots = pool.backend.slots if owned else 0
        self.applied_head_number = head.number
        self.applied_may_grant = may_grant

    def plan_loans(self, now_ms: int) -> list[DesiredLoan]:
        """See :class:`LoanHandler`."""
        if not self.lease_state.may_act(now_ms):
            return []
        loans: list[DesiredLoan] = []
        for service in self.services.values():
            loans.extend(self._plan_service(service, now_ms))
        return loans

    def record_request(self, loan: DesiredLoan, request_id: int, now_ms: int) -> int:
        """See :class:`LoanHandler`."""
        pool = self._find_pool(loan.resource)
        assert pool is not None
        pool.last_asked_ms = now_ms
        return pool.borrower.record_request(loan.lender, request_id, loan.units, now_ms)

    def grant(
        self, borrower: str, sequence: RequestSequence, ask: LoanRequestItem, now_ms: int
    ) -> LoanGrant | None:
        """See :class:`LoanHandler`."""
        pool = self._find_pool(ask.resource)
        if pool is None or not pool.lender.accept_request(borrower, sequence, ask.holding):
            return None
        if not self.lease_state.may_act(now_ms):
            return LoanGrant(ask.resource, 0, 0)
        current = pool.lender.lent_to(borrower, now_ms)
        max_units = min(current + pool.count_lendable(now_ms), pool.max_loan_to(borrower, now_ms))
        units = min(ask.want, max_units)
        pool.lender.lend(borrower, units, now_ms + self.timing.loan_expiry_wait_ms, now_ms)
        pool.unmet_demand[borrower] = UnmetDemand(now_ms, ask.want - units)
        return LoanGrant(ask.resource, units, pool.count_lendable(now_ms))

    def on_grant(self, lender: str, request_id: int, grant: LoanGrant, now_ms: int) -> None:
        """See :class:`LoanHandler`."""
        pool = self._find_pool(grant.resource)
        if pool is not None:
            pool.borrower.on_reply(lender, request_id, grant.units, grant.spare)

    def _plan_service(self, service: ServiceSlots, now_ms: int) -> Iterator[DesiredLoan]:
        usable = [pool for pool in service.pools if pool.is_usable(now_ms)]
        surplus = sum(pool.count_free(now_ms) for pool in usable) - service.target_free_slots(
            now_ms
        )
        missing = max(0, -surplus)
        surplus = max(0, surplus - KEPT_SURPLUS_SLOTS)
        extra = self._choose_extra(usable, missing, now_ms)
        for subset, waiting in service.waiting.items():
            if subset != ALL_BACKENDS and waiting:
                in_subset = [pool for pool in usable if subset.includes(pool.backend)]
                missing_in_subset = max(
                    0, waiting - sum(pool.count_free(now_ms) for pool in in_subset)
                )
                extra |= self._choose_extra(in_subset, missing_in_subset, now_ms)
        for pool in reversed(service.pools):
            owner = pool.owner
            if owner is None or owner == self.lease_state.vm:
                continue
            borrowed = pool.borrower.borrowed_from(owner, now_ms)
            returned = min(
                borrowed, pool.count_free(now_ms), surplus if pool in usable else borrowed
            )
            surplus -= returned if pool in usable else 0
            want = borrowed - returned + extra.get(pool.backend.name, 0)
            renew_before_ms = now_ms + int(self.timing.loan_ms * RENEWAL_TERM_FRACTION)
            renewal_due = borrowed and pool.borrower.loan_until_ms(owner) < renew_before_ms
            reply_pending = pool.borrower.awaits_reply(owner, now_ms - REPLY_TIMEOUT_MS)
            if (want != borrowed or renewal_due) and not reply_pending:
                yield DesiredLoan(owner, pool.resource, want)

    def _choose_extra(self, pools: list[SlotPool], missing: int, now_ms: int) -> dict[str, int]:
        """Choose the pools to borrow ``missing`` slots from.

        The nearest come first, then those with the fewest borrowed slots, then those whose owner
        was asked least recently.
        """
        extra: dict[str, int] = {}
        for pool in sorted(
            pools, key=lambda p: (p.distance, p.borrower.total_borrowed(now_ms), p.last_asked_ms)
        ):
            if missing <= 0:
                break
            if pool.owner is None or pool.owner == self.lease_state.vm:
                continue
            expected = self._expected_spare(pool, now_ms)
            if expected:
                extra[pool.backend.name] = min(expected, missing)
                missing -= extra[pool.backend.name]
        return extra

    def _expected_spare(self, pool: SlotPool, now_ms: int) -> int:
        assert pool.owner is not None
        if now_ms - pool.last_asked_ms < SPARE_REPORT_TTL_MS:
            return pool.borrower.spare_by_lender.get(pool.owner, 0)
        return max(1, pool.borrower.spare_by_lender.get(pool.owner, 1))

    def _find_pool(self, resource: str) -> SlotPool | None:
        return self.pools.get(resource.removeprefix(f"{RESOURCE_PREFIX}:"))

    def _rebuild_pools(self, configuration: Configuration) -> None:
        pools: dict[str, SlotPool] = {}
        services = {
            service.name: self.services.get(service.name, ServiceSlots())
            for service in configuration.services
        }
        for service in services.values():
            service.pools = []
        for backend in configuration.backends:
            pool = self.pools.get(backend.name) or SlotPool(backend, self.timing.loan_ms)
            pool.backend = backend
            pool.distance = self.measure_distance(backend)
            pools[backend.name] = pool
            services[backend.service].pools.append(pool)
        for service in services.values():
            service.pools.sort(key=lambda pool: (pool.distance, pool.backend.name))
        self.pools = pools
        self.services = services
