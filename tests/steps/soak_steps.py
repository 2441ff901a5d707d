"""Steps on the soak: its checks on made-up evidence, and one short run."""

from collections import Counter
from pathlib import Path

import anyio
from behave import given, then, when
from soak.callers import CallRecord
from soak.checks import Arrival, Evidence, Mark, StopMark, Trouble, find_broken
from soak.runner import play_seed
from soak.schedule import make_schedule

HEADERS = {"x-tenant": "alder"}
BOOKING = CallRecord("b1", "key", True, "vm-0", 10.0, 10.1, 200, "", True)
READ = CallRecord("r1", "key", False, "vm-0", 10.0, 10.1, 200, "", True)


@given("a soak that saw nothing wrong")
def step_nothing_wrong(context):
    arrivals = [Arrival("b1", "s0", 10.0, HEADERS), Arrival("r1", "s1", 10.0, HEADERS)]
    ran = Counter({"b1": 1, "r1": 1})
    context.evidence = Evidence([BOOKING, READ], arrivals, ran, [], [], [], [])


def run_twice(seen):
    seen.ran["b1"] += 1


def refuse_one_that_ran(seen):
    seen.calls.append(BOOKING._replace(request_id="b2", status=503))
    seen.ran["b2"] = 1


def cross_answers(seen):
    seen.calls.append(READ._replace(sound=False))


def show_key(seen):
    seen.arrivals.append(Arrival("r2", "s0", 10.0, {**HEADERS, "x-key": "key"}))


def fail_inside(seen):
    seen.calls.append(READ._replace(request_id="r2", status=500))


def run_without_key(seen):
    seen.withdrawn.append(Mark("spare", 7.0, 20.0))
    seen.calls.append(READ._replace(request_id="r2", key="spare"))
    seen.ran["r2"] = 1


def use_drained(seen):
    seen.drained.append(Mark("s1", 7.0, 20.0))


def cut_by_stop(seen):
    seen.stops.append(StopMark("vm-0", 9.0, 12.0))
    seen.calls.append(READ._replace(request_id="r1", status=0, failure="ReadError"))


WRONGS = {
    "a booking that ran twice": run_twice,
    "a booking refused with 503 that ran": refuse_one_that_ran,
    "an answer to another request": cross_answers,
    "a key at a backend server": show_key,
    "an answer with 500": fail_inside,
    "a request that ran 3 s after its key went": run_without_key,
    "a request at a server 3 s after it drained": use_drained,
    "a request cut by a graceful stop": cut_by_stop,
}


@when("it also sees {evidence}")
def step_sees(context, evidence):
    WRONGS[evidence](context.evidence)


@when("its VM was paused")
def step_paused(context):
    context.evidence.troubles.append(Trouble("vm-0", 8.0, 9.0))


@then("no promise is broken")
def step_none_broken(context):
    assert find_broken(context.evidence) == []


@then("one promise is broken: {words}")
def step_one_broken(context, words):
    (line,) = find_broken(context.evidence)
    assert words in line, line


@then("two schedules of one seed are the same, and those of two seeds are not")
def step_schedules(context):
    assert make_schedule(5, 10.0) == make_schedule(5, 10.0)
    assert make_schedule(5, 10.0) != make_schedule(6, 10.0)


@when("seed {seed:d} is played for {seconds:d} s")
def step_play(context, seed, seconds):
    context.result = anyio.run(play_seed, seed, float(seconds), 4, 5, Path("target/soak"))


@then("nothing is broken and callers were served")
def step_not_broken(context):
    assert context.result.broken == []
    assert context.result.statuses.get(200, 0) > 0, context.result.statuses
