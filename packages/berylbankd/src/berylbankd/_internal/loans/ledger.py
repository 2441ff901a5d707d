"""Loans of countable rights: lent units are subtracted before the message leaves.

Each request and reply states totals, so that lost, repeated or reordered messages never create a
unit. A borrower counts the term from before its request, a lender from after, with a margin for
the rate of clocks; so a borrower always stops first.
"""

from typing import NamedTuple

REPLY_TIMEOUT_MS = 400


class LentRecord(NamedTuple):
    """Units that a borrower may hold until ``until_ms`` on the lender's clock."""

    units: int
    until_ms: int


class RequestMark(NamedTuple):
    """The newest request seen from a borrower."""

    incarnation: int
    request_id: int


class Lender:
    """What this VM has lent of one resource, by borrower."""

    def __init__(self) -> None:
        self.records: dict[str, list[LentRecord]] = {}
        self.marks: dict[str, RequestMark] = {}

    def lent_to(self, borrower: str, now_ms: int) -> int:
        """Return the most units that ``borrower`` may hold now."""
        records = self.records.get(borrower)
        if not records:
            return 0
        return max((r.units for r in records if r.until_ms > now_ms), default=0)

    def lent(self, now_ms: int) -> int:
        """Return the most units that all borrowers may hold now."""
        return sum(self.lent_to(borrower, now_ms) for borrower in self.records)

    def accept(self, borrower: str, mark: RequestMark, holding: int) -> bool:
        """Take in a request unless a newer one came before; return whether to answer it.

        Older records shrink to ``holding``, the most that the borrower still holds. Records of
        an earlier start of the borrower are left to lapse.
        """
        seen = self.marks.get(borrower)
        same_start = seen is not None and seen.incarnation == mark.incarnation
        if seen is not None and same_start and mark.request_id <= seen.request_id:
            return False
        self.marks[borrower] = mark
        if same_start:
            records = self.records.get(borrower, [])
            self.records[borrower] = [r._replace(units=min(r.units, holding)) for r in records]
        return True

    def lend(self, borrower: str, units: int, until_ms: int, now_ms: int) -> None:
        """Record that ``borrower`` may hold ``units`` until ``until_ms``.

        Fewer units than before leave the older record standing until it lapses.
        """
        records = [r for r in self.records.get(borrower, []) if r.until_ms > now_ms and r.units]
        if units:
            records.append(LentRecord(units, until_ms))
        if records:
            self.records[borrower] = records
        else:
            self.records.pop(borrower, None)


class Loan(NamedTuple):
    """Units held from one lender until ``until_ms`` on the borrower's clock."""

    units: int
    until_ms: int


class SentRequest(NamedTuple):
    """The newest request sent to a lender; only its reply counts."""

    request_id: int
    sent_ms: int


class Borrower:
    """What this VM has borrowed of one resource, by lender."""

    def __init__(self, term_ms: int) -> None:
        self.term_ms = term_ms
        self.loans: dict[str, Loan] = {}
        self.requests: dict[str, SentRequest] = {}
        self.spare: dict[str, int] = {}

    def held_from(self, lender: str, now_ms: int) -> int:
        """Return the units held from ``lender`` now."""
        loan = self.loans.get(lender)
        return loan.units if loan is not None and loan.until_ms > now_ms else 0

    def held(self, now_ms: int) -> int:
        """Return the units held from all lenders now."""
        return sum(loan.units for loan in self.loans.values() if loan.until_ms > now_ms)

    def held_until(self, lender: str) -> int:
        """Return when the loan from ``lender`` ends."""
        loan = self.loans.get(lender)
        return loan.until_ms if loan is not None else 0

    def prepare(self, lender: str, request_id: int, want: int, now_ms: int) -> int:
        """Record a request that is about to leave; return the units held from then on.

        Units above ``want`` are given up first, so that the lender may lend them at once.
        """
        holding = min(want, self.held_from(lender, now_ms))
        if holding:
            self.loans[lender] = self.loans[lender]._replace(units=holding)
        else:
            self.loans.pop(lender, None)
        self.requests[lender] = SentRequest(request_id, now_ms)
        return holding

    def on_reply(self, lender: str, request_id: int, units: int, spare: int) -> bool:
        """Take in the reply to the newest request; return False for any other."""
        sent = self.requests.get(lender)
        if sent is None or sent.request_id != request_id:
            return False
        del self.requests[lender]
        self.spare[lender] = spare
        self.loans[lender] = Loan(units, sent.sent_ms + self.term_ms)
        return True

    def waits_for(self, lender: str, since_ms: int) -> bool:
        """Tell whether a request sent since ``since_ms`` has no reply yet."""
        sent = self.requests.get(lender)
        return sent is not None and sent.sent_ms >= since_ms
