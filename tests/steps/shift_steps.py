"""Steps on releases and moves."""

from unittest import mock

from behave import then, when

from berylbank._internal.models.changes import StartShift
from berylbank._internal.models.shifts import FULL_SHARE, Shift
from berylbank._internal.wire.messages import Heartbeat
from berylbankd._internal.backends.slots import ANY_SIDE
from berylbankd._internal.changes.writer import NotDone, Written
from berylbankd._internal.shifts.evidence import Judgement, Verdict
from berylbankd._internal.shifts.keeper import Choice, ShiftKeeper
from tests.support.releases import BEHAVIOURS, NEW, OLD, SERVICE, WITHIN_MS, Release

HOLD_STEPS = 1_500


@when('{count:d} releases run that are "{behaviour}"')
def step_releases(context, count, behaviour):
    context.results = [Release(seed, behaviour).run() for seed in range(count)]


@then('each is "{state}" within its time')
def step_each(context, state):
    for result in context.results:
        assert result.state == state and result.took_ms < WITHIN_MS, result


@then("the target got at most {percent:d} percent of the requests")
def step_part(context, percent):
    for result in context.results:
        assert result.to_target * 100 <= percent * result.requests, result


@then("no run of requests passed the share of its step")
def step_cap(context):
    assert all(result.over_cap == 0 for result in context.results), context.results


@then("the target got nothing 2 seconds after the evidence")
def step_after(context):
    assert all(result.after_evidence == 0 for result in context.results), context.results


@when("a release is done and then turns bad")
def step_turns_bad(context):
    release = Release(3, "good")
    assert release.run().state == "done"
    release.behaviour = BEHAVIOURS["failing"]
    for _ in range(300):
        release.step()
    context.release = release


@then("it is undone at once")
def step_undone(context):
    assert context.release.state() == "undone"


@when('a good release meets the fault "{fault}"')
def step_fault(context, fault):
    release = Release(4, "good")
    model = release.model
    shift = Shift("release", SERVICE, "version", OLD, NEW, step_ms=2_000, within_ms=WITHIN_MS)
    model.change("vm-1", StartShift(shift))
    release.begun_ms = model.now_ms
    if fault == "the store is down":
        model.store.down = True
    else:
        model.filters.append(
            lambda sender, _receiver, m: sender == "vm-3" and isinstance(m, Heartbeat)
        )
        model.cuts |= {("vm-3", "vm-1"), ("vm-3", "vm-2")}
    for _ in range(HOLD_STEPS // 3):
        release.step()
    context.step = step_of(release)
    model.heal()
    for _ in range(6_000):
        if release.state() != "running":
            break
        release.step()
    context.release = release


def step_of(release):
    shifts = release.model.vms["vm-1"].node.lease_state.configuration.shifts
    return shifts[0].step


@then("it did not advance meanwhile")
def step_held(context):
    assert context.step == 1, context.step


@then("it is done in the end")
def step_done(context):
    assert context.release.state() == "done"


@when("two operators start shifts of one service")
def step_race(context):
    model = Release(5, "good").model
    first = Shift("first", SERVICE, "version", OLD, NEW)
    second = Shift("second", SERVICE, "region", "north", "mid")
    context.outcomes = [model.change("vm-1", StartShift(s)) for s in (first, second)]


@then("one is told that the other is running")
def step_told(context):
    first, second = context.outcomes
    assert isinstance(first, Written)
    assert isinstance(second, NotDone) and "first" in second.reason, second
    assert second.hint


@when("a release gets too little traffic for its time")
def step_too_little(context):
    release = Release(6, "good")
    model = release.model
    shift = Shift("release", SERVICE, "version", OLD, NEW, step_ms=1_000, within_ms=6_000)
    model.change("vm-1", StartShift(shift))
    model.run(9_000)
    context.shift = model.vms["vm-1"].node.lease_state.configuration.shifts[0]


@then('it is "{state}" for the reason "{reason}"')
def step_reason(context, state, reason):
    assert context.shift.state == state, context.shift
    assert context.shift.reason.startswith(reason), context.shift


def _spend_nothing(self, service):
    state = self.by_service.get(service)
    if state is None:
        return Choice(ANY_SIDE)
    state.credit = min(FULL_SHARE, state.credit + state.shift.share())
    return Choice(state.side(target=state.credit >= FULL_SHARE))


def _never_cut(self, _now_ms, _head, state):
    return Judgement(Verdict.TOO_LITTLE, f"{state.shift.name} is not judged")


SHIFT_MUTATIONS = {
    "credit is not spent": ("choose_side", _spend_nothing),
    "nobody cuts before the row is written": ("_judge", _never_cut),
}


@when('{count:d} releases run that are "{behaviour}" although {mutation}')
def step_mutated(context, count, behaviour, mutation):
    attribute, replacement = SHIFT_MUTATIONS[mutation]
    with mock.patch.object(ShiftKeeper, attribute, replacement):
        context.results = [Release(seed, behaviour).run(10_000) for seed in range(count)]


@then("a promise of releases is broken")
def step_broken(context):
    assert any(
        result.over_cap or result.bad_answers > 10 or result.state == "running"
        for result in context.results
    ), context.results
