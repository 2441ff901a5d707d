"""All coordination decisions of one VM, without any I/O.

Events and the time go in, outputs come out. The coordinator carries them out; tests feed this
class every fault at every step on a clock of their own.
"""

import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from berylbank._internal.models.changes import StepShift
from berylbank._internal.models.configuration import (
    Backend,
    Configuration,
    dump_configuration,
    load_configuration,
)
from berylbank._internal.models.head import Head, Seat, dump_head, load_head
from berylbank._internal.settings import Settings
from berylbank._internal.utils.clock import Clock
from berylbank._internal.wire.messages import (
    ConfirmReply,
    ConfirmRequest,
    Envelope,
    HeadAck,
    HeadPush,
    Heartbeat,
    InFlightRequests,
    LoanReply,
    LoanRequest,
    Message,
    VmAddresses,
)
from berylbankd._internal.authority.acceptance import Acceptance
from berylbankd._internal.authority.authority import Action, AskAll, Authority, ReadHead
from berylbankd._internal.authority.seating import Fleet, PeerView, Proposal, SeatKeeper
from berylbankd._internal.authority.timing import derive_timing
from berylbankd._internal.backends.slots import SlotBook
from berylbankd._internal.loans.router import LoanRouter
from berylbankd._internal.rates.limiter import RateLimiter
from berylbankd._internal.shifts.controller import ShiftController

SAME_DOMAIN = 0
NEAR_REGION = 1
FAR_REGION = 2
ROUND_ID_BITS = 40
EXPECTED_PUSHERS = 3
ROUND_ID_SHIFT = 20


class Send(NamedTuple):
    """Send a message to a VM, at most once."""

    vm: str
    message: Message


class Connect(NamedTuple):
    """Keep a connection to a VM at IP:port."""

    vm: str
    address: str


class Propose(NamedTuple):
    """Write a change of seats or rights."""

    proposal: Proposal


class Submit(NamedTuple):
    """Write a change that this VM decided on."""

    change: StepShift


Output = Send | Connect | Propose | Submit | ReadHead


