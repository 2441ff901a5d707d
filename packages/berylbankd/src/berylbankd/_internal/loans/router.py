"""Builds one loan request per lender for all kinds of resources, and routes the messages."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from berylbank._internal.wire.messages import LoanGrant, LoanReply, LoanRequest, LoanRequestItem
from berylbankd._internal.loans.ledger import RequestSequence


class DesiredLoan(NamedTuple):
    """The total ``units`` of ``resource`` that this VM wants to borrow from ``lender``."""

    lender: str
    resource: str
    units: int


class LoanHandler(Protocol):
    """Lends and borrows one kind of resource; its resource names begin with ``prefix``."""

    prefix: str

    def plan_loans(self, now_ms: int) -> list[DesiredLoan]:
        """Return the loans to request now."""

    def record_request(self, loan: DesiredLoan, request_id: int, now_ms: int) -> int:
        """Record that a request is being sent; return the units held from then on."""

    def grant(
        self, borrower: str, sequence: RequestSequence, item: LoanRequestItem, now_ms: int
    ) -> LoanGrant | None:
        """Answer a request; None for one that is outdated or names an unknown resource."""

    def on_grant(self, lender: str, request_id: int, grant: LoanGrant, now_ms: int) -> None:
        """Apply the reply to a request; ignore it if a newer request was sent to that lender."""


class OutgoingRequest(NamedTuple):
    """A loan request to send to ``lender``."""

    lender: str
    message: LoanRequest


class LoanRouter:
    """Passes loan requests, grants and replies to the handler of each resource."""

    def __init__(self, handlers: Iterable[LoanHandler], first_request_id: int = 1) -> None:
        self.handlers = {handler.prefix: handler for handler in handlers}
        self.next_request_id = first_request_id

    def build_requests(self, now_ms: int) -> list[OutgoingRequest]:
        """Return the requests that are due, at most one per lender."""
        loans_by_lender: dict[str, list[DesiredLoan]] = {}
        for handler in self.handlers.values():
            for loan in handler.plan_loans(now_ms):
                loans_by_lender.setdefault(loan.lender, []).append(loan)
        return [
            self._build_request(lender, loans, now_ms) for lender, loans in loans_by_lender.items()
        ]

    def answer_request(
        self, borrower: str, incarnation: int, request: LoanRequest, now_ms: int
    ) -> LoanReply:
        """Answer a request of another VM."""
        sequence = RequestSequence(incarnation, request.request_id)
        grants = []
        for item in request.items:
            handler = self._find_handler(item.resource)
            grant = handler.grant(borrower, sequence, item, now_ms) if handler is not None else None
            if grant is not None:
                grants.append(grant)
        return LoanReply(request.request_id, tuple(grants))

    def on_reply(self, lender: str, reply: LoanReply, now_ms: int) -> None:
        """Apply a reply; each handler ignores grants that answer an older request."""
        for grant in reply.items:
            handler = self._find_handler(grant.resource)
            if handler is not None:
                handler.on_grant(lender, reply.request_id, grant, now_ms)

    def _build_request(self, lender: str, loans: list[DesiredLoan], now_ms: int) -> OutgoingRequest:
        request_id = self.next_request_id
        self.next_request_id += 1
        items = []
        for loan in loans:
            handler = self._find_handler(loan.resource)
            assert handler is not None
            held_units = handler.record_request(loan, request_id, now_ms)
            items.append(LoanRequestItem(loan.resource, held_units, loan.units))
        return OutgoingRequest(lender, LoanRequest(request_id, tuple(items)))

    def _find_handler(self, resource: str) -> LoanHandler | None:
        return self.handlers.get(resource.split(":", 1)[0])
