"""Divides requests between source and target of a shift, and decides when to advance or undo it."""

from typing import NamedTuple

from berylbank._internal.models.changes import StepShift
from berylbank._internal.models.configuration import Backend, Configuration
from berylbank._internal.models.head import Head
from berylbank._internal.models.shifts import (
    BY_VERSION,
    DONE,
    FULL_SHARE_MILLIONTHS,
    RUNNING,
    UNDONE,
    Shift,
)
from berylbank._internal.wire.messages import ShiftStats
from berylbankd._internal.backends.slots import ALL_BACKENDS, BackendSubset
from berylbankd._internal.coordination.timing import Timing
from berylbankd._internal.shifts.evidence import (
    Assessment,
    EvidenceWindow,
    RequestStats,
    RouteSide,
    Verdict,
    assess_target,
    merge_stats,
)

ADVANCE_DELAY_PER_RANK_MS = 300


class SideChoice(NamedTuple):
    """The backend servers that a request may go to, and those to use if none has a free slot."""

    side: BackendSubset
    fallback: BackendSubset | None = None


class PeerEvidence(NamedTuple):
    """The statistics that another VM reported, by shift, and when it did."""

    reported_ms: int
    stats: dict[str, dict[RouteSide, RequestStats]]


ANY_SIDE_CHOICE = SideChoice(ALL_BACKENDS)


class LocalShift:
    """The state of one shift on this VM.

    ``step_since_ms`` is when this VM learned of the current step. ``credit`` is the part of a
    request, in millionths, that the target may still get, see :meth:`ShiftController.choose_side`.
    """

    def __init__(self, shift: Shift, now_ms: int) -> None:
        self.shift = shift
        self.key = shift.unique_name()
        self.step_since_ms = now_ms
        self.credit = 0
        self.window = EvidenceWindow(shift.step_ms)

    def side(self, target: bool) -> BackendSubset:
        """Return the backend servers of the target, or else those of the source."""
        return BackendSubset(self.shift.by, self.shift.target if target else self.shift.source)


