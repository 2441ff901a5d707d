"""Rolling restarts of a fleet whose backend servers are queued, cold and slow.

``python -m soak.restarts`` counts the requests that a VM ended itself while a server was at work on
them, by the phase of the VM's restart, as callers and servers see it.
"""

import contextlib
import json
import os
import secrets
import signal
import sys
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from statistics import median, quantiles
from typing import Annotated, Any, NamedTuple

import anyio
import cyclopts
import httpx
from steering_fleet import API_KEY, SteeringFleet, Vm, open_steering_fleet

from berylbank_standins._internal.steered_backend import SteeredBehaviour
from soak.callers import CLIENT_TIMEOUT_S, Callers, RequestRecord
from soak.checks import Evidence, GracefulStop, ServerWork, find_ended_at_work, find_violations
from soak.runner import keep_logs

app = cyclopts.App(name="restarts", help="Restart the VMs of a fleet whose servers are busy.")
LOG_FOLDER = Path("target/soak")
GRACE_S = 6.0
# Callers still count for a stop until this long after the grace time.
AFTER_GRACE_S = 1.0
# Time between the stops of VMs that overlap.
OVERLAP_INTERVAL_S = 3.5
CALM_S = 10.0
PAUSE_RANGE_S = (0.0, 0.1)
# Callers that were refused wait longer, as the response tells them.
REFUSED_PAUSE_S = 0.4
LAG_INTERVAL_S = 0.02
LATE_S = 0.1
DOWNLOAD_SHARE, UNSAFE_SHARE = 0.1, 0.15
# More objects than the servers remember together, so that some are always cold.
OBJECT_COUNT = 400
# A busy server takes up to 2 s, the timeout of the routes, but responds before it.
BEHAVIOUR = SteeredBehaviour(
    slots=2,
    work_ms=150,
    body_bytes=20_000,
    slow_share=0.04,
    slow_ms=1_700,
    cold_s=5.0,
    cold_factor=2.0,
    keep_deadlines=True,
)
PHASES = ("calm", "before the signal is noticed", "stopping", "started anew", "later")


class RestartCallers(Callers):
    """Callers on kept and on new connections, who all stay until they get a response."""

    async def run_all(self, kept: int, new: int) -> None:
        """Run callers until :attr:`stopping` is set, then wait for the last responses."""
        self.unsafe_share, self.download_share = UNSAFE_SHARE, DOWNLOAD_SHARE
        self.object_count = OBJECT_COUNT
        async with anyio.create_task_group() as group:
            for number in range(kept + new):
                group.start_soon(self._keep_sending, None if number < kept else 0)

    async def _keep_sending(self, kept_connections: int | None) -> None:
        limits = httpx.Limits(max_keepalive_connections=kept_connections)
        async with httpx.AsyncClient(
            verify=False, timeout=CLIENT_TIMEOUT_S, trust_env=False, limits=limits
        ) as client:
            while not self.stopping:
                record = await self.send(client, self.rng.choice(self.fleet.vms), API_KEY)
                pause_s = self.rng.uniform(*PAUSE_RANGE_S)
                await anyio.sleep(pause_s if record.signed else REFUSED_PAUSE_S)


