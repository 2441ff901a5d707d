"""Messages that VMs send to each other.

Field names are part of the encoding: the codec passes them on to the Cap'n Proto schema.
"""

from collections.abc import Mapping
from enum import IntEnum
from types import MappingProxyType
from typing import NamedTuple

from berylbankd._internal.models.rows import Row


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
    """What one VM, or several VMs together, know of a release.

    ``revision`` identifies the release order. ``step`` is the highest step of any of the VMs, and
    ``lowest_step`` the lowest one. ``elapsed_ms`` is the time since the first VM learned of the
    order. ``old_in_flight`` counts unfinished requests on the old version.
    """

    service: str
    revision: int
    step: int
    rolled_back: bool
    elapsed_ms: int
    old_in_flight: int
    evidence: tuple[RouteEvidence, ...]
    lowest_step: int


class Position(NamedTuple):
    """The revision up to which a VM has rows of a table.

    It is ``sure`` that no change up to there is missing, unless its source was a read of the store
    that may have been stale.
    """

    table: str
    revision: int
    sure: bool = False


class RowsRequest(NamedTuple):
    """A request for the changes of a table after a revision, or for the ``complete`` table."""

    table: str
    after: int
    complete: bool = False


class TableRows(NamedTuple):
    """Rows of one table sent to another VM, and the sender's :class:`Position` in that table.

    ``complete`` tells that these are all rows of the table, so that any other row was removed;
    otherwise they are the changes since the requested revision. ``sure`` is that of the position.
    """

    table: str
    position: int
    rows: tuple[Row, ...]
    complete: bool = False
    sure: bool = False


class Member(NamedTuple):
    """One VM of the fleet.

    ``callers`` is the address for callers as IP:port, ``capacity`` that of :class:`Deployment`.
    ``ready`` tells whether the VM can serve callers, ``leaving`` whether it is stopping, and
    ``reading`` whether its last call to the store succeeded. ``starting`` tells that it has just
    started again and that the store has not answered it yet. ``sequence`` is the number of the
    digest in which the VM stated this.
    """

    vm: str
    host: str
    callers: str
    failure_domain: str
    incarnation: int
    sequence: int
    capacity: float
    ready: bool
    leaving: bool
    reading: bool
    starting: bool = False


class SilentMember(NamedTuple):
    """A VM that the sender knows and no longer hears, and for how long."""

    member: Member
    silent_ms: int


class DomainMembers(NamedTuple):
    """All live VMs of a failure domain, as the sender knows them."""

    failure_domain: str
    members: tuple[Member, ...]


class RegionSums(NamedTuple):
    """Amounts of one region, by the hash of the name that they belong to.

    ``demands`` are the slots that requests use, by service. ``organisations`` are the requests per
    second of organisations, reported by the VMs that own their token buckets.
    """

    region: str
    demands: Mapping[int, float]
    organisations: Mapping[int, float]


class DigestScope(IntEnum):
    """Whose state a digest holds: the sender's, its failure domain's, or the whole fleet's."""

    VM = 0
    DOMAIN = 1
    FLEET = 2


class StateDigest(NamedTuple):
    """The state of one VM, or the merged state of several VMs.

    ``positions`` are those of the sender, whatever the scope. ``domains`` lists the members of some
    failure domains; ``live_domains`` names all failure domains that the sender hears from.
    ``loads`` are requests in flight by the hash of the backend server's id, and ``limits`` the
    requests per second that servers take from all VMs together, 0 for one that took back its
    limit. ``hosts`` are IP addresses of some other VMs. ``age_ms`` is the age of the oldest report
    in it at the time of sending. ``store_time_ms`` is the time, by the store's clock, of its
    newest answer to any VM that the sender knows of, 0 if there is none.

    A digest of several VMs is sent in ``parts`` datagrams, each with the amounts of some names;
    releases and ``live_domains`` are in ``part`` 0. Datagrams that only list members have higher
    numbers. ``silent`` is only sent to a VM that has just appeared.
    """

    scope: DigestScope
    vm: str
    host: str
    failure_domain: str
    incarnation: int
    sequence: int
    positions: tuple[Position, ...] = ()
    domains: tuple[DomainMembers, ...] = ()
    live_domains: tuple[str, ...] = ()
    loads: Mapping[int, float] = MappingProxyType({})
    regions: tuple[RegionSums, ...] = ()
    releases: tuple[ReleaseReport, ...] = ()
    hosts: tuple[str, ...] = ()
    age_ms: int = 0
    part: int = 0
    parts: int = 1
    limits: Mapping[int, float] = MappingProxyType({})
    silent: tuple[SilentMember, ...] = ()
    store_time_ms: int = 0


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


Datagram = StateDigest | TokenRequest | TokenGrant
