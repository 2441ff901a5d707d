"""Nodes on a virtual clock, joined by a store and messages that a test may harm.

The nodes are the daemon's own; only time, the store and the wire are fakes. Every step checks what
must always hold.
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
    check_shares,
    check_slots,
    check_windows,
    in_force_numbers,
)
from tests.support.store import FakeStore, no_sleep, run_now

STEP_MS = 10
TICK_MS = 50
NEAR_MS = (1, 3)
FAR_MS = (20, 60)
STORE_MS = (2, 20)
REGIONS = ("north", "mid", "south")


class Due(NamedTuple):
    """Something that happens at ``at_ms``; ``order`` breaks ties."""

    at_ms: int
    order: int
    action: Callable[[], None]


class VmClock:
    """A VM's clock: the model's time with an offset."""

    def __init__(self, model: "Model", offset_ms: int) -> None:
        self.model = model
        self.offset_ms = offset_ms

    def now_ms(self) -> int:
        """Return the VM's time."""
        return self.model.now_ms + self.offset_ms


class Vm:
    """One VM of the model."""

    def __init__(self, model: "Model", name: str, region: str, incarnation: int) -> None:
        self.model = model
        self.name = name
        self.region = region
        self.incarnation = incarnation
        self.frozen = False
        self.killed = False
        self.urgent = False
        self.waiting: list[Callable[[], None]] = []
        self.clock = VmClock(model, model.randomness.randrange(1, 10**9))
        seed = model.randomness.getrandbits(32)
        settings = make_settings(name, region, model.seat_limit)
        self.node = Node(settings, self.clock, random.Random(seed), self.reachable)

    def reachable(self) -> tuple[str, ...]:
        """Return every other VM."""
        return tuple(name for name in self.model.vms if name != self.name)

    def run(self, action: Callable[[], None]) -> None:
        """Run an action now, or after the VM is resumed; a killed VM forgets it."""
        if self.killed:
            return
        if self.frozen:
            self.waiting.append(action)
        else:
            action()

    def may_act(self) -> bool:
        """Tell whether the VM would act now."""
        running = not self.frozen and not self.killed
        return running and self.node.lease_state.may_act(self.clock.now_ms())


