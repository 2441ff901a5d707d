"""Typed messages between VMs."""

from typing import NamedTuple


class VmAddresses(NamedTuple):
    """Listen addresses of a VM, as IP:port, and its location."""

    channel: str
    callers: str
    operators: str
    region: str
    failure_domain: str


class InFlightRequests(NamedTuple):
    """The number of requests of a VM in flight to a draining backend server."""

    backend: str
    requests: int


class ShiftStats(NamedTuple):
    """Recent requests of a VM on one side of a shift and one route; ``latency_ms`` is a sum.

    ``target`` is True for requests to the target of the shift and False for the source.
    """

    shift: str
    route: str
    target: bool
    requests: int
    errors: int
    latency_ms: int


class Heartbeat(NamedTuple):
    """The state of the sender, sent at a fixed interval.

    ``known`` is the number of the newest head that it has heard of, ``ready`` whether it accepts
    callers, ``leaving`` whether it is shutting down. ``seat`` are its addresses, whether it holds
    a seat or not. ``cuts`` are the unique names of the shifts whose target it has blocked as bad.
    """

    known: int
    ready: bool
    leaving: bool
    seat: VmAddresses
    draining: tuple[InFlightRequests, ...] = ()
    evidence: tuple[ShiftStats, ...] = ()
    cuts: tuple[str, ...] = ()


class HeadPush(NamedTuple):
    """A written head with its configuration, both encoded.

    Empty bytes only request an acknowledgement.
    """

    round_id: int
    head: bytes
    configuration: bytes


class HeadAck(NamedTuple):
    """Acknowledges head ``known``: the sender never acts on an older one from now on."""

    round_id: int
    known: int


class ConfirmRequest(NamedTuple):
    """Asks the receiver to confirm that it has heard of no head newer than ``number``."""

    round_id: int
    number: int


class ConfirmReply(NamedTuple):
    """Reply to a :class:`ConfirmRequest`.

    ``confirmed`` is True only if the sender has heard of no newer head and has itself verified
    its head, by a read of the store or by a majority, since it started.
    """

    round_id: int
    known: int
    confirmed: bool


class LoanRequestItem(NamedTuple):
    """One resource of a loan request.

    ``holding`` are the units borrowed from this lender now, ``want`` the units wanted in total.
    """

    resource: str
    holding: int
    want: int


class LoanRequest(NamedTuple):
    """Requests units from a lender; each request replaces the earlier ones."""

    request_id: int
    items: tuple[LoanRequestItem, ...]


class LoanGrant(NamedTuple):
    """The answer to one item of a loan request.

    ``units`` are lent in total, ``spare`` could be lent in addition, and ``tokens`` are the
    microtokens that move to the borrower with the loan.
    """

    resource: str
    units: int
    spare: int
    tokens: int = 0


class LoanReply(NamedTuple):
    """Reply to a :class:`LoanRequest`; the loan expires counted from when that was sent."""

    request_id: int
    items: tuple[LoanGrant, ...]


Message = Heartbeat | HeadPush | HeadAck | ConfirmRequest | ConfirmReply | LoanRequest | LoanReply


class Envelope(NamedTuple):
    """A message and its sender; ``incarnation`` is different for each start of that VM."""

    sender: str
    incarnation: int
    message: Message
