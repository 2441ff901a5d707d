"""Tracks the acknowledgements of a written head: when it is accepted, and when it is in force.

A head is accepted when a majority of its seated VMs, and a majority of the VMs seated before the
last change of seats, acknowledged it within one window. From then on no majority confirms the
lease of a VM that has an older head. A head is in force when all of these VMs acknowledged it, or
when every lease on an older head has expired. Only the latter counts while every seat is taken:
then VMs without a seat may act too, and nobody collects their acknowledgements.
"""

from collections.abc import Iterator
from typing import NamedTuple

from berylbank._internal.models.head import Head
from berylbankd._internal.coordination.lease_state import is_majority
from berylbankd._internal.coordination.timing import Timing

PUSH_INTERVAL_MS = 200
MAX_TRACKED_ROUNDS = 64


class PushTarget(NamedTuple):
    """Push the head to ``vm``; ``with_content`` is False if ``vm`` has acknowledged it before."""

    vm: str
    round_id: int
    with_content: bool


class AckTracker:
    """Collects the acknowledgements of one head on ``vm``; all times are on that VM's clock.

    ``acked_push_ms`` gives for each VM that acknowledged the head when the push that it answered
    was sent. ``round_ids`` never repeats an id, neither for another tracker nor after a restart
    of this VM. ``accepted_ms`` and ``in_force_ms`` are None until the head is in that state.
    """

    def __init__(self, vm: str, head: Head, timing: Timing, round_ids: Iterator[int]) -> None:
        self.vm = vm
        self.head_number = head.number
        self.seated_vms = head.seated_vms()
        self.prior_vms = frozenset(head.prior_vms) or self.seated_vms
        self.all_seats_taken = head.all_seats_taken()
        self.timing = timing
        self.accepted_ms: int | None = None
        self.in_force_ms: int | None = None
        self.acked_push_ms: dict[str, int] = {}
        self.round_sent_ms: dict[int, int] = {}
        self.round_ids = round_ids
        self.next_push_ms = 0

    def electorate(self) -> frozenset[str]:
        """Return the VMs whose acknowledgements count: those seated now and those seated before."""
        return self.seated_vms | self.prior_vms

    def tick(self, now_ms: int) -> list[PushTarget]:
        """Return the pushes that are due; this VM counts as having acknowledged the head."""
        self.acked_push_ms[self.vm] = now_ms
        self._update_state(now_ms)
        if self.in_force_ms is not None or now_ms < self.next_push_ms:
            return []
        self.next_push_ms = now_ms + PUSH_INTERVAL_MS
        round_id = next(self.round_ids)
        self.round_sent_ms[round_id] = now_ms
        while len(self.round_sent_ms) > MAX_TRACKED_ROUNDS:
            del self.round_sent_ms[next(iter(self.round_sent_ms))]
        others = sorted(self.electorate() - {self.vm})
        return [PushTarget(vm, round_id, vm not in self.acked_push_ms) for vm in others]

    def on_ack(self, sender: str, round_id: int, acked_head_number: int, now_ms: int) -> None:
        """Record an acknowledgement, dated to when the push that it answers was sent."""
        sent_ms = self.round_sent_ms.get(round_id)
        if sent_ms is None or acked_head_number < self.head_number:
            return
        self.acked_push_ms[sender] = max(sent_ms, self.acked_push_ms.get(sender, sent_ms))
        self.acked_push_ms[self.vm] = now_ms
        self._update_state(now_ms)

    def waiting_for(self) -> tuple[str, ...]:
        """Return the VMs that have not acknowledged the head yet."""
        return tuple(sorted(self.electorate() - self.acked_push_ms.keys()))

    def _update_state(self, now_ms: int) -> None:
        recent_voters = self._find_recent_voters(now_ms)
        if self.accepted_ms is None:
            if is_majority(recent_voters, self.seated_vms) and is_majority(
                recent_voters, self.prior_vms
            ):
                self.accepted_ms = now_ms
            else:
                return
        leases_expired = now_ms >= self.accepted_ms + self.timing.lease_expiry_wait_ms
        all_acked = recent_voters >= self.electorate() and not self.all_seats_taken
        if self.in_force_ms is None and (leases_expired or all_acked):
            self.in_force_ms = now_ms

    def _find_recent_voters(self, now_ms: int) -> frozenset[str]:
        """Return the VMs that acknowledged a push sent within the last ``ack_window_ms``."""
        oldest_ms = now_ms - self.timing.ack_window_ms
        return frozenset(vm for vm, sent_ms in self.acked_push_ms.items() if sent_ms >= oldest_ms)
