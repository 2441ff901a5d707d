"""Runs one seed: a fleet under load, the scheduled faults, and the checks at the end."""

import contextlib
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
    API_KEY,
    SMALL_BUFFERS_ENVIRONMENT,
    SteeringFleet,
    Vm,
    free_port,
    make_configuration,
    open_steering_fleet,
)

from berylbank_standins._internal.steered_backend import SteeredBehaviour
from soak.callers import Callers
from soak.checks import (
    ALL_VMS,
    AcknowledgedChange,
    Arrival,
    Disturbance,
    Evidence,
    GracefulStop,
    LinkReset,
    ServerWork,
    find_violations,
)
from soak.proxy import LinkMode, LinkProxy
from soak.schedule import Fault, FaultKind, make_schedule

SPARE_KEY = "key-that-comes-and-goes"
# Longest time from the last fault until a VM serves ``RECOVERY_REQUESTS`` requests in a row, and
# longest wait for a restarted VM to become ready.
RECOVERY_LIMIT_S = 15.0
RECOVERY_REQUESTS = 20
# Longest time from SIGTERM to exit; more than the grace time of the fleet's settings.
EXIT_LIMIT_S = 6.0
BEHAVIOUR = SteeredBehaviour(work_ms=20, body_bytes=150_000)
# Queued, cold or slow: a request takes up to the timeout of its route, but is responded to before.
BUSY_BEHAVIOUR = SteeredBehaviour(
    slots=1,
    work_ms=60,
    body_bytes=20_000,
    slow_share=0.06,
    slow_ms=1_700,
    cold_s=5.0,
    cold_factor=2.0,
    keep_deadlines=True,
)
# How long the store is away before it comes back from a copy, and how long after its return the
# operators and the backend servers write theirs again.
AWAY_S = 1.0
WRITE_AGAIN_S = 0.3
# Signals that follow on the first SIGTERM of a stop, and the time between them.
FURTHER_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
SIGNAL_INTERVAL_S = 0.2
# Faults after which a process does not run for a time.
HALTING_KINDS = (FaultKind.VM_KILL, FaultKind.VM_PAUSE)
LINK_MODES = (LinkMode.DELAY, LinkMode.RESET, LinkMode.SILENT, LinkMode.ONE_WAY)


class SoakResult(NamedTuple):
    """Result of one seed; ``statuses`` counts requests by status, 0 for no complete response."""

    seed: int
    requests: int
    statuses: dict[int, int]
    faults: list[Fault]
    violations: list[str]


