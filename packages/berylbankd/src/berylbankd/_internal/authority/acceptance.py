"""Proof that a written head is accepted, and later in force everywhere.

A head is accepted when a majority of its seats, and of the seats before the last change of seats,
acknowledged it within one window; from then on no majority confirms a VM below it. It is in force
when every one of those VMs acknowledged it, or when every older lease has lapsed.
"""

from collections.abc import Iterator
from typing import NamedTuple

from berylbank._internal.models.head import Head
from berylbankd._internal.authority.authority import is_majority
from berylbankd._internal.authority.timing import Timing

PUSH_EVERY_MS = 200
KEPT_ROUNDS = 64


class PushTo(NamedTuple):
    """Push the head to ``vm``; ``with_content`` is False for a VM that has acknowledged it."""

    vm: str
    round_id: int
    with_content: bool


class Acceptance:
    """Tracks one head on the VM that wants to know; counts on that VM's clock alone.

    ``round_ids`` never gives an id twice to any tracker of any start of this VM.
    """

    def __init__(self, vm: str, head: Head, timing: Timing, round_ids: Iterator[int]) -> None:
        self.vm = vm
        self.number = head.number
        self.seats = head.seated_vms()
        self.prior = frozenset(head.prior_vms) or self.seats
        self.full = head.all_seats_taken()
        self.timing = timing
        self.accepted_ms: int | None = None
        self.in_force_ms: int | None = None
        self.acked: dict[str, int] = {}
        self.rounds: dict[int, int] = {}
        self.round_ids = round_ids
        self.next_push_ms = 0

    def electorate(self) -> frozenset[str]:
        """Return every VM whose acknowledgement counts."""
        return self.seats | self.prior

    def tick(self, now_ms: int) -> list[PushTo]:
        """Return the pushes that are due; the caller counts as having acknowledged."""
        self.acked[self.vm] = now_ms
        self._judge(now_ms)
        if self.in_force_ms is not None or now_ms < self.next_push_ms:
            return []
        self.next_push_ms = now_ms + PUSH_EVERY_MS
        round_id = next(self.round_ids)
        self.rounds[round_id] = now_ms
        while len(self.rounds) > KEPT_ROUNDS:
            del self.rounds[next(iter(self.rounds))]
        others = sorted(self.electorate() - {self.vm})
        return [PushTo(vm, round_id, vm not in self.acked) for vm in others]

    def on_ack(self, sender: str, round_id: int, known: int, now_ms: int) -> None:
        """Count an acknowledgement from when the push that it answers was sent."""
        sent_ms = self.rounds.get(round_id)
        if sent_ms is None or known < self.number:
            return
        self.acked[sender] = max(sent_ms, self.acked.get(sender, sent_ms))
        self.acked[self.vm] = now_ms
        self._judge(now_ms)

    def waiting_for(self) -> tuple[str, ...]:
        """Return the VMs that have not acknowledged yet."""
        return tuple(sorted(self.electorate() - self.acked.keys()))

    def _judge(self, now_ms: int) -> None:
        fresh = self._fresh_voters(now_ms)
        if self.accepted_ms is None:
            if is_majority(fresh, self.seats) and is_majority(fresh, self.prior):
                self.accepted_ms = now_ms
            else:
                return
        lapsed = now_ms >= self.accepted_ms + self.timing.lease_lapse_ms
        complete = fresh >= self.electorate() and not self.full
        if self.in_force_ms is None and (lapsed or complete):
            self.in_force_ms = now_ms

    def _fresh_voters(self, now_ms: int) -> frozenset[str]:
        oldest = now_ms - self.timing.ack_window_ms
        return frozenset(vm for vm, sent_ms in self.acked.items() if sent_ms >= oldest)
