"""Accounting of the units of one resource that VMs lend to each other.

A lender subtracts the lent units from its own before it sends the reply. Requests and replies
state totals instead of differences, so lost, repeated or reordered messages never create a unit.
A borrower counts the term of a loan from before it sends the request. The lender counts from after
it received the request and adds a margin for the rate error of clocks. Therefore the borrower
always stops using the units before the lender uses them again.
"""

from typing import NamedTuple

REPLY_TIMEOUT_MS = 400


class LentRecord(NamedTuple):
    """Units that a borrower may hold until ``until_ms`` on the lender's clock.

    ``until_ms`` includes the margin for the rate error of clocks.
    """

    units: int
    until_ms: int


class RequestSequence(NamedTuple):
    """Orders the requests of a borrower within one start (``incarnation``) of that VM."""

    incarnation: int
    request_id: int


class Lender:
    """What this VM has lent of one resource, by borrower.

    ``records`` holds the loans to each borrower; expired ones stay until the next :meth:`lend`.
    ``newest_requests`` holds the newest request received from each borrower.
    """

    def __init__(self) -> None:
        self.records: dict[str, list[LentRecord]] = {}
        self.newest_requests: dict[str, RequestSequence] = {}

    def lent_to(self, borrower: str, now_ms: int) -> int:
        """Return the most units that ``borrower`` may hold now."""
        records = self.records.get(borrower)
        if not records:
            return 0
        return max((r.units for r in records if r.until_ms > now_ms), default=0)

    def total_lent(self, now_ms: int) -> int:
        """Return the most units that all borrowers may hold now."""
        return sum(self.lent_to(borrower, now_ms) for borrower in self.records)

    def accept_request(self, borrower: str, sequence: RequestSequence, held_units: int) -> bool:
        """Record a request; return False, without a change, for one that is not the newest.

        Existing records shrink to ``held_units``, the most that the borrower still holds. Records
        of an earlier start of the borrower stay as they are until they expire.
        """
        newest = self.newest_requests.get(borrower)
        same_start = newest is not None and newest.incarnation == sequence.incarnation
        if newest is not None and same_start and sequence.request_id <= newest.request_id:
            return False
        self.newest_requests[borrower] = sequence
        if same_start:
            records = self.records.get(borrower, [])
            self.records[borrower] = [r._replace(units=min(r.units, held_units)) for r in records]
        return True

    def lend(self, borrower: str, units: int, until_ms: int, now_ms: int) -> None:
        """Record that ``borrower`` may hold ``units`` until ``until_ms``.

        Older records stay until they expire, even where the new one has fewer units, because the
        borrower may not have received the new total.
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
    """The newest request sent to a lender; replies to older ones are ignored."""

    request_id: int
    sent_ms: int


class Borrower:
    """What this VM has borrowed of one resource, by lender.

    ``term_ms`` is the term of a loan from when its request is sent. ``requests`` holds the newest
    request without a reply, and ``spare_by_lender`` the units that each lender could still lend
    by its last reply.
    """

    def __init__(self, term_ms: int) -> None:
        self.term_ms = term_ms
        self.loans: dict[str, Loan] = {}
        self.requests: dict[str, SentRequest] = {}
        self.spare_by_lender: dict[str, int] = {}

    def borrowed_from(self, lender: str, now_ms: int) -> int:
        """Return the units held from ``lender`` now."""
        loan = self.loans.get(lender)
        return loan.units if loan is not None and loan.until_ms > now_ms else 0

    def total_borrowed(self, now_ms: int) -> int:
        """Return the units held from all lenders now."""
        return sum(loan.units for loan in self.loans.values() if loan.until_ms > now_ms)

    def loan_until_ms(self, lender: str) -> int:
        """Return when the loan from ``lender`` ends, or 0 without one."""
        loan = self.loans.get(lender)
        return loan.until_ms if loan is not None else 0

    def record_request(
        self, lender: str, request_id: int, requested_units: int, now_ms: int
    ) -> int:
        """Record a request that is about to be sent; return the units held from then on.

        Units above ``requested_units`` are given up before the request is sent, so that the
        lender can lend them to others as soon as it receives the request.
        """
        held_units = min(requested_units, self.borrowed_from(lender, now_ms))
        if held_units:
            self.loans[lender] = self.loans[lender]._replace(units=held_units)
        else:
            self.loans.pop(lender, None)
        self.requests[lender] = SentRequest(request_id, now_ms)
        return held_units

    def on_reply(self, lender: str, request_id: int, units: int, spare: int) -> bool:
        """Apply the reply to the newest request; return False for any other."""
        sent = self.requests.get(lender)
        if sent is None or sent.request_id != request_id:
            return False
        del self.requests[lender]
        self.spare_by_lender[lender] = spare
        self.loans[lender] = Loan(units, sent.sent_ms + self.term_ms)
        return True

    def awaits_reply(self, lender: str, since_ms: int) -> bool:
        """Tell whether a request sent to ``lender`` since ``since_ms`` has no reply yet."""
        sent = self.requests.get(lender)
        return sent is not None and sent.sent_ms >= since_ms
