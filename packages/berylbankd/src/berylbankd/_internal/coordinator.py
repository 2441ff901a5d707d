"""Executes the outputs of a :class:`Node`: sends messages, reads and writes the store, runs timers.

One task passes incoming messages to the node. Request filters take tokens and slots from the node
directly, without waiting, as they run in the same event loop.
"""

import random
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from berylbank._internal.exceptions import (
    BerylbankError,
    ChangeRefusedError,
    InvalidDocumentError,
)
from berylbank._internal.models.changes import (
    Change,
    ForgetVm,
    StepShift,
    apply_change,
    describe_change,
)
from berylbank._internal.models.configuration import Configuration, load_configuration
from berylbank._internal.models.head import Head, load_head
from berylbank._internal.models.seating import forget_vm
from berylbank._internal.settings import Settings
from berylbank._internal.store.protocols import ListedVm
from berylbank._internal.utils.clock import Clock
from berylbank._internal.wire.messages import Envelope
from berylbankd._internal.changes.head_writer import (
    HEAD_KEY,
    HeadEdit,
    HeadUpdate,
    HeadWriter,
    Outcome,
    PlatformClients,
    StoredHead,
    Written,
)
from berylbankd._internal.channel.channel import Channel
from berylbankd._internal.coordination.ack_tracker import AckTracker
from berylbankd._internal.coordination.lease_state import ReadHead
from berylbankd._internal.coordination.seat_planner import HeadProposal
from berylbankd._internal.node import Connect, Node, Output, Send, WriteProposal, WriteShiftStep

TICK_INTERVAL_MS = 50
VM_LIST_INTERVAL_MS = 5_000
MAX_INBOX_MESSAGES = 4_096


