"""A rolling restart of every VM under load from callers that cache the look-up."""

import signal
import time
from typing import NamedTuple

import anyio
from fleet import HOST, Fleet, running_fleet, wait_until

from benches.report import print_result, print_rows
from benches.serving import VM_SPECS, apply_lists, spread_backends
from berylbank_standins._internal.load import CallerConnection, IncompleteResponseError

CALLER_COUNT = 12
PAUSE_S = 0.02
LOOKUP_MAX_AGE_S = 1.0


class Counts(NamedTuple):
    """Requests of the callers, refusals by their ``error`` field, and incomplete responses."""

    requests: int
    refusals: dict[str, int]
    cut: int


class LookupCaller:
    """A caller that sends its requests to a VM of its look-up response.

    It repeats the look-up every ``LOOKUP_MAX_AGE_S``.
    """

    def __init__(self, fleet: Fleet, key: str, index: int) -> None:
        self.fleet = fleet
        self.key = key
        self.index = index
        self.requests = 0
        self.refusals: dict[str, int] = {}
        self.cut = 0

    async def run(self, stop: anyio.Event) -> None:
        """Send requests until ``stop`` is set."""
        known_ports = [ports.callers for ports in self.fleet.ports.values()]
        while not stop.is_set():
            known_ports = await self._look_up(known_ports)
            port = known_ports[self.index % len(known_ports)]
            caller = CallerConnection(HOST, port)
            lookup_expires = time.monotonic() + LOOKUP_MAX_AGE_S
            while time.monotonic() < lookup_expires and not stop.is_set():
                await self._send(caller)
                await anyio.sleep(PAUSE_S)
            await caller.aclose()

    async def _look_up(self, known_ports: list[int]) -> list[int]:
        import json

        for port in known_ports[self.index % len(known_ports) :] + known_ports:
            caller = CallerConnection(HOST, port)
            try:
                response = await caller.request("GET", "/.well-known/berylbank/lookup")
            except (OSError, IncompleteResponseError):
                continue
            finally:
                await caller.aclose()
            entry_vms = json.loads(response.body)["entry_vms"]
            if entry_vms:
                return [int(vm["address"].rpartition(":")[2]) for vm in entry_vms]
        return known_ports

    async def _send(self, caller: CallerConnection) -> None:
        self.requests += 1
        headers = (("authorization", f"Bearer {self.key}"),)
        try:
            response = await caller.request("GET", "/history/bit", headers)
        except (OSError, IncompleteResponseError):
            self.cut += 1
            return
        if response.status != 200:
            import json

            error = json.loads(response.body)["error"]
            self.refusals[error] = self.refusals.get(error, 0) + 1


async def restart_all_vms(fleet: Fleet, stop: anyio.Event) -> None:
    """Stop and start every VM in turn; wait until each may act again, then set ``stop``."""
    await anyio.sleep(1.0)
    for vm in VM_SPECS:
        fleet.send_signal(vm.name, signal.SIGTERM)
        await anyio.to_thread.run_sync(fleet.wait_exit, vm.name)
        fleet.start_vm(vm)
        await anyio.to_thread.run_sync(wait_may_act, fleet, vm.name)
    await anyio.sleep(1.0)
    stop.set()


def wait_may_act(fleet: Fleet, name: str) -> None:
    """Wait until a VM may act, so that it serves requests with a key."""
    wait_until(lambda: fleet.get_status(name)["may_act"], name)


def main() -> int:
    """Run the rolling restart; print the requests, refusals and cut connections."""
    backend_specs = spread_backends("history", 12, 3, 20)
    with running_fleet(VM_SPECS, backend_specs, {"lookup_max_age_ms": 1_500}) as fleet:
        key = apply_lists(fleet, backend_specs, {"baobab": 2_000.0})["baobab"]
        callers = [LookupCaller(fleet, key, index) for index in range(CALLER_COUNT)]

        async def run() -> None:
            stop = anyio.Event()
            async with anyio.create_task_group() as group:
                for caller in callers:
                    group.start_soon(caller.run, stop)
                group.start_soon(restart_all_vms, fleet, stop)

        started = time.monotonic()
        anyio.run(run)
        elapsed_s = time.monotonic() - started
    refusals: dict[str, int] = {}
    for caller in callers:
        for error, count in caller.refusals.items():
            refusals[error] = refusals.get(error, 0) + count
    requests = sum(caller.requests for caller in callers)
    cut = sum(caller.cut for caller in callers)
    rows = [(len(VM_SPECS), f"{elapsed_s:.0f}", requests, cut, refusals)]
    print_rows("rolling restart", ("VMs", "seconds", "requests", "cut", "refusals"), rows)
    print_result("stop", {"requests": requests, "cut": cut, "refused": refusals})
    return 0
