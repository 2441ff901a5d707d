"""Steps on real daemons whose store comes back from a copy, or moves."""

import itertools
import time
from contextlib import ExitStack

import anyio
import httpx
from anyio.from_thread import start_blocking_portal
from behave import given, then, when
from steering_fleet import API_KEY, make_configuration, open_steering_fleet

from berylbank_standins._internal.steered_backend import SteeredBehaviour

VMS, SERVERS = 6, 4
SPARE_KEY = "key-that-is-withdrawn"
NEW_PREFIX = "/new/"
BEHAVIOUR = SteeredBehaviour(work_ms=5, slots=20)
PAUSE_S = 0.02
SETTLE_S = 1.0
GIVE_UP_S = 20.0
# Longer than the stand-in store goes on answering at an address that is being closed.
CLOSE_S = 2.5
REQUEST_TIMEOUT_S = 4.0


class EraFleet:
    """A fleet under requests; ``served`` are the times, VMs and keys of those that were served."""

    def __init__(self, portal, fleet):
        self.portal = portal
        self.fleet = fleet
        self.request_numbers = itertools.count()
        self.served = []
        self.stopping = False

    async def call_all(self):
        """Send requests to all VMs with both keys, until told to stop."""
        async with anyio.create_task_group() as group:
            for vm in self.fleet.vms:
                for key in (API_KEY, SPARE_KEY):
                    group.start_soon(self.call, vm, key)

    async def call(self, vm, key):
        """Send one request after the other to a VM."""
        async with httpx.AsyncClient(trust_env=False, timeout=REQUEST_TIMEOUT_S) as client:
            while not self.stopping:
                sent_s = time.monotonic()
                response = await self.send(client, vm, "/reads/x", key)
                if response is not None and response.status_code == httpx.codes.OK:
                    self.served.append((sent_s, vm.name, key, response.json()["server"]))
                await anyio.sleep(PAUSE_S)

    async def send(self, client, vm, path, key):
        """Send a request for an object of its own; return None if the connection failed."""
        number = next(self.request_numbers)
        headers = {
            "host": "a.example",
            "x-key": key,
            "x-request-id": f"era{number:08}",
            "x-deadline-ms": "3000",
            "cookie": f"X-Affinity-Key=o{number}",
        }
        try:
            return await client.get(self.fleet.url(vm, path), headers=headers)
        except httpx.HTTPError:
            return None

    def put_configuration(self, version, keys, prefixes=()):
        """Write a configuration with more routes like the first one."""
        document = make_configuration(version)
        document["tenants"]["rows"][0][1] = keys
        rows = document["routes"]["rows"]
        prefix_index = document["routes"]["columns"].index("prefix")
        for prefix in prefixes:
            row = [*rows[0]]
            row[0], row[prefix_index] = prefix.strip("/"), prefix
            rows.append(row)
        self.fleet.store.put("op", "config", document)


@given("six VMs that serve requests, whose store is copied")
def step_fleet(context):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    portal = stack.enter_context(start_blocking_portal())
    manager = portal.wrap_async_context_manager(open_steering_fleet(VMS, SERVERS, BEHAVIOUR))
    context.era = era = EraFleet(portal, stack.enter_context(manager))
    portal.call(era.put_configuration, 2, [API_KEY, SPARE_KEY])
    stack.callback(setattr, era, "stopping", True)
    portal.start_task_soon(era.call_all)
    time.sleep(SETTLE_S)
    context.copy = era.fleet.store.state.copy()


@when("a key is withdrawn, a server drains, another one leaves and a third one registers")
def step_changes(context):
    era, fleet = context.era, context.era.fleet

    async def change():
        era.put_configuration(3, [API_KEY])
        await fleet.set_state("s0", "draining")
        fleet.store.put("servers", "s1", None)
        fleet.add_server("s9", "one-a", BEHAVIOUR)

    era.portal.call(change)
    context.changed_s = time.monotonic()
    time.sleep(SETTLE_S)


@when("the store is away for {ms:d} ms and comes back from the copy")
def step_away(context, ms):
    store = context.era.fleet.store

    async def go_away():
        store.faults = store.faults._replace(refuse=True)
        # Long polls that wait are answered at once, as their connections end.
        store._announce_change(store.state.revision)
        await anyio.sleep(ms / 1000)
        store.restore(context.copy)
        store.faults = store.faults._replace(refuse=False)

    context.era.portal.call(go_away)


@when("{ms:d} ms later the operators and the servers write theirs again, with another route")
def step_write_again(context, ms):
    time.sleep(ms / 1000)
    step_write_now(context)


@when("the operators and the servers write theirs again, with another route")
def step_write_now(context):
    era, fleet = context.era, context.era.fleet

    async def write_again():
        era.put_configuration(4, [API_KEY], [NEW_PREFIX])
        await fleet.set_state("s0", "draining")
        fleet.store.put("servers", "s1", None)
        if "s9" in fleet.registrations:
            fleet.store.put("servers", "s9", fleet.registrations["s9"])

    era.portal.call(write_again)
    context.written_s = time.monotonic()


@when(
    "the settings of all VMs name another address of the store, and {ms:d} ms later it answers"
    " only there"
)
def step_move(context, ms):
    fleet = context.era.fleet

    async def move():
        closed = await fleet.move_store()
        await anyio.sleep(ms / 1000)
        closed.set()
        await anyio.sleep(CLOSE_S)

    context.era.portal.call(move)


@then("every VM serves the new route within {ms:d} ms")
def step_new_route(context, ms):
    era = context.era

    async def wait_for_route(vm):
        async with httpx.AsyncClient(trust_env=False, timeout=REQUEST_TIMEOUT_S) as client:
            with anyio.fail_after(GIVE_UP_S):
                while True:
                    response = await era.send(client, vm, NEW_PREFIX + "x", API_KEY)
                    if response is not None and response.status_code == httpx.codes.OK:
                        return time.monotonic() - context.written_s
                    await anyio.sleep(PAUSE_S)

    took_s = [era.portal.call(wait_for_route, vm) for vm in era.fleet.vms]
    assert max(took_s) * 1000 <= ms, took_s
    time.sleep(SETTLE_S)


@then(
    "from {ms:d} ms after the changes on no request was served with the withdrawn key, or reached"
    " the servers that left"
)
def step_none_served(context, ms):
    in_force_s = context.changed_s + ms / 1000
    later = [item for item in context.era.served if item[0] >= in_force_s]
    assert {vm for _, vm, _, _ in later} == {vm.name for vm in context.era.fleet.vms}
    wrong = [
        (round(sent_s - context.changed_s, 2), vm, key == SPARE_KEY, server)
        for sent_s, vm, key, server in later
        if key == SPARE_KEY or server in ("s0", "s1")
    ]
    assert not wrong, wrong[:10]


@then("every VM of its region sends requests to the server that registered")
def step_registered(context):
    used = {
        vm
        for sent_s, vm, _, server in context.era.served
        if server == "s9" and sent_s >= context.written_s
    }
    expected = {vm.name for vm in context.era.fleet.vms if vm.failure_domain.startswith("one")}
    assert used >= expected, (used, expected)
