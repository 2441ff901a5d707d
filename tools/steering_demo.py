"""The whole path on the platform's protocol: three daemons, a stand-in store and three servers."""

import json
import sys

import anyio
import httpx
from steering_fleet import KEY, SteeringFleet, Vm, open_steering_fleet

REQUESTS = 60


async def send_reads(fleet: SteeringFleet, vm: Vm, prefix: str) -> list[httpx.Response]:
    """Send some reads to one VM."""
    answers = []
    async with httpx.AsyncClient(verify=False) as client:
        for number in range(REQUESTS):
            headers = {
                "host": "a.example",
                "x-key": KEY,
                "x-request-id": f"{prefix}{number:06d}",
                "x-deadline-ms": "2000",
                "cookie": f"X-Affinity-Key={number % 20}",
            }
            answers.append(await client.get(fleet.url(vm, "/reads/x"), headers=headers))
    return answers


async def show() -> int:
    """Serve, drain a server, and serve again; return 1 if a promise broke."""
    async with open_steering_fleet() as fleet:
        served = [await send_reads(fleet, vm, vm.name.replace("-", "")) for vm in fleet.vms]
        await fleet.set_state("s0", "draining")
        await anyio.sleep(1)
        after = [await send_reads(fleet, vm, f"after{vm.name[-1]}") for vm in fleet.vms]
        statuses = [answer.status_code for answers in served + after for answer in answers]
        late = sum(answer.json()["server"] == "s0" for answers in after for answer in answers)
        leaked = sum(
            KEY in json.dumps(seen) for s in fleet.servers.values() for seen in s.received_headers
        )
        figures = {
            "requests": len(statuses),
            "not_served": sum(status != httpx.codes.OK for status in statuses),
            "work_after_drain": late,
            "keys_seen_by_servers": leaked,
            "store_calls": sum(fleet.store.calls.values()),
            "look_up": await fleet.resolve(fleet.vms[0], "one-a"),
        }
    print(json.dumps(figures))
    broken = ("not_served", "work_after_drain", "keys_seen_by_servers")
    return 1 if any(figures[name] for name in broken) else 0


if __name__ == "__main__":
    sys.exit(anyio.run(show))