class Soak:
    """A run of one seed: its fleet, and what is recorded for the checks.

    A fault is skipped if its target is in ``faulty_targets`` because of an earlier fault.
    """

    def __init__(
        self, fleet: SteeringFleet, group: TaskGroup, seed: int, behaviour: SteeredBehaviour
    ) -> None:
        self.fleet = fleet
        self.behaviour = behaviour
        self.group = group
        self.rng = random.Random(seed)
        self.callers = Callers(fleet, (API_KEY, SPARE_KEY), seed)
        self.store_links: dict[str, LinkProxy] = {}
        self.server_links: dict[str, LinkProxy] = {}
        self.disturbances: list[Disturbance] = []
        self.withdrawn_keys: list[AcknowledgedChange] = []
        self.drained_servers: list[AcknowledgedChange] = []
        self.stops: list[GracefulStop] = []
        self.link_resets: list[LinkReset] = []
        self.version = 1
        self.spare_key_withdrawn = False
        self.evacuated = False
        self.faulty_targets: set[str] = set()

    async def open_links(self) -> None:
        """Put a proxy before each server, and register its address."""
        for server_id, registration in self.fleet.registrations.items():
            link = LinkProxy(f"127.0.0.1:{free_port()}", registration["address"], self.rng)
            await link.serve(self.group)
            self.server_links[server_id] = link
            self.fleet.registrations[server_id] = {
                **registration,
                "address": link.listen,
                "born": 2,
            }
            self.fleet.store.put("servers", server_id, self.fleet.registrations[server_id])

    async def inject_faults(self, faults: list[Fault]) -> None:
        """Inject the faults at their times, and wait until all are over."""
        started_s = anyio.current_time()
        async with anyio.create_task_group() as group:
            for fault in faults:
                await anyio.sleep_until(started_s + fault.at_s)
                group.start_soon(self._inject, fault)

    async def recover(self) -> list[str]:
        """Revert drains and withdrawals; return a line for each VM that fails to recover."""
        for server_id, server in self.fleet.servers.items():
            server.behaviour = BEHAVIOUR
            await self.fleet.set_state(server_id, "ready")
        self._write_configuration(spare_key_withdrawn=False)
        failed = []
        async with httpx.AsyncClient(verify=False, timeout=4.0, trust_env=False) as client:
            for vm in self.fleet.vms:
                with anyio.move_on_after(RECOVERY_LIMIT_S) as scope:
                    await self._wait_recovered(client, vm)
                if scope.cancelled_caught:
                    failed.append(
                        f"{vm.name} does not serve {RECOVERY_LIMIT_S} s after the last fault"
                    )
        return failed

    def collect_evidence(self) -> Evidence:
        """Return everything that callers, servers and faults recorded."""
        run_counts: Counter[str] = Counter()
        arrivals = []
        for server_id, server in self.fleet.servers.items():
            run_counts.update(server.run_counts)
            for headers in server.received_headers:
                at_s = float(headers["arrived"])
                arrivals.append(Arrival(headers["x-request-id"], server_id, at_s, headers))
        return Evidence(
            self.callers.records,
            arrivals,
            run_counts,
            self.disturbances,
            self.withdrawn_keys,
            self.drained_servers,
            self.stops,
            [
                ServerWork(server_id, record)
                for server_id, server in self.fleet.servers.items()
                for record in server.work_records
            ],
            self.link_resets,
        )

    async def _wait_recovered(self, client: httpx.AsyncClient, vm: Vm) -> None:
        successes = 0
        while successes < RECOVERY_REQUESTS:
            record = await self.callers.send(client, vm, API_KEY)
            successes = successes + 1 if record.status == httpx.codes.OK else 0
            await anyio.sleep(0.02)

    async def _inject(self, fault: Fault) -> None:
        target = self._target_name(fault)
        if target in self.faulty_targets:
            return
        self.faulty_targets.add(target)
        start_s = time.monotonic()
        vm = ALL_VMS
        try:
            vm = await FAULT_METHODS[fault.kind](self, fault, target)
        finally:
            self.faulty_targets.discard(target)
            if vm:
                halted = fault.kind in HALTING_KINDS
                self.disturbances.append(Disturbance(vm, start_s, time.monotonic(), halted))

    def _target_name(self, fault: Fault) -> str:
        if fault.kind.value.startswith("vm") or fault.kind is FaultKind.STORE_LINK:
            return self.fleet.vms[fault.target_number % len(self.fleet.vms)].name
        if fault.kind.value.startswith(("server", "link")):
            return sorted(self.fleet.servers)[fault.target_number % len(self.fleet.servers)]
        return "store" if fault.kind.value.startswith("store") else fault.kind.value

    def _find_vm(self, name: str) -> Vm:
        return next(vm for vm in self.fleet.vms if vm.name == name)

    # Each fault method returns the VM to which no time limits apply, ``ALL_VMS``, or an empty
    # string for none.

    async def _kill_vm(self, _: Fault, name: str) -> str:
        vm = self._find_vm(name)
        os.kill(vm.process.pid, signal.SIGKILL)
        await vm.process.wait()
        await self._restart_vm(vm)
        return name

    async def _pause_vm(self, fault: Fault, name: str) -> str:
        pid = self._find_vm(name).process.pid
        os.kill(pid, signal.SIGSTOP)
        await anyio.sleep(fault.duration_s)
        os.kill(pid, signal.SIGCONT)
        return name

    async def _stop_vm(self, _: Fault, name: str) -> str:
        vm = self._find_vm(name)
        start_s = time.monotonic()
        os.kill(vm.process.pid, signal.SIGTERM)
        for number in FURTHER_SIGNALS:
            await anyio.sleep(SIGNAL_INTERVAL_S)
            # The process may have ended already.
            if vm.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(vm.process.pid, number)
        with anyio.move_on_after(EXIT_LIMIT_S) as scope:
            await vm.process.wait()
        self.stops.append(GracefulStop(name, start_s, time.monotonic()))
        if scope.cancelled_caught:
            raise AssertionError(f"{name} still runs {EXIT_LIMIT_S} s after SIGTERM")
        # Time limits apply during the stop itself, but not during the start that follows it.
        restarted_s = time.monotonic()
        await self._restart_vm(vm)
        self.disturbances.append(Disturbance(name, restarted_s, time.monotonic()))
        return ""

    async def _restart_vm(self, vm: Vm) -> None:
        await self.fleet.start_vm(vm)
        with anyio.move_on_after(RECOVERY_LIMIT_S):
            while not await self.fleet.is_ready(vm):
                await anyio.sleep(0.05)

    async def _reload_vm(self, _: Fault, name: str) -> str:
        os.kill(self._find_vm(name).process.pid, signal.SIGHUP)
        return ""

    async def _disturb_store_link(self, fault: Fault, name: str) -> str:
        await self._disturb_link(self.store_links[name], fault)
        return name

    async def _disturb_server_link(self, fault: Fault, server_id: str) -> str:
        start_s = time.monotonic()
        await self._disturb_link(self.server_links[server_id], fault)
        if LINK_MODES[fault.link_mode_number % len(LINK_MODES)] is LinkMode.RESET:
            self.link_resets.append(LinkReset(server_id, start_s, time.monotonic()))
        return ""

    async def _disturb_link(self, link: LinkProxy, fault: Fault) -> None:
        await link.set_mode(LINK_MODES[fault.link_mode_number % len(LINK_MODES)])
        await anyio.sleep(fault.duration_s)
        await link.set_mode(LinkMode.PASS)

    async def _disturb_store(self, fault: Fault, _: str) -> str:
        store = self.fleet.store
        if fault.kind is FaultKind.STORE_COMPACTS:
            store.state.compact_history()
            return ALL_VMS
        store.faults = store.faults._replace(**STORE_FAULTS[fault.kind])
        await anyio.sleep(fault.duration_s)
        store.faults = type(store.faults)()
        return ALL_VMS

    async def _disturb_server(self, fault: Fault, server_id: str) -> str:
        server = self.fleet.servers[server_id]
        server.behaviour = server.behaviour._replace(**SERVER_BEHAVIOUR_CHANGES[fault.kind])
        await anyio.sleep(fault.duration_s)
        server.behaviour = self.behaviour
        return ""

    async def _drain_server(self, fault: Fault, server_id: str) -> str:
        await self.fleet.set_state(server_id, "draining")
        acknowledged_s = time.monotonic()
        await anyio.sleep(fault.duration_s + 3)
        self.drained_servers.append(AcknowledgedChange(server_id, acknowledged_s, time.monotonic()))
        await self.fleet.set_state(server_id, "ready")
        return ""

    async def _withdraw_key(self, fault: Fault, _: str) -> str:
        self._write_configuration(spare_key_withdrawn=True)
        acknowledged_s = time.monotonic()
        await anyio.sleep(fault.duration_s + 3)
        self.withdrawn_keys.append(AcknowledgedChange(SPARE_KEY, acknowledged_s, time.monotonic()))
        self._write_configuration(spare_key_withdrawn=False)
        return ""

    async def _change_configuration(self, _: Fault, __: str) -> str:
        self._write_configuration(self.spare_key_withdrawn)
        return ""

    async def _evacuate_failure_domain(self, fault: Fault, _: str) -> str:
        self._write_evacuation(True)
        await anyio.sleep(fault.duration_s)
        self._write_evacuation(False)
        return ""

    async def _restore_copy(self, fault: Fault, _: str) -> str:
        store = self.fleet.store
        copy = store.state.copy()
        await anyio.sleep(fault.duration_s)
        store.faults = store.faults._replace(refuse=True)
        await anyio.sleep(AWAY_S)
        store.restore(copy)
        store.faults = type(store.faults)()
        await anyio.sleep(WRITE_AGAIN_S)
        self._write_configuration(self.spare_key_withdrawn)
        self._write_evacuation(self.evacuated)
        for server_id, registration in self.fleet.registrations.items():
            store.put("servers", server_id, registration)
        return ALL_VMS

    def _write_evacuation(self, evacuated: bool) -> None:
        self.evacuated = evacuated
        self.fleet.store.put("op", "evacuate/one-a", {} if evacuated else None)

    def _write_configuration(self, spare_key_withdrawn: bool) -> None:
        self.spare_key_withdrawn = spare_key_withdrawn
        self.version += 3
        keys = [API_KEY] if spare_key_withdrawn else [API_KEY, SPARE_KEY]
        document = make_configuration(self.version)
        document["tenants"]["rows"][0][1] = keys
        self.fleet.store.put("op", "config", document)


