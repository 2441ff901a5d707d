"""Keeps the outcomes of this VM's most recent requests for operators to query."""

from collections import deque
from typing import NamedTuple

MAX_OUTCOMES = 2_000
MAX_LISTED_OUTCOMES = 50


class RequestOutcome(NamedTuple):
    """How a request ended; ``backends`` lists the backend servers tried, in order."""

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

    def add(self, outcome: RequestOutcome) -> None:
        """Add the outcome of a request."""
        self.outcomes.append(outcome)

    def find(self, name: str) -> list[RequestOutcome]:
        """Return the most recent outcomes for a request id or an organisation, newest first."""
        found = [o for o in reversed(self.outcomes) if name in (o.request_id, o.organisation)]
        return found[:MAX_LISTED_OUTCOMES]