class ShiftController:
    """All shifts of the configuration, as one VM handles them.

    ``blocked_keys`` holds the keys of the shifts whose target gets no requests from this VM
    because it was found bad. ``default_choices`` are for services without a shift but with a
    version.
    """

    def __init__(self, vm: str, timing: Timing) -> None:
        self.vm = vm
        self.timing = timing
        self.configuration: Configuration | None = None
        self.shifts_by_key: dict[str, LocalShift] = {}
        self.shifts_by_service: dict[str, LocalShift] = {}
        self.default_choices: dict[str, SideChoice] = {}
        self.blocked_keys: frozenset[str] = frozenset()
        self.peer_evidence: dict[str, PeerEvidence] = {}

    def choose_side(self, service: str) -> SideChoice:
        """Return where the next request of a service goes.

        Each request adds the target's share to the credit. Once the credit is a full share, the
        request goes to the target, which takes a full share from the credit. Of any sequence of
        consecutive requests, the target therefore gets at most its share and one more.
        """
        local = self.shifts_by_service.get(service)
        if local is None:
            return self.default_choices.get(service, ANY_SIDE_CHOICE)
        source = local.side(target=False)
        if local.key in self.blocked_keys or local.shift.state == UNDONE:
            return SideChoice(source)
        share = local.shift.target_share()
        local.credit = min(FULL_SHARE_MILLIONTHS, local.credit + share)
        if local.credit < FULL_SHARE_MILLIONTHS:
            return SideChoice(source)
        local.credit -= FULL_SHARE_MILLIONTHS
        return SideChoice(local.side(target=True), source)

    def record_result(
        self, backend: Backend, route: str, failed: bool, latency_ms: int, now_ms: int
    ) -> None:
        """Add a finished request to the statistics of its side, if its service has a shift."""
        local = self.shifts_by_service.get(backend.service)
        if local is None:
            return
        for target in (True, False):
            if local.side(target).includes(backend):
                stats = RequestStats(1, int(failed), latency_ms)
                local.window.add(RouteSide(route, target), stats, now_ms)

    def collect_evidence(self, now_ms: int) -> tuple[ShiftStats, ...]:
        """Return the recent statistics of this VM, to be sent to the other VMs."""
        return tuple(
            ShiftStats(key, route_side.route, route_side.target, *stats)
            for key, local in self.shifts_by_key.items()
            if local.shift.state != UNDONE
            for route_side, stats in local.window.totals(now_ms).items()
        )

    def on_peer_report(
        self, vm: str, evidence: tuple[ShiftStats, ...], blocked_keys: tuple[str, ...], now_ms: int
    ) -> None:
        """Store the statistics of another VM; a target that it blocked is blocked here at once."""
        stats_by_shift: dict[str, dict[RouteSide, RequestStats]] = {}
        for item in evidence:
            route_side = RouteSide(item.route, item.target)
            stats = RequestStats(item.requests, item.errors, item.latency_ms)
            stats_by_shift.setdefault(item.shift, {})[route_side] = stats
        self.peer_evidence[vm] = PeerEvidence(now_ms, stats_by_shift)
        self.blocked_keys |= frozenset(blocked_keys) & self.shifts_by_key.keys()

    def decide(
        self, now_ms: int, head: Head, configuration: Configuration, may_write: bool
    ) -> StepShift | None:
        """Block targets that are bad, and return a change to write if one is due.

        Targets are blocked at once, even if this VM may not write a change.
        """
        self._apply_configuration(now_ms, configuration)
        due_change = None
        for local in self.shifts_by_key.values():
            if local.shift.state == UNDONE:
                continue
            assessment = self._assess(now_ms, head, local)
            if assessment.verdict is Verdict.BAD:
                self.blocked_keys |= {local.key}
            change = self._decide_change(now_ms, head, local, assessment)
            due_change = due_change or change
        return due_change if may_write else None

    def _decide_change(
        self, now_ms: int, head: Head, local: LocalShift, assessment: Assessment
    ) -> StepShift | None:
        """Return the change that undoes or advances a shift, if one is due.

        Only a running shift has a time limit and advances; one that is done can still be undone.
        """
        shift = local.shift
        elapsed_ms = now_ms - local.step_since_ms
        spent_ms = shift.spent_ms + elapsed_ms
        if local.key in self.blocked_keys:
            reason = assessment.reason if assessment.verdict is Verdict.BAD else "found bad"
            return StepShift(shift.name, shift.step, shift.step, UNDONE, spent_ms, reason)
        if shift.state != RUNNING:
            return None
        if spent_ms >= shift.within_ms:
            reason = f"not over in time: {assessment.reason}"
            return StepShift(shift.name, shift.step, shift.step, UNDONE, spent_ms, reason)
        if not self._may_advance(now_ms, head, local, assessment):
            return None
        state_after = DONE if shift.is_at_last_step() else RUNNING
        step_after = min(shift.step + 1, len(shift.steps))
        return StepShift(
            shift.name, shift.step, step_after, state_after, spent_ms, assessment.reason
        )

    def _may_advance(
        self, now_ms: int, head: Head, local: LocalShift, assessment: Assessment
    ) -> bool:
        """Tell whether this VM may write the next step now.

        VMs wait longer the higher their rank, so that usually only the first one writes.
        """
        wait_ms = local.shift.step_ms + self._own_rank(head) * ADVANCE_DELAY_PER_RANK_MS
        has_waited = now_ms - local.step_since_ms >= wait_ms
        return (
            has_waited
            and assessment.verdict is Verdict.GOOD
            and self._all_vms_reported(now_ms, head)
        )

    def _assess(self, now_ms: int, head: Head, local: LocalShift) -> Assessment:
        """Assess by this VM's own statistics first, then by those of all VMs together."""
        own_stats = local.window.totals(now_ms)
        own_assessment = assess_target(own_stats)
        if own_assessment.verdict is Verdict.BAD:
            return own_assessment
        oldest_ms = now_ms - self.timing.suspect_ms
        peer_stats = [
            peer.stats.get(local.key, {})
            for vm, peer in self.peer_evidence.items()
            if peer.reported_ms >= oldest_ms and vm in head.seated_vms()
        ]
        return assess_target(merge_stats([own_stats, *peer_stats]))

    def _all_vms_reported(self, now_ms: int, head: Head) -> bool:
        """Tell whether every seated VM has reported lately; otherwise no shift advances."""
        oldest_ms = now_ms - self.timing.suspect_ms
        other_vms = head.seated_vms() - {self.vm}
        return all(
            vm in self.peer_evidence and self.peer_evidence[vm].reported_ms >= oldest_ms
            for vm in other_vms
        )

    def _own_rank(self, head: Head) -> int:
        """Return the position of this VM among the seated VMs by name."""
        order = sorted(head.seated_vms())
        return order.index(self.vm) if self.vm in order else len(order)

    def _apply_configuration(self, now_ms: int, configuration: Configuration) -> None:
        """Take over the shifts of a new configuration; keep the local state of known ones."""
        if configuration is self.configuration:
            return
        self.configuration = configuration
        shifts_by_key: dict[str, LocalShift] = {}
        for shift in configuration.shifts:
            local = self.shifts_by_key.get(shift.unique_name())
            shifts_by_key[shift.unique_name()] = self._update_shift(local, shift, now_ms)
        self.shifts_by_key = shifts_by_key
        self.shifts_by_service = {local.shift.service: local for local in shifts_by_key.values()}
        self.default_choices = {
            service.name: SideChoice(BackendSubset(BY_VERSION, service.version))
            for service in configuration.services
            if service.version
        }
        live_keys = {key for key, local in shifts_by_key.items() if local.shift.state != UNDONE}
        self.blocked_keys &= live_keys

    def _update_shift(self, local: LocalShift | None, shift: Shift, now_ms: int) -> LocalShift:
        if local is None:
            return LocalShift(shift, now_ms)
        if local.shift != shift:
            local.step_since_ms = now_ms
        local.shift = shift
        return local
