"""Steps on traffic shifts: releases of a version, and moves between regions."""

from unittest import mock

from behave import then, when

from berylbank._internal.models.changes import StartShift
from berylbank._internal.models.shifts import FULL_SHARE_MILLIONTHS, Shift
from berylbank._internal.wire.messages import Heartbeat
from berylbankd._internal.backends.slots import ALL_BACKENDS
from berylbankd._internal.changes.head_writer import NotWritten, Written
from berylbankd._internal.shifts.controller import ShiftController, SideChoice
from berylbankd._internal.shifts.evidence import Assessment, Verdict
from tests.support.releases import (
    BEHAVIOURS,
    NEW_VERSION,
    OLD_VERSION,
    SERVICE,
    TIME_LIMIT_MS,
    SimulatedRelease,
)

FAULT_RUN_STEPS = 1_500


@when('{count:d} releases run whose new version is "{behaviour}"')
def step_run_releases(context, count, behaviour):
    context.results = [SimulatedRelease(seed, behaviour).run() for seed in range(count)]


@then('each is "{state}" within its time limit')
def step_each_ends(context, state):
    for result in context.results:
        assert result.state == state and result.duration_ms < TIME_LIMIT_MS, result


@then("the target got at most {percent:d} percent of the requests")
def step_target_percent(context, percent):
    for result in context.results:
        assert result.to_target * 100 <= percent * result.requests, result


@then("no run of requests exceeded the share of its step")
def step_within_share(context):
    assert all(result.over_share == 0 for result in context.results), context.results


@then("the target got no requests 2 seconds after it was found bad")
def step_no_requests_after_block(context):
    assert all(result.to_target_after_block == 0 for result in context.results), context.results


@when("a release is done and its new version then fails")
def step_fails_when_done(context):
    release = SimulatedRelease(3, "good")
    assert release.run().state == "done"
    release.behaviour = BEHAVIOURS["failing"]
    for _ in range(300):
        release.step()
    context.release = release


@then("it is undone at once")
def step_undone(context):
    assert context.release.state() == "undone"


@when('the fault "{fault}" occurs during a release of a good version')
def step_fault_during_release(context, fault):
    release = SimulatedRelease(4, "good")
    model = release.model
    shift = Shift(
        "release",
        SERVICE,
        "version",
        OLD_VERSION,
        NEW_VERSION,
        step_ms=2_000,
        within_ms=TIME_LIMIT_MS,
    )
    model.change("vm-1", StartShift(shift))
    release.started_ms = model.now_ms
    if fault == "the store is down":
        model.store.down = True
    else:
        model.filters.append(
            lambda sender, _receiver, m: sender == "vm-3" and isinstance(m, Heartbeat)
        )
        model.cuts |= {("vm-3", "vm-1"), ("vm-3", "vm-2")}
    for _ in range(FAULT_RUN_STEPS // 3):
        release.step()
    context.step_during_fault = current_step(release)
    model.heal()
    for _ in range(6_000):
        if release.state() != "running":
            break
        release.step()
    context.release = release


def current_step(release):
    shifts = release.model.vms["vm-1"].node.lease_state.configuration.shifts
    return shifts[0].step


@then("it did not advance during the fault")
def step_not_advanced(context):
    assert context.step_during_fault == 1, context.step_during_fault


@then("it is done in the end")
def step_done(context):
    assert context.release.state() == "done"


@when("two operators start shifts of one service")
def step_two_shifts(context):
    model = SimulatedRelease(5, "good").model
    first = Shift("first", SERVICE, "version", OLD_VERSION, NEW_VERSION)
    second = Shift("second", SERVICE, "region", "north", "mid")
    context.outcomes = [model.change("vm-1", StartShift(s)) for s in (first, second)]


@then("the second is told that the first shift is running")
def step_second_refused(context):
    first, second = context.outcomes
    assert isinstance(first, Written)
    assert isinstance(second, NotWritten) and "first" in second.reason, second
    assert second.hint


@when("a release gets too little traffic to finish within its time limit")
def step_little_traffic(context):
    release = SimulatedRelease(6, "good")
    model = release.model
    shift = Shift(
        "release", SERVICE, "version", OLD_VERSION, NEW_VERSION, step_ms=1_000, within_ms=6_000
    )
    model.change("vm-1", StartShift(shift))
    model.run(9_000)
    context.shift = model.vms["vm-1"].node.lease_state.configuration.shifts[0]


@then('it is "{state}" for the reason "{reason}"')
def step_state_and_reason(context, state, reason):
    assert context.shift.state == state, context.shift
    assert context.shift.reason.startswith(reason), context.shift


def _choose_without_spending(self, service):
    local = self.shifts_by_service.get(service)
    if local is None:
        return SideChoice(ALL_BACKENDS)
    local.credit = min(FULL_SHARE_MILLIONTHS, local.credit + local.shift.target_share())
    return SideChoice(local.side(target=local.credit >= FULL_SHARE_MILLIONTHS))


def _assess_as_insufficient(self, _now_ms, _head, local):
    return Assessment(Verdict.INSUFFICIENT_DATA, f"{local.shift.name} is not assessed")


SHIFT_MUTATIONS = {
    "credit is not spent": ("choose_side", _choose_without_spending),
    "no VM blocks the target before the row is written": ("_assess", _assess_as_insufficient),
}


@when('{count:d} releases of a version that is "{behaviour}" run with the mutation "{mutation}"')
def step_run_mutated(context, count, behaviour, mutation):
    attribute, replacement = SHIFT_MUTATIONS[mutation]
    with mock.patch.object(ShiftController, attribute, replacement):
        context.results = [SimulatedRelease(seed, behaviour).run(10_000) for seed in range(count)]


@then("a release exceeds a share, sends too many requests to a bad version, or does not end")
def step_mutation_detected(context):
    assert any(
        result.over_share or result.failed_answers > 10 or result.state == "running"
        for result in context.results
    ), context.results
