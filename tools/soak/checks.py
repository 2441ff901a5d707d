"""Checks of the daemon's guarantees on what callers and backend servers recorded in a soak."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from berylbank_standins._internal.steered_backend import WorkRecord
from soak.callers import DEADLINE_MS, ROUTE_TIMEOUT_S, RequestRecord

# Time limits apply to a VM only if it has not been disturbed for this long.
SETTLE_S = 4.0
# Longest time from the acknowledgement of a change until it is in force.
APPLY_LIMIT_S = 2.5
DRAIN_LIMIT_S = 2.5
# How long after the exit of a VM a caller that reads slowly may notice that its response was cut.
CUT_NOTICED_S = 1.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
INTERNAL_ERROR = 500
MIN_FAILURE_STATUS = 500
# VMs and callers count in whole milliseconds, which may end a wait this much early.
CLOCK_ROUNDING_S = 0.002
# What still runs in this last part of the grace time may be ended, if it was sent no later than
# ``LATE_REQUEST_S`` after SIGTERM.
LAST_GRACE_SHARE = 1 / 6
LATE_REQUEST_S = 3.0
AT_WORK_STATES = frozenset({"queued", "running", "done"})
ALL_VMS = "any"


class Disturbance(NamedTuple):
    """A period in which time limits do not apply to a VM, or to any VM if it is ``ALL_VMS``.

    ``halted`` tells whether its process was killed or paused.
    """

    vm: str
    start_s: float
    end_s: float
    halted: bool = False


class LinkReset(NamedTuple):
    """A period in which the connections to a backend server were reset."""

    server: str
    start_s: float
    end_s: float


class ServerWork(NamedTuple):
    """What a backend server recorded of one request."""

    server: str
    record: WorkRecord


class Arrival(NamedTuple):
    """A request that reached a backend server."""

    request_id: str
    server: str
    at_s: float
    headers: dict[str, str]


class AcknowledgedChange(NamedTuple):
    """An acknowledged change of a key or server, until it is reverted."""

    subject: str
    acknowledged_s: float
    reverted_s: float


class GracefulStop(NamedTuple):
    """A graceful stop of a VM, from its SIGTERM to its exit."""

    vm: str
    start_s: float
    end_s: float
    grace_s: float = 2.0


class Evidence(NamedTuple):
    """Everything recorded in a soak; ``run_counts`` counts the runs of each request by its id."""

    requests: list[RequestRecord]
    arrivals: list[Arrival]
    run_counts: Counter[str]
    disturbances: list[Disturbance]
    withdrawn_keys: list[AcknowledgedChange]
    drained_servers: list[AcknowledgedChange]
    stops: list[GracefulStop]
    work: Sequence[ServerWork] = ()
    link_resets: Sequence[LinkReset] = ()


def find_violations(evidence: Evidence) -> list[str]:
    """Return a line for each violation of a guarantee."""
    checks = (
        check_at_most_once,
        check_not_run_refusals,
        check_valid_responses,
        check_server_headers,
        check_internal_errors,
        check_withdrawn_keys,
        check_drained_servers,
        check_graceful_stops,
        check_ended_at_work,
    )
    return [line for check in checks for line in check(evidence)]


def check_at_most_once(evidence: Evidence) -> Iterable[str]:
    """Check that an unsafe request runs at most once."""
    for request in evidence.requests:
        if request.unsafe and evidence.run_counts[request.request_id] > 1:
            yield f"{request.request_id} ran {evidence.run_counts[request.request_id]} times"


def check_not_run_refusals(evidence: Evidence) -> Iterable[str]:
    """Check that an unsafe request refused with a "not run" status did not run."""
    for request in evidence.requests:
        if (
            request.unsafe
            and request.status in NOT_RUN_STATUSES
            and evidence.run_counts[request.request_id]
        ):
            yield f"{request.request_id} was refused with {request.status}, but ran"


def check_valid_responses(evidence: Evidence) -> Iterable[str]:
    """Check that a caller gets the complete response to its own request."""
    for request in evidence.requests:
        if not request.valid:
            yield f"{request.request_id} got an incomplete response or another request's"


def check_server_headers(evidence: Evidence) -> Iterable[str]:
    """Check that backend servers receive the organisation and never the caller's key."""
    for arrival in evidence.arrivals:
        if "x-key" in arrival.headers:
            yield f"{arrival.server} received the key of {arrival.request_id}"
        if arrival.headers.get("x-tenant") != "alder":
            yield f"{arrival.server} did not receive the organisation of {arrival.request_id}"


def check_internal_errors(evidence: Evidence) -> Iterable[str]:
    """Check that no response has status 500; the stand-in servers never send it here."""
    for request in evidence.requests:
        if request.status == INTERNAL_ERROR:
            yield f"{request.request_id} got {INTERNAL_ERROR} from {request.vm}"


def check_withdrawn_keys(evidence: Evidence) -> Iterable[str]:
    """Check that no request runs with a key withdrawn more than ``APPLY_LIMIT_S`` before.

    A request that was sent before the key was granted again may run after it.
    """
    arrived_s = {arrival.request_id: arrival.at_s for arrival in reversed(evidence.arrivals)}
    for change in evidence.withdrawn_keys:
        for request in evidence.requests:
            if (
                request.key != change.subject
                or request.sent_s <= change.acknowledged_s + APPLY_LIMIT_S
                or arrived_s.get(request.request_id, request.sent_s) >= change.reverted_s
            ):
                continue
            if evidence.run_counts[request.request_id] and is_undisturbed(
                evidence, request.vm, request.sent_s, request.ended_s
            ):
                yield (
                    f"{request.request_id} ran {request.sent_s - change.acknowledged_s:.1f} s"
                    " after its key was withdrawn"
                )


