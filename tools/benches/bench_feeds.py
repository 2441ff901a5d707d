"""Row store calls, and time until the last VM has a change, by fleet size."""

import time

import anyio
import httpx
from steering_fleet import SteeringFleet, Vm, make_configuration, open_steering_fleet

from benches.report import print_result, print_rows

FLEET_SIZES = (3, 9, 24)
IDLE_S = 10.0
CHANGES = 5
POLL_S = 0.01


async def wait_for_version(
    fleet: SteeringFleet, vm: Vm, client: httpx.AsyncClient, version: str
) -> None:
    """Poll a VM's replica of the rows until it has a version of the configuration."""
    url = f"http://{vm.ip}:{fleet.peer_port}/rows?table=op&after=0"
    while version.encode() not in (await client.get(url)).content:
        await anyio.sleep(POLL_S)


async def time_change(fleet: SteeringFleet, version_number: int) -> float:
    """Write a configuration; return the time until the last VM has it, in ms."""
    version = f"r{version_number}"
    started = time.perf_counter()
    fleet.store.put("op", "config", make_configuration(version_number))
    async with httpx.AsyncClient(verify=False) as client, anyio.create_task_group() as group:
        for vm in fleet.vms:
            group.start_soon(wait_for_version, fleet, vm, client, version)
    return (time.perf_counter() - started) * 1000


async def measure(vms: int) -> tuple[int, float, float, float]:
    """Return the number of VMs, idle calls per second, calls per change and worst delay in ms."""
    async with open_steering_fleet(vms=vms) as fleet:
        await anyio.sleep(3)
        before = sum(fleet.store.calls.values())
        await anyio.sleep(IDLE_S)
        idle_calls_per_s = (sum(fleet.store.calls.values()) - before) / IDLE_S
        before, started = sum(fleet.store.calls.values()), time.perf_counter()
        delays_ms = []
        for version_number in range(CHANGES):
            delays_ms.append(await time_change(fleet, 1_000 + version_number))
            await anyio.sleep(1)
        calls = sum(fleet.store.calls.values()) - before
        change_calls = calls - idle_calls_per_s * (time.perf_counter() - started)
        return vms, idle_calls_per_s, change_calls / CHANGES, max(delays_ms)


def main() -> int:
    """Measure fleets of several sizes."""
    rows = [anyio.run(measure, vms) for vms in FLEET_SIZES]
    table_rows = [
        (n, f"{idle_calls_per_s:.1f}", f"{calls:.1f}", f"{ms:.0f}")
        for n, idle_calls_per_s, calls, ms in rows
    ]
    columns = ("VMs", "idle calls/s", "calls per change", "ms to the last VM, worst of 5")
    print_rows("row store calls and delay of changes", columns, table_rows)
    print_result(
        "feeds",
        {f"at_{n}": [idle_calls_per_s, calls, ms] for n, idle_calls_per_s, calls, ms in rows},
    )
    return 0
