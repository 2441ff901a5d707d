"""Shares out requests between the sides of a shift, and decides when it steps or is undone."""

from typing import NamedTuple

from berylbank._internal.models.changes import StepShift
from berylbank._internal.models.configuration import Backend, Configuration
from berylbank._internal.models.head import Head
from berylbank._internal.models.shifts import BY_VERSION, DONE, FULL_SHARE, RUNNING, UNDONE, Shift
from berylbank._internal.wire.messages import Evidence
from berylbankd._internal.backends.slots import ANY_SIDE, Side
from berylbankd._internal.coordination.timing import Timing
from berylbankd._internal.shifts.evidence import (
    Judgement,
    Place,
    Tally,
    Verdict,
    Window,
    add_up,
    judge,
)

RANK_DELAY_MS = 300


class Choice(NamedTuple):
    """The side that a request goes to, and where it may go instead when that has no room."""

    side: Side
    fallback: Side | None = None


class PeerEvidence(NamedTuple):
    """What another VM saw, and when it said so."""

    at_ms: int
    tallies: dict[str, dict[Place, Tally]]


ANYWHERE = Choice(ANY_SIDE)


class ShiftState:
    """What this VM keeps of one shift: its window, its credit and since when it is at a step."""

    def __init__(self, shift: Shift, now_ms: int) -> None:
        self.shift = shift
        self.key = shift.key()
        self.since_ms = now_ms
        self.credit = 0
        self.window = Window(shift.step_ms)

    def side(self, target: bool) -> Side:
        """Return a side of the shift."""
        return Side(self.shift.by, self.shift.target if target else self.shift.source)


