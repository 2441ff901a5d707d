"""Calls of the store and delay of a change to the last VM, as the fleet grows."""

import time

import anyio
import httpx
from steering_fleet import SteeringFleet, Vm, make_configuration, open_steering_fleet

from benches.report import print_result, print_rows

SIZES = (3, 9, 24)
IDLE_S = 10.0
CHANGES = 5
POLL_S = 0.01


async def wait_known(fleet: SteeringFleet, vm: Vm, client: httpx.AsyncClient, version: str) -> None:
    """Wait until a VM has a version of the configuration."""
    url = f"http://{vm.ip}:{fleet.peer}/rows?table=op&after=0"
    while version.encode() not in (await client.get(url)).content:
        await anyio.sleep(POLL_S)


async def change(fleet: SteeringFleet, number: int) -> float:
    """Write a configuration; return after how many ms the last VM had it."""
    version = f"r{number}"
    started = time.perf_counter()
    fleet.store.put("op", "config", make_configuration(number))
    async with httpx.AsyncClient(verify=False) as client, anyio.create_task_group() as group:
        for vm in fleet.vms:
            group.start_soon(wait_known, fleet, vm, client, version)
    return (time.perf_counter() - started) * 1000


async def measure(vms: int) -> tuple[int, float, float, float]:
    """Return the fleet's size, calls in an idle second, calls a change, and the worst delay."""
    async with open_steering_fleet(vms=vms) as fleet:
        await anyio.sleep(3)
        before = sum(fleet.store.calls.values())
        await anyio.sleep(IDLE_S)
        idle = (sum(fleet.store.calls.values()) - before) / IDLE_S
        before, started = sum(fleet.store.calls.values()), time.perf_counter()
        delays = []
        for number in range(CHANGES):
            delays.append(await change(fleet, 1_000 + number))
            await anyio.sleep(1)
        spent = sum(fleet.store.calls.values()) - before
        extra = spent - idle * (time.perf_counter() - started)
        return vms, idle, extra / CHANGES, max(delays)


def main() -> int:
    """Measure a few sizes."""
    rows = [anyio.run(measure, vms) for vms in SIZES]
    shown = [(n, f"{idle:.1f}", f"{calls:.1f}", f"{ms:.0f}") for n, idle, calls, ms in rows]
    columns = ("VMs", "calls a second, idle", "calls a change", "ms to the last VM, worst of 5")
    print_rows("the store's readers", columns, shown)
    print_result("feeds", {f"at_{n}": [idle, calls, ms] for n, idle, calls, ms in rows})
    return 0
