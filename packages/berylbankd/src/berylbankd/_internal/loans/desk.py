"""Joins the loan requests of all books into one message per lender."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from berylbank._internal.wire.messages import LoanAsk, LoanGrant, LoanReply, LoanRequest
from berylbankd._internal.loans.ledger import RequestMark


class Want(NamedTuple):
    """Units of ``resource`` that this VM wants to hold from ``lender`` in all."""

    lender: str
    resource: str
    units: int


class LoanBook(Protocol):
    """Keeps the ledgers of one kind of resource; ``prefix`` begins the names of its resources."""

    prefix: str

    def plan(self, now_ms: int) -> list[Want]:
        """Return what to ask for now."""

    def prepare(self, want: Want, request_id: int, now_ms: int) -> int:
        """Record that a request leaves now; return the units held from then on."""

    def grant(
        self, borrower: str, mark: RequestMark, ask: LoanAsk, now_ms: int
    ) -> LoanGrant | None:
        """Answer a request; None for one that is late or names an unknown resource."""

    def receive(self, lender: str, request_id: int, grant: LoanGrant, now_ms: int) -> None:
        """Take in the reply to a request."""


class SendLoan(NamedTuple):
    """A loan request that leaves for ``lender``."""

    lender: str
    message: LoanRequest


class LoanDesk:
    """Sends, answers and receives loans for every book."""

    def __init__(self, books: Iterable[LoanBook], first_request_id: int = 1) -> None:
        self.books = {book.prefix: book for book in books}
        self.next_request_id = first_request_id

    def plan(self, now_ms: int) -> list[SendLoan]:
        """Return the requests that are due, at most one per lender."""
        wants: dict[str, list[Want]] = {}
        for book in self.books.values():
            for want in book.plan(now_ms):
                wants.setdefault(want.lender, []).append(want)
        return [self._prepare(lender, items, now_ms) for lender, items in wants.items()]

    def answer(
        self, borrower: str, incarnation: int, request: LoanRequest, now_ms: int
    ) -> LoanReply:
        """Answer a request of another VM."""
        mark = RequestMark(incarnation, request.request_id)
        grants = []
        for ask in request.items:
            book = self._book(ask.resource)
            grant = book.grant(borrower, mark, ask, now_ms) if book is not None else None
            if grant is not None:
                grants.append(grant)
        return LoanReply(request.request_id, tuple(grants))

    def receive(self, lender: str, reply: LoanReply, now_ms: int) -> None:
        """Take in a reply; each book drops what is late."""
        for grant in reply.items:
            book = self._book(grant.resource)
            if book is not None:
                book.receive(lender, reply.request_id, grant, now_ms)

    def _prepare(self, lender: str, wants: list[Want], now_ms: int) -> SendLoan:
        request_id = self.next_request_id
        self.next_request_id += 1
        asks = []
        for want in wants:
            book = self._book(want.resource)
            assert book is not None
            holding = book.prepare(want, request_id, now_ms)
            asks.append(LoanAsk(want.resource, holding, want.units))
        return SendLoan(lender, LoanRequest(request_id, tuple(asks)))

    def _book(self, resource: str) -> LoanBook | None:
        return self.books.get(resource.split(":", 1)[0])