class ShiftKeeper:
    """All shifts as one VM sees them. ``cuts`` are those whose target it sends nothing to."""

    def __init__(self, vm: str, timing: Timing) -> None:
        self.vm = vm
        self.timing = timing
        self.configuration: Configuration | None = None
        self.states: dict[str, ShiftState] = {}
        self.by_service: dict[str, ShiftState] = {}
        self.unshifted: dict[str, Choice] = {}
        self.cuts: frozenset[str] = frozenset()
        self.peers: dict[str, PeerEvidence] = {}

    def choose_side(self, service: str) -> Choice:
        """Return where the next request of a service goes.

        Credit grows by the share for each request and is spent whole, so the target never gets
        more than its share of any run of requests, and one.
        """
        state = self.by_service.get(service)
        if state is None:
            return self.unshifted.get(service, ANYWHERE)
        source = state.side(target=False)
        if state.key in self.cuts or state.shift.state == UNDONE:
            return Choice(source)
        share = state.shift.share()
        state.credit = min(FULL_SHARE, state.credit + share)
        if state.credit < FULL_SHARE:
            return Choice(source)
        state.credit -= FULL_SHARE
        return Choice(state.side(target=True), source)

    def note(
        self, backend: Backend, route: str, failed: bool, latency_ms: int, now_ms: int
    ) -> None:
        """Take note of how a request ended."""
        state = self.by_service.get(backend.service)
        if state is None:
            return
        for target in (True, False):
            if state.side(target).includes(backend):
                tally = Tally(1, int(failed), latency_ms)
                state.window.add(Place(route, target), tally, now_ms)

    def evidence(self, now_ms: int) -> tuple[Evidence, ...]:
        """Return what this VM saw lately, for the others."""
        return tuple(
            Evidence(key, place.route, place.target, *tally)
            for key, state in self.states.items()
            if state.shift.state != UNDONE
            for place, tally in state.window.totals(now_ms).items()
        )

    def hear(
        self, vm: str, evidence: tuple[Evidence, ...], cuts: tuple[str, ...], now_ms: int
    ) -> None:
        """Take in what another VM saw; a target that it has cut is cut here at once."""
        tallies: dict[str, dict[Place, Tally]] = {}
        for item in evidence:
            place = Place(item.route, item.target)
            tally = Tally(item.requests, item.errors, item.latency_ms)
            tallies.setdefault(item.shift, {})[place] = tally
        self.peers[vm] = PeerEvidence(now_ms, tallies)
        self.cuts |= frozenset(cuts) & self.states.keys()

    def decide(
        self, now_ms: int, head: Head, configuration: Configuration, acting: bool
    ) -> StepShift | None:
        """Cut what is bad at once, and return the change to write, if any is due."""
        self._follow(now_ms, configuration)
        due = None
        for state in self.states.values():
            if state.shift.state == UNDONE:
                continue
            judgement = self._judge(now_ms, head, state)
            if judgement.verdict is Verdict.BAD:
                self.cuts |= {state.key}
            change = self._decide_shift(now_ms, head, state, judgement)
            due = due or change
        return due if acting else None

    def _decide_shift(
        self, now_ms: int, head: Head, state: ShiftState, judgement: Judgement
    ) -> StepShift | None:
        shift = state.shift
        elapsed_ms = now_ms - state.since_ms
        spent_ms = shift.spent_ms + elapsed_ms
        if state.key in self.cuts:
            reason = judgement.reason if judgement.verdict is Verdict.BAD else "found bad"
            return StepShift(shift.name, shift.step, shift.step, UNDONE, spent_ms, reason)
        if shift.state != RUNNING:
            return None
        if spent_ms >= shift.within_ms:
            reason = f"not over in time: {judgement.reason}"
            return StepShift(shift.name, shift.step, shift.step, UNDONE, spent_ms, reason)
        if not self._may_advance(now_ms, head, state, judgement):
            return None
        state_after = DONE if shift.is_last() else RUNNING
        step_after = min(shift.step + 1, len(shift.steps))
        return StepShift(
            shift.name, shift.step, step_after, state_after, spent_ms, judgement.reason
        )

    def _may_advance(
        self, now_ms: int, head: Head, state: ShiftState, judgement: Judgement
    ) -> bool:
        """Tell whether this VM may take the next step now; lower ranks go first."""
        wait_ms = state.shift.step_ms + self._rank(head) * RANK_DELAY_MS
        waited = now_ms - state.since_ms >= wait_ms
        return waited and judgement.verdict is Verdict.GOOD and self._all_heard(now_ms, head)

    def _judge(self, now_ms: int, head: Head, state: ShiftState) -> Judgement:
        """Judge by this VM's own evidence first, then by that of all VMs together."""
        own = state.window.totals(now_ms)
        alone = judge(own)
        if alone.verdict is Verdict.BAD:
            return alone
        oldest_ms = now_ms - self.timing.suspect_ms
        parts = [
            peer.tallies.get(state.key, {})
            for vm, peer in self.peers.items()
            if peer.at_ms >= oldest_ms and vm in head.vms()
        ]
        return judge(add_up([own, *parts]))

    def _all_heard(self, now_ms: int, head: Head) -> bool:
        """Tell whether every seated VM has reported; where one has not, shifts hold."""
        oldest_ms = now_ms - self.timing.suspect_ms
        others = head.vms() - {self.vm}
        return all(vm in self.peers and self.peers[vm].at_ms >= oldest_ms for vm in others)

    def _rank(self, head: Head) -> int:
        order = sorted(head.vms())
        return order.index(self.vm) if self.vm in order else len(order)

    def _follow(self, now_ms: int, configuration: Configuration) -> None:
        if configuration is self.configuration:
            return
        self.configuration = configuration
        states: dict[str, ShiftState] = {}
        for shift in configuration.shifts:
            old = self.states.get(shift.key())
            states[shift.key()] = self._renew(old, shift, now_ms)
        self.states = states
        self.by_service = {state.shift.service: state for state in states.values()}
        self.unshifted = {
            service.name: Choice(Side(BY_VERSION, service.version))
            for service in configuration.services
            if service.version
        }
        live = {key for key, state in states.items() if state.shift.state != UNDONE}
        self.cuts &= live

    def _renew(self, old: ShiftState | None, shift: Shift, now_ms: int) -> ShiftState:
        if old is None:
            return ShiftState(shift, now_ms)
        if old.shift != shift:
            old.since_ms = now_ms
        old.shift = shift
        return old
