"""Latency and throughput of requests: direct, through the baseline proxy, through the daemon."""

import os
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import anyio
from fleet import (
    HOST,
    BackendSpec,
    Fleet,
    VmSpec,
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
# High enough to be no limit.
UNLIMITED_RATE_PER_S = 1_000_000.0
MIN_STREAMS = 16
MAX_STREAMS = 64


class RequestTarget(NamedTuple):
    """Address under which the backend server is reached: directly or through a proxy."""

    name: str
    port: int


class Measurement(NamedTuple):
    """Load result of one target, response size and number of connections."""

    target: str
    size: int
    connections: int
    result: LoadResult


def measure(target: RequestTarget, key: str, size: int, connections: int) -> Measurement:
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
    """Return the peak resident KiB of a process while ``streams`` 4 MiB responses are read."""
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
    """Return the resident KiB that each additional stream of a 4 MiB response takes."""
    min_streams_kib = await measure_peak_kib(pid, port, key, MIN_STREAMS)
    max_streams_kib = await measure_peak_kib(pid, port, key, MAX_STREAMS)
    return (max_streams_kib - min_streams_kib) / (MAX_STREAMS - MIN_STREAMS)


def start_baseline_proxy(backend_port: int) -> tuple[subprocess.Popen[bytes], RequestTarget]:
    """Start the baseline proxy; return its process and address."""
    port = free_port()
    arguments = [f"{HOST}:{port}", f"{HOST}:{backend_port}"]
    environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)}
    process = subprocess.Popen(
        [sys.executable, "-m", "benches.baseline_proxy", *arguments], env=environment
    )
    return process, RequestTarget("baseline", port)


def apply_lists(fleet: Fleet, backend_spec: BackendSpec) -> str:
    """Apply lists with a rate that is never reached; return a key."""
    service = {"name": "lookup", "prefix": "/lookup/", "traffic_class": "lookup"}
    lists = write_service_lists(fleet, [backend_spec], [service])
    organisations_path = fleet.folder / "customers.toml"
    organisations_path.write_text(
        '[[organisations]]\nname = "alder-mill"\nplan = "all"\n[[plans]]\nname = "all"\n'
        f'[[plans.entitlements]]\nservice = "lookup"\nrate = {UNLIMITED_RATE_PER_S}\n'
        f"burst = {UNLIMITED_RATE_PER_S}\n"
    )
    fleet.berylctl("apply", str(lists), str(organisations_path), "--yes")
    return fleet.grant_key("alder-mill", "bench")


def main() -> int:
    """Measure every target, response size and number of connections, then memory."""
    backend_spec = BackendSpec("lookup-1", "lookup", "north", "north-1", SLOTS)
    with running_fleet([VmSpec("north-1a", "north", "north-1")], [backend_spec]) as fleet:
        key = apply_lists(fleet, backend_spec)
        fleet.wait_ready(["north-1a"])
        backend_port = fleet.backend_ports["lookup-1"]
        baseline_process, baseline_target = start_baseline_proxy(backend_port)
        try:
            targets = [
                RequestTarget("direct", backend_port),
                baseline_target,
                RequestTarget("berylbankd", fleet.ports["north-1a"].callers),
            ]
            wait_until(
                lambda: fleet.http.get(f"http://{HOST}:{baseline_target.port}/x"),
                "a response of the baseline proxy",
            )
            measurements = [
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
            baseline_process.kill()
            baseline_process.wait()
    return report(measurements, kib_per_stream)


def report(measurements: list[Measurement], kib_per_stream: float) -> int:
    """Print the table, and the figures for which a target value is set."""
    rows = [
        (
            measurement.size,
            measurement.connections,
            measurement.target,
            f"{measurement.result.requests / measurement.result.elapsed_s:.0f}",
            f"{measurement.result.response_bytes / measurement.result.elapsed_s / 1e6:.0f}",
            f"{measurement.result.p50_us / 1000:.2f}",
            f"{measurement.result.p99_us / 1000:.2f}",
        )
        for measurement in measurements
    ]
    columns = ("bytes", "connections", "target", "requests/s", "MB/s", "p50 ms", "p99 ms")
    print_rows("request path", columns, rows)
    results = {(c.target, c.size, c.connections): c.result for c in measurements}

    def bytes_per_s(target: str, size: int, connections: int) -> float:
        result = results[target, size, connections]
        return result.response_bytes / result.elapsed_s

    direct_p50_us = results["direct", SMALL_BYTES, 1].p50_us
    daemon_p50_us = results["berylbankd", SMALL_BYTES, 1].p50_us
    keys_at_16 = ("berylbankd", SMALL_BYTES, 16), ("baseline", SMALL_BYTES, 16)
    figures = {
        "added_p50_over_direct_p50": round((daemon_p50_us - direct_p50_us) / direct_p50_us, 2),
        "throughput_16_over_naive": round(
            bytes_per_s(*keys_at_16[0]) / bytes_per_s(*keys_at_16[1]), 2
        ),
        "stream_4mb_over_direct": round(
            bytes_per_s("berylbankd", LARGE_BYTES, 4) / bytes_per_s("direct", LARGE_BYTES, 4), 2
        ),
        "kib_per_stream": round(kib_per_stream),
    }
    print_result("path", figures)
    return 0
