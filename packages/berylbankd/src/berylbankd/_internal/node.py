"""State machine of the coordination on one VM, without any I/O.

Methods take events and the time, and return outputs, which the coordinator executes. Tests drive
the same class on a virtual clock, with every fault at every step.
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
from berylbankd._internal.backends.slots import SlotInventory
from berylbankd._internal.coordination.ack_tracker import AckTracker
from berylbankd._internal.coordination.lease_state import Action, AskVoters, LeaseState, ReadHead
from berylbankd._internal.coordination.seat_planner import (
    FleetView,
    HeadProposal,
    PeerStatus,
    SeatPlanner,
)
from berylbankd._internal.coordination.timing import derive_timing
from berylbankd._internal.loans.router import LoanRouter
from berylbankd._internal.rates.limiter import RateLimiter
from berylbankd._internal.shifts.controller import ShiftController

DISTANCE_SAME_FAILURE_DOMAIN = 0
DISTANCE_SAME_REGION = 1
DISTANCE_OTHER_REGION = 2
# The first round id of a process has random high bits, above ROUND_ID_COUNTER_BITS bits for the
# counter, so that ids don't repeat after a restart.
ROUND_ID_RANDOM_BITS = 40
EXPECTED_HEAD_PUSHERS = 3
ROUND_ID_COUNTER_BITS = 20


class Send(NamedTuple):
    """Send a message to a VM, at most once."""

    vm: str
    message: Message


class Connect(NamedTuple):
    """Keep a connection to the VM at ``address`` (IP:port) open."""

    vm: str
    address: str


class WriteProposal(NamedTuple):
    """Write a head with changed seats or rights."""

    proposal: HeadProposal


class WriteShiftStep(NamedTuple):
    """Write the next step, the end or the rollback of a shift."""

    change: StepShift


Output = Send | Connect | WriteProposal | WriteShiftStep | ReadHead


class Node:
    """Coordination state of one VM.

    ``list_linked_vms`` returns the VMs that it keeps connections to, ``peers`` holds the last
    heartbeat of each other VM, and ``peer_draining_requests`` the requests that each reported in
    flight to draining backend servers, by VM and backend server. ``proposal_in_progress`` and
    ``shift_step_in_progress`` are set while the coordinator writes such a change.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        randomness: random.Random,
        list_linked_vms: Callable[[], tuple[str, ...]],
    ) -> None:
        now_ms = clock.now_ms()
        self.settings = settings
        self.clock = clock
        self.randomness = randomness
        self.list_linked_vms = list_linked_vms
        self.vm = settings.vm.name
        self.timing = derive_timing(settings.timing)
        first_round_id = (randomness.getrandbits(ROUND_ID_RANDOM_BITS) << ROUND_ID_COUNTER_BITS) + 1
        self.round_ids = itertools.count(first_round_id)
        self.lease_state = LeaseState(self.vm, self.timing, now_ms, self.round_ids)
        self.rate_limiter = RateLimiter(self.lease_state, self.timing, self.list_lenders)
        self.slots = SlotInventory(self.lease_state, self.timing, self.distance_to)
        self.loan_router = LoanRouter([self.rate_limiter, self.slots])
        self.seat_planner = SeatPlanner(self.timing, now_ms, settings.seats, self.round_ids)
        self.shift_controller = ShiftController(self.vm, self.timing)
        self.shift_step_in_progress = False
        self.peers: dict[str, PeerStatus] = {}
        self.peer_draining_requests: dict[str, dict[str, int]] = {}
        self.ack_trackers: list[AckTracker] = []
        self.leaving = False
        self.proposal_in_progress = False
        self.next_heartbeat_ms = now_ms

    def is_ready(self) -> bool:
        """Tell whether callers may use this VM: it may act and isn't leaving."""
        return not self.leaving and self.lease_state.may_act(self.clock.now_ms())

    def make_own_seat(self) -> Seat:
        """Return the addresses, region and failure domain of this VM, as a seat without a share."""
        own = self.settings.vm
        return Seat(
            own.name, own.channel, own.callers, own.operators, own.region, own.failure_domain
        )

    def list_lenders(self) -> tuple[str, ...]:
        """Return the seated VMs with a recent heartbeat, those of this VM's region first."""
        head = self.lease_state.head
        if head is None:
            return ()
        oldest_ms = self.clock.now_ms() - self.timing.suspect_ms
        live_seats = [seat for seat in head.seats if self._heard_since(seat.vm, oldest_ms)]
        live_seats.sort(key=lambda seat: (seat.region != self.settings.vm.region, seat.vm))
        return tuple(seat.vm for seat in live_seats)

    def distance_to(self, backend: Backend) -> int:
        """Return the distance to a backend server: one of the ``DISTANCE_*`` constants."""
        if backend.region != self.settings.vm.region:
            return DISTANCE_OTHER_REGION
        same_domain = backend.failure_domain == self.settings.vm.failure_domain
        return DISTANCE_SAME_FAILURE_DOMAIN if same_domain else DISTANCE_SAME_REGION

    def tick(self, now_ms: int) -> list[Output]:
        """Return the outputs that are due at ``now_ms``."""
        outputs: list[Output] = self._expand_actions(self.lease_state.tick(now_ms))
        for tracker in self._list_active_trackers():
            outputs.extend(self._make_pushes(tracker, now_ms))
        self.ack_trackers = [t for t in self.ack_trackers if t.in_force_ms is None]
        self.rate_limiter.serve_waiters(now_ms)
        self.slots.refresh(now_ms)
        outputs.extend(self.request_loans(now_ms))
        if now_ms >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = now_ms + self.settings.timing.heartbeat_ms
            outputs.extend(self.send_heartbeats())
        outputs.extend(self._propose_head(now_ms))
        outputs.extend(self._advance_shifts(now_ms))
        return outputs

    def request_loans(self, now_ms: int) -> list[Output]:
        """Return the loan requests for tokens and slots that are needed now."""
        return [
            Send(request.lender, request.message)
            for request in self.loan_router.build_requests(now_ms)
        ]

    def send_heartbeats(self) -> list[Output]:
        """Return heartbeats of this VM to every linked VM."""
        heartbeat = self._make_heartbeat()
        return [Send(vm, heartbeat) for vm in self.list_linked_vms()]

    def track_acks(self, head: Head) -> AckTracker:
        """Start to track the acknowledgements of ``head``; the next tick returns its pushes."""
        tracker = AckTracker(self.vm, head, self.timing, self.round_ids)
        self.ack_trackers.append(tracker)
        return tracker

    def apply_head(self, head: Head, configuration: Configuration) -> list[Output]:
        """Apply a written head if it is newer than the current one."""
        if not self.lease_state.apply_head(head, configuration):
            return []
        return self._refresh_after_apply()

    def on_head_read(
        self, started_ms: int, head: Head | None, configuration: Configuration, now_ms: int
    ) -> list[Output]:
        """Apply a strongly consistent read of the head row; ``head`` is None for a missing row."""
        if head is None:
            self.lease_state.on_head_row_missing(now_ms)
            return []
        head_before = self.lease_state.head
        self.lease_state.on_head_read(started_ms, head, configuration, now_ms)
        return self._refresh_after_apply() if self.lease_state.head is not head_before else []

    def on_head_read_failed(self, now_ms: int) -> list[Output]:
        """Handle a failed read of the head row: ask the other VMs to confirm the lease."""
        return self._expand_actions(self.lease_state.on_head_read_failed(now_ms))

    def on_envelope(self, envelope: Envelope, now_ms: int) -> list[Output]:
        """Handle a message; raise :class:`InvalidDocumentError` if its content is invalid."""
        handler = self._handlers[type(envelope.message)]
        return handler(self, envelope, envelope.message, now_ms)

    def _heard_since(self, vm: str, oldest_ms: int) -> bool:
        peer = self.peers.get(vm)
        return (
            peer is not None
            and peer.last_heartbeat_ms is not None
            and peer.last_heartbeat_ms >= oldest_ms
        )

    def _list_active_trackers(self) -> list[AckTracker]:
        """Return the trackers of changes, and that of the head on which seats are to change."""
        base_tracker = self.seat_planner.base_tracker
        return [*self.ack_trackers, *([base_tracker] if base_tracker is not None else [])]

    def _expand_actions(self, actions: list[Action]) -> list[Output]:
        outputs: list[Output] = []
        for action in actions:
            if isinstance(action, AskVoters):
                outputs.extend(Send(vm, action.message) for vm in self._other_voters())
            else:
                outputs.append(action)
        return outputs

    def _other_voters(self) -> list[str]:
        head = self.lease_state.head
        vms = head.seated_vms() if head is not None else frozenset(self.list_linked_vms())
        return sorted(vms - {self.vm})

    def _refresh_after_apply(self) -> list[Output]:
        """Apply the new head to rates and slots, and connect to its seated VMs."""
        head = self.lease_state.head
        assert head is not None
        now_ms = self.clock.now_ms()
        self.rate_limiter.refresh(now_ms)
        self.slots.refresh(now_ms)
        return [Connect(seat.vm, seat.channel) for seat in head.seats if seat.vm != self.vm]

    def _make_heartbeat(self) -> Heartbeat:
        own = self.settings.vm
        addresses = VmAddresses(
            own.channel, own.callers, own.operators, own.region, own.failure_domain
        )
        draining = tuple(
            InFlightRequests(name, pool.in_use)
            for name, pool in self.slots.pools.items()
            if pool.backend.draining
        )
        return Heartbeat(
            self.lease_state.latest_head_number,
            self.is_ready(),
            self.leaving,
            addresses,
            draining,
            self.shift_controller.collect_evidence(self.clock.now_ms()),
            tuple(sorted(self.shift_controller.blocked_keys)),
        )

    def _make_pushes(self, tracker: AckTracker, now_ms: int) -> list[Output]:
        """Return the pushes of ``tracker`` that are due; without content if the head is unknown."""
        outputs: list[Output] = []
        for push in tracker.tick(now_ms):
            content = self._make_head_push(push.round_id) if push.with_content else None
            outputs.append(Send(push.vm, content or HeadPush(push.round_id, b"", b"")))
        return outputs

    def _make_head_push(self, round_id: int) -> HeadPush | None:
        """Return the newest head as a push, or None if this VM does not have its content."""
        head = self.lease_state.head
        if head is None or not self.lease_state.has_latest_head():
            return None
        return HeadPush(
            round_id, dump_head(head), dump_configuration(self.lease_state.configuration)
        )

    def _should_push_head(self) -> bool:
        """Choose at random whether to push the head to a VM whose head is older.

        On average ``EXPECTED_HEAD_PUSHERS`` VMs push it, rather than all.
        """
        return self.randomness.random() * max(1, len(self.peers)) < EXPECTED_HEAD_PUSHERS

    def _push_head_to(self, vm: str) -> list[Output]:
        content = self._make_head_push(0)
        return [Send(vm, content)] if content is not None else []

    def _propose_head(self, now_ms: int) -> list[Output]:
        if self.proposal_in_progress:
            return []
        fleet = FleetView(self.make_own_seat(), self.peers, self.leaving)
        proposal = self.seat_planner.decide(now_ms, self.lease_state, fleet)
        if proposal is None:
            return []
        self.proposal_in_progress = True
        return [WriteProposal(proposal)]

    def _advance_shifts(self, now_ms: int) -> list[Output]:
        """Return a change of a shift if one is due; report newly blocked targets at once."""
        blocked_before = self.shift_controller.blocked_keys
        head = self.lease_state.head
        if head is None:
            return []
        may_write = self.lease_state.may_act(now_ms)
        change = self.shift_controller.decide(
            now_ms, head, self.lease_state.configuration, may_write
        )
        outputs = (
            self.send_heartbeats() if self.shift_controller.blocked_keys - blocked_before else []
        )
        if change is not None and not self.shift_step_in_progress:
            self.shift_step_in_progress = True
            outputs.append(WriteShiftStep(change))
        return outputs

    def _on_heartbeat(self, envelope: Envelope, message: Heartbeat, now_ms: int) -> list[Output]:
        seat = Seat(envelope.sender, *message.seat)
        self.peers[envelope.sender] = PeerStatus(
            seat, now_ms, message.ready, message.leaving, message.known
        )
        self.shift_controller.on_peer_report(
            envelope.sender, message.evidence, message.cuts, now_ms
        )
        self.peer_draining_requests[envelope.sender] = {
            item.backend: item.requests for item in message.draining
        }
        outputs: list[Output] = [Connect(envelope.sender, seat.channel)]
        if message.known > self.lease_state.latest_head_number:
            self.lease_state.observe_head_number(message.known)
            outputs.append(Send(envelope.sender, self._make_heartbeat()))
        elif message.known < self.lease_state.latest_head_number and self._should_push_head():
            outputs.extend(self._push_head_to(envelope.sender))
        return outputs

    def _on_head_push(self, envelope: Envelope, message: HeadPush, _now_ms: int) -> list[Output]:
        outputs: list[Output] = []
        if message.head:
            head = load_head(message.head)
            configuration = load_configuration(message.configuration, "pushed configuration")
            outputs = self.apply_head(head, configuration)
        reply = HeadAck(message.round_id, self.lease_state.latest_head_number)
        return [*outputs, Send(envelope.sender, reply)]

    def _on_head_ack(self, envelope: Envelope, message: HeadAck, now_ms: int) -> list[Output]:
        for tracker in self._list_active_trackers():
            tracker.on_ack(envelope.sender, message.round_id, message.known, now_ms)
        return []

    def _on_confirm_request(
        self, envelope: Envelope, message: ConfirmRequest, _now_ms: int
    ) -> list[Output]:
        reply = self.lease_state.on_confirm_request(message)
        outputs: list[Output] = [Send(envelope.sender, reply)]
        if reply.known > message.number:
            outputs.extend(self._push_head_to(envelope.sender))
        return outputs

    def _on_confirm_reply(
        self, envelope: Envelope, message: ConfirmReply, now_ms: int
    ) -> list[Output]:
        self.lease_state.on_confirm_reply(envelope.sender, message, now_ms)
        return []

    def _on_loan_request(
        self, envelope: Envelope, message: LoanRequest, now_ms: int
    ) -> list[Output]:
        reply = self.loan_router.answer_request(
            envelope.sender, envelope.incarnation, message, now_ms
        )
        return [Send(envelope.sender, reply)]

    def _on_loan_reply(self, envelope: Envelope, message: LoanReply, now_ms: int) -> list[Output]:
        self.loan_router.on_reply(envelope.sender, message, now_ms)
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
