"""Waiting for a slot: fair between organisations, bounded in time and number."""

import anyio

from berylbank._internal.models.configuration import Service
from berylbankd._internal.backends.fair_queue import FairQueue
from berylbankd._internal.backends.slots import ANY_SIDE, ServiceSlots, Side, SlotPool
from berylbankd._internal.coordinator import Coordinator

MAX_WAITING_PER_ORGANISATION = 64
WAIT_PART = 4
OPEN_ALLOWANCE = 1
NONE_TRIED: frozenset[str] = frozenset()


class SlotWaiter:
    """A request that waits for a slot; ``pool`` is set once it has one."""

    def __init__(self, excluded: frozenset[str], side: Side) -> None:
        self.excluded = excluded
        self.side = side
        self.event = anyio.Event()
        self.pool: SlotPool | None = None


class SlotGate:
    """Hands the slots that this VM holds to the requests that wait here."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.queues: dict[str, FairQueue[SlotWaiter]] = {}
        coordinator.update_callbacks.append(self.serve_all)

    async def acquire(
        self,
        service: Service,
        organisation: str,
        weight: int,
        excluded: frozenset[str],
        side: Side = ANY_SIDE,
    ) -> SlotPool | None:
        """Return a pool of a side with one more slot in use; None when none came free in time."""
        slots = self.coordinator.node.slots.services.get(service.name)
        if slots is None:
            return None
        queue = self.queues.setdefault(service.name, FairQueue(MAX_WAITING_PER_ORGANISATION))
        if not len(queue):
            pool = self._take(slots, excluded, side)
            if pool is not None:
                return pool
        waiter = SlotWaiter(excluded, side)
        if not queue.push(organisation, weight, waiter):
            return None
        await self._wait(slots, queue, organisation, waiter, service.timeout_ms // WAIT_PART)
        return waiter.pool

    def take_open_allowance(self, service: Service, excluded: frozenset[str]) -> SlotPool | None:
        """Return a pool for a request on an open route while this VM has no authority.

        One request at a time goes to each backend server, outside its grants.
        """
        slots = self.coordinator.node.slots.services.get(service.name)
        now_ms = self.coordinator.clock.now_ms()
        for pool in slots.pools if slots is not None else []:
            free = pool.in_use < OPEN_ALLOWANCE and pool.is_usable(now_ms)
            if free and pool.backend.name not in excluded:
                pool.in_use += 1
                return pool
        return None

    def release(self, service: Service, pool: SlotPool) -> None:
        """Give a slot back and hand it to whoever waits."""
        pool.in_use -= 1
        if service.name in self.queues:
            self._serve(service.name)

    def serve_all(self) -> None:
        """Hand out whatever slots are free now."""
        for name, queue in self.queues.items():
            if len(queue):
                self._serve(name)

    async def _wait(
        self,
        slots: ServiceSlots,
        queue: FairQueue[SlotWaiter],
        organisation: str,
        waiter: SlotWaiter,
        wait_ms: int,
    ) -> None:
        slots.waiting[waiter.side] += 1
        self.coordinator.request_loans()
        try:
            with anyio.move_on_after(wait_ms / 1000):
                await waiter.event.wait()
        except BaseException:
            if waiter.pool is not None:
                waiter.pool.in_use -= 1
            raise
        finally:
            slots.waiting[waiter.side] -= 1
            if waiter.pool is None:
                queue.remove(organisation, waiter)

    def _serve(self, name: str) -> None:
        slots = self.coordinator.node.slots.services.get(name)
        queue = self.queues[name]
        if slots is None:
            return
        while (waiter := queue.peek()) is not None:
            pool = self._take(slots, waiter.excluded, waiter.side)
            if pool is None:
                return
            queue.pop()
            waiter.pool = pool
            waiter.event.set()

    def _take(self, slots: ServiceSlots, excluded: frozenset[str], side: Side) -> SlotPool | None:
        """Take a slot, of a server that was not tried before where there is one."""
        now_ms = self.coordinator.clock.now_ms()
        if not self.coordinator.lease_state.may_act(now_ms):
            return None
        pool = slots.choose(now_ms, excluded, side) or slots.choose(now_ms, NONE_TRIED, side)
        if pool is not None:
            pool.in_use += 1
        return pool
