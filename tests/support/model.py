"""Simulation of a fleet on a virtual clock, with faults of VMs, store and network.

Each VM runs the daemon's own coordination code; only time, the store and the network are simulated.
The invariants are checked after every step of time.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from berylbank._internal.models.changes import Change, describe_change
from berylbank._internal.models.configuration import Configuration, load_configuration
from berylbank._internal.models.head import WHOLE_SHARE_MILLIONTHS, Head, load_head
from berylbank._internal.settings import (
    FleetSettings,
    OperatorSettings,
    PlatformSettings,
    Settings,
    TimingSettings,
    VmSettings,
)
from berylbank._internal.wire.codec import decode_envelope, encode_envelope
from berylbank._internal.wire.messages import Envelope, Message
from berylbankd._internal.changes.head_writer import (
    HEAD_KEY,
    HeadWriter,
    Outcome,
    PlatformClients,
    StoredHead,
    Written,
)
from berylbankd._internal.coordination.ack_tracker import AckTracker
from berylbankd._internal.coordination.lease_state import ReadHead
from berylbankd._internal.coordinator import make_change_edit, make_proposal_edit
from berylbankd._internal.entry.filters import TOKEN_WAIT_MS, max_token_waiters
from berylbankd._internal.node import Node, Output, Send, WriteProposal, WriteShiftStep
from berylbankd._internal.rates.bucket import Bucket, Waiter
from tests.support.checks import (
    check_heads,
    check_rate_windows,
    check_shares,
    check_slots,
    list_in_force_numbers,
)
from tests.support.store import FakeStore, run_without_waiting, skip_sleep

STEP_MS = 10
TICK_INTERVAL_MS = 50
SAME_REGION_DELAY_MS = (1, 3)
CROSS_REGION_DELAY_MS = (20, 60)
STORE_DELAY_MS = (2, 20)
REGIONS = ("north", "mid", "south")


class ScheduledAction(NamedTuple):
    """An action due at ``at_ms``; ``order`` decides among those due at the same time."""

    at_ms: int
    order: int
    action: Callable[[], None]


class VmClock:
    """A VM's clock: the simulated time plus a constant offset."""

    def __init__(self, model: "Model", offset_ms: int) -> None:
        self.model = model
        self.offset_ms = offset_ms

    def now_ms(self) -> int:
        """Return the time on the VM's clock."""
        return self.model.now_ms + self.offset_ms


class Vm:
    """One simulated VM.

    ``deferred_actions`` holds what became due while the VM was frozen.
    """

    def __init__(self, model: "Model", name: str, region: str, incarnation: int) -> None:
        self.model = model
        self.name = name
        self.region = region
        self.incarnation = incarnation
        self.frozen = False
        self.killed = False
        self.loan_request_scheduled = False
        self.deferred_actions: list[Callable[[], None]] = []
        self.clock = VmClock(model, model.randomness.randrange(1, 10**9))
        seed = model.randomness.getrandbits(32)
        settings = make_settings(name, region, model.seat_limit)
        self.node = Node(settings, self.clock, random.Random(seed), self.other_vms)

    def other_vms(self) -> tuple[str, ...]:
        """Return the names of all other VMs."""
        return tuple(name for name in self.model.vms if name != self.name)

    def run_or_defer(self, action: Callable[[], None]) -> None:
        """Run an action now, or on resumption if the VM is frozen; drop it if the VM was killed."""
        if self.killed:
            return
        if self.frozen:
            self.deferred_actions.append(action)
        else:
            action()

    def may_act(self) -> bool:
        """Tell whether the VM runs and may act on its configuration."""
        running = not self.frozen and not self.killed
        return running and self.node.lease_state.may_act(self.clock.now_ms())


