"""Latency and throughput of requests: direct, by the naive proxy and by the daemon."""

import os
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import anyio
from fleet import (
    HOST,
    BackendPlan,
    Fleet,
    VmPlace,
    free_port,
    running_fleet,
    wait_until,
    write_service_lists,
)

from benches.report import print_result, print_rows
from berylbank_standins._internal.load import CallerConnection, LoadClient, LoadPlan, LoadResult

DURATION_S = 3.0
SMALL_BYTES = 512
LARGE_BYTES = 4 * 1024 * 1024
SLOTS = 300
RATE = 1_000_000.0
FEW_STREAMS = 16
MANY_STREAMS = 64


class Target(NamedTuple):
    """Address under which the backend server is reached: directly or through a proxy."""

    name: str
    port: int


class Measurement(NamedTuple):
    """Load result of one target, response size and number of connections."""

    target: str
    size: int
    connections: int
    result: LoadResult


def measure(target: Target, key: str, size: int, connections: int) -> Measurement:
    """Run a closed loop of requests for ``DURATION_S``, after a warm-up."""
    headers = (("authorization", f"Bearer {key}"), ("x-answer-bytes", str(size)))
    if target.name == "direct":
        headers = headers[1:]
    plan = LoadPlan(HOST, target.port, "/lookup/x", headers, connections, DURATION_S)
    warm_up = plan._replace(duration_s=0.5)
    anyio.run(LoadClient(warm_up).run, backend_options={"use_uvloop": True})
    result = anyio.run(LoadClient(plan).run, backend_options={"use_uvloop": True})
    if result.failed or result.cut:
        raise RuntimeError(f"requests to target {target.name} failed: {result}")
    return Measurement(target.name, size, connections, result)


def resident_kib(pid: int) -> int:
    """Return the resident memory of a process, or 0 if it is unknown."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


async def measure_peak_kib(pid: int, port: int, key: str, streams: int) -> int:
    """Return the peak resident KiB of a process while that many 4 MB responses are streamed."""
    peak_kib = 0
    headers = (("authorization", f"Bearer {key}"), ("x-answer-bytes", str(LARGE_BYTES)))
    async with anyio.create_task_group() as group:
        for _ in range(streams):
            connection = CallerConnection(HOST, port, keep_body=False)
            group.start_soon(connection.request, "GET", "/lookup/x", headers)
        for _ in range(100):
            await anyio.sleep(0.005)
            peak_kib = max(peak_kib, resident_kib(pid))
    return peak_kib


async def measure_kib_per_stream(pid: int, port: int, key: str) -> float:
    """Return the resident KiB that each additional stream adds."""
    few = await measure_peak_kib(pid, port, key, FEW_STREAMS)
    many = await measure_peak_kib(pid, port, key, MANY_STREAMS)
    return (many - few) / (MANY_STREAMS - FEW_STREAMS)


def start_naive(backend_port: int) -> tuple[subprocess.Popen[bytes], Target]:
    """Start the naive proxy, the baseline."""
    port = free_port()
    arguments = [f"{HOST}:{port}", f"{HOST}:{backend_port}"]
    environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)}
    process = subprocess.Popen([sys.executable, "-m", "benches.naive", *arguments], env=environment)
    return process, Target("naive", port)


def apply_lists(fleet: Fleet, plan: BackendPlan) -> str:
    """Apply lists with a rate that is never reached; return a key."""
    service = {"name": "lookup", "prefix": "/lookup/", "traffic_class": "lookup"}
    lists = write_service_lists(fleet, [plan], [service])
    organisations_path = fleet.folder / "customers.toml"
    organisations_path.write_text(
        '[[organisations]]\nname = "alder-mill"\nplan = "all"\n[[plans]]\nname = "all"\n'
        f'[[plans.entitlements]]\nservice = "lookup"\nrate = {RATE}\nburst = {RATE}\n'
    )
    fleet.berylctl("apply", str(lists), str(organisations_path), "--yes")
    return fleet.grant_key("alder-mill", "bench")


def main() -> int:
    """Measure every target, response size and number of connections, then memory."""
    plan = BackendPlan("lookup-1", "lookup", "north", "north-1", SLOTS)
    with running_fleet([VmPlace("north-1a", "north", "north-1")], [plan]) as fleet:
        key = apply_lists(fleet, plan)
        fleet.wait_ready(["north-1a"])
        backend_port = fleet.backend_ports["lookup-1"]
        naive_process, naive_target = start_naive(backend_port)
        try:
            targets = [
                Target("direct", backend_port),
                naive_target,
                Target("berylbankd", fleet.ports["north-1a"].callers),
            ]
            wait_until(
                lambda: fleet.http.get(f"http://{HOST}:{naive_target.port}/x"), "the naive proxy"
            )
            cells = [
                measure(target, key, size, connections)
                for size, counts in ((SMALL_BYTES, (1, 16, 256)), (LARGE_BYTES, (1, 4)))
                for connections in counts
                for target in targets
            ]
            pid = fleet.processes["north-1a"].pid
            kib_per_stream = anyio.run(
                measure_kib_per_stream, pid, fleet.ports["north-1a"].callers, key
            )
        finally:
            naive_process.kill()
            naive_process.wait()
    return report(cells, kib_per_stream)


def report(cells: list[Measurement], kib_per_stream: float) -> int:
    """Print the table and the figures that have a target."""
    rows = [
        (
            cell.size,
            cell.connections,
            cell.target,
            f"{cell.result.requests / cell.result.elapsed_s:.0f}",
            f"{cell.result.response_bytes / cell.result.elapsed_s / 1e6:.0f}",
            f"{cell.result.p50_us / 1000:.2f}",
            f"{cell.result.p99_us / 1000:.2f}",
        )
        for cell in cells
    ]
    columns = ("bytes", "connections", "way", "requests/s", "MB/s", "p50 ms", "p99 ms")
    print_rows("request path", columns, rows)
    results = {(c.target, c.size, c.connections): c.result for c in cells}

    def rate(target: str, size: int, connections: int) -> float:
        result = results[target, size, connections]
        return result.response_bytes / result.elapsed_s

    direct = results["direct", SMALL_BYTES, 1].p50_us
    through_daemon = results["berylbankd", SMALL_BYTES, 1].p50_us
    at_16 = ("berylbankd", SMALL_BYTES, 16), ("naive", SMALL_BYTES, 16)
    figures = {
        "added_p50_over_direct_p50": round((through_daemon - direct) / direct, 2),
        "throughput_16_over_naive": round(rate(*at_16[0]) / rate(*at_16[1]), 2),
        "stream_4mb_over_direct": round(
            rate("berylbankd", LARGE_BYTES, 4) / rate("direct", LARGE_BYTES, 4), 2
        ),
        "kib_per_stream": round(kib_per_stream),
    }
    print_result("path", figures)
    return 0