STORE_FAULTS: dict[FaultKind, dict[str, Any]] = {
    FaultKind.STORE_REFUSES: {"refuse": True},
    FaultKind.STORE_UNRESPONSIVE: {"silent": True},
    FaultKind.STORE_SLOW: {"delay_ms": 600},
    FaultKind.STORE_LOSES_RESPONSES: {"lose_answers": 3},
}
SERVER_BEHAVIOUR_CHANGES: dict[FaultKind, dict[str, Any]] = {
    FaultKind.SERVER_HANGS: {"hang": True},
    FaultKind.SERVER_TRUNCATES: {"truncate": True},
    FaultKind.SERVER_SHEDS: {"shed": True},
}
FAULT_METHODS: dict[FaultKind, Callable[[Soak, Fault, str], Awaitable[str]]] = {
    FaultKind.VM_KILL: Soak._kill_vm,
    FaultKind.VM_PAUSE: Soak._pause_vm,
    FaultKind.VM_STOP: Soak._stop_vm,
    FaultKind.VM_RELOAD: Soak._reload_vm,
    FaultKind.STORE_LINK: Soak._disturb_store_link,
    FaultKind.SERVER_LINK: Soak._disturb_server_link,
    FaultKind.SERVER_DRAINS: Soak._drain_server,
    FaultKind.KEY_WITHDRAWN: Soak._withdraw_key,
    FaultKind.CONFIGURATION_CHANGE: Soak._change_configuration,
    FaultKind.EVACUATION: Soak._evacuate_failure_domain,
    FaultKind.STORE_COMPACTS: Soak._disturb_store,
    FaultKind.STORE_COPY: Soak._restore_copy,
    **dict.fromkeys(STORE_FAULTS, Soak._disturb_store),
    **dict.fromkeys(SERVER_BEHAVIOUR_CHANGES, Soak._disturb_server),
}