class Coordinator:
    """Runs the node of this VM and the tasks that do its I/O.

    ``update_callbacks`` are called after every message and tick, as either may free tokens or
    slots for waiting requests. ``loans_requested`` is set when a request needs a loan before the
    next tick.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: PlatformClients,
        channel: Channel,
        randomness: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.platform = platform
        self.channel = channel
        self.randomness = randomness
        self.node = Node(settings, clock, randomness, lambda: tuple(channel.links))
        self.lease_state = self.node.lease_state
        self.head_writer = HeadWriter(platform, self.read_head, randomness)
        self.loans_requested = anyio.Event()
        self.group: TaskGroup | None = None
        self.last_logged_ready: bool | None = None
        self.update_callbacks: list[Callable[[], None]] = []
        self.inbox_sender, self.inbox = anyio.create_memory_object_stream[Envelope](
            MAX_INBOX_MESSAGES
        )

    async def run(self, group: TaskGroup) -> None:
        """Start the tasks in ``group``."""
        self.group = group
        for function in (
            self._run_inbox,
            self._run_ticks,
            self._run_loan_requests,
            self._run_vm_list,
        ):
            group.start_soon(function)

    def deliver(self, envelope: Envelope) -> None:
        """Queue a message from the channel; drop it if the inbox is full."""
        try:
            self.inbox_sender.send_nowait(envelope)
        except anyio.WouldBlock:
            self.channel.counters.dropped += 1

    def start_leaving(self) -> None:
        """Mark this VM as leaving in look-ups and announce it to the other VMs."""
        self.node.leaving = True
        self._execute(self.node.send_heartbeats())

    def request_loans(self) -> None:
        """Send loan requests for tokens or slots without waiting for the next tick."""
        self.loans_requested.set()

    def track_acks(self, head: Head) -> AckTracker:
        """Start to track whether ``head`` is accepted and in force, and push it at once."""
        tracker = self.node.track_acks(head)
        self._tick()
        return tracker

    async def read_head(self) -> StoredHead:
        """Read the head row and its configuration; may raise ``PlatformUnavailableError``."""
        row = await self.platform.table.read(HEAD_KEY)
        if row.version == 0:
            return StoredHead(0, None, Configuration())
        head = load_head(row.value)
        current = self.lease_state.head
        if current is not None and current.configuration_id == head.configuration_id:
            return StoredHead(row.version, head, self.lease_state.configuration)
        return StoredHead(row.version, head, await self._read_configuration(head))

    async def write(self, operation_id: str, summary: str, edit: HeadEdit) -> Outcome:
        """Write a change, and apply it on this VM as soon as it is written."""
        outcome = await self.head_writer.write(operation_id, summary, edit)
        if isinstance(outcome, Written):
            self._execute(self.node.apply_head(outcome.head, outcome.configuration))
        return outcome

    async def _read_configuration(self, head: Head) -> Configuration:
        if not head.configuration_id:
            return Configuration()
        data = await self.platform.objects.get(head.configuration_id)
        return load_configuration(data, f"configuration {head.configuration_id}")

    async def _run_inbox(self) -> None:
        """Pass queued messages to the node one by one; discard invalid ones."""
        async for envelope in self.inbox:
            try:
                self._execute(self.node.on_envelope(envelope, self.clock.now_ms()))
            except InvalidDocumentError as error:
                logger.warning(
                    "discarded an invalid message from VM {}: {}", envelope.sender, error
                )
            self._run_update_callbacks()

    async def _run_ticks(self) -> None:
        while True:
            self._tick()
            self._log_readiness()
            await anyio.sleep(TICK_INTERVAL_MS / 1000)

    async def _run_loan_requests(self) -> None:
        while True:
            await self.loans_requested.wait()
            self.loans_requested = anyio.Event()
            self._execute(self.node.request_loans(self.clock.now_ms()))
            await anyio.sleep(0)

    async def _run_vm_list(self) -> None:
        """Connect to the VMs in the platform's list; skip an interval if the list fails."""
        while True:
            try:
                for vm in await self.platform.vms.list_vms():
                    self._connect_listed_vm(vm)
            except BerylbankError:
                pass
            await anyio.sleep(VM_LIST_INTERVAL_MS / 1000 * (0.5 + self.randomness.random()))

    def _connect_listed_vm(self, vm: ListedVm) -> None:
        has_link = vm.name in self.channel.links or vm.name == self.node.vm
        if not has_link and not vm.leaving:
            self.channel.connect(vm.name, vm.channel)

    def _tick(self) -> None:
        self._execute(self.node.tick(self.clock.now_ms()))
        self._run_update_callbacks()

    def _run_update_callbacks(self) -> None:
        for callback in self.update_callbacks:
            callback()

    def _execute(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self.channel.send(output.vm, output.message)
            elif isinstance(output, Connect):
                self.channel.connect(output.vm, output.address)
            elif isinstance(output, ReadHead):
                self._start_task(self._read_for_lease, output.started_ms)
            elif isinstance(output, WriteProposal):
                self._start_task(self._write_head_proposal, output.proposal)
            elif isinstance(output, WriteShiftStep):
                self._start_task(self._write_shift_step, output.change)

    async def _read_for_lease(self, started_ms: int) -> None:
        """Read the head row to renew the lease; ``started_ms`` is when the node asked for it."""
        try:
            stored = await self.read_head()
        except BerylbankError:
            self._execute(self.node.on_head_read_failed(self.clock.now_ms()))
            return
        now_ms = self.clock.now_ms()
        outputs = self.node.on_head_read(started_ms, stored.head, stored.configuration, now_ms)
        self._execute(outputs)

    async def _write_head_proposal(self, proposal: HeadProposal) -> None:
        operation_id = f"{self.node.vm}-{self.randomness.getrandbits(64):016x}"
        try:
            await self.write(operation_id, proposal.summary, make_proposal_edit(proposal))
        finally:
            self.node.proposal_in_progress = False

    async def _write_shift_step(self, change: StepShift) -> None:
        operation_id = f"{self.node.vm}-{self.randomness.getrandbits(64):016x}"
        try:
            await self.write(operation_id, describe_change(change), make_change_edit(change))
        finally:
            self.node.shift_step_in_progress = False

    def _log_readiness(self) -> None:
        ready = self.node.is_ready()
        if ready != self.last_logged_ready:
            self.last_logged_ready = ready
            logger.info("this VM now {} requests with API keys", "serves" if ready else "refuses")

    def _start_task(
        self, function: Callable[..., Coroutine[Any, Any, None]], argument: Any
    ) -> None:
        assert self.group is not None
        self.group.start_soon(function, argument)


def make_change_edit(change: Change) -> HeadEdit:
    """Return an edit that applies a change to the stored head and configuration."""

    def edit(stored: StoredHead) -> HeadUpdate:
        if stored.head is None:
            raise InvalidDocumentError(
                "the head row is missing: no VM is seated yet", hint="wait a second and try again"
            )
        if isinstance(change, ForgetVm):
            return HeadUpdate(_remove_seat(stored.head, change.vm), stored.configuration)
        configuration = apply_change(stored.configuration, stored.head.number, change)
        return HeadUpdate(stored.head._replace(number=stored.head.number + 1), configuration)

    return edit


def _remove_seat(head: Head, vm: str) -> Head:
    if vm not in head.seated_vms():
        raise ChangeRefusedError(f"no VM named {vm} is seated", hint="see 'berylctl vms'")
    return forget_vm(head, vm)


def make_proposal_edit(proposal: HeadProposal) -> HeadEdit:
    """Return an edit that writes a proposal, or refuses if its base head has been replaced."""

    def edit(stored: StoredHead) -> HeadUpdate:
        number = stored.head.number if stored.head is not None else 0
        if number != proposal.base_number:
            raise ChangeRefusedError(
                f"the proposal is outdated: the head is now number {number}",
                hint="decide again on the basis of this head",
            )
        operations = stored.head.operations if stored.head is not None else ()
        return HeadUpdate(proposal.head._replace(operations=operations), stored.configuration)

    return edit
