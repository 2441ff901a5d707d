"""Decides when seats, shares of rates and owners of backend groups change.

Does no I/O: takes this VM's view of the fleet and returns a new head to write.
"""

from collections.abc import Iterator
from typing import NamedTuple

from berylbank._internal.models.configuration import Configuration
from berylbank._internal.models.head import Head, Seat
from berylbank._internal.models.seating import assign_rights, change_seats
from berylbankd._internal.coordination.ack_tracker import AckTracker
from berylbankd._internal.coordination.lease_state import LeaseState, is_majority
from berylbankd._internal.coordination.timing import Timing

PROPOSAL_DELAY_PER_RANK_MS = 300


class PeerStatus(NamedTuple):
    """State of another VM by its heartbeats; ``last_heartbeat_ms`` is None before the first."""

    seat: Seat | None
    last_heartbeat_ms: int | None
    ready: bool = False
    leaving: bool = False
    latest_head_number: int = 0


class FleetView(NamedTuple):
    """This VM's own seat and the status of all other VMs, by name."""

    own: Seat
    peers: dict[str, PeerStatus]
    leaving: bool = False

    def heard_since(self, oldest_ms: int) -> frozenset[str]:
        """Return this VM and those that sent a heartbeat since ``oldest_ms``."""
        heard = {
            vm for vm, peer in self.peers.items() if (peer.last_heartbeat_ms or 0) >= oldest_ms
        }
        return frozenset(heard | {self.own.vm})


class HeadProposal(NamedTuple):
    """A new head, to be written only if the stored head is still number ``base_number``."""

    base_number: int
    head: Head
    summary: str


class SeatPlanner:
    """Proposes changes of seats, each only on top of a head that is in force.

    Rights (shares of rates, ownership of slots) are taken away in one head and reassigned in a
    later one, once the first is in force and every loan of those rights has expired.
    ``base_tracker`` tracks whether the current head is in force.
    """

    def __init__(
        self, timing: Timing, now_ms: int, seat_limit: int, round_ids: Iterator[int]
    ) -> None:
        self.timing = timing
        self.started_ms = now_ms
        self.seat_limit = seat_limit
        self.round_ids = round_ids
        self.planned: Head | None = None
        self.planned_since_ms = now_ms
        self.base_tracker: AckTracker | None = None

    def decide(self, now_ms: int, lease_state: LeaseState, fleet: FleetView) -> HeadProposal | None:
        """Return the change to write now, or None.

        The seated VMs propose one after the other by rank, so that they rarely write at once.
        """
        if not lease_state.store_answered_recently(now_ms) or fleet.leaving:
            return None
        head = lease_state.head
        if head is None:
            return self._bootstrap(lease_state, fleet)
        if not lease_state.has_latest_head():
            return None
        planned = self._plan_next_head(now_ms, head, lease_state.configuration, fleet)
        if planned is None:
            self.planned = None
            self.base_tracker = None
            return None
        if self.planned is None or self.planned.number != planned.number:
            self.planned_since_ms = now_ms
        self.planned = planned
        if (
            now_ms
            < self.planned_since_ms + self._rank(now_ms, head, fleet) * PROPOSAL_DELAY_PER_RANK_MS
        ):
            return None
        return self._propose_when_in_force(now_ms, lease_state, head, planned)

    def _bootstrap(self, lease_state: LeaseState, fleet: FleetView) -> HeadProposal | None:
        if not lease_state.head_row_missing:
            return None
        empty = Head(0, "", (), seat_limit=self.seat_limit)
        first = assign_rights(change_seats(empty, [fleet.own], ()), Configuration())
        head = (first or change_seats(empty, [fleet.own], ()))._replace(number=1, shrunk_at=1)
        return HeadProposal(0, head, f"first seat: {fleet.own.vm}")

    def _plan_next_head(
        self, now_ms: int, head: Head, configuration: Configuration, fleet: FleetView
    ) -> Head | None:
        oldest_ms = max(now_ms - self.timing.suspect_ms, 0)
        heard = fleet.heard_since(oldest_ms)
        added = self._seats_to_add(head, fleet, heard)
        leaving = self._vms_to_remove(now_ms, head, heard)
        if added or leaving:
            if head.seated_vms() and not is_majority(heard, head.seated_vms()):
                return None
            return change_seats(head, added, leaving)
        return assign_rights(head, configuration)

    def _seats_to_add(self, head: Head, fleet: FleetView, heard: frozenset[str]) -> list[Seat]:
        peers = [
            peer.seat
            for vm, peer in sorted(fleet.peers.items())
            if vm in heard and peer.seat is not None and not peer.leaving
        ]
        unseated = [seat for seat in (fleet.own, *peers) if head.seat_of(seat.vm) is None]
        return unseated[: max(0, head.seat_limit - len(head.seats))]

    def _vms_to_remove(self, now_ms: int, head: Head, heard: frozenset[str]) -> list[str]:
        if now_ms < self.started_ms + self.timing.suspect_ms:
            return []
        return sorted(head.seated_vms() - heard)

    def _rank(self, now_ms: int, head: Head, fleet: FleetView) -> int:
        heard = fleet.heard_since(max(now_ms - self.timing.suspect_ms, 0))
        order = sorted(head.seated_vms() & heard) or [fleet.own.vm]
        return order.index(fleet.own.vm) if fleet.own.vm in order else len(order)

    def _propose_when_in_force(
        self, now_ms: int, lease_state: LeaseState, head: Head, planned: Head
    ) -> HeadProposal | None:
        if self.base_tracker is None or self.base_tracker.number != head.number:
            self.base_tracker = AckTracker(lease_state.vm, head, self.timing, self.round_ids)
        if self.base_tracker.in_force_ms is None:
            return None
        assigns_rights = planned.shrunk_at != planned.number
        wait_ms = self.timing.loan_expiry_wait_ms if assigns_rights else 0
        if now_ms < self.base_tracker.in_force_ms + wait_ms:
            return None
        summary = "rights settled" if assigns_rights else "seats changed"
        return HeadProposal(head.number, planned, summary)
