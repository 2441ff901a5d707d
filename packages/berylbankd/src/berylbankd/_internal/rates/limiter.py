"""All token buckets of one VM, and the loans of their shares."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from berylbank._internal.models.configuration import Configuration
from berylbank._internal.wire.messages import LoanGrant, LoanRequestItem
from berylbankd._internal.coordination.lease_state import LeaseState
from berylbankd._internal.coordination.timing import Timing
from berylbankd._internal.loans.ledger import REPLY_TIMEOUT_MS, RequestSequence
from berylbankd._internal.loans.router import DesiredLoan
from berylbankd._internal.rates.bucket import Bucket

RESOURCE_PREFIX = "rate"
RENEWAL_TERM_FRACTION = 0.5
RECENT_REQUEST_MAX_AGE_MS = 400


class BucketKey(NamedTuple):
    """The organisation and the service whose rate a bucket limits."""

    organisation: str
    service: str

    def resource_name(self) -> str:
        """Return the name of the bucket in loan messages."""
        return f"{RESOURCE_PREFIX}:{self.organisation}:{self.service}"


class RateLimiter:
    """Token buckets by organisation and service; a bucket is refilled before each use.

    ``active`` holds the buckets that callers of this VM use; only these are served and borrow.
    ``retired`` holds buckets without an entitlement while shares of them may still be lent.
    ``last_loan_request_ms`` holds when this VM last requested a loan, by resource.
    ``list_lenders`` returns the VMs that may lend, nearest first.
    """

    prefix = RESOURCE_PREFIX

    def __init__(
        self, lease_state: LeaseState, timing: Timing, list_lenders: Callable[[], tuple[str, ...]]
    ) -> None:
        self.lease_state = lease_state
        self.timing = timing
        self.list_lenders = list_lenders
        self.buckets: dict[BucketKey, Bucket] = {}
        self.active: dict[BucketKey, Bucket] = {}
        self.retired: dict[BucketKey, Bucket] = {}
        self.by_resource: dict[str, Bucket] = {}
        self.applied_head_number = -1
        self.last_loan_request_ms: dict[str, int] = {}
        self.refill_allowed = False

    def refresh(self, now_ms: int) -> None:
        """Apply the newest head: a bucket for every entitlement, and the share of this VM's seat.

        The own share stays zero until all loans from an earlier start of this VM have expired.
        """
        head = self.lease_state.head
        if head is None:
            return
        may_refill = now_ms >= self.lease_state.started_ms + self.timing.loan_expiry_wait_ms
        if head.number == self.applied_head_number and may_refill == self.refill_allowed:
            return
        if head.number != self.applied_head_number:
            self._rebuild(self.lease_state.configuration)
        seat = head.seat_of(self.lease_state.vm)
        share = seat.share if seat is not None and may_refill else 0
        for bucket in self.buckets.values():
            self._refill(bucket, now_ms)
            bucket.own_share = share
            self._refill(bucket, now_ms)
        self.applied_head_number = head.number
        self.refill_allowed = may_refill

    def find(self, organisation: str, service: str) -> Bucket | None:
        """Return the bucket of an entitlement and mark it active, or None where there is none."""
        key = BucketKey(organisation, service)
        bucket = self.buckets.get(key)
        if bucket is not None:
            self.active[key] = bucket
        return bucket

    def take_token(self, bucket: Bucket, now_ms: int) -> bool:
        """Take a token for a new request; False if there is none or older requests wait."""
        self._refill(bucket, now_ms)
        if bucket.waiters:
            return False
        return bucket.take_token()

    def serve_waiters(self, now_ms: int) -> None:
        """Refill every bucket with waiting requests and wake those that now get a token."""
        self.refresh(now_ms)
        for bucket in self.active.values():
            if bucket.waiters:
                self._refill(bucket, now_ms)
                if self.lease_state.may_act(now_ms):
                    bucket.grant_to_waiters()

    def is_wait_too_long(self, bucket: Bucket, max_wait_ms: int, now_ms: int) -> bool:
        """Tell whether a request would wait longer than ``max_wait_ms`` and no VM can lend.

        No VM can lend if this VM requested a loan within ``RECENT_REQUEST_MAX_AGE_MS`` and the
        last reply of each lender offered no spare share.
        """
        if bucket.estimate_wait_ms(now_ms) <= max_wait_ms:
            return False
        requested_ms = self.last_loan_request_ms.get(bucket.resource, -RECENT_REQUEST_MAX_AGE_MS)
        recently_answered = now_ms - requested_ms < RECENT_REQUEST_MAX_AGE_MS and bool(
            bucket.borrower.spare_by_lender
        )
        return recently_answered and not any(bucket.borrower.spare_by_lender.values())

    def plan_loans(self, now_ms: int) -> list[DesiredLoan]:
        """Return the loans that active buckets need now; idle buckets become inactive."""
        if not self.lease_state.may_act(now_ms):
            return []
        loans: list[DesiredLoan] = []
        for key, bucket in list(self.active.items()):
            if bucket.is_idle(now_ms):
                del self.active[key]
            else:
                loans.extend(self._plan_bucket(bucket, now_ms))
        return loans

    def record_request(self, loan: DesiredLoan, request_id: int, now_ms: int) -> int:
        """Record that ``loan`` is being requested; return the share borrowed from then on.

        The bucket is refilled before with the old share and after with the new one.
        """
        bucket = self.by_resource[loan.resource]
        self._refill(bucket, now_ms)
        held_units = bucket.borrower.record_request(loan.lender, request_id, loan.units, now_ms)
        self._refill(bucket, now_ms)
        return held_units

    def grant(
        self, borrower: str, sequence: RequestSequence, item: LoanRequestItem, now_ms: int
    ) -> LoanGrant | None:
        """Lend a share, or nothing without a valid lease; None for an outdated request."""
        bucket = self.by_resource.get(item.resource)
        if bucket is None or not bucket.lender.accept_request(borrower, sequence, item.holding):
            return None
        self._refill(bucket, now_ms)
        if not self.lease_state.may_act(now_ms):
            return LoanGrant(item.resource, 0, 0)
        loan = bucket.lend(borrower, item.want, now_ms + self.timing.loan_expiry_wait_ms, now_ms)
        return LoanGrant(
            item.resource, loan.units, max(0, bucket.spare_share(now_ms)), loan.microtokens
        )

    def on_grant(self, lender: str, request_id: int, grant: LoanGrant, now_ms: int) -> None:
        """Add a borrowed share and its tokens, and wake the requests that now get a token."""
        bucket = self.by_resource.get(grant.resource)
        if bucket is None:
            return
        self._refill(bucket, now_ms)
        if not bucket.borrower.on_reply(lender, request_id, grant.units, grant.spare):
            return
        if bucket.borrower.borrowed_from(lender, now_ms):
            bucket.microtokens += grant.tokens
        bucket.microtokens = min(bucket.microtokens, bucket.capacity(now_ms))
        if self.lease_state.may_act(now_ms):
            bucket.grant_to_waiters()

    def _plan_bucket(self, bucket: Bucket, now_ms: int) -> Iterator[DesiredLoan]:
        """Request what the demand needs beyond the own share, and renew loans that end soon."""
        needed = bucket.needed_share(now_ms)
        lenders = self.list_lenders()
        missing = needed - bucket.unlent_share(now_ms)
        renew_before_ms = now_ms + int(self.timing.loan_ms * RENEWAL_TERM_FRACTION)
        extra_by_lender = self._divide_among_lenders(
            bucket, max(0, missing - bucket.borrower.total_borrowed(now_ms)), lenders
        )
        for lender in lenders:
            if bucket.borrower.awaits_reply(lender, now_ms - REPLY_TIMEOUT_MS):
                continue
            borrowed = bucket.borrower.borrowed_from(lender, now_ms)
            kept_units = min(borrowed, max(0, missing))
            missing -= kept_units
            extra = extra_by_lender.get(lender, 0)
            renewal_due = kept_units and bucket.borrower.loan_until_ms(lender) < renew_before_ms
            if extra or renewal_due:
                desired_units = (kept_units if renewal_due else borrowed) + extra
                self.last_loan_request_ms[bucket.resource] = now_ms
                yield DesiredLoan(lender, bucket.resource, desired_units)

    def _divide_among_lenders(
        self, bucket: Bucket, missing: int, lenders: tuple[str, ...]
    ) -> dict[str, int]:
        """Divide ``missing`` among the lenders, weighted by the spare share each last reported.

        A lender that has not reported counts as having half of an equal share to spare. Each
        part is rounded up.
        """
        if missing <= 0 or not lenders:
            return {}
        assumed_spare = max(1, self._estimate_equal_share() // 2)
        weights = {
            lender: bucket.borrower.spare_by_lender.get(lender, assumed_spare) + 1
            for lender in lenders
        }
        total_weight = sum(weights.values())
        return {lender: -(-missing * weight // total_weight) for lender, weight in weights.items()}

    def _estimate_equal_share(self) -> int:
        """Return the share of the first seat as an estimate of the share of any VM."""
        head = self.lease_state.head
        return head.seats[0].share if head is not None and head.seats else 1

    def _refill(self, bucket: Bucket, now_ms: int) -> None:
        bucket.refill(now_ms, self.lease_state.lease_until_ms, self.lease_state.lease_epoch)

    def _rebuild(self, configuration: Configuration) -> None:
        """Keep or create a bucket for each entitlement; retire the others while they have loans.

        A retired bucket is used again if its entitlement returns, so that shares which are still
        lent are not given out twice.
        """
        plans = {plan.name: plan for plan in configuration.plans}
        known = self.retired | self.buckets
        kept: dict[BucketKey, Bucket] = {}
        for organisation in configuration.organisations:
            for entitlement in plans[organisation.plan].entitlements:
                key = BucketKey(organisation.name, entitlement.service)
                bucket = known.pop(key, None)
                if bucket is None:
                    bucket = Bucket(
                        key.resource_name(),
                        entitlement.rate,
                        entitlement.burst,
                        self.timing.loan_ms,
                    )
                bucket.rate = entitlement.rate
                bucket.burst = entitlement.burst
                kept[key] = bucket
        self.buckets = kept
        self.active = {key: bucket for key, bucket in self.active.items() if key in kept}
        self.retired = {key: bucket for key, bucket in known.items() if bucket.lender.records}
        self.by_resource = {bucket.resource: bucket for bucket in kept.values()}
