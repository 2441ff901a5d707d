"""Allocates backend server slots to requests, with a fair and bounded queue per service."""

import anyio

from berylbank._internal.models.configuration import Service
from berylbankd._internal.backends.fair_queue import FairQueue
from berylbankd._internal.backends.slots import ALL_BACKENDS, BackendSubset, ServiceSlots, SlotPool
from berylbankd._internal.coordinator import Coordinator

MAX_WAITING_PER_ORGANISATION = 64
SLOT_WAIT_TIMEOUT_DIVISOR = 4
MAX_IN_USE_WITHOUT_AUTHORITY = 1
NO_EXCLUSIONS: frozenset[str] = frozenset()


class SlotWaiter:
    """A request that waits for a slot; ``pool`` is set when it gets one."""

    def __init__(self, excluded: frozenset[str], subset: BackendSubset) -> None:
        self.excluded = excluded
        self.subset = subset
        self.event = anyio.Event()
        self.pool: SlotPool | None = None


class SlotAllocator:
    """Allocates the slots that this VM holds to its requests.

    Waiting requests are served fairly between organisations; time and number are limited.
    """

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.queues: dict[str, FairQueue[SlotWaiter]] = {}
        coordinator.update_callbacks.append(self.assign_free_slots)

    async def acquire(
        self,
        service: Service,
        organisation: str,
        weight: int,
        excluded: frozenset[str],
        subset: BackendSubset = ALL_BACKENDS,
    ) -> SlotPool | None:
        """Take a slot of a subset and return its pool, or None if no slot became free in time."""
        slots = self.coordinator.node.slots.services.get(service.name)
        if slots is None:
            return None
        queue = self.queues.setdefault(service.name, FairQueue(MAX_WAITING_PER_ORGANISATION))
        if not len(queue):
            pool = self._take(slots, excluded, subset)
            if pool is not None:
                return pool
        waiter = SlotWaiter(excluded, subset)
        if not queue.push(organisation, weight, waiter):
            return None
        await self._wait(
            slots, queue, organisation, waiter, service.timeout_ms // SLOT_WAIT_TIMEOUT_DIVISOR
        )
        return waiter.pool

    def acquire_without_authority(
        self, service: Service, excluded: frozenset[str]
    ) -> SlotPool | None:
        """Return a pool for a request on an open route while this VM has no authority.

        Each backend server gets one such request at a time, in addition to its granted slots.
        """
        slots = self.coordinator.node.slots.services.get(service.name)
        now_ms = self.coordinator.clock.now_ms()
        for pool in slots.pools if slots is not None else []:
            free = pool.in_use < MAX_IN_USE_WITHOUT_AUTHORITY and pool.is_usable(now_ms)
            if free and pool.backend.name not in excluded:
                pool.in_use += 1
                return pool
        return None

    def release(self, service: Service, pool: SlotPool) -> None:
        """Release a slot, and give it to a waiting request if there is one."""
        pool.in_use -= 1
        if service.name in self.queues:
            self._assign_slots(service.name)

    def assign_free_slots(self) -> None:
        """Give the slots that are free now to waiting requests."""
        for name, queue in self.queues.items():
            if len(queue):
                self._assign_slots(name)

    async def _wait(
        self,
        slots: ServiceSlots,
        queue: FairQueue[SlotWaiter],
        organisation: str,
        waiter: SlotWaiter,
        wait_ms: int,
    ) -> None:
        slots.waiting[waiter.subset] += 1
        self.coordinator.request_loans()
        try:
            with anyio.move_on_after(wait_ms / 1000):
                await waiter.event.wait()
        except BaseException:
            if waiter.pool is not None:
                waiter.pool.in_use -= 1
            raise
        finally:
            slots.waiting[waiter.subset] -= 1
            if waiter.pool is None:
                queue.remove(organisation, waiter)

    def _assign_slots(self, name: str) -> None:
        slots = self.coordinator.node.slots.services.get(name)
        queue = self.queues[name]
        if slots is None:
            return
        while (waiter := queue.peek()) is not None:
            pool = self._take(slots, waiter.excluded, waiter.subset)
            if pool is None:
                return
            queue.pop()
            waiter.pool = pool
            waiter.event.set()

    def _take(
        self, slots: ServiceSlots, excluded: frozenset[str], subset: BackendSubset
    ) -> SlotPool | None:
        """Take a slot, preferably of a backend server that was not tried before."""
        now_ms = self.coordinator.clock.now_ms()
        if not self.coordinator.lease_state.may_act(now_ms):
            return None
        pool = slots.choose(now_ms, excluded, subset) or slots.choose(now_ms, NO_EXCLUSIONS, subset)
        if pool is not None:
            pool.in_use += 1
        return pool
