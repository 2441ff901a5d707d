"""Deliberate faults in the daemon's rules: each must make the campaign fail."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from berylbank._internal.wire.messages import ConfirmReply
from berylbankd._internal.coordination.ack_tracker import AckTracker
from berylbankd._internal.coordination.lease_state import LeaseState
from berylbankd._internal.coordination.seat_planner import SeatPlanner
from berylbankd._internal.coordination.timing import Timing
from berylbankd._internal.loans.ledger import Borrower, Lender, Loan
from berylbankd._internal.rates.bucket import Bucket
from berylbankd._internal.rates.limiter import RateLimiter

ORIGINAL_INIT = LeaseState.__init__
ORIGINAL_SETTLE = Bucket.refill
ORIGINAL_JUDGE = AckTracker._update_state


def _confirm_below(self: LeaseState, request: Any) -> ConfirmReply:
    return ConfirmReply(request.round_id, request.number, self.may_confirm)


def _accept_alone(self: AckTracker, now_ms: int) -> None:
    self.accepted_ms = self.accepted_ms if self.accepted_ms is not None else now_ms
    ORIGINAL_JUDGE(self, now_ms)


def _in_force_at_once(self: AckTracker, now_ms: int) -> None:
    ORIGINAL_JUDGE(self, now_ms)
    if self.accepted_ms is not None:
        self.in_force_ms = self.in_force_ms or now_ms


def _vouch_at_start(self: LeaseState, *arguments: Any) -> None:
    ORIGINAL_INIT(self, *arguments)
    self.may_confirm = True


def _lease_from_answer(self: LeaseState, _started_ms: int, now_ms: int) -> None:
    self.lease_epoch += now_ms >= self.lease_until_ms
    self.lease_until_ms = now_ms + self.timing.lease_ms


def _loan_from_answer(self: Borrower, lender: str, request_id: int, units: int, spare: int) -> bool:
    sent = self.requests.get(lender)
    if sent is None or sent.request_id != request_id:
        return False
    del self.requests[lender]
    self.spare_by_lender[lender] = spare
    self.loans[lender] = Loan(units, sent.sent_ms + 3 * self.term_ms)
    return True


def _any_reply(self: Borrower, lender: str, _request_id: int, units: int, spare: int) -> bool:
    sent = self.requests.get(lender)
    if sent is None:
        return False
    self.spare_by_lender[lender] = spare
    self.loans[lender] = Loan(units, sent.sent_ms + self.term_ms)
    return True


def _keep_tokens(self: Bucket, now_ms: int, lease_until_ms: int, lease_epoch: int) -> None:
    if self.lease_epoch != -1:
        self.lease_epoch = lease_epoch
    ORIGINAL_SETTLE(self, now_ms, lease_until_ms, lease_epoch)


def _mint_at_once(self: RateLimiter, now_ms: int) -> None:
    head = self.lease_state.head
    if head is None:
        return
    if head.number != self.applied_head_number:
        self._rebuild(self.lease_state.configuration)
        self.applied_head_number = head.number
    seat = head.seat_of(self.lease_state.vm)
    for bucket in self.buckets.values():
        self._refill(bucket, now_ms)
        bucket.own_share = seat.share if seat is not None else 0


def _settle_early(self: SeatPlanner, timing: Timing, *arguments: Any) -> None:
    KEEPER_INIT(self, timing._replace(loan_expiry_wait_ms=0), *arguments)


def _no_quarantine(self: LeaseState, vm: str, timing: Timing, *arguments: Any) -> None:
    ORIGINAL_INIT(self, vm, timing._replace(startup_wait_ms=0), *arguments)


KEEPER_INIT = SeatPlanner.__init__

MUTATIONS: dict[str, tuple[type, str, Callable[..., Any]]] = {
    "a VM confirms heads below its own": (LeaseState, "on_confirm_request", _confirm_below),
    "a head is accepted without a majority": (AckTracker, "_update_state", _accept_alone),
    "a head is in force once accepted": (AckTracker, "_update_state", _in_force_at_once),
    "a restarted VM vouches at once": (LeaseState, "__init__", _vouch_at_start),
    "a restarted VM asks at once": (LeaseState, "__init__", _no_quarantine),
    "a lease counts from the answer": (LeaseState, "_extend_lease", _lease_from_answer),
    "a loan outlives its term": (Borrower, "on_reply", _loan_from_answer),
    "a late reply counts": (Borrower, "on_reply", _any_reply),
    "a lender keeps what it lent": (Lender, "total_lent", lambda _self, _now_ms: 0),
    "tokens survive a lapsed lease": (Bucket, "refill", _keep_tokens),
    "a restarted VM mints at once": (RateLimiter, "refresh", _mint_at_once),
    "rights are settled before loans lapse": (SeatPlanner, "__init__", _settle_early),
}


@contextlib.contextmanager
def mutated(name: str) -> Iterator[None]:
    """Apply a mutation for a while."""
    owner, attribute, replacement = MUTATIONS[name]
    with mock.patch.object(owner, attribute, replacement):
        yield
