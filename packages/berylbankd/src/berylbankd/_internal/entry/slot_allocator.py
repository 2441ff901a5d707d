"""Allocates backend server slots to requests, with a fair and bounded queue per service."""

import anyio

from berylbank._internal.models.configuration import Service
from berylbankd._internal.backends.fair_queue import FairQueue
from berylbankd._internal.backends.slots import ALL_BACKENDS, BackendSubset, ServiceSlots, SlotPool
from berylbankd._internal.coordinator import Coordinator

MAX_WAITERS_PER_ORGANISATION = 64
SLOT_WAIT_TIMEOUT_DIVISOR = 4
MAX_SLOTS_IN_USE_WITHOUT_AUTHORITY = 1
NO_EXCLUDED_BACKENDS: frozenset[str] = frozenset()


class SlotWaiter:
    """A request that waits for a slot; ``event`` and ``pool`` are set when it gets one."""

    def __init__(self, excluded_backends: frozenset[str], subset: BackendSubset) -> None:
        self.excluded_backends = excluded_backends
        self.subset = subset
        self.event = anyio.Event()
        self.pool: SlotPool | None = None


class SlotAllocator:
    """Allocates the slots that this VM holds to its requests.

    Requests that wait are served in proportion to their organisation's weight. How long and how
    many of them wait is limited.
    """

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.queues: dict[str, FairQueue[SlotWaiter]] = {}
        coordinator.update_callbacks.append(self.assign_free_slots)

    async def acquire_slot(
        self,
        service: Service,
        organisation: str,
        weight: int,
        excluded_backends: frozenset[str],
        subset: BackendSubset = ALL_BACKENDS,
    ) -> SlotPool | None:
        """Take a slot of a backend server in ``subset`` and return its pool.

        Return None if the queue is full or no slot becomes free in time.
        """
        slots = self.coordinator.node.slots.services.get(service.name)
        if slots is None:
            return None
        queue = self.queues.setdefault(service.name, FairQueue(MAX_WAITERS_PER_ORGANISATION))
        if not len(queue):
            pool = self._take_slot(slots, excluded_backends, subset)
            if pool is not None:
                return pool
        waiter = SlotWaiter(excluded_backends, subset)
        if not queue.push(organisation, weight, waiter):
            return None
        await self._wait_for_slot(
            slots, queue, organisation, waiter, service.timeout_ms // SLOT_WAIT_TIMEOUT_DIVISOR
        )
        return waiter.pool

    def acquire_slot_without_authority(
        self, service: Service, excluded_backends: frozenset[str]
    ) -> SlotPool | None:
        """Return a pool for a request on an open route while this VM has no authority.

        Each backend server gets one such request at a time, in addition to its granted slots.
        """
        slots = self.coordinator.node.slots.services.get(service.name)
        now_ms = self.coordinator.clock.now_ms()
        for pool in slots.pools if slots is not None else []:
            available = pool.in_use < MAX_SLOTS_IN_USE_WITHOUT_AUTHORITY and pool.is_usable(now_ms)
            if available and pool.backend.name not in excluded_backends:
                pool.in_use += 1
                return pool
        return None

    def release_slot(self, service: Service, pool: SlotPool) -> None:
        """Release a slot, and give it to a waiting request if there is one."""
        pool.in_use -= 1
        if service.name in self.queues:
            self._assign_slots(service.name)

    def assign_free_slots(self) -> None:
        """Give the slots that are free now to waiting requests."""
        for service_name, queue in self.queues.items():
            if len(queue):
                self._assign_slots(service_name)

    async def _wait_for_slot(
        self,
        slots: ServiceSlots,
        queue: FairQueue[SlotWaiter],
        organisation: str,
        waiter: SlotWaiter,
        timeout_ms: int,
    ) -> None:
        slots.waiting[waiter.subset] += 1
        self.coordinator.request_loans()
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await waiter.event.wait()
        except BaseException:
            if waiter.pool is not None:
                waiter.pool.in_use -= 1
            raise
        finally:
            slots.waiting[waiter.subset] -= 1
            if waiter.pool is None:
                queue.remove(organisation, waiter)

    def _assign_slots(self, service_name: str) -> None:
        slots = self.coordinator.node.slots.services.get(service_name)
        queue = self.queues[service_name]
        if slots is None:
            return
        while (waiter := queue.peek()) is not None:
            pool = self._take_slot(slots, waiter.excluded_backends, waiter.subset)
            if pool is None:
                return
            queue.pop()
            waiter.pool = pool
            waiter.event.set()

    def _take_slot(
        self, slots: ServiceSlots, excluded_backends: frozenset[str], subset: BackendSubset
    ) -> SlotPool | None:
        """Take a slot, preferably not one of ``excluded_backends``; return None if none is free."""
        now_ms = self.coordinator.clock.now_ms()
        if not self.coordinator.lease_state.may_act(now_ms):
            return None
        pool = slots.choose_pool(now_ms, excluded_backends, subset) or slots.choose_pool(
            now_ms, NO_EXCLUDED_BACKENDS, subset
        )
        if pool is not None:
            pool.in_use += 1
        return pool