def check_drained_servers(evidence: Evidence) -> Iterable[str]:
    """Check that a draining server gets no new request after ``DRAIN_LIMIT_S``."""
    vms = {request.request_id: request.vm for request in evidence.requests}
    for change in evidence.drained_servers:
        for arrival in evidence.arrivals:
            if arrival.server != change.subject:
                continue
            if not change.acknowledged_s + DRAIN_LIMIT_S < arrival.at_s < change.reverted_s:
                continue
            if is_undisturbed(
                evidence,
                vms.get(arrival.request_id, ALL_VMS),
                change.acknowledged_s,
                arrival.at_s,
            ):
                late_s = arrival.at_s - change.acknowledged_s
                yield f"{arrival.server} got {arrival.request_id} {late_s:.1f} s after draining"


def check_graceful_stops(evidence: Evidence) -> Iterable[str]:
    """Check that a graceful stop cuts no request that reached a backend server."""
    reached = {arrival.request_id for arrival in evidence.arrivals}
    for stop in evidence.stops:
        for request in evidence.requests:
            # The request may have been sent before the stop, and cut by it.
            if request.vm != stop.vm or request.sent_s > stop.end_s:
                continue
            if not stop.start_s <= request.ended_s <= stop.end_s + CUT_NOTICED_S:
                continue
            cut = request.status == 0 and request.request_id in reached
            # The start that follows on a stop is a disturbance, but comes too late to excuse a cut.
            ended_s = min(request.ended_s, stop.end_s)
            if cut and is_undisturbed(evidence, request.vm, request.sent_s, ended_s):
                yield f"{request.request_id} was cut by the stop of {request.vm}: {request.failure}"


def check_ended_at_work(evidence: Evidence) -> Iterable[str]:
    """Check that no VM ends a request by an answer of its own while a server is at work on it."""
    for request, work in find_ended_at_work(evidence):
        answer, after_s = request.status or request.failure, request.ended_s - request.sent_s
        yield (
            f"{request.request_id} got {answer} from {request.vm} after {after_s:.2f} s,"
            f" but was {work.record.state} at {work.server}"
        )


def find_ended_at_work(evidence: Evidence) -> Iterable[tuple[RequestRecord, ServerWork]]:
    """Yield the requests that a VM ended itself, with a server that was at work on it.

    Excused are those whose deadline or route's timeout was reached, that their server broke off,
    that still ran in the last part of the grace time, and those at a process that was killed or
    paused.
    """
    work_of_request: dict[str, list[ServerWork]] = defaultdict(list)
    for work in evidence.work:
        if work.record.state in AT_WORK_STATES:
            work_of_request[work.record.request_id].append(work)
    wait_s = min(DEADLINE_MS / 1000, ROUTE_TIMEOUT_S) - CLOCK_ROUNDING_S
    for request in evidence.requests:
        ended_by_vm = not request.signed and (
            request.status == 0
            or request.status >= MIN_FAILURE_STATUS
            or request.status in NOT_RUN_STATUSES
        )
        if not ended_by_vm or request.ended_s >= request.sent_s + wait_s:
            continue
        if is_halted(evidence, request) or is_ended_by_stop(evidence, request):
            continue
        for work in work_of_request[request.request_id]:
            if not is_reset(evidence, request, work):
                yield request, work
                break


def is_halted(evidence: Evidence, request: RequestRecord) -> bool:
    """Tell whether the process of a request's VM was killed or paused shortly before its end."""
    return any(
        disturbance.halted
        and disturbance.vm == request.vm
        and disturbance.start_s <= request.ended_s
        and disturbance.end_s >= request.sent_s - SETTLE_S
        for disturbance in evidence.disturbances
    )


def is_ended_by_stop(evidence: Evidence, request: RequestRecord) -> bool:
    """Tell whether a request that was sent early enough ended late in the grace time."""
    return any(
        stop.vm == request.vm
        and request.sent_s <= stop.start_s + LATE_REQUEST_S
        and request.sent_s <= stop.end_s
        and stop.start_s + stop.grace_s * (1 - LAST_GRACE_SHARE) <= request.ended_s
        and request.ended_s <= stop.end_s + CUT_NOTICED_S
        for stop in evidence.stops
    )


def is_reset(evidence: Evidence, request: RequestRecord, work: ServerWork) -> bool:
    """Tell whether the connection to a server was reset while a request was there."""
    return any(
        reset.server == work.server
        and reset.start_s <= request.ended_s
        and reset.end_s >= work.record.arrived_s
        for reset in evidence.link_resets
    )


def is_undisturbed(evidence: Evidence, vm: str, start_s: float, end_s: float) -> bool:
    """Tell whether a VM was not disturbed from ``SETTLE_S`` before a start time to an end time."""
    return not any(
        disturbance.vm in (vm, ALL_VMS)
        and disturbance.start_s <= end_s
        and disturbance.end_s >= start_s - SETTLE_S
        for disturbance in evidence.disturbances
    )
