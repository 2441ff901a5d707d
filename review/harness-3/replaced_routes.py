"""A deployment whose operator replaces the routes of a service while clients of a region use them.

Nine VMs in three regions serve two services. `catalogue` is released, and ends as `succeeded`. Then
its routes are replaced by newer ones in three changes of the configuration. Clients in the north
use each of them once at each VM of the north. Without the trouble the same is done, but all
versions of the configuration hold the same routes.
"""

import asyncio
import random
from typing import Any

from fleet import BOUNDS, Fleet, Instance, Vm

ZONES = {
    "mid-one": "mid", "mid-two": "mid", "north-one": "north", "north-two": "north",
    "south-one": "south", "south-two": "south",
}  # fmt: skip
VM_ZONES = ("mid-one", "mid-one", "mid-two", "north-one", "north-one", "north-two", "south-one",
            "south-one", "south-two")  # fmt: skip
NORTH = ("north-one", "north-two")
HOST = "veneer.example"
CATALOGUE, HOLDS = "catalogue", "hold-ledger"
# The key of the tenant without a limit, and that of the one with a limit.
KEY, LIMITED_KEY = "key-of-mill-one", "key-of-mill-two"
LIMITED_TENANT = "mill-two"
RATE_PER_S, BURST = 60.0, 60.0
ROUTES_PER_VERSION = 400
VERSIONS = 4
CATALOGUE_CLIENTS_PER_VM = 6


def make_configuration(version: int, wave: int) -> dict[str, Any]:
    """Return a configuration with the routes of a wave; those to `hold-ledger` are always there."""
    columns = ["name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority"]
    columns += ["maxAttempts", "public", "sticky", "allowedRegions", "service"]
    rows = [
        [route_name(wave, number), HOST, route_prefix(wave, number), "safe", 2, 0.5, 2]
        + [2, False, False, [], CATALOGUE]
        for number in range(ROUTES_PER_VERSION)
    ]
    rows += [
        [name, HOST, prefix, "unsafe", 2, 0.5, 1, 2, False, False, [], HOLDS]
        for name, prefix in (("hold-orders", "/holds/"), ("north-orders", "/north/"))
    ]
    return {
        "version": f"r{version}",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "healthPath", "maxConnections", "warmupS", "warmupPerS"],
            "rows": [[name, "/health", 330, 3.0, 20.0] for name in (CATALOGUE, HOLDS)],
        },
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 1_048_576, "headerTimeoutS": 5,
            "idleTimeoutS": 15,
        },
        "tenants": {
            "columns": ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"],
            "rows": [
                ["mill-one", [KEY], 0, 0, 0, []],
                [LIMITED_TENANT, [LIMITED_KEY], 0, RATE_PER_S, BURST, []],
            ],
        },
    }  # fmt: skip


def route_name(wave: int, number: int) -> str:
    """Return the name of a route."""
    return f"catalogue-{wave}-species-and-flitches-{number:04}"


def route_prefix(wave: int, number: int) -> str:
    """Return the prefix of a route."""
    return f"/c{wave}/{number}/"


def list_north(fleet: Fleet) -> list[Vm]:
    """Return the VMs of the north."""
    return [vm for vm in fleet.vms.values() if vm.zone in NORTH]


async def send_wave(fleet: Fleet, wave: int) -> None:
    """Let clients use each route of a wave once at each VM of the north."""

    async def use(vm: Vm, numbers: list[int]) -> None:
        while numbers:
            path = route_prefix(wave, numbers.pop()) + "flitch"
            await fleet.send(vm, "GET", HOST, path, 1_500, {"X-Key": KEY})

    tasks = []
    for vm in list_north(fleet):
        numbers = random.sample(range(ROUTES_PER_VERSION), ROUTES_PER_VERSION)
        tasks += [use(vm, numbers) for _ in range(CATALOGUE_CLIENTS_PER_VM)]
    await asyncio.gather(*tasks)


async def add_version(
    fleet: Fleet, service: str, version: str, count: int, slots: int
) -> list[Instance]:
    """Start the instances of a version of a service."""
    zones = list(ZONES)
    return [
        await fleet.add_instance(
            f"i-{service}-{version}-{number}", service, zones[number % len(zones)], version, slots
        )
        for number in range(count)
    ]


def stop_version(fleet: Fleet, service: str, version: str) -> None:
    """Stop the instances of a version, and remove their entries."""
    for instance in fleet.instances.values():
        if (instance.service, instance.version) == (service, version):
            instance.stop()
            fleet.store.put("servers", instance.id, None)


async def wait_for_state(fleet: Fleet, service: str, states: set[str], timeout_s: float) -> str:
    """Wait for a state of a roll-out; return it, or an empty text after the timeout."""
    end_s = fleet.record.now_s() + timeout_s
    while fleet.record.now_s() < end_s:
        status = fleet.store.get("status", f"rollout/{service}")
        if status is not None and status["state"] in states:
            return str(status["state"])
        await asyncio.sleep(0.05)
    return ""


async def count_directory(fleet: Fleet) -> int:
    """Return how many VMs a directory in the north names to clients in its zone."""
    return len(await fleet.look_up(list_north(fleet)[0], HOST))


async def start_deployment(fleet: Fleet) -> None:
    """Start the store, the instances and the VMs, and wait until they know each other."""
    await fleet.start_store()
    fleet.store.put("op", "config", make_configuration(1, 1))
    await add_version(fleet, CATALOGUE, "v1", 12, 9)
    await add_version(fleet, HOLDS, "v1", 12, 7)
    for number, zone in enumerate(VM_ZONES, 1):
        fleet.start_vm(Vm(f"edge-{number}", f"127.0.7.{number}", zone), first_start=True)
    await fleet.wait_ready()
    await asyncio.sleep(BOUNDS["contactS"])
    count = await count_directory(fleet)
    fleet.record.say(f"all VMs are ready; a directory names {count} of its zone")


async def replace_routes(fleet: Fleet, trouble: bool) -> None:
    """Start the deployment, release `catalogue` and replace its routes."""
    record = fleet.record
    await start_deployment(fleet)
    await add_version(fleet, CATALOGUE, "v2", 12, 9)
    order = {"service": CATALOGUE, "to": "v2", "durationS": 10}
    fleet.store.put("op", f"rollout/{CATALOGUE}", order)
    for wave in range(1, VERSIONS + 1):
        if wave > 1:
            fleet.store.put("op", "config", make_configuration(wave * 3, wave if trouble else 1))
            await asyncio.sleep(BOUNDS["configApplyS"])
        await send_wave(fleet, wave if trouble else 1)
        record.say(f"routes of version {wave} of the configuration were used")
        if wave == 1 and await wait_for_state(fleet, CATALOGUE, {"succeeded"}, 12):
            record.say(f"status/rollout/{CATALOGUE} is succeeded; the old instances stop")
            stop_version(fleet, CATALOGUE, "v1")
    await asyncio.sleep(BOUNDS["contactS"] + 1)
    record.say(f"a directory names {await count_directory(fleet)} VMs of its zone")