class Model:
    """Some VMs, a store, the wire between them and the checks."""

    def __init__(self, seed: int, count: int, seat_limit: int = 12) -> None:
        self.randomness = random.Random(seed)
        self.seed = seed
        self.seat_limit = seat_limit
        self.now_ms = 0
        self.queue: list[Due] = []
        self.order = itertools.count()
        self.store = FakeStore()
        self.store_delay_ms = 0
        self.vms: dict[str, Vm] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.store_cuts: set[str] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay_ms = 0
        self.trackers: list[AckTracker] = []
        self.floor = 0
        self.granted: dict[str, list[int]] = {}
        self.filters: list[Callable[[str, str, Message], bool]] = []
        self.broken: str | None = None
        for index in range(count):
            self.start(f"vm-{index + 1}", REGIONS[index % len(REGIONS)])

    def start(self, name: str, region: str) -> None:
        """Start a VM, or start it again under its old name."""
        old = self.vms.get(name)
        if old is not None:
            old.killed = True
        self.vms[name] = Vm(self, name, region, self.randomness.getrandbits(60))

    def restart(self, name: str) -> None:
        """Kill a VM and start it again without any memory."""
        self.start(name, self.vms[name].region)

    def kill(self, name: str) -> None:
        """End a VM for good."""
        self.vms[name].killed = True

    def freeze(self, name: str) -> None:
        """Stop a VM in its tracks; its clock goes on."""
        self.vms[name].frozen = True

    def resume(self, name: str) -> None:
        """Let a frozen VM go on with what it was about to do."""
        vm = self.vms[name]
        vm.frozen = False
        waiting, vm.waiting = vm.waiting, []
        for action in waiting:
            vm.run(action)

    def cut_region(self, region: str, with_store: bool) -> None:
        """Cut a region off from the others, and from the store unless it stands there."""
        inside = {name for name, vm in self.vms.items() if vm.region == region}
        for a, b in itertools.permutations(self.vms, 2):
            if (a in inside) != (b in inside):
                self.cuts.add((a, b))
        self.store_cuts |= inside if not with_store else set(self.vms) - inside

    def heal(self) -> None:
        """End every fault but the death of VMs."""
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
        """Let time pass, checking at every step."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> bool:
        """Let time pass until a condition holds; False when it never did."""
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms:
            if condition():
                return True
            self.step()
        return condition()

    def step(self) -> None:
        """Let one step of time pass."""
        self.now_ms += STEP_MS
        while self.queue and self.queue[0].at_ms <= self.now_ms:
            heapq.heappop(self.queue).action()
        if self.now_ms % TICK_MS == 0:
            for vm in list(self.vms.values()):
                if not vm.frozen and not vm.killed:
                    self.carry_out(vm, vm.node.tick(vm.clock.now_ms()))
        self.check()

    def later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        heapq.heappush(self.queue, Due(self.now_ms + delay_ms, next(self.order), action))

    def carry_out(self, vm: Vm, outputs: list[Output]) -> None:
        """Carry out what a node decided."""
        for output in outputs:
            if isinstance(output, Send):
                self._send(vm, output)
            elif isinstance(output, ReadHead):
                self._read(vm, output.started_ms)
            elif isinstance(output, WriteProposal):
                delay_ms = self.randomness.randint(*STORE_MS) + self.store_delay_ms
                self.later(delay_ms, lambda v=vm, o=output: v.run(lambda: self._propose(v, o)))
            elif isinstance(output, WriteShiftStep):
                delay_ms = self.randomness.randint(*STORE_MS) + self.store_delay_ms
                self.later(delay_ms, lambda v=vm, o=output: v.run(lambda: self._submit(v, o)))

    def _submit(self, vm: Vm, output: WriteShiftStep) -> None:
        change = output.change
        operation_id = f"shift-{next(self.order)}"
        self.write(vm, operation_id, describe_change(change), make_change_edit(change))
        vm.node.shift_step_in_progress = False

    def change(self, name: str, change: Change, operation_id: str = "") -> Outcome:
        """Submit an operator's change through a VM."""
        vm = self.vms[name]
        operation_id = operation_id or f"operation-{next(self.order)}"
        outcome = self.write(vm, operation_id, describe_change(change), make_change_edit(change))
        if isinstance(outcome, Written):
            self.trackers.append(vm.node.track_acks(outcome.head))
        return outcome

    def write(self, vm: Vm, operation_id: str, summary: str, edit: Any) -> Outcome:
        """Write through the daemon's own writer, without delay."""
        store = self.store if vm.name not in self.store_cuts else _downed()
        platform = PlatformClients(store, store, store)

        async def read_head() -> StoredHead:
            row = await platform.table.read(HEAD_KEY)
            if row.version == 0:
                return StoredHead(0, None, Configuration())
            head = load_head(row.value)
            return StoredHead(row.version, head, await _load(platform, head))

        writer = HeadWriter(platform, read_head, self.randomness, sleep=no_sleep)
        outcome = run_now(writer.write(operation_id, summary, edit))
        if isinstance(outcome, Written):
            self.carry_out(vm, vm.node.apply_head(outcome.head, outcome.configuration))
        return outcome

    def head_number(self) -> int:
        """Return the number of the head in the table."""
        row = self.store.rows.get(HEAD_KEY)
        return load_head(row.value).number if row is not None else 0

    def acting(self) -> list[Vm]:
        """Return the VMs that would act now."""
        return [vm for vm in self.vms.values() if vm.may_act()]

    def is_settled(self) -> bool:
        """Tell whether every living VM is seated, acts and has its share."""
        living = [vm for vm in self.vms.values() if not vm.killed]
        if len(self.acting()) != len(living):
            return False
        head = living[0].node.lease_state.head
        assert head is not None
        shares = [seat.share for seat in head.seats]
        return len(head.seats) == len(living) and sum(shares) == WHOLE_SHARE_MILLIONTHS

    def take(self, name: str, organisation: str, service: str) -> bool:
        """Let a caller of a VM ask for a token; remember it if granted."""
        vm = self.vms[name]
        if not vm.may_act():
            return False
        now_ms = vm.clock.now_ms()
        bucket = vm.node.rates.find(organisation, service)
        if bucket is None:
            return False
        bucket.record_arrival(now_ms)
        if not vm.node.rates.take_token(bucket, now_ms):
            return False
        self.granted.setdefault(bucket.resource, []).append(self.now_ms)
        return True

    def request(
        self, name: str, organisation: str, service: str, done: Callable[[bool], None]
    ) -> None:
        """Let a caller ask for a token and wait for one as the daemon's filter does."""
        vm = self.vms[name]
        bucket = vm.node.rates.find(organisation, service) if vm.may_act() else None
        if bucket is None:
            done(False)
            return
        now_ms = vm.clock.now_ms()
        if self.take(name, organisation, service):
            done(True)
            return
        hopeless = vm.node.rates.is_wait_too_long(bucket, TOKEN_WAIT_MS, now_ms)
        if len(bucket.waiters) >= max_token_waiters(bucket) or hopeless:
            done(False)
            return
        self._wait_for_token(vm, bucket, done)

    def _wait_for_token(self, vm: Vm, bucket: Bucket, done: Callable[[bool], None]) -> None:
        def wake() -> None:
            self.granted.setdefault(bucket.resource, []).append(self.now_ms)
            done(True)

        def give_up() -> None:
            if not waiter.granted:
                bucket.waiters.remove(waiter)
                done(False)

        waiter = Waiter(wake)
        bucket.waiters.append(waiter)
        if not vm.urgent:
            vm.urgent = True
            self.later(0, lambda: vm.run(lambda: self._request_loans(vm)))
        self.later(TOKEN_WAIT_MS, give_up)

    def _request_loans(self, vm: Vm) -> None:
        vm.urgent = False
        self.carry_out(vm, vm.node.request_loans(vm.clock.now_ms()))

    def check(self) -> None:
        """Check what must hold at every moment; raise ``AssertionError``."""
        self.floor = max([self.floor, *in_force_numbers(self)])
        check_heads(self)
        check_shares(self)
        check_slots(self)

    def check_granted(self, rate: float, burst: float) -> None:
        """Check every window of the grants against rate and burst."""
        check_windows(self, rate, burst)

    def _send(self, vm: Vm, output: Send) -> None:
        target = self.vms.get(output.vm)
        if target is None or (vm.name, output.vm) in self.cuts:
            return
        if any(harm(vm.name, output.vm, output.message) for harm in self.filters):
            return
        copies = 1 + (self.randomness.random() < self.duplication)
        for _ in range(copies):
            if self.randomness.random() < self.loss:
                continue
            span = NEAR_MS if vm.region == target.region else FAR_MS
            delay_ms = self.randomness.randint(*span)
            delay_ms += self.randomness.randint(0, self.extra_delay_ms)
            data = encode_envelope(Envelope(vm.name, vm.incarnation, output.message))
            self.later(delay_ms, lambda d=data, n=output.vm, s=vm.name: self._arrive(s, n, d))

    def _arrive(self, sender: str, name: str, data: bytes) -> None:
        if (sender, name) in self.cuts:
            return
        vm = self.vms[name]
        envelope = decode_envelope(data)
        vm.run(lambda: self.carry_out(vm, vm.node.on_envelope(envelope, vm.clock.now_ms())))

    def _read(self, vm: Vm, started_ms: int) -> None:
        delay_ms = self.randomness.randint(*STORE_MS) + self.store_delay_ms
        self.later(delay_ms, lambda: self._read_takes_place(vm, started_ms))

    def _read_takes_place(self, vm: Vm, started_ms: int) -> None:
        back_ms = self.randomness.randint(*STORE_MS) + self.store_delay_ms
        if vm.name in self.store_cuts or self.store.down:
            self.later(back_ms, lambda: vm.run(lambda: self._read_failed(vm)))
            return
        row = run_now(self.store.read(HEAD_KEY))
        head = load_head(row.value) if row.version else None
        configuration = Configuration()
        if head is not None:
            configuration = run_now(
                _load(PlatformClients(self.store, self.store, self.store), head)
            )

        def answer() -> None:
            now_ms = vm.clock.now_ms()
            self.carry_out(vm, vm.node.on_head_read(started_ms, head, configuration, now_ms))

        self.later(back_ms, lambda: vm.run(answer))

    def _read_failed(self, vm: Vm) -> None:
        self.carry_out(vm, vm.node.on_head_read_failed(vm.clock.now_ms()))

    def _propose(self, vm: Vm, output: WriteProposal) -> None:
        proposal = output.proposal
        operation_id = f"seats-{next(self.order)}"
        self.write(vm, operation_id, proposal.summary, make_proposal_edit(proposal))
        vm.node.proposal_in_progress = False


async def _load(platform: PlatformClients, head: Head) -> Configuration:
    if not head.configuration_id:
        return Configuration()
    return load_configuration(await platform.objects.get(head.configuration_id), "model")


def _downed() -> FakeStore:
    store = FakeStore()
    store.down = True
    return store


def make_settings(name: str, region: str, seats: int) -> Settings:
    """Return settings of one VM of the model."""
    address = "127.0.0.1:1"
    return Settings(
        vm=VmSettings(name, region, f"{region}-1", address, address, address),
        platform=PlatformSettings("", "", ""),
        fleet=FleetSettings(""),
        operators=OperatorSettings("", ""),
        timing=TimingSettings(),
        seats=seats,
    )
