"""Slots of backend servers, granted by one owner VM per group and lent to the others."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from berylbank._internal.models.configuration import Backend, Configuration
from berylbank._internal.models.seating import group_of
from berylbank._internal.wire.messages import LoanAsk, LoanGrant
from berylbankd._internal.backends.health import BackendHealth
from berylbankd._internal.coordination.lease_state import LeaseState
from berylbankd._internal.coordination.timing import Timing
from berylbankd._internal.loans.desk import Want
from berylbankd._internal.loans.ledger import REPLY_TIMEOUT_MS, Borrower, Lender, RequestMark

PREFIX = "slots"
SPARE_MEMORY_MS = 300
PEAK_MEMORY_MS = 2_000
UNMET_MEMORY_MS = 1_000
FREE_TARGET = 1
RELEASE_SLACK = 2
RENEW_PART = 0.5


class UnmetAsk(NamedTuple):
    """A borrower that asked for more than it got."""

    at_ms: int
    missing: int


class Side(NamedTuple):
    """The backend servers whose attribute ``by`` has ``value``; all where ``by`` is empty."""

    by: str = ""
    value: str = ""

    def includes(self, backend: Backend) -> bool:
        """Tell whether a backend server is on this side."""
        return not self.by or getattr(backend, self.by) == self.value


ANY_SIDE = Side()


class SlotPool:
    """The slots of one backend server as this VM holds them."""

    def __init__(self, backend: Backend, term_ms: int) -> None:
        self.backend = backend
        self.resource = f"{PREFIX}:{backend.name}"
        self.owner: str | None = None
        self.total = 0
        self.in_use = 0
        self.lender = Lender()
        self.borrower = Borrower(term_ms)
        self.health = BackendHealth()
        self.unmet: dict[str, UnmetAsk] = {}
        self.asked_ms = -SPARE_MEMORY_MS
        self.distance = 0

    def held(self, now_ms: int) -> int:
        """Return the slots that this VM may fill now."""
        return max(0, self.total - self.lender.lent(now_ms)) + self.borrower.held(now_ms)

    def free(self, now_ms: int) -> int:
        """Return the slots that this VM may still fill now."""
        return max(0, self.held(now_ms) - self.in_use)

    def is_usable(self, now_ms: int) -> bool:
        """Tell whether new work may go to the backend server."""
        return not self.backend.draining and self.health.is_usable(now_ms)

    def spare(self, now_ms: int) -> int:
        """Return the owned slots that could still be lent."""
        return max(0, self.total - self.lender.lent(now_ms) - self.in_use)

    def fair_part(self, borrower: str, now_ms: int) -> int:
        """Return the most that ``borrower`` may hold while others ask in vain."""
        oldest_ms = now_ms - UNMET_MEMORY_MS
        asking = {vm for vm, ask in self.unmet.items() if ask.at_ms >= oldest_ms and ask.missing}
        if not asking - {borrower}:
            return self.total
        holders = asking | {borrower} | set(self.lender.records)
        return max(1, -(-self.total // (len(holders) + 1)))


class ServiceSlots:
    """The pools of one service, nearest first, and how many requests wait for one."""

    def __init__(self) -> None:
        self.pools: list[SlotPool] = []
        self.waiting: Counter[Side] = Counter()
        self.peak = 0
        self.peak_ms = 0

    def in_use(self) -> int:
        """Return the requests that run on any of the pools."""
        return sum(pool.in_use for pool in self.pools)

    def target_free(self, now_ms: int) -> int:
        """Return how many free slots this VM wants to hold."""
        running = self.in_use()
        if running >= self.peak or now_ms - self.peak_ms > PEAK_MEMORY_MS:
            self.peak = running
            self.peak_ms = now_ms
        return FREE_TARGET + self.waiting[ANY_SIDE] + max(0, self.peak - running)

    def choose(
        self, now_ms: int, excluded: frozenset[str], side: Side = ANY_SIDE
    ) -> SlotPool | None:
        """Return the best pool of a side with a free slot, or None.

        The nearest region goes first, then the lowest latency seen for the share in use.
        """
        usable = [
            pool
            for pool in self.pools
            if pool.backend.name not in excluded
            and side.includes(pool.backend)
            and pool.is_usable(now_ms)
            and pool.free(now_ms)
        ]
        return min(usable, key=_load_score, default=None)


def _load_score(pool: SlotPool) -> tuple[int, float]:
    return pool.distance, (pool.in_use + 1) * (1.0 + pool.health.latency_ms)


class SlotBook:
    """All pools of one VM, and the loans of their slots."""

    prefix = PREFIX

    def __init__(
        self,
        authority: LeaseState,
        timing: Timing,
        measure_distance: Callable[[Backend], int],
    ) -> None:
        self.authority = authority
        self.timing = timing
        self.measure_distance = measure_distance
        self.pools: dict[str, SlotPool] = {}
        self.services: dict[str, ServiceSlots] = {}
        self.applied_number = -1
        self.granting = False

    def refresh(self, now_ms: int) -> None:
        """Follow the head: pools for every backend server, ownership as written."""
        head = self.authority.head
        if head is None:
            return
        may_grant = now_ms >= self.authority.started_ms + self.timing.loan_expiry_wait_ms
        if head.number == self.applied_number and may_grant == self.granting:
            return
        if head.number != self.applied_number:
            self._rebuild(self.authority.configuration)
        for pool in self.pools.values():
            pool.owner = head.owners.get(group_of(pool.backend))
            owned = pool.owner == self.authority.vm and may_grant
            pool.total = pool.backend.slots if owned else 0
        self.applied_number = head.number
        self.granting = may_grant

    def plan(self, now_ms: int) -> list[Want]:
        """See :class:`LoanBook`."""
        if not self.authority.may_act(now_ms):
            return []
        wants: list[Want] = []
        for service in self.services.values():
            wants.extend(self._plan_service(service, now_ms))
        return wants

    def prepare(self, want: Want, request_id: int, now_ms: int) -> int:
        """See :class:`LoanBook`."""
        pool = self._pool(want.resource)
        assert pool is not None
        pool.asked_ms = now_ms
        return pool.borrower.prepare(want.lender, request_id, want.units, now_ms)

    def grant(
        self, borrower: str, mark: RequestMark, ask: LoanAsk, now_ms: int
    ) -> LoanGrant | None:
        """See :class:`LoanBook`."""
        pool = self._pool(ask.resource)
        if pool is None or not pool.lender.accept(borrower, mark, ask.holding):
            return None
        if not self.authority.may_act(now_ms):
            return LoanGrant(ask.resource, 0, 0)
        current = pool.lender.lent_to(borrower, now_ms)
        most = min(current + pool.spare(now_ms), pool.fair_part(borrower, now_ms))
        units = min(ask.want, most)
        pool.lender.lend(borrower, units, now_ms + self.timing.loan_expiry_wait_ms, now_ms)
        pool.unmet[borrower] = UnmetAsk(now_ms, ask.want - units)
        return LoanGrant(ask.resource, units, pool.spare(now_ms))

    def receive(self, lender: str, request_id: int, grant: LoanGrant, now_ms: int) -> None:
        """See :class:`LoanBook`."""
        pool = self._pool(grant.resource)
        if pool is not None:
            pool.borrower.on_reply(lender, request_id, grant.units, grant.spare)

    def _plan_service(self, service: ServiceSlots, now_ms: int) -> Iterator[Want]:
        usable = [pool for pool in service.pools if pool.is_usable(now_ms)]
        surplus = sum(pool.free(now_ms) for pool in usable) - service.target_free(now_ms)
        missing = max(0, -surplus)
        surplus = max(0, surplus - RELEASE_SLACK)
        extra = self._choose_extra(usable, missing, now_ms)
        for side, waiting in service.waiting.items():
            if side != ANY_SIDE and waiting:
                on_side = [pool for pool in usable if side.includes(pool.backend)]
                short = max(0, waiting - sum(pool.free(now_ms) for pool in on_side))
                extra |= self._choose_extra(on_side, short, now_ms)
        for pool in reversed(service.pools):
            owner = pool.owner
            if owner is None or owner == self.authority.vm:
                continue
            held = pool.borrower.held_from(owner, now_ms)
            given_up = min(held, pool.free(now_ms), surplus if pool in usable else held)
            surplus -= given_up if pool in usable else 0
            want = held - given_up + extra.get(pool.backend.name, 0)
            renew_before_ms = now_ms + int(self.timing.loan_ms * RENEW_PART)
            due = held and pool.borrower.held_until(owner) < renew_before_ms
            waits = pool.borrower.waits_for(owner, now_ms - REPLY_TIMEOUT_MS)
            if (want != held or due) and not waits:
                yield Want(owner, pool.resource, want)

    def _choose_extra(self, pools: list[SlotPool], missing: int, now_ms: int) -> dict[str, int]:
        """Choose whom to ask for ``missing`` slots, nearest and least asked first."""
        extra: dict[str, int] = {}
        for pool in sorted(pools, key=lambda p: (p.distance, p.borrower.held(now_ms), p.asked_ms)):
            if missing <= 0:
                break
            if pool.owner is None or pool.owner == self.authority.vm:
                continue
            likely = self._likely_spare(pool, now_ms)
            if likely:
                extra[pool.backend.name] = min(likely, missing)
                missing -= extra[pool.backend.name]
        return extra

    def _likely_spare(self, pool: SlotPool, now_ms: int) -> int:
        assert pool.owner is not None
        if now_ms - pool.asked_ms < SPARE_MEMORY_MS:
            return pool.borrower.spare.get(pool.owner, 0)
        return max(1, pool.borrower.spare.get(pool.owner, 1))

    def _pool(self, resource: str) -> SlotPool | None:
        return self.pools.get(resource.removeprefix(f"{PREFIX}:"))

    def _rebuild(self, configuration: Configuration) -> None:
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
