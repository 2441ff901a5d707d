"""Typed messages between VMs."""

from typing import NamedTuple


class SeatAddress(NamedTuple):
    """Where a VM listens and stands; addresses are IP:port."""

    channel: str
    callers: str
    operators: str
    region: str
    failure_domain: str


class InFlight(NamedTuple):
    """How many requests a VM has running on a draining backend server."""

    backend: str
    requests: int


class Evidence(NamedTuple):
    """What a VM saw lately on one side of a shift on one route; ``latency_ms`` is a sum."""

    shift: str
    route: str
    target: bool
    requests: int
    errors: int
    latency_ms: int


class Heartbeat(NamedTuple):
    """Sent at a fixed interval: the newest head known and whether callers may come.

    ``cuts`` names the shifts whose target this VM has found bad.
    """

    known: int
    ready: bool
    leaving: bool
    seat: SeatAddress
    draining: tuple[InFlight, ...] = ()
    evidence: tuple[Evidence, ...] = ()
    cuts: tuple[str, ...] = ()


class HeadPush(NamedTuple):
    """The whole content of a head that is written; empty bytes only ask for an acknowledgement."""

    round_id: int
    head: bytes
    configuration: bytes


class HeadAck(NamedTuple):
    """The sender knows head ``known`` and never acts below it."""

    round_id: int
    known: int


class ConfirmRequest(NamedTuple):
    """Ask whether the receiver knows a head above ``number``."""

    round_id: int
    number: int


class ConfirmReply(NamedTuple):
    """Answer to a :class:`ConfirmRequest`; ``confirmed`` only by a VM that may vouch."""

    round_id: int
    known: int
    confirmed: bool


class LoanAsk(NamedTuple):
    """One resource of a loan request: units held from the lender now, and units wanted."""

    resource: str
    holding: int
    want: int


class LoanRequest(NamedTuple):
    """Ask a lender for units; each request replaces the ones before it."""

    request_id: int
    items: tuple[LoanAsk, ...]


class LoanGrant(NamedTuple):
    """Units lent in all, units the lender could still spare, and micro-tokens moved along."""

    resource: str
    units: int
    spare: int
    tokens: int = 0


class LoanReply(NamedTuple):
    """Answer to a :class:`LoanRequest`; its term counts from when that request was sent."""

    request_id: int
    items: tuple[LoanGrant, ...]


Message = Heartbeat | HeadPush | HeadAck | ConfirmRequest | ConfirmReply | LoanRequest | LoanReply


class Envelope(NamedTuple):
    """A message with its sender; ``incarnation`` differs for every start of a VM."""

    sender: str
    incarnation: int
    message: Message
