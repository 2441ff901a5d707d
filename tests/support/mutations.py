"""Mutations of the daemon's coordination rules: each must violate an invariant in a test."""

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

ORIGINAL_LEASE_STATE_INIT = LeaseState.__init__
ORIGINAL_REFILL = Bucket.refill
ORIGINAL_UPDATE_STATE = AckTracker._update_state


def _confirm_older_heads(self: LeaseState, request: Any) -> ConfirmReply:
    return ConfirmReply(request.round_id, request.number, self.may_confirm)


def _accept_without_majority(self: AckTracker, now_ms: int) -> None:
    self.accepted_ms = self.accepted_ms if self.accepted_ms is not None else now_ms
    ORIGINAL_UPDATE_STATE(self, now_ms)


def _put_in_force_when_accepted(self: AckTracker, now_ms: int) -> None:
    ORIGINAL_UPDATE_STATE(self, now_ms)
    if self.accepted_ms is not None:
        self.in_force_ms = self.in_force_ms or now_ms


def _confirm_leases_at_start(self: LeaseState, *arguments: Any) -> None:
    ORIGINAL_LEASE_STATE_INIT(self, *arguments)
    self.may_confirm = True


def _extend_lease_from_answer(self: LeaseState, _started_ms: int, now_ms: int) -> None:
    self.lease_epoch += now_ms >= self.lease_until_ms
    self.lease_until_ms = now_ms + self.timing.lease_ms


def _keep_loan_past_term(
    self: Borrower, lender: str, request_id: int, units: int, spare: int
) -> bool:
    sent = self.requests.get(lender)
    if sent is None or sent.request_id != request_id:
        return False
    del self.requests[lender]
    self.spare_by_lender[lender] = spare
    self.loans[lender] = Loan(units, sent.sent_ms + 3 * self.term_ms)
    return True


def _accept_late_reply(
    self: Borrower, lender: str, _request_id: int, units: int, spare: int
) -> bool:
    sent = self.requests.get(lender)
    if sent is None:
        return False
    self.spare_by_lender[lender] = spare
    self.loans[lender] = Loan(units, sent.sent_ms + self.term_ms)
    return True


def _keep_tokens_after_expiry(
    self: Bucket, now_ms: int, lease_until_ms: int, lease_epoch: int
) -> None:
    if self.lease_epoch != -1:
        self.lease_epoch = lease_epoch
    ORIGINAL_REFILL(self, now_ms, lease_until_ms, lease_epoch)


def _use_own_share_at_start(self: RateLimiter, now_ms: int) -> None:
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


def _assign_rights_early(self: SeatPlanner, timing: Timing, *arguments: Any) -> None:
    ORIGINAL_SEAT_PLANNER_INIT(self, timing._replace(loan_expiry_wait_ms=0), *arguments)


def _skip_startup_wait(self: LeaseState, vm: str, timing: Timing, *arguments: Any) -> None:
    ORIGINAL_LEASE_STATE_INIT(self, vm, timing._replace(startup_wait_ms=0), *arguments)


ORIGINAL_SEAT_PLANNER_INIT = SeatPlanner.__init__

MUTATIONS: dict[str, tuple[type, str, Callable[..., Any]]] = {
    "a VM confirms leases on older heads": (LeaseState, "on_confirm_request", _confirm_older_heads),
    "a head is accepted without a majority": (
        AckTracker,
        "_update_state",
        _accept_without_majority,
    ),
    "a head is in force once accepted": (AckTracker, "_update_state", _put_in_force_when_accepted),
    "a restarted VM confirms leases at once": (LeaseState, "__init__", _confirm_leases_at_start),
    "a restarted VM counts lease votes at once": (LeaseState, "__init__", _skip_startup_wait),
    "a lease starts at the answer": (LeaseState, "_extend_lease", _extend_lease_from_answer),
    "a borrower keeps a loan past its term": (Borrower, "on_reply", _keep_loan_past_term),
    "a borrower accepts a late reply": (Borrower, "on_reply", _accept_late_reply),
    "a lender also uses what it lent": (Lender, "total_lent", lambda _self, _now_ms: 0),
    "tokens survive an expired lease": (Bucket, "refill", _keep_tokens_after_expiry),
    "a restarted VM uses its own share at once": (RateLimiter, "refresh", _use_own_share_at_start),
    "rights are assigned before loans expire": (SeatPlanner, "__init__", _assign_rights_early),
}


@contextlib.contextmanager
def apply_mutation(name: str) -> Iterator[None]:
    """Apply a mutation within a ``with`` block."""
    owner, attribute, replacement = MUTATIONS[name]
    with mock.patch.object(owner, attribute, replacement):
        yield