class Node:
    """The state of one VM. ``reachable`` returns the VMs that a connection is kept to."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        randomness: random.Random,
        reachable: Callable[[], tuple[str, ...]],
    ) -> None:
        now_ms = clock.now_ms()
        self.settings = settings
        self.clock = clock
        self.randomness = randomness
        self.reachable = reachable
        self.vm = settings.vm.name
        self.timing = derive_timing(settings.timing)
        first_round_id = (randomness.getrandbits(ROUND_ID_BITS) << ROUND_ID_SHIFT) + 1
        self.round_ids = itertools.count(first_round_id)
        self.authority = Authority(self.vm, self.timing, now_ms, self.round_ids)
        self.rates = RateLimiter(self.authority, self.timing, self.lenders)
        self.slots = SlotBook(self.authority, self.timing, self.distance_to)
        self.desk = LoanRouter([self.rates, self.slots])
        self.keeper = SeatKeeper(self.timing, now_ms, settings.seats, self.round_ids)
        self.shifts = ShiftController(self.vm, self.timing)
        self.submitting = False
        self.peers: dict[str, PeerView] = {}
        self.peer_in_flight: dict[str, dict[str, int]] = {}
        self.trackers: list[Acceptance] = []
        self.leaving = False
        self.proposing = False
        self.next_heartbeat_ms = now_ms

    def is_ready(self) -> bool:
        """Tell whether callers may be sent to this VM."""
        return not self.leaving and self.authority.may_act(self.clock.now_ms())

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
        heard = [seat for seat in head.seats if self._was_heard(seat.vm, oldest_ms)]
        heard.sort(key=lambda seat: (seat.region != self.settings.vm.region, seat.vm))
        return tuple(seat.vm for seat in heard)

    def distance_to(self, backend: Backend) -> int:
        """Return how far a backend server is: failure domain, region, elsewhere."""
        if backend.region != self.settings.vm.region:
            return FAR_REGION
        same = backend.failure_domain == self.settings.vm.failure_domain
        return SAME_DOMAIN if same else NEAR_REGION

    def tick(self, now_ms: int) -> list[Output]:
        """Do what is due at ``now_ms``."""
        outputs: list[Output] = self._translate(self.authority.tick(now_ms))
        for tracker in self._proofs():
            outputs.extend(self._push(tracker, now_ms))
        self.trackers = [t for t in self.trackers if t.in_force_ms is None]
        self.rates.serve_waiters(now_ms)
        self.slots.refresh(now_ms)
        outputs.extend(self.request_loans(now_ms))
        if now_ms >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = now_ms + self.settings.timing.heartbeat_ms
            outputs.extend(self.send_heartbeats())
        outputs.extend(self._propose(now_ms))
        outputs.extend(self._step_shifts(now_ms))
        return outputs

    def request_loans(self, now_ms: int) -> list[Output]:
        """Ask for the tokens and slots that are wanted now."""
        return [Send(item.lender, item.message) for item in self.desk.build_requests(now_ms)]

    def send_heartbeats(self) -> list[Output]:
        """Tell every VM in reach how this one stands."""
        heartbeat = self._heartbeat()
        return [Send(vm, heartbeat) for vm in self.reachable()]

    def track(self, head: Head) -> Acceptance:
        """Start to prove that ``head`` is in force; pushes leave with the next tick."""
        tracker = Acceptance(self.vm, head, self.timing, self.round_ids)
        self.trackers.append(tracker)
        return tracker

    def apply(self, head: Head, configuration: Configuration) -> list[Output]:
        """Take over a head that is written."""
        if not self.authority.apply(head, configuration):
            return []
        return self._after_apply()

    def on_read(
        self, started_ms: int, head: Head | None, configuration: Configuration, now_ms: int
    ) -> list[Output]:
        """Take in a strong read of the head row; ``head`` is None for a missing row."""
        if head is None:
            self.authority.on_row_missing(now_ms)
            return []
        before = self.authority.head
        self.authority.on_read(started_ms, head, configuration, now_ms)
        return self._after_apply() if self.authority.head is not before else []

    def on_read_failed(self, now_ms: int) -> list[Output]:
        """Take note that the store did not answer."""
        return self._translate(self.authority.on_read_failed(now_ms))

    def on_envelope(self, envelope: Envelope, now_ms: int) -> list[Output]:
        """Take in a message; raise :class:`InvalidDocumentError` for content that is broken."""
        handler = self._handlers[type(envelope.message)]
        return handler(self, envelope, envelope.message, now_ms)

    def _was_heard(self, vm: str, oldest_ms: int) -> bool:
        peer = self.peers.get(vm)
        return peer is not None and peer.heard_ms is not None and peer.heard_ms >= oldest_ms

    def _proofs(self) -> list[Acceptance]:
        proof = self.keeper.proof
        return [*self.trackers, *([proof] if proof is not None else [])]

    def _translate(self, actions: list[Action]) -> list[Output]:
        outputs: list[Output] = []
        for action in actions:
            if isinstance(action, AskAll):
                outputs.extend(Send(vm, action.message) for vm in self._voters())
            else:
                outputs.append(action)
        return outputs

    def _voters(self) -> list[str]:
        head = self.authority.head
        vms = head.seated_vms() if head is not None else frozenset(self.reachable())
        return sorted(vms - {self.vm})

    def _after_apply(self) -> list[Output]:
        head = self.authority.head
        assert head is not None
        now_ms = self.clock.now_ms()
        self.rates.refresh(now_ms)
        self.slots.refresh(now_ms)
        return [Connect(seat.vm, seat.channel) for seat in head.seats if seat.vm != self.vm]

    def _heartbeat(self) -> Heartbeat:
        own = self.settings.vm
        address = VmAddresses(
            own.channel, own.callers, own.operators, own.region, own.failure_domain
        )
        draining = tuple(
            InFlightRequests(name, pool.in_use)
            for name, pool in self.slots.pools.items()
            if pool.backend.draining
        )
        return Heartbeat(
            self.authority.known,
            self.is_ready(),
            self.leaving,
            address,
            draining,
            self.shifts.collect_evidence(self.clock.now_ms()),
            tuple(sorted(self.shifts.blocked)),
        )

    def _push(self, tracker: Acceptance, now_ms: int) -> list[Output]:
        outputs: list[Output] = []
        for push in tracker.tick(now_ms):
            content = self._content(push.round_id) if push.with_content else None
            outputs.append(Send(push.vm, content or HeadPush(push.round_id, b"", b"")))
        return outputs

    def _content(self, round_id: int) -> HeadPush | None:
        head = self.authority.head
        if head is None or not self.authority.has_content():
            return None
        return HeadPush(round_id, dump_head(head), dump_configuration(self.authority.configuration))

    def _is_chosen_pusher(self) -> bool:
        """Choose by chance, so that a VM behind gets the content from a few and not from all."""
        return self.randomness.random() * max(1, len(self.peers)) < EXPECTED_PUSHERS

    def _content_for(self, vm: str) -> list[Output]:
        content = self._content(0)
        return [Send(vm, content)] if content is not None else []

    def _propose(self, now_ms: int) -> list[Output]:
        if self.proposing:
            return []
        fleet = Fleet(self.own_seat(), self.peers, self.leaving)
        proposal = self.keeper.decide(now_ms, self.authority, fleet)
        if proposal is None:
            return []
        self.proposing = True
        return [Propose(proposal)]

    def _step_shifts(self, now_ms: int) -> list[Output]:
        before = self.shifts.blocked
        head = self.authority.head
        if head is None:
            return []
        acting = self.authority.may_act(now_ms)
        change = self.shifts.decide(now_ms, head, self.authority.configuration, acting)
        outputs = self.send_heartbeats() if self.shifts.blocked - before else []
        if change is not None and not self.submitting:
            self.submitting = True
            outputs.append(Submit(change))
        return outputs

    def _on_heartbeat(self, envelope: Envelope, message: Heartbeat, now_ms: int) -> list[Output]:
        seat = Seat(envelope.sender, *message.seat)
        self.peers[envelope.sender] = PeerView(
            seat, now_ms, message.ready, message.leaving, message.known
        )
        self.shifts.on_peer_report(envelope.sender, message.evidence, message.cuts, now_ms)
        self.peer_in_flight[envelope.sender] = {i.backend: i.requests for i in message.draining}
        outputs: list[Output] = [Connect(envelope.sender, seat.channel)]
        if message.known > self.authority.known:
            self.authority.hear_of(message.known)
            outputs.append(Send(envelope.sender, self._heartbeat()))
        elif message.known < self.authority.known and self._is_chosen_pusher():
            outputs.extend(self._content_for(envelope.sender))
        return outputs

    def _on_head_push(self, envelope: Envelope, message: HeadPush, _now_ms: int) -> list[Output]:
        outputs: list[Output] = []
        if message.head:
            head = load_head(message.head)
            configuration = load_configuration(message.configuration, "pushed configuration")
            outputs = self.apply(head, configuration)
        reply = HeadAck(message.round_id, self.authority.known)
        return [*outputs, Send(envelope.sender, reply)]

    def _on_head_ack(self, envelope: Envelope, message: HeadAck, now_ms: int) -> list[Output]:
        for tracker in self._proofs():
            tracker.on_ack(envelope.sender, message.round_id, message.known, now_ms)
        return []

    def _on_confirm_request(
        self, envelope: Envelope, message: ConfirmRequest, _now_ms: int
    ) -> list[Output]:
        reply = self.authority.on_confirm_request(message)
        outputs: list[Output] = [Send(envelope.sender, reply)]
        if reply.known > message.number:
            outputs.extend(self._content_for(envelope.sender))
        return outputs

    def _on_confirm_reply(
        self, envelope: Envelope, message: ConfirmReply, now_ms: int
    ) -> list[Output]:
        self.authority.on_confirm_reply(envelope.sender, message, now_ms)
        return []

    def _on_loan_request(
        self, envelope: Envelope, message: LoanRequest, now_ms: int
    ) -> list[Output]:
        reply = self.desk.answer_request(envelope.sender, envelope.incarnation, message, now_ms)
        return [Send(envelope.sender, reply)]

    def _on_loan_reply(self, envelope: Envelope, message: LoanReply, now_ms: int) -> list[Output]:
        self.desk.on_reply(envelope.sender, message, now_ms)
        return []

    _handlers: dict[type[Any], Callable[["Node", Envelope, Any, int], list[Output]]] = {
        Heartbeat: _on_heartbeat,
        HeadPush: _on_head_push,
        HeadAck: _on_head_ack,
        ConfirmRequest: _on_confirm_request,
        ConfirmReply: _on_confirm_reply,
        LoanRequest: _on_loan_request,
        LoanReply: _on_loan_reply,
    }
