"""Runs the decisions of one VM: feeds them messages, time and store answers, and acts on them.

One inbox task owns the state; request filters read it and take tokens and slots from it without
waiting, in the same event loop.
"""

import itertools
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
from berylbank._internal.models.configuration import (
    Backend,
    Configuration,
    dump_configuration,
    load_configuration,
)
from berylbank._internal.models.head import Head, Seat, dump_head, load_head
from berylbank._internal.platform.protocols import ListedVm
from berylbank._internal.settings import Settings
from berylbank._internal.utils.clock import Clock
from berylbank._internal.wire.messages import (
    ConfirmReply,
    ConfirmRequest,
    Envelope,
    HeadAck,
    HeadPush,
    Heartbeat,
    InFlight,
    LoanReply,
    LoanRequest,
    SeatAddress,
)
from berylbankd._internal.authority.acceptance import Acceptance
from berylbankd._internal.authority.authority import AskAll, Authority, ReadHead
from berylbankd._internal.authority.seating import Fleet, PeerView, Proposal, SeatKeeper
from berylbankd._internal.authority.timing import derive_timing
from berylbankd._internal.backends.slots import SlotBook
from berylbankd._internal.changes.writer import (
    HEAD_KEY,
    Edit,
    HeadWriter,
    NewContent,
    Outcome,
    Platform,
    StoredHead,
    Written,
)
from berylbankd._internal.channel.channel import Channel
from berylbankd._internal.loans.desk import LoanDesk
from berylbankd._internal.rates.book import RateBook

TICK_MS = 50
LIST_EVERY_MS = 5_000
INBOX_MESSAGES = 4_096
FAR_REGION = 2
NEAR_REGION = 1
SAME_DOMAIN = 0


