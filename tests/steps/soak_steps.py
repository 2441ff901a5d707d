"""Steps for the fault soak: its checks on synthetic evidence, its schedules and its runs."""

from collections import Counter
from pathlib import Path

import anyio
from behave import given, then, when
from soak.callers import RequestRecord
from soak.checks import (
    AcknowledgedChange,
    Arrival,
    Disturbance,
    Evidence,
    GracefulStop,
    LinkReset,
    ServerWork,
    find_violations,
)
from soak.runner import run_seed
from soak.schedule import make_schedule

from berylbank_standins._internal.steered_backend import WorkRecord

HEADERS = {"x-tenant": "alder"}
BOOKING = RequestRecord("b1", "key", True, "vm-0", 10.0, 10.1, 200, "", True)
READ = RequestRecord("r1", "key", False, "vm-0", 10.0, 10.1, 200, "", True)


@given("evidence of a soak without violations")
def step_evidence(context):
    arrivals = [Arrival("b1", "s0", 10.0, HEADERS), Arrival("r1", "s1", 10.0, HEADERS)]
    run_counts = Counter({"b1": 1, "r1": 1})
    context.evidence = Evidence([BOOKING, READ], arrivals, run_counts, [], [], [], [])


def add_second_run(evidence):
    evidence.run_counts["b1"] += 1


def add_false_refusal(evidence):
    evidence.requests.append(BOOKING._replace(request_id="b2", status=503))
    evidence.run_counts["b2"] = 1


def add_crossed_response(evidence):
    evidence.requests.append(READ._replace(valid=False))


def add_leaked_key(evidence):
    evidence.arrivals.append(Arrival("r2", "s0", 10.0, {**HEADERS, "x-key": "key"}))


def add_internal_error(evidence):
    evidence.requests.append(READ._replace(request_id="r2", status=500))


def add_run_with_withdrawn_key(evidence):
    evidence.withdrawn_keys.append(AcknowledgedChange("spare", 7.0, 20.0))
    evidence.requests.append(READ._replace(request_id="r2", key="spare"))
    evidence.run_counts["r2"] = 1


def add_request_around_revert(evidence, arrived_s):
    add_run_with_withdrawn_key(evidence)
    evidence.arrivals.append(Arrival("r2", "s0", arrived_s, HEADERS))


def add_run_before_revert(evidence):
    add_request_around_revert(evidence, 19.9)


def add_run_after_revert(evidence):
    add_request_around_revert(evidence, 20.1)


def add_drained_server(evidence):
    evidence.drained_servers.append(AcknowledgedChange("s1", 7.0, 20.0))


def add_cut_request(evidence):
    evidence.stops.append(GracefulStop("vm-0", 9.0, 12.0))
    evidence.requests.append(READ._replace(request_id="r1", status=0, failure="ReadError"))


def add_request_cut_later(evidence):
    evidence.stops.append(GracefulStop("vm-0", 10.05, 12.0))
    # The VM starts again at once.
    evidence.disturbances.append(Disturbance("vm-0", 12.0001, 13.0))
    evidence.requests.append(
        READ._replace(request_id="r1", ended_s=12.1, status=0, failure="closed after 7 bytes")
    )


def end_read(
    evidence, state="running", *, status=502, after_s=1.2, work_s=None, sent_s=20.0, **changes
):
    """Add a read that a VM ended ``after_s`` after it was sent, and the work at its server."""
    read = READ._replace(request_id="r3", sent_s=sent_s, ended_s=sent_s + after_s, status=status)
    evidence.requests.append(read._replace(**changes))
    work_s = after_s if work_s is None else work_s
    record = WorkRecord("r3", sent_s + 0.01, sent_s + work_s, state)
    return evidence._replace(work=[ServerWork("s1", record)])


def end_read_at_stop(evidence, *, at_s, sent_s):
    """Add a read that ends ``at_s`` after the SIGTERM of a VM with 5.4 s of grace time."""
    evidence.stops.append(GracefulStop("vm-0", 20.0, 25.3, 5.4))
    return end_read(evidence, sent_s=20.0 + sent_s, after_s=at_s - sent_s)


def end_read_after_pause(evidence, pause_end_s, halted=True):
    evidence.disturbances.append(Disturbance("vm-0", pause_end_s - 1, pause_end_s, halted))
    return end_read(evidence)


def end_read_at_reset(evidence, server):
    evidence = end_read(evidence)
    return evidence._replace(link_resets=[LinkReset(server, 21.0, 22.0)])