class Model:
    """A simulated fleet: VMs, their store, the network between them, and the invariants.

    ``cuts`` holds the pairs of sender and receiver whose messages are lost, ``store_cuts`` the VMs
    that can't reach the store. A message is dropped if any of ``filters`` returns True for sender,
    receiver and message. ``loss`` and ``duplication`` are probabilities per message, and
    ``extra_delay_ms`` is the most that is added to its delay. ``in_force_number`` is the highest
    number of a head in force, ``grant_times_ms`` holds when tokens were granted, by resource.
    """

    def __init__(self, seed: int, count: int, seat_limit: int = 12) -> None:
        self.randomness = random.Random(seed)
        self.seed = seed
        self.seat_limit = seat_limit
        self.now_ms = 0
        self.scheduled_actions: list[ScheduledAction] = []
        self.sequence = itertools.count()
        self.store = FakeStore()
        self.store_delay_ms = 0
        self.vms: dict[str, Vm] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.store_cuts: set[str] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay_ms = 0
        self.ack_trackers: list[AckTracker] = []
        self.in_force_number = 0
        self.grant_times_ms: dict[str, list[int]] = {}
        self.filters: list[Callable[[str, str, Message], bool]] = []
        self.broken: str | None = None
        for index in range(count):
            self.start_vm(f"vm-{index + 1}", REGIONS[index % len(REGIONS)])

    def start_vm(self, name: str, region: str) -> None:
        """Start a VM; one that has this name already is killed first."""
        previous = self.vms.get(name)
        if previous is not None:
            previous.killed = True
        self.vms[name] = Vm(self, name, region, self.randomness.getrandbits(60))

    def restart(self, name: str) -> None:
        """Kill a VM and start it again with empty state."""
        self.start_vm(name, self.vms[name].region)

    def kill(self, name: str) -> None:
        """Kill a VM permanently."""
        self.vms[name].killed = True

    def freeze(self, name: str) -> None:
        """Suspend a VM; its clock goes on."""
        self.vms[name].frozen = True

    def resume(self, name: str) -> None:
        """Resume a frozen VM and run its deferred actions."""
        vm = self.vms[name]
        vm.frozen = False
        actions, vm.deferred_actions = vm.deferred_actions, []
        for action in actions:
            vm.run_or_defer(action)

    def cut_region(self, region: str, with_store: bool) -> None:
        """Cut a region off from the other regions.

        The store stays reachable for this region alone with ``with_store``, else for the others.
        """
        inside = {name for name, vm in self.vms.items() if vm.region == region}
        for sender, receiver in itertools.permutations(self.vms, 2):
            if (sender in inside) != (receiver in inside):
                self.cuts.add((sender, receiver))
        self.store_cuts |= inside if not with_store else set(self.vms) - inside

    def heal(self) -> None:
        """End every fault; killed VMs stay down."""
        self.cuts.clear()
        self.store_cuts.clear()
        self.store.down = False
        self.store.lose_answers = 0
        self.store_delay_ms = 0
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay_ms = 0
        self.filters.clear()
        for name, vm in self.vms.items():
            if vm.frozen:
                self.resume(name)

    def run(self, duration_ms: int) -> None:
        """Advance the time by ``duration_ms``."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> bool:
        """Advance the time until ``condition`` holds; return False if ``limit_ms`` passes first."""
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms:
            if condition():
                return True
            self.step()
        return condition()

    def step(self) -> None:
        """Advance the time by one step: run due actions, tick the VMs, check the invariants."""
        self.now_ms += STEP_MS
        while self.scheduled_actions and self.scheduled_actions[0].at_ms <= self.now_ms:
            heapq.heappop(self.scheduled_actions).action()
        if self.now_ms % TICK_INTERVAL_MS == 0:
            for vm in list(self.vms.values()):
                if not vm.frozen and not vm.killed:
                    self.execute_outputs(vm, vm.node.tick(vm.clock.now_ms()))
        self.check_invariants()

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(
            self.scheduled_actions,
            ScheduledAction(self.now_ms + delay_ms, next(self.sequence), action),
        )

    def execute_outputs(self, vm: Vm, outputs: list[Output]) -> None:
        """Execute the outputs of a VM's node: messages, reads and writes."""
        for output in outputs:
            if isinstance(output, Send):
                self._send_message(vm, output)
            elif isinstance(output, ReadHead):
                self._schedule_head_read(vm, output.started_ms)
            elif isinstance(output, WriteProposal):
                delay_ms = self.randomness.randint(*STORE_DELAY_MS) + self.store_delay_ms
                self.schedule(
                    delay_ms,
                    lambda v=vm, o=output: v.run_or_defer(lambda: self._write_proposal(v, o)),
                )
            elif isinstance(output, WriteShiftStep):
                delay_ms = self.randomness.randint(*STORE_DELAY_MS) + self.store_delay_ms
                self.schedule(
                    delay_ms,
                    lambda v=vm, o=output: v.run_or_defer(lambda: self._write_shift_step(v, o)),
                )

    def _write_shift_step(self, vm: Vm, output: WriteShiftStep) -> None:
        change = output.change
        operation_id = f"shift-{next(self.sequence)}"
        self.write_head(vm, operation_id, describe_change(change), make_change_edit(change))
        vm.node.shift_step_in_progress = False

    def change(self, name: str, change: Change, operation_id: str = "") -> Outcome:
        """Write an operator's change through a VM and track its acknowledgements."""
        vm = self.vms[name]
        operation_id = operation_id or f"operation-{next(self.sequence)}"
        outcome = self.write_head(
            vm, operation_id, describe_change(change), make_change_edit(change)
        )
        if isinstance(outcome, Written):
            self.ack_trackers.append(vm.node.track_acks(outcome.head))
        return outcome

    def write_head(self, vm: Vm, operation_id: str, summary: str, edit: Any) -> Outcome:
        """Write a new head by the daemon's own writer, without delay, and apply it on the VM."""
        store = self.store if vm.name not in self.store_cuts else _make_unavailable_store()
        platform = PlatformClients(store, store, store)

        async def read_head() -> StoredHead:
            row = await platform.table.read(HEAD_KEY)
            if row.version == 0:
                return StoredHead(0, None, Configuration())
            head = load_head(row.value)
            return StoredHead(row.version, head, await _load_stored_configuration(platform, head))

        writer = HeadWriter(platform, read_head, self.randomness, sleep=skip_sleep)
        outcome = run_without_waiting(writer.write(operation_id, summary, edit))
        if isinstance(outcome, Written):
            self.execute_outputs(vm, vm.node.apply_head(outcome.head, outcome.configuration))
        return outcome

    def head_number(self) -> int:
        """Return the number of the stored head, or 0 without one."""
        row = self.store.rows.get(HEAD_KEY)
        return load_head(row.value).number if row is not None else 0

    def list_acting_vms(self) -> list[Vm]:
        """Return the VMs that may act now."""
        return [vm for vm in self.vms.values() if vm.may_act()]

    def is_settled(self) -> bool:
        """Tell whether every running VM is seated and may act, and all shares are assigned."""
        living = [vm for vm in self.vms.values() if not vm.killed]
        if len(self.list_acting_vms()) != len(living):
            return False
        head = living[0].node.lease_state.head
        assert head is not None
        shares = [seat.share for seat in head.seats]
        return len(head.seats) == len(living) and sum(shares) == WHOLE_SHARE_MILLIONTHS

    def take_token(self, name: str, organisation: str, service: str) -> bool:
        """Take a token for a request to a VM, without waiting, and record the time of the grant."""
        vm = self.vms[name]
        if not vm.may_act():
            return False
        now_ms = vm.clock.now_ms()
        bucket = vm.node.rate_limiter.find(organisation, service)
        if bucket is None:
            return False
        bucket.record_arrival(now_ms)
        if not vm.node.rate_limiter.take_token(bucket, now_ms):
            return False
        self.grant_times_ms.setdefault(bucket.resource, []).append(self.now_ms)
        return True

    def request(
        self, name: str, organisation: str, service: str, on_result: Callable[[bool], None]
    ) -> None:
        """Request a token from a VM and wait for it under the same limits as the daemon's filter.

        Calls ``on_result`` once with whether a token was granted.
        """
        vm = self.vms[name]
        bucket = vm.node.rate_limiter.find(organisation, service) if vm.may_act() else None
        if bucket is None:
            on_result(False)
            return
        now_ms = vm.clock.now_ms()
        if self.take_token(name, organisation, service):
            on_result(True)
            return
        wait_too_long = vm.node.rate_limiter.is_wait_too_long(bucket, TOKEN_WAIT_MS, now_ms)
        if len(bucket.waiters) >= max_token_waiters(bucket) or wait_too_long:
            on_result(False)
            return
        self._wait_for_token(vm, bucket, on_result)

    def _wait_for_token(self, vm: Vm, bucket: Bucket, on_result: Callable[[bool], None]) -> None:
        def wake() -> None:
            self.grant_times_ms.setdefault(bucket.resource, []).append(self.now_ms)
            on_result(True)

        def give_up() -> None:
            if not waiter.granted:
                bucket.waiters.remove(waiter)
                on_result(False)

        waiter = Waiter(wake)
        bucket.waiters.append(waiter)
        if not vm.loan_request_scheduled:
            vm.loan_request_scheduled = True
            self.schedule(0, lambda: vm.run_or_defer(lambda: self._request_loans(vm)))
        self.schedule(TOKEN_WAIT_MS, give_up)

    def _request_loans(self, vm: Vm) -> None:
        vm.loan_request_scheduled = False
        self.execute_outputs(vm, vm.node.request_loans(vm.clock.now_ms()))

    def check_invariants(self) -> None:
        """Check the invariants; raise AssertionError if one is violated."""
        self.in_force_number = max([self.in_force_number, *list_in_force_numbers(self)])
        check_heads(self)
        check_shares(self)
        check_slots(self)

    def check_granted(self, rate: float, burst: float) -> None:
        """Check that no window of time was granted more than rate and burst allow."""
        check_rate_windows(self, rate, burst)

    def _send_message(self, vm: Vm, output: Send) -> None:
        target = self.vms.get(output.vm)
        if target is None or (vm.name, output.vm) in self.cuts:
            return
        if any(drops_message(vm.name, output.vm, output.message) for drops_message in self.filters):
            return
        copies = 1 + (self.randomness.random() < self.duplication)
        for _ in range(copies):
            if self.randomness.random() < self.loss:
                continue
            delay_range_ms = (
                SAME_REGION_DELAY_MS if vm.region == target.region else CROSS_REGION_DELAY_MS
            )
            delay_ms = self.randomness.randint(*delay_range_ms)
            delay_ms += self.randomness.randint(0, self.extra_delay_ms)
            data = encode_envelope(Envelope(vm.name, vm.incarnation, output.message))
            self.schedule(
                delay_ms, lambda d=data, n=output.vm, s=vm.name: self._deliver_message(s, n, d)
            )

    def _deliver_message(self, sender: str, name: str, data: bytes) -> None:
        if (sender, name) in self.cuts:
            return
        vm = self.vms[name]
        envelope = decode_envelope(data)
        vm.run_or_defer(
            lambda: self.execute_outputs(vm, vm.node.on_envelope(envelope, vm.clock.now_ms()))
        )

    def _schedule_head_read(self, vm: Vm, started_ms: int) -> None:
        delay_ms = self.randomness.randint(*STORE_DELAY_MS) + self.store_delay_ms
        self.schedule(delay_ms, lambda: self._read_head(vm, started_ms))

    def _read_head(self, vm: Vm, started_ms: int) -> None:
        answer_delay_ms = self.randomness.randint(*STORE_DELAY_MS) + self.store_delay_ms
        if vm.name in self.store_cuts or self.store.down:
            self.schedule(
                answer_delay_ms, lambda: vm.run_or_defer(lambda: self._report_read_failure(vm))
            )
            return
        row = run_without_waiting(self.store.read(HEAD_KEY))
        head = load_head(row.value) if row.version else None
        configuration = Configuration()
        if head is not None:
            configuration = run_without_waiting(
                _load_stored_configuration(
                    PlatformClients(self.store, self.store, self.store), head
                )
            )

        def apply_answer() -> None:
            now_ms = vm.clock.now_ms()
            self.execute_outputs(vm, vm.node.on_head_read(started_ms, head, configuration, now_ms))

        self.schedule(answer_delay_ms, lambda: vm.run_or_defer(apply_answer))

    def _report_read_failure(self, vm: Vm) -> None:
        self.execute_outputs(vm, vm.node.on_head_read_failed(vm.clock.now_ms()))

    def _write_proposal(self, vm: Vm, output: WriteProposal) -> None:
        proposal = output.proposal
        operation_id = f"seats-{next(self.sequence)}"
        self.write_head(vm, operation_id, proposal.summary, make_proposal_edit(proposal))
        vm.node.proposal_in_progress = False


async def _load_stored_configuration(platform: PlatformClients, head: Head) -> Configuration:
    if not head.configuration_id:
        return Configuration()
    return load_configuration(await platform.objects.get(head.configuration_id), "model")


def _make_unavailable_store() -> FakeStore:
    store = FakeStore()
    store.down = True
    return store


def make_settings(name: str, region: str, seats: int) -> Settings:
    """Return the settings of one simulated VM."""
    address = "127.0.0.1:1"
    return Settings(
        vm=VmSettings(name, region, f"{region}-1", address, address, address),
        platform=PlatformSettings("", "", ""),
        fleet=FleetSettings(""),
        operators=OperatorSettings("", ""),
        timing=TimingSettings(),
        seats=seats,
    )
