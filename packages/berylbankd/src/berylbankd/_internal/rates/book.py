"""All buckets of one VM, and the loans of their shares."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from berylbank._internal.models.configuration import Configuration
from berylbank._internal.wire.messages import LoanAsk, LoanGrant
from berylbankd._internal.coordination.lease_state import LeaseState
from berylbankd._internal.coordination.timing import Timing
from berylbankd._internal.loans.desk import Want
from berylbankd._internal.loans.ledger import REPLY_TIMEOUT_MS, RequestMark
from berylbankd._internal.rates.bucket import Bucket

PREFIX = "rate"
RENEW_PART = 0.5
SPARE_MEMORY_MS = 400


class BucketName(NamedTuple):
    """Whose rate for which service a bucket holds."""

    organisation: str
    service: str

    def resource(self) -> str:
        """Return the name that loans use."""
        return f"{PREFIX}:{self.organisation}:{self.service}"


class RateBook:
    """Buckets by name; every use settles against the authority first.

    ``active`` holds those that callers of this VM use, so that the others cost nothing.
    ``peers`` returns the VMs that may lend, nearest first.
    """

    prefix = PREFIX

    def __init__(
        self, authority: LeaseState, timing: Timing, peers: Callable[[], tuple[str, ...]]
    ) -> None:
        self.authority = authority
        self.timing = timing
        self.peers = peers
        self.buckets: dict[BucketName, Bucket] = {}
        self.active: dict[BucketName, Bucket] = {}
        self.retired: dict[BucketName, Bucket] = {}
        self.by_resource: dict[str, Bucket] = {}
        self.applied_number = -1
        self.asked_ms: dict[str, int] = {}
        self.minting = False

    def refresh(self, now_ms: int) -> None:
        """Follow the head: buckets for every entitlement, shares as seated."""
        head = self.authority.head
        if head is None:
            return
        may_mint = now_ms >= self.authority.started_ms + self.timing.loan_expiry_wait_ms
        if head.number == self.applied_number and may_mint == self.minting:
            return
        if head.number != self.applied_number:
            self._rebuild(self.authority.configuration)
        seat = head.seat_of(self.authority.vm)
        share = seat.share if seat is not None and may_mint else 0
        for bucket in self.buckets.values():
            self._settle(bucket, now_ms)
            bucket.own_share = share
            self._settle(bucket, now_ms)
        self.applied_number = head.number
        self.minting = may_mint

    def find(self, organisation: str, service: str) -> Bucket | None:
        """Return the bucket of an entitlement, or None where there is none."""
        name = BucketName(organisation, service)
        bucket = self.buckets.get(name)
        if bucket is not None:
            self.active[name] = bucket
        return bucket

    def take(self, bucket: Bucket, now_ms: int) -> bool:
        """Take a token for a request that arrived; False when there is none now."""
        self._settle(bucket, now_ms)
        if bucket.waiters:
            return False
        return bucket.take()

    def serve(self, now_ms: int) -> None:
        """Settle every bucket and wake the requests that now have a token."""
        self.refresh(now_ms)
        for bucket in self.active.values():
            if bucket.waiters:
                self._settle(bucket, now_ms)
                if self.authority.may_act(now_ms):
                    bucket.serve_waiters()

    def is_hopeless(self, bucket: Bucket, wait_ms: int, now_ms: int) -> bool:
        """Tell whether a request would wait too long and no lender had anything to spare."""
        if bucket.wait_estimate_ms(now_ms) <= wait_ms:
            return False
        asked_ms = self.asked_ms.get(bucket.resource, -SPARE_MEMORY_MS)
        answered = now_ms - asked_ms < SPARE_MEMORY_MS and bool(bucket.borrower.spare)
        return answered and not any(bucket.borrower.spare.values())

    def plan(self, now_ms: int) -> list[Want]:
        """See :class:`LoanBook`."""
        if not self.authority.may_act(now_ms):
            return []
        wants: list[Want] = []
        for name, bucket in list(self.active.items()):
            if bucket.is_idle(now_ms):
                del self.active[name]
            else:
                wants.extend(self._plan_bucket(bucket, now_ms))
        return wants

    def prepare(self, want: Want, request_id: int, now_ms: int) -> int:
        """See :class:`LoanBook`."""
        bucket = self.by_resource[want.resource]
        self._settle(bucket, now_ms)
        holding = bucket.borrower.prepare(want.lender, request_id, want.units, now_ms)
        self._settle(bucket, now_ms)
        return holding

    def grant(
        self, borrower: str, mark: RequestMark, ask: LoanAsk, now_ms: int
    ) -> LoanGrant | None:
        """See :class:`LoanBook`."""
        bucket = self.by_resource.get(ask.resource)
        if bucket is None or not bucket.lender.accept(borrower, mark, ask.holding):
            return None
        self._settle(bucket, now_ms)
        if not self.authority.may_act(now_ms):
            return LoanGrant(ask.resource, 0, 0)
        lent = bucket.lend(borrower, ask.want, now_ms + self.timing.loan_expiry_wait_ms, now_ms)
        return LoanGrant(ask.resource, lent.units, max(0, bucket.spare(now_ms)), lent.tokens)

    def receive(self, lender: str, request_id: int, grant: LoanGrant, now_ms: int) -> None:
        """See :class:`LoanBook`."""
        bucket = self.by_resource.get(grant.resource)
        if bucket is None:
            return
        self._settle(bucket, now_ms)
        if not bucket.borrower.on_reply(lender, request_id, grant.units, grant.spare):
            return
        if bucket.borrower.held_from(lender, now_ms):
            bucket.tokens += grant.tokens
        bucket.tokens = min(bucket.tokens, bucket.capacity(now_ms))
        if self.authority.may_act(now_ms):
            bucket.serve_waiters()

    def _plan_bucket(self, bucket: Bucket, now_ms: int) -> Iterator[Want]:
        need = bucket.need(now_ms)
        peers = self.peers()
        missing = need - bucket.own_left(now_ms)
        renew_before_ms = now_ms + int(self.timing.loan_ms * RENEW_PART)
        extra = self._divide(bucket, max(0, missing - bucket.borrower.held(now_ms)), peers)
        for lender in peers:
            if bucket.borrower.waits_for(lender, now_ms - REPLY_TIMEOUT_MS):
                continue
            held = bucket.borrower.held_from(lender, now_ms)
            keep = min(held, max(0, missing))
            missing -= keep
            more = extra.get(lender, 0)
            due = keep and bucket.borrower.held_until(lender) < renew_before_ms
            if more or due:
                want = (keep if due else held) + more
                self.asked_ms[bucket.resource] = now_ms
                yield Want(lender, bucket.resource, want)

    def _divide(self, bucket: Bucket, missing: int, peers: tuple[str, ...]) -> dict[str, int]:
        """Spread what is missing over the peers, by what each last said it can spare."""
        if missing <= 0 or not peers:
            return {}
        unknown = max(1, self._equal_share() // 2)
        weights = {peer: bucket.borrower.spare.get(peer, unknown) + 1 for peer in peers}
        total = sum(weights.values())
        return {peer: -(-missing * weight // total) for peer, weight in weights.items()}

    def _equal_share(self) -> int:
        """Return the share of a VM in a fleet of equals."""
        head = self.authority.head
        return head.seats[0].share if head is not None and head.seats else 1

    def _settle(self, bucket: Bucket, now_ms: int) -> None:
        bucket.settle(now_ms, self.authority.lease_until_ms, self.authority.lease_epoch)

    def _rebuild(self, configuration: Configuration) -> None:
        plans = {plan.name: plan for plan in configuration.plans}
        known = self.retired | self.buckets
        kept: dict[BucketName, Bucket] = {}
        for organisation in configuration.organisations:
            for entitlement in plans[organisation.plan].entitlements:
                name = BucketName(organisation.name, entitlement.service)
                bucket = known.pop(name, None)
                if bucket is None:
                    bucket = Bucket(
                        name.resource(), entitlement.rate, entitlement.burst, self.timing.loan_ms
                    )
                bucket.rate = entitlement.rate
                bucket.burst = entitlement.burst
                kept[name] = bucket
        self.buckets = kept
        self.active = {name: bucket for name, bucket in self.active.items() if name in kept}
        self.retired = {name: bucket for name, bucket in known.items() if bucket.lender.records}
        self.by_resource = {bucket.resource: bucket for bucket in kept.values()}