class Restarts:
    """The restarts of a fleet's VMs and servers, and when they were."""

    def __init__(self, fleet: SteeringFleet) -> None:
        self.fleet = fleet
        self.stops: list[GracefulStop] = []
        self.longest_lag_s = 0.0
        self.late_count = 0
        self.killed_count = 0

    async def watch_lag(self) -> None:
        """Measure how late the tasks of this process run, callers and servers among them."""
        while True:
            started_s = time.monotonic()
            await anyio.sleep(LAG_INTERVAL_S)
            lag_s = time.monotonic() - started_s - LAG_INTERVAL_S
            self.longest_lag_s = max(self.longest_lag_s, lag_s)
            self.late_count += lag_s > LATE_S

    async def run(self, seconds: float) -> None:
        """Restart all VMs in series, then overlapping, and so on; restart a server with each."""
        end_s = time.monotonic() + seconds
        await anyio.sleep(CALM_S)
        servers = list(self.fleet.servers.values())
        number = 0
        while time.monotonic() < end_s:
            async with anyio.create_task_group() as group:
                in_series = number // len(self.fleet.vms) % 2 == 0
                for vm in self.fleet.vms:
                    servers[number % len(servers)].restart()
                    number += 1
                    if in_series:
                        await self._restart(vm)
                    else:
                        group.start_soon(self._restart, vm)
                        await anyio.sleep(OVERLAP_INTERVAL_S)
        await anyio.sleep(GRACE_S + AFTER_GRACE_S)

    async def _restart(self, vm: Vm) -> None:
        start_s = time.monotonic()
        os.kill(vm.process.pid, signal.SIGTERM)
        with anyio.move_on_after(GRACE_S) as scope:
            await vm.process.wait()
        if scope.cancelled_caught:
            # The process may have ended in this moment.
            with contextlib.suppress(ProcessLookupError):
                os.kill(vm.process.pid, signal.SIGKILL)
            await vm.process.wait()
            self.killed_count += 1
        self.stops.append(GracefulStop(vm.name, start_s, time.monotonic(), GRACE_S))
        await self.fleet.start_vm(vm)
        await self.fleet.wait_ready(vm)


class Report(NamedTuple):
    """Result of a run, as it is printed."""

    seed: int
    requests: int
    statuses: dict[str, int]
    requests_by_phase: dict[str, int]
    ended_at_work: dict[str, int]
    broken_off: int
    attempts_per_request: float
    silent_reads: int
    silent_reads_served: int
    silent_median_s: float
    silent_p99_s: float
    stop_median_s: float
    violations: int
    longest_lag_s: float = 0.0
    late_count: int = 0
    killed_count: int = 0


def find_phase(request: RequestRecord, stops: Sequence[GracefulStop], noticed: list[float]) -> str:
    """Return the phase of a request; ``noticed`` has the times at which its VM noticed a signal.

    They are in the order of the VM's stops.
    """
    phase = "calm"
    own_stops = sorted(stop for stop in stops if stop.vm == request.vm)
    for number, stop in enumerate(own_stops):
        if request.ended_s < stop.start_s:
            break
        noticed_s = noticed[number] if number < len(noticed) else stop.end_s
        if request.ended_s <= noticed_s:
            phase = "before the signal is noticed"
        elif request.sent_s <= stop.end_s:
            phase = "stopping"
        elif request.sent_s <= stop.start_s + GRACE_S + AFTER_GRACE_S:
            phase = "started anew"
        else:
            phase = "later"
    return phase


def read_noticed(fleet: SteeringFleet, vm: Vm) -> list[float]:
    """Return the times at which a VM logged that it stops, of the monotonic clock."""
    offset_s = time.time() - time.monotonic()
    lines = [json.loads(line) for line in fleet.read_log(vm).splitlines() if '"stopping: ' in line]
    return [line["t"] - offset_s for line in lines]


def find_log_lines(fleet: SteeringFleet, request_id: str) -> list[str]:
    """Return the VMs' log lines that name a request."""
    return [
        line for vm in fleet.vms for line in fleet.read_log(vm).splitlines() if request_id in line
    ]


def make_report(seed: int, evidence: Evidence, noticed: dict[str, list[float]]) -> Report:
    """Count what a run recorded."""

    def count_phases(requests: Sequence[RequestRecord]) -> dict[str, int]:
        phases = Counter(find_phase(r, evidence.stops, noticed[r.vm]) for r in requests)
        return {phase: phases[phase] for phase in PHASES}

    states: dict[str, list[str]] = {}
    for work in evidence.work:
        states.setdefault(work.record.request_id, []).append(work.record.state)
    silent_reads = [
        request
        for request in evidence.requests
        if not request.unsafe and "silent" in states.get(request.request_id, ())
    ]
    silent_s = [request.ended_s - request.sent_s for request in silent_reads]
    broken_off = sum(bool({"queued", "running"} & set(found)) for found in states.values())
    return Report(
        seed,
        len(evidence.requests),
        dict(Counter(str(r.status or r.failure) for r in evidence.requests)),
        count_phases(evidence.requests),
        count_phases([request for request, _ in find_ended_at_work(evidence)]),
        broken_off,
        round(len(evidence.work) / max(1, len(states)), 4),
        len(silent_s),
        sum(request.signed for request in silent_reads),
        round(median(silent_s), 3) if silent_s else 0.0,
        round(quantiles(silent_s, n=100)[-1], 3) if len(silent_s) > 1 else 0.0,
        round(median(stop.end_s - stop.start_s for stop in evidence.stops), 2),
        len(find_violations(evidence)),
    )


