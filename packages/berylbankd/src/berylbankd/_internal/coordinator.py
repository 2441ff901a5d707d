"""Carries out the decisions of a node: its messages, store reads, writes and timers.

One inbox task feeds the node. Request filters take tokens and slots from it without waiting, in
the same event loop.
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
from berylbankd._internal.authority.acceptance import Acceptance
from berylbankd._internal.authority.authority import ReadHead
from berylbankd._internal.authority.seating import Proposal
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
from berylbankd._internal.node import Connect, Node, Output, Propose, Send, Submit

TICK_MS = 50
LIST_EVERY_MS = 5_000
INBOX_MESSAGES = 4_096


class Coordinator:
    """The node of this VM and the tasks around it."""

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
        self.authority = self.node.authority
        self.writer = HeadWriter(platform, self.read_head, randomness)
        self.urgent = anyio.Event()
        self.group: TaskGroup | None = None
        self.logged_ready: bool | None = None
        self.on_serve: list[Callable[[], None]] = []
        self.send_inbox, self.inbox = anyio.create_memory_object_stream[Envelope](INBOX_MESSAGES)

    async def run(self, group: TaskGroup) -> None:
        """Start the tasks in ``group``."""
        self.group = group
        for function in (self._run_inbox, self._run_ticks, self._run_urgent, self._run_vm_list):
            group.start_soon(function)

    def deliver(self, envelope: Envelope) -> None:
        """Take in a message from the channel; a full inbox drops it."""
        try:
            self.send_inbox.send_nowait(envelope)
        except anyio.WouldBlock:
            self.channel.counters.dropped += 1

    def leave(self) -> None:
        """Ask callers and VMs to go elsewhere, ahead of a graceful stop."""
        self.node.leaving = True
        self._carry_out(self.node.send_heartbeats())

    def request_loans(self) -> None:
        """Ask for tokens or slots soon, without waiting for the next tick."""
        self.urgent.set()

    def track(self, head: Head) -> Acceptance:
        """Start to prove that ``head`` is in force."""
        tracker = self.node.track(head)
        self._tick()
        return tracker

    async def read_head(self) -> StoredHead:
        """Read the head row and its content; raise ``PlatformUnavailableError``."""
        row = await self.platform.table.read(HEAD_KEY)
        if row.version == 0:
            return StoredHead(0, None, Configuration())
        head = load_head(row.value)
        known = self.authority.head
        if known is not None and known.configuration_id == head.configuration_id:
            return StoredHead(row.version, head, self.authority.configuration)
        return StoredHead(row.version, head, await self._read_configuration(head))

    async def write(self, operation_id: str, summary: str, edit: HeadEdit) -> Outcome:
        """Write a change and take it over here as soon as it is written."""
        outcome = await self.writer.write(operation_id, summary, edit)
        if isinstance(outcome, Written):
            self._carry_out(self.node.apply(outcome.head, outcome.configuration))
        return outcome

    async def _read_configuration(self, head: Head) -> Configuration:
        if not head.configuration_id:
            return Configuration()
        data = await self.platform.objects.get(head.configuration_id)
        return load_configuration(data, f"configuration {head.configuration_id}")

    async def _run_inbox(self) -> None:
        async for envelope in self.inbox:
            try:
                self._carry_out(self.node.on_envelope(envelope, self.clock.now_ms()))
            except InvalidDocumentError as error:
                logger.warning("message of {} refused: {}", envelope.sender, error)
            self._serve_waiting()

    async def _run_ticks(self) -> None:
        while True:
            self._tick()
            self._log_readiness()
            await anyio.sleep(TICK_MS / 1000)

    async def _run_urgent(self) -> None:
        while True:
            await self.urgent.wait()
            self.urgent = anyio.Event()
            self._carry_out(self.node.request_loans(self.clock.now_ms()))
            await anyio.sleep(0)

    async def _run_vm_list(self) -> None:
        while True:
            try:
                for vm in await self.platform.vms.list_vms():
                    self._consider_listed(vm)
            except BerylbankError:
                pass
            await anyio.sleep(LIST_EVERY_MS / 1000 * (0.5 + self.randomness.random()))

    def _consider_listed(self, vm: ListedVm) -> None:
        known = vm.name in self.channel.links or vm.name == self.node.vm
        if not known and not vm.leaving:
            self.channel.connect(vm.name, vm.channel)

    def _tick(self) -> None:
        self._carry_out(self.node.tick(self.clock.now_ms()))
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        for callback in self.on_serve:
            callback()

    def _carry_out(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self.channel.send(output.vm, output.message)
            elif isinstance(output, Connect):
                self.channel.connect(output.vm, output.address)
            elif isinstance(output, ReadHead):
                self._start(self._read_for_lease, output.started_ms)
            elif isinstance(output, Propose):
                self._start(self._write_proposal, output.proposal)
            elif isinstance(output, Submit):
                self._start(self._write_step, output.change)

    async def _read_for_lease(self, started_ms: int) -> None:
        try:
            stored = await self.read_head()
        except BerylbankError:
            self._carry_out(self.node.on_read_failed(self.clock.now_ms()))
            return
        now_ms = self.clock.now_ms()
        outputs = self.node.on_read(started_ms, stored.head, stored.configuration, now_ms)
        self._carry_out(outputs)

    async def _write_proposal(self, proposal: Proposal) -> None:
        operation_id = f"{self.node.vm}-{self.randomness.getrandbits(64):016x}"
        try:
            await self.write(operation_id, proposal.summary, edit_as_proposed(proposal))
        finally:
            self.node.proposing = False

    async def _write_step(self, change: StepShift) -> None:
        operation_id = f"{self.node.vm}-{self.randomness.getrandbits(64):016x}"
        try:
            await self.write(operation_id, describe_change(change), edit_with_change(change))
        finally:
            self.node.submitting = False

    def _log_readiness(self) -> None:
        ready = self.node.is_ready()
        if ready != self.logged_ready:
            self.logged_ready = ready
            logger.info("{} keyed requests", "serves" if ready else "refuses")

    def _start(self, function: Callable[..., Coroutine[Any, Any, None]], argument: Any) -> None:
        assert self.group is not None
        self.group.start_soon(function, argument)


def edit_with_change(change: Change) -> HeadEdit:
    """Return an edit that applies a change to the configuration it finds."""

    def edit(stored: StoredHead) -> HeadUpdate:
        if stored.head is None:
            raise InvalidDocumentError("no VM is seated yet", hint="wait a second and try again")
        if isinstance(change, ForgetVm):
            return HeadUpdate(_forget(stored.head, change.vm), stored.configuration)
        configuration = apply_change(stored.configuration, stored.head.number, change)
        return HeadUpdate(stored.head._replace(number=stored.head.number + 1), configuration)

    return edit


def _forget(head: Head, vm: str) -> Head:
    if vm not in head.seated_vms():
        raise ChangeRefusedError(f"no VM named {vm} is seated", hint="see 'berylctl vms'")
    return forget_vm(head, vm)


def edit_as_proposed(proposal: Proposal) -> HeadEdit:
    """Return an edit that writes a proposal on top of the head it was made for, or nothing."""

    def edit(stored: StoredHead) -> HeadUpdate:
        number = stored.head.number if stored.head is not None else 0
        if number != proposal.base:
            raise ChangeRefusedError(f"head is now {number}", hint="decide anew")
        operations = stored.head.operations if stored.head is not None else ()
        return HeadUpdate(proposal.head._replace(operations=operations), stored.configuration)

    return edit