ENDED_READS = {
    "a read answered with 502 that was queued": lambda e: end_read(e, "queued"),
    "a read answered with 502 that was running": end_read,
    "a read answered with 502 that a server had served": lambda e: end_read(e, "done", work_s=1.1),
    "a read answered with 502 while a server runs it on": lambda e: end_read(e, "done", work_s=1.5),
    "a read refused with 503 that was running": lambda e: end_read(e, status=503),
    "a read closed without an answer that was running": lambda e: end_read(
        e, status=0, failure="ReadError"
    ),
    "a read ended by a stop too early": lambda e: end_read_at_stop(e, at_s=4.45, sent_s=2.95),
    "a late read ended by a stop": lambda e: end_read_at_stop(e, at_s=4.6, sent_s=3.1),
    "a read ended long after a pause": lambda e: end_read_after_pause(e, 15.9),
    "a read ended at a VM without the store": lambda e: end_read_after_pause(e, 20.5, False),
    "a read refused with 429 that was running": lambda e: end_read(e, status=429),
    "a read ended while another server's link was reset": lambda e: end_read_at_reset(e, "s2"),
    "a read answered with 504 at its route's timeout": lambda e: end_read(
        e, status=504, after_s=2.0
    ),
    "a read answered with 503 by its server": lambda e: end_read(
        e, "done", status=503, signed=True
    ),
    "a read answered with 502 that its server cut short": lambda e: end_read(e, "truncated"),
    "a read answered with 503 that its server refused": lambda e: end_read(
        e, "refused", status=503
    ),
    "a read whose connection had died": lambda e: end_read(e, "silent"),
    "a read answered with 502 as its link was reset": lambda e: end_read_at_reset(e, "s1"),
    "a read ended by a stop in the last sixth of its time": lambda e: end_read_at_stop(
        e, at_s=4.55, sent_s=2.95
    ),
    "a read ended at a VM that was paused": lambda e: end_read_after_pause(e, 20.5),
}

VIOLATIONS = {
    "a booking that ran twice": add_second_run,
    "a booking refused with 503 that ran": add_false_refusal,
    "a response to another request": add_crossed_response,
    "a key received by a backend server": add_leaked_key,
    "a response with status 500": add_internal_error,
    "a request that ran 3 s after its key was withdrawn": add_run_with_withdrawn_key,
    "a request that ran just before its key was granted again": add_run_before_revert,
    "a request that was sent before its key was granted again, and ran after it": (
        add_run_after_revert
    ),
    "a request at a server 3 s after it began to drain": add_drained_server,
    "a request cut by a graceful stop": add_cut_request,
    "a request sent before a stop that cut it": add_request_cut_later,
}


@when("it also contains {violation}")
def step_record_violation(context, violation):
    if violation in ENDED_READS:
        context.evidence = ENDED_READS[violation](context.evidence)
    else:
        VIOLATIONS[violation](context.evidence)


@when("the VM was paused before")
def step_vm_paused(context):
    context.evidence.disturbances.append(Disturbance("vm-0", 8.0, 9.0))


@then("no violation is found")
def step_no_violation(context):
    assert find_violations(context.evidence) == []


@then("one violation is found: {message}")
def step_one_violation(context, message):
    (line,) = find_violations(context.evidence)
    assert message in line, line


@then("schedules of the same seed are equal, and those of different seeds differ")
def step_schedules_repeat(context):
    assert make_schedule(5, 10.0) == make_schedule(5, 10.0)
    assert make_schedule(5, 10.0) != make_schedule(6, 10.0)


@when("the soak runs seed {seed:d} for {seconds:d} s")
def step_run_seed(context, seed, seconds):
    context.result = anyio.run(run_seed, seed, float(seconds), 4, 5, Path("target/soak"))


@when("the soak runs seed {seed:d} for {seconds:d} s with planned operations only")
def step_run_planned(context, seed, seconds):
    folder = Path("target/soak")
    context.result = anyio.run(run_seed, seed, float(seconds), 4, 5, folder, True)


@when("the soak runs seed {seed:d} for {seconds:d} s with busy servers")
def step_run_busy(context, seed, seconds):
    folder = Path("target/soak")
    context.result = anyio.run(run_seed, seed, float(seconds), 4, 5, folder, True, True)


@when("the soak runs seed {seed:d} for {seconds:d} s with a store that comes back from copies")
def step_run_copies(context, seed, seconds):
    folder = Path("target/soak")
    context.result = anyio.run(run_seed, seed, float(seconds), 4, 5, folder, False, False, True)


@then("no guarantee is violated and callers were served")
def step_run_succeeded(context):
    assert context.result.violations == [], context.result.violations
    assert context.result.statuses.get(200, 0) > 0, context.result.statuses
