"""The promises that a soak checks, from what callers and backend servers saw."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from soak.callers import CallRecord

# A VM is held to bounds on time once it has been without trouble for this long.
CONTACT_S = 4.0
# Changes have to be in force within this time of their acknowledgement.
APPLY_S = 2.5
DRAIN_S = 2.5
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
INTERNAL_ERROR = 500
UNTROUBLED = "any"


class Trouble(NamedTuple):
    """A time in which a VM, or all of them, can't be held to bounds on time."""

    vm: str
    start_s: float
    end_s: float


class Arrival(NamedTuple):
    """A request that reached a backend server."""

    request_id: str
    server: str
    at_s: float
    headers: dict[str, str]


class Mark(NamedTuple):
    """A change that was acknowledged: what it concerns, when, and when it was taken back."""

    subject: str
    at_s: float
    until_s: float


class StopMark(NamedTuple):
    """A graceful stop of a VM, until its process was gone."""

    vm: str
    start_s: float
    end_s: float


class Evidence(NamedTuple):
    """All that was seen in a soak."""

    calls: list[CallRecord]
    arrivals: list[Arrival]
    ran: Counter[str]
    troubles: list[Trouble]
    withdrawn: list[Mark]
    drained: list[Mark]
    stops: list[StopMark]


def find_broken(seen: Evidence) -> list[str]:
    """Return a line for each promise that was broken."""
    checks = (
        check_at_most_once,
        check_true_refusals,
        check_whole_answers,
        check_secrets,
        check_internal_errors,
        check_withdrawn_keys,
        check_drained_servers,
        check_graceful_stops,
    )
    return [line for check in checks for line in check(seen)]


def check_at_most_once(seen: Evidence) -> Iterable[str]:
    """A request that must run once runs once at most."""
    for call in seen.calls:
        if call.unsafe and seen.ran[call.request_id] > 1:
            yield f"{call.request_id} ran {seen.ran[call.request_id]} times"


def check_true_refusals(seen: Evidence) -> Iterable[str]:
    """A refusal that says "not run" is true."""
    for call in seen.calls:
        if call.unsafe and call.status in NOT_RUN_STATUSES and seen.ran[call.request_id]:
            yield f"{call.request_id} was refused with {call.status}, but ran"


def check_whole_answers(seen: Evidence) -> Iterable[str]:
    """A caller gets the whole answer to its own request."""
    for call in seen.calls:
        if not call.sound:
            yield f"{call.request_id} got an answer that is not its own, or not whole"


def check_secrets(seen: Evidence) -> Iterable[str]:
    """No backend server sees a key, and each is told the organisation."""
    for arrival in seen.arrivals:
        if "x-key" in arrival.headers:
            yield f"{arrival.server} saw the key of {arrival.request_id}"
        if arrival.headers.get("x-tenant") != "alder":
            yield f"{arrival.server} was not told the organisation of {arrival.request_id}"


def check_internal_errors(seen: Evidence) -> Iterable[str]:
    """No request ends by an error that the daemon did not foresee; servers send no 500 here."""
    for call in seen.calls:
        if call.status == INTERNAL_ERROR:
            yield f"{call.request_id} got {INTERNAL_ERROR} from {call.vm}"


def check_withdrawn_keys(seen: Evidence) -> Iterable[str]:
    """A withdrawn key stops working within the bound."""
    for mark in seen.withdrawn:
        for call in seen.calls:
            if call.key != mark.subject or not mark.at_s + APPLY_S < call.sent_s < mark.until_s:
                continue
            if seen.ran[call.request_id] and in_touch(seen, call.vm, call.sent_s, call.ended_s):
                yield f"{call.request_id} ran {call.sent_s - mark.at_s:.1f} s after its key went"


def check_drained_servers(seen: Evidence) -> Iterable[str]:
    """A leaving server gets no new request after the bound."""
    vms = {call.request_id: call.vm for call in seen.calls}
    for mark in seen.drained:
        for arrival in seen.arrivals:
            if arrival.server != mark.subject:
                continue
            if not mark.at_s + DRAIN_S < arrival.at_s < mark.until_s:
                continue
            if in_touch(seen, vms.get(arrival.request_id, UNTROUBLED), mark.at_s, arrival.at_s):
                late_s = arrival.at_s - mark.at_s
                yield f"{arrival.server} got {arrival.request_id} {late_s:.1f} s after draining"


def check_graceful_stops(seen: Evidence) -> Iterable[str]:
    """A planned stop cuts no request that had reached a server."""
    reached = {arrival.request_id for arrival in seen.arrivals}
    for stop in seen.stops:
        for call in seen.calls:
            if call.vm != stop.vm or not stop.start_s <= call.sent_s <= stop.end_s:
                continue
            cut = call.status == 0 and call.request_id in reached
            if cut and in_touch(seen, call.vm, call.sent_s, call.ended_s):
                yield f"{call.request_id} was cut by the stop of {call.vm}: {call.failure}"


def in_touch(seen: Evidence, vm: str, start_s: float, end_s: float) -> bool:
    """Tell whether a VM had no trouble from some seconds before a time until another."""
    return not any(
        trouble.vm in (vm, UNTROUBLED)
        and trouble.start_s <= end_s
        and trouble.end_s >= start_s - CONTACT_S
        for trouble in seen.troubles
    )
