"""Messages that VMs send to each other.

Field names are part of the encoding: the codec passes them on to the Cap'n Proto schema.
"""

from typing import NamedTuple

from berylbankd._internal.models.rows import Row


class NamedAmount(NamedTuple):
    """An amount for a service, an organisation or a backend server, given by its name."""

    name: str
    amount: float


class RouteEvidence(NamedTuple):
    """Responses that one VM received on one route since a release began.

    ``new_*`` counts the version being released, ``old_*`` the version that it replaces. ``*_bad``
    are failed or slow responses.
    """

    route: str
    new_requests: int
    new_bad: int
    old_requests: int
    old_bad: int


class ReleaseReport(NamedTuple):
    """One VM's view of a release.

    ``revision`` identifies the release order. ``elapsed_ms`` is the time since the first VM learned
    of the order. ``old_in_flight`` counts the sender's unfinished requests on the old version.
    """

    service: str
    revision: int
    step: int
    rolled_back: bool
    elapsed_ms: int
    old_in_flight: int
    evidence: tuple[RouteEvidence, ...]


class Position(NamedTuple):
    """The revision up to which a VM has every change of a table."""

    table: str
    revision: int


class TableRows(NamedTuple):
    """Rows of one table sent to another VM, and the sender's :class:`Position` in that table."""

    table: str
    position: int
    rows: tuple[Row, ...]


class Heartbeat(NamedTuple):
    """One VM's state.

    ``callers`` is the address for callers as IP:port. ``ready`` tells whether the VM can serve
    callers, ``leaving`` whether it is stopping, and ``reading`` whether its last call to the store
    succeeded. ``demands`` are the slots that the sender's requests use, by service.
    ``organisations`` are the requests per second in the sender's region, for the organisations
    whose token buckets the sender owns. ``loads`` are the sender's requests in flight by backend
    server. ``hosts`` are IP addresses of some other VMs that the sender knows.
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
    demands: tuple[NamedAmount, ...] = ()
    organisations: tuple[NamedAmount, ...] = ()
    loads: tuple[NamedAmount, ...] = ()
    releases: tuple[ReleaseReport, ...] = ()
    hosts: tuple[str, ...] = ()


class TokenRequest(NamedTuple):
    """A request for rate limit tokens, sent to the VM that owns an organisation's token bucket.

    ``requests`` counts the organisation's requests that arrived at the sender since its previous
    token request. ``number`` identifies the :class:`TokenGrant` that answers this message.
    """

    organisation: str
    tokens: int
    requests: int
    number: int = 0


class TokenGrant(NamedTuple):
    """The answer to a :class:`TokenRequest`; no ``tokens`` if the organisation exceeds its rate.

    ``known`` is false if the sender's configuration does not contain the organisation yet.
    """

    number: int
    tokens: int
    known: bool = True


Datagram = Heartbeat | TokenRequest | TokenGrant