async def run_restarts(
    seed: int, seconds: float, vms: int, servers: int, callers: int, silent_share: float
) -> Report:
    """Run one seed, print what was found and return its report; keep the VMs' logs."""
    behaviour = BEHAVIOUR._replace(silent_share=silent_share)
    async with open_steering_fleet(vms, servers, behaviour, grace_s=GRACE_S) as fleet:
        for server in fleet.servers.values():
            server.rng.seed(f"{seed} {server.server_id}")
        sender, restarts = RestartCallers(fleet, (API_KEY,), seed), Restarts(fleet)
        async with anyio.create_task_group() as group:
            group.start_soon(sender.run_all, callers // 2, callers - callers // 2)
            group.start_soon(restarts.watch_lag)
            await restarts.run(seconds)
            sender.stopping = True
            await anyio.sleep(CLIENT_TIMEOUT_S)
            group.cancel_scope.cancel()
        await anyio.sleep(1)
        evidence = collect_evidence(fleet, sender.records, restarts.stops)
        noticed = {vm.name: read_noticed(fleet, vm) for vm in fleet.vms}
        report = make_report(seed, evidence, noticed)
        report = report._replace(
            longest_lag_s=round(restarts.longest_lag_s, 3),
            late_count=restarts.late_count,
            killed_count=restarts.killed_count,
        )
        for request, work in find_ended_at_work(evidence):
            phase = find_phase(request, evidence.stops, noticed[request.vm])
            after_s = [
                round(request.ended_s - stop.start_s, 2)
                for stop in evidence.stops
                if stop.vm == request.vm and stop.start_s <= request.ended_s
            ]
            print(f"{phase}, {after_s[-1:]} s after SIGTERM: {request.request_id} {request.status}")
            print(f"  {work.server} {work.record.state}; {request.failure}")
            for line in find_log_lines(fleet, request.request_id):
                print(f"  {line}")
        for line in find_violations(evidence):
            print(line)
        for request in sender.records:
            if request.failure and request.failure != "ConnectError":
                print(request, *find_log_lines(fleet, request.request_id))
        keep_logs(fleet, LOG_FOLDER / f"restarts-{seed}")
    return report


def collect_evidence(
    fleet: SteeringFleet, requests: list[RequestRecord], stops: list[GracefulStop]
) -> Evidence:
    """Return what callers and servers recorded."""
    run_counts: Counter[str] = Counter()
    work = []
    for server_id, server in fleet.servers.items():
        run_counts.update(server.run_counts)
        work.extend(ServerWork(server_id, record) for record in server.work_records)
    return Evidence(requests, [], run_counts, [], [], [], stops, work)


@app.default
def run(
    *,
    seed: Annotated[int | None, cyclopts.Parameter(help="seed to repeat")] = None,
    seconds: Annotated[float, cyclopts.Parameter(help="duration")] = 180.0,
    vms: Annotated[int, cyclopts.Parameter(help="number of VMs")] = 8,
    servers: Annotated[int, cyclopts.Parameter(help="number of backend servers")] = 8,
    callers: Annotated[int, cyclopts.Parameter(help="number of callers")] = 40,
    silent_share: Annotated[
        float, cyclopts.Parameter(help="share of requests whose connections die silently")
    ] = 0.0,
) -> int:
    """Run one seed; exit with 1 if a VM ended a request while a server was at work on it."""
    chosen = secrets.randbelow(10**6) if seed is None else seed
    print("seed:", chosen, flush=True)
    report = anyio.run(run_restarts, chosen, seconds, vms, servers, callers, silent_share)
    document: dict[str, Any] = report._asdict()
    print(json.dumps(document))
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(app())
