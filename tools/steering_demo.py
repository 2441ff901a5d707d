"""Demo of ``berylbankd steer`` on one machine: VMs, a row store and backend servers."""

import json
import sys

import anyio
import httpx
from steering_fleet import API_KEY, SteeringFleet, Vm, open_steering_fleet

REQUESTS = 60


async def send_reads(fleet: SteeringFleet, vm: Vm, prefix: str) -> list[httpx.Response | None]:
    """Send reads to one VM; their request ids start with ``prefix``.

    A read that gets no response is None in the result.
    """
    responses: list[httpx.Response | None] = []
    async with httpx.AsyncClient(verify=False) as client:
        for number in range(REQUESTS):
            headers = {
                "host": "a.example",
                "x-key": API_KEY,
                "x-request-id": f"{prefix}{number:06d}",
                "x-deadline-ms": "2000",
                "cookie": f"X-Affinity-Key={number % 20}",
            }
            try:
                responses.append(await client.get(fleet.url(vm, "/reads/x"), headers=headers))
            except httpx.HTTPError:
                responses.append(None)
    return responses


async def run_demo() -> int:
    """Send reads, drain a backend server and send reads again; return 1 if a check failed."""
    async with open_steering_fleet() as fleet:
        responses_before = [
            await send_reads(fleet, vm, vm.name.replace("-", "")) for vm in fleet.vms
        ]
        await fleet.set_state("s0", "draining")
        await anyio.sleep(1)
        responses_after = [await send_reads(fleet, vm, f"after{vm.name[-1]}") for vm in fleet.vms]
        statuses = [
            response.status_code if response is not None else 0
            for responses in responses_before + responses_after
            for response in responses
        ]
        requests_after_drain = sum(
            response.json()["server"] == "s0"
            for responses in responses_after
            for response in responses
            if response is not None and response.status_code == httpx.codes.OK
        )
        leaked_keys = sum(
            API_KEY in json.dumps(seen)
            for s in fleet.servers.values()
            for seen in s.received_headers
        )
        figures = {
            "requests": len(statuses),
            "not_served": sum(status != httpx.codes.OK for status in statuses),
            "work_after_drain": requests_after_drain,
            "keys_seen_by_servers": leaked_keys,
            "store_calls": sum(fleet.store.calls.values()),
            "look_up": await fleet.resolve(fleet.vms[0], "one-a"),
        }
    print(json.dumps(figures))
    zero_figures = ("not_served", "work_after_drain", "keys_seen_by_servers")
    return 1 if any(figures[name] for name in zero_figures) else 0


if __name__ == "__main__":
    sys.exit(anyio.run(run_demo))
