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
    """State of another VM by its last heartbeat; ``last_heartbeat_ms`` is when that arrived.

    ``seat`` and ``last_heartbeat_ms`` are None before the first heartbeat.
    """

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
        live_peers = {
            vm for vm, peer in self.peers.items() if (peer.last_heartbeat_ms or 0) >= oldest_ms
        }
        return frozenset(live_peers | {self.own.vm})


class HeadProposal(NamedTuple):
    """A new head, to be written only if the stored head is still number ``base_number``."""

    base_number: int
    head: Head
    summary: str


class SeatPlanner:
    """Proposes changes of seats, each only on top of a head that is in force.

    Rights (shares of rates, ownership of slot groups) are taken away in one head and reassigned
    in a later one, once the first is in force and every loan of those rights has expired.
    ``seat_limit`` is the maximum number of seats of the first head. ``base_tracker`` tracks
    whether the current head is in force.
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
            return self._propose_first_head(lease_state, fleet)
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
            < self.planned_since_ms
            + self._own_rank(now_ms, head, fleet) * PROPOSAL_DELAY_PER_RANK_MS
        ):
            return None
        return self._propose_when_in_force(now_ms, lease_state, head, planned)

    def _propose_first_head(self, lease_state: LeaseState, fleet: FleetView) -> HeadProposal | None:
        """Propose a head in which only this VM is seated, if the store has no head row."""
        if not lease_state.head_row_missing:
            return None
        empty_head = Head(0, "", (), seat_limit=self.seat_limit)
        with_rights = assign_rights(change_seats(empty_head, [fleet.own], ()), Configuration())
        head = (with_rights or change_seats(empty_head, [fleet.own], ()))._replace(
            number=1, shrunk_at=1
        )
        return HeadProposal(0, head, f"first seat: {fleet.own.vm}")

    def _plan_next_head(
        self, now_ms: int, head: Head, configuration: Configuration, fleet: FleetView
    ) -> Head | None:
        """Return the head to write next, or None if nothing is to be changed.

        Changes of seats come first, and need a recent heartbeat of a majority of the seated VMs.
        """
        oldest_ms = max(now_ms - self.timing.suspect_ms, 0)
        live_vms = fleet.heard_since(oldest_ms)
        seats_to_add = self._find_seats_to_add(head, fleet, live_vms)
        vms_to_remove = self._find_vms_to_remove(now_ms, head, live_vms)
        if seats_to_add or vms_to_remove:
            if head.seated_vms() and not is_majority(live_vms, head.seated_vms()):
                return None
            return change_seats(head, seats_to_add, vms_to_remove)
        return assign_rights(head, configuration)

    def _find_seats_to_add(
        self, head: Head, fleet: FleetView, live_vms: frozenset[str]
    ) -> list[Seat]:
        peer_seats = [
            peer.seat
            for vm, peer in sorted(fleet.peers.items())
            if vm in live_vms and peer.seat is not None and not peer.leaving
        ]
        unseated = [seat for seat in (fleet.own, *peer_seats) if head.seat_of(seat.vm) is None]
        return unseated[: max(0, head.seat_limit - len(head.seats))]

    def _find_vms_to_remove(self, now_ms: int, head: Head, live_vms: frozenset[str]) -> list[str]:
        """Return the seated VMs without a recent heartbeat; none until this VM could hear them."""
        if now_ms < self.started_ms + self.timing.suspect_ms:
            return []
        return sorted(head.seated_vms() - live_vms)

    def _own_rank(self, now_ms: int, head: Head, fleet: FleetView) -> int:
        """Return the position of this VM among the live seated VMs by name."""
        live_vms = fleet.heard_since(max(now_ms - self.timing.suspect_ms, 0))
        order = sorted(head.seated_vms() & live_vms) or [fleet.own.vm]
        return order.index(fleet.own.vm) if fleet.own.vm in order else len(order)

    def _propose_when_in_force(
        self, now_ms: int, lease_state: LeaseState, head: Head, planned: Head
    ) -> HeadProposal | None:
        """Propose ``planned`` once ``head`` is in force.

        A head that assigns rights also waits until loans of the rights taken away have expired.
        """
        if self.base_tracker is None or self.base_tracker.head_number != head.number:
            self.base_tracker = AckTracker(lease_state.vm, head, self.timing, self.round_ids)
        if self.base_tracker.in_force_ms is None:
            return None
        assigns_rights = planned.shrunk_at != planned.number
        wait_ms = self.timing.loan_expiry_wait_ms if assigns_rights else 0
        if now_ms < self.base_tracker.in_force_ms + wait_ms:
            return None
        summary = "rights settled" if assigns_rights else "seats changed"
        return HeadProposal(head.number, planned, summary)
