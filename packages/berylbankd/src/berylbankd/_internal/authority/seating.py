"""Decides when seats, shares and owners change. Pure: a view of the fleet in, a new head out."""

from collections.abc import Iterator
from typing import NamedTuple

from berylbank._internal.models.configuration import Configuration
from berylbank._internal.models.head import Head, Seat
from berylbank._internal.models.seating import assign_rights, change_seats
from berylbankd._internal.authority.acceptance import Acceptance
from berylbankd._internal.authority.authority import Authority, is_majority
from berylbankd._internal.authority.timing import Timing

RANK_DELAY_MS = 300


class PeerView(NamedTuple):
    """What is heard of another VM; ``heard_ms`` is None before its first heartbeat."""

    seat: Seat | None
    heard_ms: int | None
    ready: bool = False
    leaving: bool = False
    known: int = 0


class Fleet(NamedTuple):
    """This VM's own seat and its view of all others, by name."""

    own: Seat
    peers: dict[str, PeerView]
    leaving: bool = False

    def heard_since(self, oldest_ms: int) -> frozenset[str]:
        """Return the VMs heard since ``oldest_ms``, this one included."""
        heard = {vm for vm, peer in self.peers.items() if (peer.heard_ms or 0) >= oldest_ms}
        return frozenset(heard | {self.own.vm})


class Proposal(NamedTuple):
    """A new head to be written in place of head ``base``."""

    base: int
    head: Head
    summary: str


class SeatKeeper:
    """Proposes changes of seats, each only on a head that is proved to be in force.

    Rights (shares, ownership of slots) are taken away in one head and given anew in a later one,
    once the first is in force and every loan of those rights has lapsed.
    """

    def __init__(
        self, timing: Timing, now_ms: int, seat_limit: int, round_ids: Iterator[int]
    ) -> None:
        self.timing = timing
        self.started_ms = now_ms
        self.seat_limit = seat_limit
        self.round_ids = round_ids
        self.wanted: Head | None = None
        self.wanted_since_ms = now_ms
        self.proof: Acceptance | None = None

    def decide(self, now_ms: int, authority: Authority, fleet: Fleet) -> Proposal | None:
        """Return the change to write now, or None."""
        if not authority.store_answers(now_ms) or fleet.leaving:
            return None
        head = authority.head
        if head is None:
            return self._bootstrap(authority, fleet)
        if not authority.has_content():
            return None
        wanted = self._want(now_ms, head, authority.configuration, fleet)
        if wanted is None:
            self.wanted = None
            self.proof = None
            return None
        if self.wanted is None or self.wanted.number != wanted.number:
            self.wanted_since_ms = now_ms
        self.wanted = wanted
        if now_ms < self.wanted_since_ms + self._rank(now_ms, head, fleet) * RANK_DELAY_MS:
            return None
        return self._propose_when_proved(now_ms, authority, head, wanted)

    def _bootstrap(self, authority: Authority, fleet: Fleet) -> Proposal | None:
        if not authority.row_missing:
            return None
        empty = Head(0, "", (), seat_limit=self.seat_limit)
        first = assign_rights(change_seats(empty, [fleet.own], ()), Configuration())
        head = (first or change_seats(empty, [fleet.own], ()))._replace(number=1, shrunk_at=1)
        return Proposal(0, head, f"first seat: {fleet.own.vm}")

    def _want(
        self, now_ms: int, head: Head, configuration: Configuration, fleet: Fleet
    ) -> Head | None:
        oldest_ms = max(now_ms - self.timing.suspect_ms, 0)
        heard = fleet.heard_since(oldest_ms)
        joining = self._joining(head, fleet, heard)
        leaving = self._leaving(now_ms, head, heard)
        if joining or leaving:
            if head.seated_vms() and not is_majority(heard, head.seated_vms()):
                return None
            return change_seats(head, joining, leaving)
        return assign_rights(head, configuration)

    def _joining(self, head: Head, fleet: Fleet, heard: frozenset[str]) -> list[Seat]:
        peers = [
            peer.seat
            for vm, peer in sorted(fleet.peers.items())
            if vm in heard and peer.seat is not None and not peer.leaving
        ]
        unseated = [seat for seat in (fleet.own, *peers) if head.seat_of(seat.vm) is None]
        return unseated[: max(0, head.seat_limit - len(head.seats))]

    def _leaving(self, now_ms: int, head: Head, heard: frozenset[str]) -> list[str]:
        if now_ms < self.started_ms + self.timing.suspect_ms:
            return []
        return sorted(head.seated_vms() - heard)

    def _rank(self, now_ms: int, head: Head, fleet: Fleet) -> int:
        heard = fleet.heard_since(max(now_ms - self.timing.suspect_ms, 0))
        order = sorted(head.seated_vms() & heard) or [fleet.own.vm]
        return order.index(fleet.own.vm) if fleet.own.vm in order else len(order)

    def _propose_when_proved(
        self, now_ms: int, authority: Authority, head: Head, wanted: Head
    ) -> Proposal | None:
        if self.proof is None or self.proof.number != head.number:
            self.proof = Acceptance(authority.vm, head, self.timing, self.round_ids)
        if self.proof.in_force_ms is None:
            return None
        gives_rights = wanted.shrunk_at != wanted.number
        wait_ms = self.timing.loan_lapse_ms if gives_rights else 0
        if now_ms < self.proof.in_force_ms + wait_ms:
            return None
        summary = "rights settled" if gives_rights else "seats changed"
        return Proposal(head.number, wanted, summary)
