"""Steps on the VMs that read the store for the fleet."""

import random

from behave import given, then, when

from tests.support.reader_fleet import ReaderFleet

FAILURE_MS = {"resets the connections of": 50, "no longer answers": 1_600}
SETTLE_S = 6
OUTAGE_S = 5


@given("{vms:d} VMs in {domains:d} failure domains that read a store")
def step_reader_fleet(context, vms, domains):
    context.reader_fleet = ReaderFleet(vms, domains)
    context.reader_fleet.run(SETTLE_S)


@when("the store {fault} both readers and {share:d}% of the other VMs, {times:d} times")
def step_turn_away(context, fault, share, times):
    fleet = context.reader_fleet
    context.delays_s, context.tried = [], []
    for seed in range(times):
        fleet.turn_away(share / 100, random.Random(seed), FAILURE_MS[fault])
        started_ms = fleet.now_ms
        fleet.run_until(lambda: fleet.served, OUTAGE_S)
        context.delays_s.append((fleet.now_ms - started_ms) / 1000)
        fleet.run(OUTAGE_S - context.delays_s[-1])
        context.tried.append(len(fleet.tried))
        fleet.serve_all()
        fleet.run(SETTLE_S)


@then("a VM that is served reads it within {seconds:f} s each time")
def step_read_soon(context, seconds):
    assert max(context.delays_s) <= seconds, (context.delays_s, context.tried)


@then("at most {count:d} VMs call the store each time")
def step_few_callers(context, count):
    assert max(context.tried) <= count, context.tried
