"""Steps on which connections the budget of callers closes, on a virtual clock."""

import asyncio
from unittest import mock

from behave import given, then, when

from berylbankd._internal.connections import budget as budget_module
from berylbankd._internal.connections.budget import (
    CHECK_INTERVAL_S,
    FILE_DESCRIPTORS,
    ConnectionBudget,
    ConnectionState,
    Progress,
)


class FakeConnection:
    """A connection in a state that the test sets."""

    def __init__(self, state, held_bytes=0):
        self.state = state
        self.amount = 0
        self.held_bytes = held_bytes
        self.request_arrived = False
        self.ended = False

    def measure_progress(self):
        return Progress(self.state, self.amount)

    def measure_held_bytes(self):
        return self.held_bytes

    def expire(self, state):
        self.ended = True

    def give_way(self, state):
        self.ended = not self.request_arrived
        return self.ended


class FakeLoop:
    """An event loop whose time the test sets."""

    def __init__(self):
        self.now_s = 1_000.0

    def time(self):
        return self.now_s


def set_up(context, max_connections=1_000, memory_mb=0):
    context.loop = FakeLoop()
    patch = mock.patch.object(asyncio, "get_running_loop", lambda: context.loop)
    patch.start()
    context.add_cleanup(patch.stop)
    context.budget = ConnectionBudget(memory_mb, FILE_DESCRIPTORS + 2 * max_connections)
    assert context.budget.max_connections == max_connections
    context.connections = []


def add(context, state, held_bytes=0):
    connection = FakeConnection(state, held_bytes)
    context.connections.append(connection)
    return connection, context.budget.open(connection)


def list_ended(context):
    return [n for n, connection in enumerate(context.connections) if connection.ended]


@given("a budget of {count:d} connections, all taken, {how}")
def step_taken(context, count, how):
    set_up(context, count)
    states = {
        "which are being served": ConnectionState.SERVING,
        "whose callers have just stopped reading": ConnectionState.READER,
    }
    for _ in range(count):
        add(context, states.get(how, ConnectionState.IDLE))
        context.loop.now_s += 0.1


@given("a request has just arrived on the one that has waited longest")
def step_arrived(context):
    context.connections[0].request_arrived = True


@when("a new connection is opened")
def step_open(context):
    context.newest, context.opened = add(context, ConnectionState.IDLE)


@then("only the one that has waited {rank} was closed")
def step_closed(context, rank):
    assert context.opened
    assert list_ended(context) == [{"longest": 0, "second longest": 1}[rank]], list_ended(context)


@then("it is turned away and no connection was closed")
def step_turned_away(context):
    assert not context.opened and not list_ended(context)


@given("connections that hold all the memory of callers, {how}")
def step_hold_memory(context, how):
    set_up(context)
    share = context.budget.max_bytes // 100
    for number in range(100):
        waits = "some" in how and number >= 50
        size = share + (number if waits else 0) - 50
        add(context, ConnectionState.HEAD if waits else ConnectionState.SERVING, size)
    assert not list_ended(context)


@when("a request of another connection needs more")
def step_need_more(context):
    connection, opened = add(context, ConnectionState.REST)
    assert opened
    connection.held_bytes = context.budget.max_bytes // 50
    context.admitted = context.budget.admit(connection)
    context.connections.remove(connection)


@then("connections that hold most and wait were closed, and the request is admitted")
def step_freed(context):
    ended = list_ended(context)
    assert context.admitted and ended
    assert ended == list(range(100 - len(ended), 100)) and len(ended) < 50, ended


@then("the request is not admitted and no connection was closed")
def step_not_admitted(context):
    assert not context.admitted and not list_ended(context)


@given("a connection in the state {state}")
def step_state(context, state):
    set_up(context)
    add(context, ConnectionState(state))


def pass_time(context, ms):
    """Let the budget check the connections at its interval for a time."""
    for _ in range(round(ms / 1000 / CHECK_INTERVAL_S)):
        context.loop.now_s += CHECK_INTERVAL_S
        context.budget.check(context.loop.now_s)


@when("its caller makes no progress for {ms:d} ms")
def step_no_progress(context, ms):
    pass_time(context, ms)


@when("its caller reads a little every {ms:d} ms, {times:d} times")
def step_reads(context, ms, times):
    for _ in range(times):
        pass_time(context, ms)
        context.connections[0].amount += 1


@when("the process stands still for {ms:d} ms")
def step_stand_still(context, ms):
    class StandStillError(Exception):
        pass

    async def sleep_longer(delay_s):
        context.loop.now_s += delay_s + context.late_s
        if not context.late_s:
            raise StandStillError
        context.late_s = 0

    context.late_s = ms / 1000
    with mock.patch.object(budget_module.asyncio, "sleep", sleep_longer):
        try:
            context.budget.run().send(None)
        except StandStillError:
            return


@then("the connection has {end}")
def step_end(context, end):
    assert context.connections[0].ended == (end == "ended")
