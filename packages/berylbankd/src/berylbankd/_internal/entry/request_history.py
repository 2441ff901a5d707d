"""Keeps the outcomes of this VM's most recent requests for operators to query."""

from collections import deque
from typing import NamedTuple

MAX_OUTCOMES = 2_000
MAX_LISTED_OUTCOMES = 50


class RequestOutcome(NamedTuple):
    """How a request ended.

    ``backends`` lists the backend servers tried, in order; ``head`` is the number of
    the latest head that this VM knew.
    """

    request_id: str
    organisation: str
    service: str
    backends: tuple[str, ...]
    status: int
    refusal: str
    ran: str
    duration_ms: int
    head: int


class RequestHistory:
    """A bounded list of request outcomes; the oldest are dropped first."""

    def __init__(self) -> None:
        self.outcomes: deque[RequestOutcome] = deque(maxlen=MAX_OUTCOMES)

    def record(self, outcome: RequestOutcome) -> None:
        """Add the outcome of a request."""
        self.outcomes.append(outcome)

    def find_outcomes(self, identifier: str) -> list[RequestOutcome]:
        """Return the most recent outcomes for a request id or an organisation, newest first."""
        found = [
            outcome
            for outcome in reversed(self.outcomes)
            if identifier in (outcome.request_id, outcome.organisation)
        ]
        return found[:MAX_LISTED_OUTCOMES]