async def run_seed(
    seed: int,
    length_s: float,
    vms: int,
    servers: int,
    logs: Path,
    planned: bool = False,
    busy: bool = False,
    copies: bool = False,
) -> SoakResult:
    """Run one seed; keep the VMs' logs if a guarantee was violated.

    With ``planned`` the schedule has only planned operations, with ``busy`` the servers are queued,
    cold and slow, with ``copies`` the store comes back from copies.
    """
    behaviour = BUSY_BEHAVIOUR if busy else BEHAVIOUR
    faults = make_schedule(seed, length_s, planned, copies)
    async with anyio.create_task_group() as link_group:
        async with open_steering_fleet(
            vms,
            servers,
            behaviour,
            make_store_link_opener(link_group, seed),
            SMALL_BUFFERS_ENVIRONMENT,
        ) as fleet:
            soak = Soak(fleet, link_group, seed, behaviour)
            soak.store_links = fleet.store_links
            await soak.open_links()
            soak._write_configuration(spare_key_withdrawn=False)
            await anyio.sleep(1)
            async with anyio.create_task_group() as group:
                group.start_soon(soak.callers.run)
                await soak.inject_faults(faults)
                failed = await soak.recover()
                soak.callers.stopping = True
            violations = find_violations(soak.collect_evidence()) + failed
            if violations:
                keep_logs(fleet, logs / f"seed-{seed}")
        link_group.cancel_scope.cancel()
    statuses = Counter(call.status for call in soak.callers.records)
    return SoakResult(seed, len(soak.callers.records), dict(statuses), faults, violations)


def make_store_link_opener(
    group: TaskGroup, seed: int
) -> Callable[[str, str], Awaitable[LinkProxy]]:
    """Return a function that opens a proxy between a VM and the store."""

    async def open_store_link(name: str, store: str) -> LinkProxy:
        link = LinkProxy(f"127.0.0.1:{free_port()}", store, random.Random(f"{seed} {name}"))
        await link.serve(group)
        return link

    return open_store_link


def keep_logs(fleet: SteeringFleet, folder: Path) -> None:
    """Copy the VMs' logs to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for vm in fleet.vms:
        (folder / f"{vm.name}.log").write_text(fleet.read_log(vm))
