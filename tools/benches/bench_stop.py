"""A rolling restart of every VM under load from callers that cache the look-up."""

import signal
import time
from typing import NamedTuple

import anyio
from fleet import HOST, Fleet, running_fleet, wait_until

from benches.report import print_result, print_rows
from benches.serving import PLACES, apply_lists, spread_backends
from berylbank_standins._internal.load import CallerConnection, IncompleteResponseError

CALLERS = 12
PAUSE_S = 0.02
LOOKUP_MAX_AGE_S = 1.0


class Counts(NamedTuple):
    """Requests of the callers, refusals by their ``error`` field, and incomplete responses."""

    requests: int
    refused: dict[str, int]
    cut: int


class LookupCaller:
    """A caller that sends requests to a VM of the look-up, repeated every ``LOOKUP_MAX_AGE_S``."""

    def __init__(self, fleet: Fleet, key: str, index: int) -> None:
        self.fleet = fleet
        self.key = key
        self.index = index
        self.requests = 0
        self.refused: dict[str, int] = {}
        self.cut = 0

    async def run(self, stop: anyio.Event) -> None:
        """Send requests until ``stop`` is set."""
        known_ports = [ports.callers for ports in self.fleet.ports.values()]
        while not stop.is_set():
            known_ports = await self._look_up(known_ports)
            port = known_ports[self.index % len(known_ports)]
            caller = CallerConnection(HOST, port)
            kept_until = time.monotonic() + LOOKUP_MAX_AGE_S
            while time.monotonic() < kept_until and not stop.is_set():
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

            kind = json.loads(response.body)["error"]
            self.refused[kind] = self.refused.get(kind, 0) + 1


async def restart_all_vms(fleet: Fleet, stop: anyio.Event) -> None:
    """Stop and start every VM in turn; wait until each may act again, then set ``stop``."""
    await anyio.sleep(1.0)
    for place in PLACES:
        fleet.signal(place.name, signal.SIGTERM)
        await anyio.to_thread.run_sync(fleet.wait_exit, place.name)
        fleet.start_vm(place)
        await anyio.to_thread.run_sync(wait_may_act, fleet, place.name)
    await anyio.sleep(1.0)
    stop.set()


def wait_may_act(fleet: Fleet, name: str) -> None:
    """Wait until a VM may act, so that it serves requests with a key."""
    wait_until(lambda: fleet.status(name)["may_act"], name)


def main() -> int:
    """Run the rolling restart and print what the callers got."""
    plans = spread_backends("history", 12, 3, 20)
    with running_fleet(PLACES, plans, {"lookup_max_age_ms": 1_500}) as fleet:
        key = apply_lists(fleet, plans, {"baobab": 2_000.0})["baobab"]
        callers = [LookupCaller(fleet, key, index) for index in range(CALLERS)]

        async def run() -> None:
            stop = anyio.Event()
            async with anyio.create_task_group() as group:
                for caller in callers:
                    group.start_soon(caller.run, stop)
                group.start_soon(restart_all_vms, fleet, stop)

        begin = time.monotonic()
        anyio.run(run)
        elapsed_s = time.monotonic() - begin
    refused: dict[str, int] = {}
    for caller in callers:
        for kind, count in caller.refused.items():
            refused[kind] = refused.get(kind, 0) + count
    requests = sum(caller.requests for caller in callers)
    cut = sum(caller.cut for caller in callers)
    rows = [(len(PLACES), f"{elapsed_s:.0f}", requests, cut, refused)]
    print_rows("rolling restart", ("VMs", "seconds", "requests", "cut", "refused"), rows)
    print_result("stop", {"requests": requests, "cut": cut, "refused": refused})
    return 0
