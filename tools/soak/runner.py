"""Plays one seed: a fleet, callers, faults by schedule, and the checks at the end."""

import os
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import httpx
from anyio.abc import TaskGroup
from steering_fleet import (
    KEY,
    SteeringFleet,
    Vm,
    free_port,
    make_configuration,
    open_steering_fleet,
)

from berylbank_standins._internal.steered_backend import SteeredBehaviour
from soak.callers import Callers
from soak.checks import UNTROUBLED, Arrival, Evidence, Mark, StopMark, Trouble, find_broken
from soak.proxy import LinkMode, LinkProxy
from soak.schedule import Fault, FaultKind, make_schedule

SPARE_KEY = "key-that-comes-and-goes"
# After the last fault every VM serves again within this time.
RECOVERY_S = 15.0
RECOVERED_REQUESTS = 20
# What a stopped process may take until it is gone, above its grace time.
EXIT_S = 6.0
WORK_MS = 20
LINK_MODES = (LinkMode.DELAY, LinkMode.RESET, LinkMode.SILENT, LinkMode.ONE_WAY)


class SoakResult(NamedTuple):
    """What one seed showed."""

    seed: int
    calls: int
    statuses: dict[int, int]
    faults: list[Fault]
    broken: list[str]


class Soak:
    """One seed's fleet and what was done to it."""

    def __init__(self, fleet: SteeringFleet, group: TaskGroup, seed: int) -> None:
        self.fleet = fleet
        self.group = group
        self.rng = random.Random(seed)
        self.callers = Callers(fleet, (KEY, SPARE_KEY), seed)
        self.store_links: dict[str, LinkProxy] = {}
        self.server_links: dict[str, LinkProxy] = {}
        self.troubles: list[Trouble] = []
        self.withdrawn: list[Mark] = []
        self.drained: list[Mark] = []
        self.stops: list[StopMark] = []
        self.version = 1
        self.key_out = False
        self.busy: set[str] = set()

    async def open_links(self) -> None:
        """Put a proxy before each server, and one before the store for each VM."""
        for server_id, entry in self.fleet.entries.items():
            link = LinkProxy(f"127.0.0.1:{free_port()}", entry["address"], self.rng)
            await link.serve(self.group)
            self.server_links[server_id] = link
            self.fleet.entries[server_id] = {**entry, "address": link.listen, "born": 2}
            self.fleet.store.put("servers", server_id, self.fleet.entries[server_id])

    async def play(self, faults: list[Fault]) -> None:
        """Let the faults happen at their times."""
        started_s = anyio.current_time()
        async with anyio.create_task_group() as group:
            for fault in faults:
                await anyio.sleep_until(started_s + fault.at_s)
                group.start_soon(self._inflict, fault)

    async def recover(self) -> list[str]:
        """Wait until every VM serves again; return those that do not."""
        for server_id in self.fleet.servers:
            await self.fleet.set_state(server_id, "ready")
        self._configure(key_out=False)
        failed = []
        async with httpx.AsyncClient(verify=False, timeout=4.0, trust_env=False) as client:
            for vm in self.fleet.vms:
                with anyio.move_on_after(RECOVERY_S) as scope:
                    await self._serve_again(client, vm)
                if scope.cancelled_caught:
                    failed.append(f"{vm.name} does not serve {RECOVERY_S} s after the last fault")
        return failed

    def evidence(self) -> Evidence:
        """Return all that was seen."""
        ran: Counter[str] = Counter()
        arrivals = []
        for server_id, server in self.fleet.servers.items():
            ran.update(server.run_counts)
            for headers in server.received_headers:
                at_s = float(headers["arrived"])
                arrivals.append(Arrival(headers["x-request-id"], server_id, at_s, headers))
        return Evidence(
            self.callers.records,
            arrivals,
            ran,
            self.troubles,
            self.withdrawn,
            self.drained,
            self.stops,
        )

    async def _serve_again(self, client: httpx.AsyncClient, vm: Vm) -> None:
        served = 0
        while served < RECOVERED_REQUESTS:
            record = await self.callers.send(client, vm, KEY)
            served = served + 1 if record.status == httpx.codes.OK else 0
            await anyio.sleep(0.02)

    async def _inflict(self, fault: Fault) -> None:
        target = self._target(fault)
        if target in self.busy:
            return
        self.busy.add(target)
        start_s = time.monotonic()
        vm = UNTROUBLED
        try:
            vm = await FAULTS[fault.kind](self, fault, target)
        finally:
            self.busy.discard(target)
            if vm:
                self.troubles.append(Trouble(vm, start_s, time.monotonic()))

    def _target(self, fault: Fault) -> str:
        if fault.kind.value.startswith("vm") or fault.kind is FaultKind.STORE_LINK:
            return self.fleet.vms[fault.target % len(self.fleet.vms)].name
        if fault.kind.value.startswith(("server", "link")):
            return sorted(self.fleet.servers)[fault.target % len(self.fleet.servers)]
        return "store" if fault.kind.value.startswith("store") else fault.kind.value

    def _vm(self, name: str) -> Vm:
        return next(vm for vm in self.fleet.vms if vm.name == name)

    # Faults; each returns the VM that can't be held to bounds, all of them, or none

    async def _kill(self, _: Fault, name: str) -> str:
        vm = self._vm(name)
        os.kill(vm.process.pid, signal.SIGKILL)
        await vm.process.wait()
        await self._restart(vm)
        return name

    async def _pause(self, fault: Fault, name: str) -> str:
        pid = self._vm(name).process.pid
        os.kill(pid, signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        os.kill(pid, signal.SIGCONT)
        return name

    async def _stop(self, _: Fault, name: str) -> str:
        vm = self._vm(name)
        start_s = time.monotonic()
        os.kill(vm.process.pid, signal.SIGTERM)
        with anyio.move_on_after(EXIT_S) as scope:
            await vm.process.wait()
        self.stops.append(StopMark(name, start_s, time.monotonic()))
        if scope.cancelled_caught:
            raise AssertionError(f"{name} still runs {EXIT_S} s after SIGTERM")
        # The stop itself is planned; what follows is a start.
        restarted_s = time.monotonic()
        await self._restart(vm)
        self.troubles.append(Trouble(name, restarted_s, time.monotonic()))
        return ""

    async def _restart(self, vm: Vm) -> None:
        await self.fleet.start_vm(vm)
        with anyio.move_on_after(RECOVERY_S):
            while not await self.fleet.is_ready(vm):
                await anyio.sleep(0.05)

    async def _reload(self, _: Fault, name: str) -> str:
        os.kill(self._vm(name).process.pid, signal.SIGHUP)
        return ""

    async def _disturb_store_link(self, fault: Fault, name: str) -> str:
        await self._disturb(self.store_links[name], fault)
        return name

    async def _disturb_server_link(self, fault: Fault, server_id: str) -> str:
        await self._disturb(self.server_links[server_id], fault)
        return ""

    async def _disturb(self, link: LinkProxy, fault: Fault) -> None:
        await link.set_mode(LINK_MODES[fault.variant % len(LINK_MODES)])
        await anyio.sleep(fault.for_s)
        await link.set_mode(LinkMode.PASS)

    async def _spoil_store(self, fault: Fault, _: str) -> str:
        store = self.fleet.store
        if fault.kind is FaultKind.STORE_FORGETS:
            store.state.compact_history()
            return UNTROUBLED
        store.faults = store.faults._replace(**STORE_FAULTS[fault.kind])
        await anyio.sleep(fault.for_s)
        store.faults = type(store.faults)()
        return UNTROUBLED

    async def _spoil_server(self, fault: Fault, server_id: str) -> str:
        server = self.fleet.servers[server_id]
        server.behaviour = server.behaviour._replace(**SERVER_FAULTS[fault.kind])
        await anyio.sleep(fault.for_s)
        server.behaviour = SteeredBehaviour(work_ms=WORK_MS)
        return ""

    async def _drain(self, fault: Fault, server_id: str) -> str:
        await self.fleet.set_state(server_id, "draining")
        at_s = time.monotonic()
        await anyio.sleep(fault.for_s + 3)
        self.drained.append(Mark(server_id, at_s, time.monotonic()))
        await self.fleet.set_state(server_id, "ready")
        return ""

    async def _withdraw(self, fault: Fault, _: str) -> str:
        self._configure(key_out=True)
        at_s = time.monotonic()
        await anyio.sleep(fault.for_s + 3)
        self.withdrawn.append(Mark(SPARE_KEY, at_s, time.monotonic()))
        self._configure(key_out=False)
        return ""

    async def _change(self, _: Fault, __: str) -> str:
        self._configure(self.key_out)
        return ""

    async def _evacuate(self, fault: Fault, _: str) -> str:
        self.fleet.store.put("op", "evacuate/one-a", {})
        await anyio.sleep(fault.for_s)
        self.fleet.store.put("op", "evacuate/one-a", None)
        return ""

    def _configure(self, key_out: bool) -> None:
        self.key_out = key_out
        self.version += 3
        keys = [KEY] if key_out else [KEY, SPARE_KEY]
        document = make_configuration(self.version)
        document["tenants"]["rows"][0][1] = keys
        self.fleet.store.put("op", "config", document)


STORE_FAULTS: dict[FaultKind, dict[str, Any]] = {
    FaultKind.STORE_REFUSES: {"refuse": True},
    FaultKind.STORE_SILENT: {"silent": True},
    FaultKind.STORE_SLOW: {"delay_ms": 600},
    FaultKind.STORE_LOSES: {"lose_answers": 3},
}
SERVER_FAULTS: dict[FaultKind, dict[str, Any]] = {
    FaultKind.SERVER_HANGS: {"hang": True},
    FaultKind.SERVER_BREAKS: {"truncate": True},
    FaultKind.SERVER_SHEDS: {"shed": True},
}
FAULTS: dict[FaultKind, Callable[[Soak, Fault, str], Awaitable[str]]] = {
    FaultKind.VM_KILL: Soak._kill,
    FaultKind.VM_PAUSE: Soak._pause,
    FaultKind.VM_STOP: Soak._stop,
    FaultKind.VM_RELOAD: Soak._reload,
    FaultKind.STORE_LINK: Soak._disturb_store_link,
    FaultKind.SERVER_LINK: Soak._disturb_server_link,
    FaultKind.SERVER_DRAINS: Soak._drain,
    FaultKind.KEY_WITHDRAWN: Soak._withdraw,
    FaultKind.CONFIGURATION: Soak._change,
    FaultKind.EVACUATION: Soak._evacuate,
    FaultKind.STORE_FORGETS: Soak._spoil_store,
    **dict.fromkeys(STORE_FAULTS, Soak._spoil_store),
    **dict.fromkeys(SERVER_FAULTS, Soak._spoil_server),
}


async def play_seed(seed: int, length_s: float, vms: int, servers: int, logs: Path) -> SoakResult:
    """Play one seed; the VMs' logs are kept where a promise was broken."""
    faults = make_schedule(seed, length_s)
    behaviour = SteeredBehaviour(work_ms=WORK_MS)
    async with anyio.create_task_group() as links:
        async with open_steering_fleet(vms, servers, behaviour, link_store(links, seed)) as fleet:
            soak = Soak(fleet, links, seed)
            soak.store_links = fleet.store_links
            await soak.open_links()
            soak._configure(key_out=False)
            await anyio.sleep(1)
            async with anyio.create_task_group() as group:
                group.start_soon(soak.callers.run)
                await soak.play(faults)
                failed = await soak.recover()
                soak.callers.stopping = True
            broken = find_broken(soak.evidence()) + failed
            if broken:
                keep_logs(fleet, logs / f"seed-{seed}")
        links.cancel_scope.cancel()
    statuses = Counter(call.status for call in soak.callers.records)
    return SoakResult(seed, len(soak.callers.records), dict(statuses), faults, broken)


def link_store(group: TaskGroup, seed: int) -> Callable[[str, str], Awaitable[LinkProxy]]:
    """Return what puts a proxy between a VM and the store."""

    async def open_link(name: str, store: str) -> LinkProxy:
        link = LinkProxy(f"127.0.0.1:{free_port()}", store, random.Random(f"{seed} {name}"))
        await link.serve(group)
        return link

    return open_link


def keep_logs(fleet: SteeringFleet, folder: Path) -> None:
    """Copy the VMs' logs."""
    folder.mkdir(parents=True, exist_ok=True)
    for vm in fleet.vms:
        (folder / f"{vm.name}.log").write_text(fleet.log_of(vm))
