"""Latency and throughput of the request path: direct, naive and through the daemon."""

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
    """One way to the backend server."""

    name: str
    port: int


class Measurement(NamedTuple):
    """One cell of the table."""

    target: str
    size: int
    connections: int
    result: LoadResult


def measure(target: Target, key: str, size: int, connections: int) -> Measurement:
    """Send a closed loop of requests for a while."""
    headers = (("authorization", f"Bearer {key}"), ("x-answer-bytes", str(size)))
    if target.name == "direct":
        headers = headers[1:]
    plan = LoadPlan(HOST, target.port, "/lookup/x", headers, connections, DURATION_S)
    warm_up = plan._replace(duration_s=0.5)
    anyio.run(LoadClient(warm_up).run, backend_options={"use_uvloop": True})
    result = anyio.run(LoadClient(plan).run, backend_options={"use_uvloop": True})
    if result.failed or result.cut:
        raise RuntimeError(f"{target.name}: {result}")
    return Measurement(target.name, size, connections, result)


def resident_kib(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


async def most_memory(pid: int, port: int, key: str, streams: int) -> int:
    """Return the most KiB resident while that many 4 MB streams run."""
    most = 0
    headers = (("authorization", f"Bearer {key}"), ("x-answer-bytes", str(LARGE_BYTES)))
    async with anyio.create_task_group() as group:
        for _ in range(streams):
            caller = CallerConnection(HOST, port, keep_body=False)
            group.start_soon(caller.request, "GET", "/lookup/x", headers)
        for _ in range(100):
            await anyio.sleep(0.005)
            most = max(most, resident_kib(pid))
    return most


async def stream_memory(pid: int, port: int, key: str) -> float:
    """Return the KiB that each further stream adds."""
    few = await most_memory(pid, port, key, FEW_STREAMS)
    many = await most_memory(pid, port, key, MANY_STREAMS)
    return (many - few) / (MANY_STREAMS - FEW_STREAMS)


def start_naive(backend_port: int) -> tuple[subprocess.Popen[bytes], Target]:
    """Start the naive baseline."""
    port = free_port()
    arguments = [f"{HOST}:{port}", f"{HOST}:{backend_port}"]
    environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)}
    process = subprocess.Popen([sys.executable, "-m", "benches.naive", *arguments], env=environment)
    return process, Target("naive", port)


def prepare(fleet: Fleet, plan: BackendPlan) -> str:
    """Apply lists with a rate that never binds; return a key."""
    service = {"name": "lookup", "prefix": "/lookup/", "traffic_class": "lookup"}
    lists = write_service_lists(fleet, [plan], [service])
    extra = fleet.folder / "customers.toml"
    extra.write_text(
        '[[organisations]]\nname = "alder-mill"\nplan = "all"\n[[plans]]\nname = "all"\n'
        f'[[plans.entitlements]]\nservice = "lookup"\nrate = {RATE}\nburst = {RATE}\n'
    )
    fleet.berylctl("apply", str(lists), str(extra), "--yes")
    return fleet.grant_key("alder-mill", "bench")


def main() -> int:
    """Run the bench."""
    plan = BackendPlan("lookup-1", "lookup", "north", "north-1", SLOTS)
    with running_fleet([VmPlace("north-1a", "north", "north-1")], [plan]) as fleet:
        key = prepare(fleet, plan)
        fleet.wait_ready(["north-1a"])
        backend_port = fleet.backend_ports["lookup-1"]
        naive, naive_target = start_naive(backend_port)
        try:
            targets = [
                Target("direct", backend_port),
                naive_target,
                Target("berylbankd", fleet.ports["north-1a"].callers),
            ]
            wait_until(lambda: fleet.http.get(f"http://{HOST}:{naive_target.port}/x"), "naive")
            cells = [
                measure(target, key, size, connections)
                for size, counts in ((SMALL_BYTES, (1, 16, 256)), (LARGE_BYTES, (1, 4)))
                for connections in counts
                for target in targets
            ]
            pid = fleet.processes["north-1a"].pid
            memory = anyio.run(stream_memory, pid, fleet.ports["north-1a"].callers, key)
        finally:
            naive.kill()
            naive.wait()
    return report(cells, memory)


def report(cells: list[Measurement], memory_kib: float) -> int:
    """Print the table and the ratios that the targets name."""
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
    found = {(c.target, c.size, c.connections): c.result for c in cells}

    def rate(target: str, size: int, connections: int) -> float:
        result = found[target, size, connections]
        return result.response_bytes / result.elapsed_s

    direct = found["direct", SMALL_BYTES, 1].p50_us
    through = found["berylbankd", SMALL_BYTES, 1].p50_us
    at_16 = ("berylbankd", SMALL_BYTES, 16), ("naive", SMALL_BYTES, 16)
    figures = {
        "added_p50_over_direct_p50": round((through - direct) / direct, 2),
        "throughput_16_over_naive": round(rate(*at_16[0]) / rate(*at_16[1]), 2),
        "stream_4mb_over_direct": round(
            rate("berylbankd", LARGE_BYTES, 4) / rate("direct", LARGE_BYTES, 4), 2
        ),
        "kib_per_stream": round(memory_kib),
    }
    print_result("path", figures)
    return 0