class Coordinator:
    """All coordination state of one VM."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: Platform,
        channel: Channel,
        randomness: random.Random,
    ) -> None:
        now_ms = clock.now_ms()
        self.settings = settings
        self.clock = clock
        self.platform = platform
        self.channel = channel
        self.randomness = randomness
        self.vm = settings.vm.name
        self.timing = derive_timing(settings.timing)
        self.round_ids = itertools.count((randomness.getrandbits(40) << 20) + 1)
        self.authority = Authority(self.vm, self.timing, now_ms, self.round_ids)
        self.rates = RateBook(self.authority, self.timing, self.lenders)
        self.slots = SlotBook(self.authority, self.timing, self.distance_to)
        self.desk = LoanDesk([self.rates, self.slots])
        self.keeper = SeatKeeper(self.timing, now_ms, settings.seats, self.round_ids)
        self.writer = HeadWriter(platform, self.read_head, randomness)
        self.peers: dict[str, PeerView] = {}
        self.peer_in_flight: dict[str, dict[str, int]] = {}
        self.trackers: list[Acceptance] = []
        self.leaving = False
        self.urgent = anyio.Event()
        self.proposing = False
        self.group: TaskGroup | None = None
        self.next_heartbeat_ms = now_ms
        self.logged_ready: bool | None = None
        self.on_serve: list[Callable[[], None]] = []
        self.send_inbox, self.inbox = anyio.create_memory_object_stream[Envelope](INBOX_MESSAGES)

    async def run(self, group: TaskGroup) -> None:
        """Run until cancelled."""
        self.group = group
        group.start_soon(self._run_inbox)
        group.start_soon(self._run_ticks)
        group.start_soon(self._run_urgent)
        group.start_soon(self._run_vm_list)

    def deliver(self, envelope: Envelope) -> None:
        """Take in a message from the channel; a full inbox drops it."""
        try:
            self.send_inbox.send_nowait(envelope)
        except anyio.WouldBlock:
            self.channel.counters.dropped += 1

    def is_ready(self) -> bool:
        """Tell whether callers may be sent to this VM."""
        return not self.leaving and self.authority.may_act(self.clock.now_ms())

    def leave(self) -> None:
        """Ask callers and VMs to go elsewhere, ahead of a graceful stop."""
        self.leaving = True
        self._send_heartbeats()

    def own_seat(self) -> Seat:
        """Return where this VM stands and listens."""
        own = self.settings.vm
        return Seat(
            own.name, own.channel, own.callers, own.operators, own.region, own.failure_domain
        )

    def lenders(self) -> tuple[str, ...]:
        """Return the seated VMs that were heard lately, nearest first."""
        head = self.authority.head
        if head is None:
            return ()
        oldest_ms = self.clock.now_ms() - self.timing.suspect_ms
        heard = [
            seat
            for seat in head.seats
            if (peer := self.peers.get(seat.vm)) is not None and (peer.heard_ms or 0) >= oldest_ms
        ]
        heard.sort(key=lambda seat: (seat.region != self.settings.vm.region, seat.vm))
        return tuple(seat.vm for seat in heard)

    def distance_to(self, backend: Backend) -> int:
        """Return how far a backend server is: failure domain, region, elsewhere."""
        if backend.region != self.settings.vm.region:
            return FAR_REGION
        same = backend.failure_domain == self.settings.vm.failure_domain
        return SAME_DOMAIN if same else NEAR_REGION

    def request_loans(self) -> None:
        """Ask for tokens or slots soon, without waiting for the next tick."""
        self.urgent.set()

    def track(self, head: Head) -> Acceptance:
        """Start to prove that ``head`` is in force."""
        tracker = Acceptance(self.vm, head, self.timing, self.round_ids)
        self.trackers.append(tracker)
        self._push(tracker, self.clock.now_ms())
        return tracker

    async def read_head(self) -> StoredHead:
        """Read the head row and its content; raise ``TableUnavailableError``."""
        row = await self.platform.table.read(HEAD_KEY)
        if row.version == 0:
            return StoredHead(0, None, Configuration())
        head = load_head(row.value)
        known = self.authority.head
        if known is not None and known.configuration_id == head.configuration_id:
            return StoredHead(row.version, head, self.authority.configuration)
        return StoredHead(row.version, head, await self._read_configuration(head))

    def apply(self, head: Head, configuration: Configuration) -> None:
        """Take over a head that is written."""
        if self.authority.apply(head, configuration):
            self._after_apply()

    async def write(self, operation_id: str, summary: str, edit: Edit) -> Outcome:
        """Write a change and take it over here as soon as it is written."""
        outcome = await self.writer.write(operation_id, summary, edit)
        if isinstance(outcome, Written):
            self.apply(outcome.head, outcome.configuration)
        return outcome

    async def _read_configuration(self, head: Head) -> Configuration:
        if not head.configuration_id:
            return Configuration()
        data = await self.platform.objects.get(head.configuration_id)
        return load_configuration(data, f"configuration {head.configuration_id}")

    async def _run_inbox(self) -> None:
        async for envelope in self.inbox:
            handler = self._handlers[type(envelope.message)]
            try:
                handler(self, envelope, envelope.message)
            except InvalidDocumentError as error:
                logger.warning("message of {} refused: {}", envelope.sender, error)

    async def _run_ticks(self) -> None:
        while True:
            self._tick(self.clock.now_ms())
            await anyio.sleep(TICK_MS / 1000)

    async def _run_urgent(self) -> None:
        while True:
            await self.urgent.wait()
            self.urgent = anyio.Event()
            self._send_loans(self.clock.now_ms())
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
        if vm.name != self.vm and not vm.leaving and vm.name not in self.channel.links:
            self.channel.connect(vm.name, vm.channel)

    def _tick(self, now_ms: int) -> None:
        self._act(self.authority.tick(now_ms))
        for tracker in self._proofs():
            self._push(tracker, now_ms)
        self.trackers = [t for t in self.trackers if t.in_force_ms is None]
        self.rates.serve(now_ms)
        self.slots.refresh(now_ms)
        self._send_loans(now_ms)
        for callback in self.on_serve:
            callback()
        if now_ms >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = now_ms + self.settings.timing.heartbeat_ms
            self._send_heartbeats()
        self._propose(now_ms)
        self._log_readiness()

    def _proofs(self) -> list[Acceptance]:
        proof = self.keeper.proof
        return [*self.trackers, *([proof] if proof is not None else [])]

    def _act(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, ReadHead):
                self._start(self._read_for_lease, action.started_ms)
            elif isinstance(action, AskAll):
                for vm in self._voters():
                    self.channel.send(vm, action.message)

    def _voters(self) -> list[str]:
        head = self.authority.head
        vms = head.vms() if head is not None else self.channel.links.keys()
        return sorted(set(vms) - {self.vm})

    async def _read_for_lease(self, started_ms: int) -> None:
        try:
            stored = await self.read_head()
        except BerylbankError:
            self._act(self.authority.on_read_failed(self.clock.now_ms()))
            return
        now_ms = self.clock.now_ms()
        if stored.head is None:
            self.authority.on_row_missing(now_ms)
            return
        before = self.authority.head
        self.authority.on_read(started_ms, stored.head, stored.configuration, now_ms)
        if self.authority.head is not before:
            self._after_apply()

    def _after_apply(self) -> None:
        head = self.authority.head
        assert head is not None
        now_ms = self.clock.now_ms()
        self.rates.refresh(now_ms)
        self.slots.refresh(now_ms)
        for seat in head.seats:
            if seat.vm != self.vm:
                self.channel.connect(seat.vm, seat.channel)
        logger.info("head {} applied", head.number)

    def _send_loans(self, now_ms: int) -> None:
        for item in self.desk.plan(now_ms):
            self.channel.send(item.lender, item.message)

    def _send_heartbeats(self) -> None:
        heartbeat = self._heartbeat()
        for vm in self.channel.links:
            self.channel.send(vm, heartbeat)

    def _heartbeat(self) -> Heartbeat:
        own = self.settings.vm
        address = SeatAddress(
            own.channel, own.callers, own.operators, own.region, own.failure_domain
        )
        draining = tuple(
            InFlight(name, pool.in_use)
            for name, pool in self.slots.pools.items()
            if pool.backend.draining
        )
        return Heartbeat(self.authority.known, self.is_ready(), self.leaving, address, draining)

    def _push(self, tracker: Acceptance, now_ms: int) -> None:
        for push in tracker.tick(now_ms):
            content = self._content(push.round_id) if push.with_content else None
            self.channel.send(push.vm, content or HeadPush(push.round_id, b"", b""))

    def _content(self, round_id: int) -> HeadPush | None:
        head = self.authority.head
        if head is None or not self.authority.has_content():
            return None
        return HeadPush(round_id, dump_head(head), dump_configuration(self.authority.configuration))

    def _propose(self, now_ms: int) -> None:
        if self.proposing:
            return
        fleet = Fleet(self.own_seat(), self.peers, self.leaving)
        proposal = self.keeper.decide(now_ms, self.authority, fleet)
        if proposal is not None:
            self.proposing = True
            self._start(self._write_proposal, proposal)

    async def _write_proposal(self, proposal: Proposal) -> None:
        def edit(stored: StoredHead) -> NewContent:
            number = stored.head.number if stored.head is not None else 0
            if number != proposal.base:
                raise ChangeRefusedError(f"head is now {number}", hint="decide anew")
            return NewContent(proposal.head, stored.configuration)

        operation_id = f"{self.vm}-{self.randomness.getrandbits(64):016x}"
        try:
            await self.write(operation_id, proposal.summary, edit)
        finally:
            self.proposing = False

    def _log_readiness(self) -> None:
        ready = self.is_ready()
        if ready != self.logged_ready:
            self.logged_ready = ready
            logger.info("{} keyed requests", "serves" if ready else "refuses")

    def _start(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        assert self.group is not None
        self.group.start_soon(function, *arguments)

    def _on_heartbeat(self, envelope: Envelope, message: Heartbeat) -> None:
        seat = Seat(envelope.sender, *message.seat)
        now_ms = self.clock.now_ms()
        self.peers[envelope.sender] = PeerView(
            seat, now_ms, message.ready, message.leaving, message.known
        )
        self.peer_in_flight[envelope.sender] = {i.backend: i.requests for i in message.draining}
        self.channel.connect(envelope.sender, seat.channel)
        if message.known > self.authority.known:
            self.authority.hear_of(message.known)
            self.channel.send(envelope.sender, self._heartbeat())
        elif message.known < self.authority.known:
            content = self._content(0)
            if content is not None:
                self.channel.send(envelope.sender, content)

    def _on_head_push(self, envelope: Envelope, message: HeadPush) -> None:
        if message.head:
            configuration = load_configuration(message.configuration, "pushed configuration")
            self.apply(load_head(message.head), configuration)
        self.channel.send(envelope.sender, HeadAck(message.round_id, self.authority.known))

    def _on_head_ack(self, envelope: Envelope, message: HeadAck) -> None:
        now_ms = self.clock.now_ms()
        for tracker in self._proofs():
            tracker.on_ack(envelope.sender, message.round_id, message.known, now_ms)

    def _on_confirm_request(self, envelope: Envelope, message: ConfirmRequest) -> None:
        reply = self.authority.on_confirm_request(message)
        self.channel.send(envelope.sender, reply)
        if reply.known > message.number:
            content = self._content(0)
            if content is not None:
                self.channel.send(envelope.sender, content)

    def _on_confirm_reply(self, envelope: Envelope, message: ConfirmReply) -> None:
        self.authority.on_confirm_reply(envelope.sender, message, self.clock.now_ms())

    def _on_loan_request(self, envelope: Envelope, message: LoanRequest) -> None:
        now_ms = self.clock.now_ms()
        reply = self.desk.answer(envelope.sender, envelope.incarnation, message, now_ms)
        self.channel.send(envelope.sender, reply)

    def _on_loan_reply(self, envelope: Envelope, message: LoanReply) -> None:
        self.desk.receive(envelope.sender, message, self.clock.now_ms())
        for callback in self.on_serve:
            callback()

    _handlers: dict[type[Any], Callable[["Coordinator", Envelope, Any], None]] = {
        Heartbeat: _on_heartbeat,
        HeadPush: _on_head_push,
        HeadAck: _on_head_ack,
        ConfirmRequest: _on_confirm_request,
        ConfirmReply: _on_confirm_reply,
        LoanRequest: _on_loan_request,
        LoanReply: _on_loan_reply,
    }
