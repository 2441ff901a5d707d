"""What VMs tell each other."""

from typing import NamedTuple

from berylbankd._internal.models.rows import Row


class Figure(NamedTuple):
    """A number by name."""

    name: str
    amount: float


class RouteEvidence(NamedTuple):
    """Answers that one VM saw on one route since a release began, by side."""

    route: str
    new_requests: int
    new_bad: int
    old_requests: int
    old_bad: int


class ReleaseReport(NamedTuple):
    """One VM's view of a release; ``old_in_flight`` counts its requests on the old side."""

    service: str
    revision: int
    step: int
    rolled_back: bool
    elapsed_ms: int
    old_in_flight: int
    evidence: tuple[RouteEvidence, ...]


class Position(NamedTuple):
    """The revision up to which a VM misses nothing of a table."""

    table: str
    revision: int


class TableRows(NamedTuple):
    """Rows of one table that one VM hands to another, and the sender's position in it."""

    table: str
    position: int
    rows: tuple[Row, ...]


class Heartbeat(NamedTuple):
    """One VM's state.

    ``reading`` tells whether the store answers it, as far as it tried. ``demands`` are slots in
    use by service, ``organisations`` requests a second of its region for those whose tokens it
    keeps, ``loads`` requests in flight by backend server. ``hosts`` are some other VMs that it
    knows.
    """

    vm: str
    incarnation: int
    sequence: int
    host: str
    callers: str
    region: str
    failure_domain: str
    ready: bool
    leaving: bool
    reading: bool
    positions: tuple[Position, ...] = ()
    demands: tuple[Figure, ...] = ()
    organisations: tuple[Figure, ...] = ()
    loads: tuple[Figure, ...] = ()
    releases: tuple[ReleaseReport, ...] = ()
    hosts: tuple[str, ...] = ()


class TokenAsk(NamedTuple):
    """Asks the VM that keeps an organisation's tokens for some.

    ``requests`` of the organisation arrived at the sender since it asked last. ``number`` names
    the grant that answers.
    """

    organisation: str
    tokens: int
    requests: int
    number: int = 0


class TokenGrant(NamedTuple):
    """The answer to a token ask; 0 ``tokens`` where the organisation is over its rate.

    ``known`` is false where the VM that was asked does not know the organisation yet.
    """

    number: int
    tokens: int
    known: bool = True


Datagram = Heartbeat | TokenAsk | TokenGrant
