"""Steps on connections to backend servers that a pool closes while requests use it."""

import socket

import anyio
from behave import given, then, when

from berylbankd._internal.backends.connection import BackendConnectionError
from berylbankd._internal.backends.pool import MAX_CONNECTION_AGE_MS, ConnectionPool

NOW_MS = 100_000
OPENED_MS = NOW_MS - MAX_CONNECTION_AGE_MS // 2
TOO_OLD_MS = NOW_MS - MAX_CONNECTION_AGE_MS - 1
# Nothing listens on these ports, so that opening a connection fails.
ADDRESS = "127.0.0.1:1"
OTHER_ADDRESS = "127.0.0.1:2"
PASSES = 20


class SlowlyClosedConnection:
    """An idle connection whose close lets other tasks run until ``may_close`` is set."""

    def __init__(self, name, opened_ms, may_close):
        self.name = name
        self.sockets = socket.socketpair()
        self.file_descriptor = self.sockets[0].fileno()
        self.opened_ms = opened_ms
        self.idle_since_ms = NOW_MS
        self.idle_before_reuse_ms = 0
        self.max_idle_ms = None
        self.may_close = may_close
        self.closed = False

    def reset_for_reuse(self, now_ms):
        """Become idle again."""
        self.idle_since_ms = now_ms
        return True

    async def aclose(self):
        """Close, and end when that is allowed."""
        self.closed = True
        await self.may_close.wait()


@given("a pool with {live:d} idle connections to a server, and one that is too old to be reused")
def step_pool(context, live):
    context.pool, context.may_close = ConnectionPool(), anyio.Event()
    context.live = [make(context, f"live {number}", OPENED_MS) for number in range(live)]
    context.pool.idle[ADDRESS] = [*context.live, make(context, "too old", TOO_OLD_MS)]
    context.taken = []


@given("a pool with {live:d} idle connections to a server, and one to another that is too old")
def step_pool_of_two(context, live):
    context.pool, context.may_close = ConnectionPool(), anyio.Event()
    context.live = [make(context, f"live {number}", OPENED_MS) for number in range(live)]
    context.pool.idle[OTHER_ADDRESS] = [make(context, "too old", TOO_OLD_MS)]
    context.pool.idle[ADDRESS] = list(context.live)
    context.taken = []


def make(context, name, opened_ms):
    connection = SlowlyClosedConnection(name, opened_ms, context.may_close)
    context.add_cleanup(lambda: [end.close() for end in connection.sockets])
    return connection


async def take(context):
    """Take a connection for a request, if there is an idle one."""
    try:
        context.taken.append(await context.pool.acquire(ADDRESS, NOW_MS, force_new=False))
    except BackendConnectionError:
        context.taken.append(None)


async def let_others_run():
    for _ in range(PASSES):
        await anyio.sleep(0)


def run(context, *acts):
    """Start coroutine functions after each other, while closes wait; then let these finish."""

    async def run_all():
        async with anyio.create_task_group() as group:
            for act, *arguments in acts:
                group.start_soon(act, *arguments)
                await let_others_run()
            context.may_close.set()

    anyio.run(run_all)


@when("a request takes a connection while the pool closes unusable ones, and others take the rest")
def step_take_while_closing_unusable(context):
    pool, takes = context.pool, [(take, context)] * len(context.live)
    run(context, (take, context), (pool.close_unusable, NOW_MS), *takes)


@when("the pool closes the idle connections to the server while it closes unusable ones")
def step_close_twice(context):
    pool = context.pool
    unusable_may_close = pool.idle[OTHER_ADDRESS][0].may_close = anyio.Event()

    async def close_unusable():
        unusable_may_close.set()

    run(
        context,
        (pool.close_unusable, NOW_MS),
        (pool.close_idle_to, ADDRESS),
        (close_unusable,),
        (take, context),
    )


@when("requests return connections to the server while the pool closes unusable ones")
def step_release_while_closing(context):
    context.returned = make(context, "returned", OPENED_MS)

    run(
        context,
        (context.pool.close_unusable, NOW_MS),
        (context.pool.close_idle_to, ADDRESS),
        (context.pool.release, ADDRESS, context.returned, NOW_MS),
    )


@when("a request returns a connection to a new server while the pool closes all connections")
def step_release_while_closing_all(context):
    context.returned = make(context, "returned", OPENED_MS)

    run(
        context,
        (context.pool.aclose,),
        (context.pool.release, "127.0.0.1:3", context.returned, NOW_MS),
    )


@then("no connection is taken twice, and none that was taken is closed")
def step_taken_once(context):
    taken = [connection for connection in context.taken if connection is not None]
    names = [connection.name for connection in taken]
    assert len(names) == len(set(names)), names
    assert not any(connection.closed for connection in taken), names


@then("{count:d} connections were taken")
def step_taken(context, count):
    taken = [connection for connection in context.taken if connection is not None]
    assert len(taken) == count, [connection.name for connection in taken]


@then("each connection is either closed or idle in the pool")
def step_closed_or_idle(context):
    idle = [item for connections in context.pool.idle.values() for item in connections]
    for connection in [*context.live, context.returned]:
        assert connection.closed != (connection in idle), connection.name


@then("every connection that was idle is closed")
def step_all_closed(context):
    assert all(connection.closed for connection in context.live)
