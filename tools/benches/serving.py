"""Load on a fleet of VM processes; each stream of requests has its own load client."""

import json
from typing import NamedTuple

import anyio
from fleet import HOST, BackendSpec, Fleet, VmSpec, write_service_lists

from berylbank_standins._internal.load import LoadClient, LoadPlan, LoadResult, Response

VM_SPECS = [
    VmSpec(f"{region}-{domain}a", region, f"{region}-{domain}")
    for region in ("dakar", "thies", "kedougou")
    for domain in (1, 2)
]


class StreamTotals(NamedTuple):
    """Results of one or more load clients; latencies are those of the slowest client.

    ``refusals`` counts the responses with a status other than 200 by their ``error`` field.
    """

    requests: int
    ok: int
    cut: int
    refusals: dict[str, int]
    p50_ms: float
    p99_ms: float


class RequestStream(NamedTuple):
    """Requests with one key to one VM at a steady rate, in requests per second."""

    vm: str
    key: str
    rate: float
    connections: int
    target: str = "/history/bit"


def spread_backends(service: str, count: int, slots: int, service_ms: int) -> list[BackendSpec]:
    """Return specifications of backend servers, spread over the failure domains."""
    return [
        BackendSpec(
            f"{service}-{i + 1}",
            service,
            VM_SPECS[i % len(VM_SPECS)].region,
            VM_SPECS[i % len(VM_SPECS)].failure_domain,
            slots,
            service_ms,
        )
        for i in range(count)
    ]


def apply_lists(
    fleet: Fleet, backend_specs: list[BackendSpec], rates: dict[str, float], timeout_ms: int = 4_000
) -> dict[str, str]:
    """Apply one service and an organisation for each rate; return a key of each organisation."""
    service = {
        "name": backend_specs[0].service,
        "prefix": f"/{backend_specs[0].service}/",
        "traffic_class": "lookup",
        "timeout_ms": timeout_ms,
    }
    lists = write_service_lists(fleet, backend_specs, [service])
    lines = []
    for name, rate in rates.items():
        lines.append(f'[[organisations]]\nname = "{name}"\nplan = "{name}"\n')
        lines.append(f'[[plans]]\nname = "{name}"\n[[plans.entitlements]]\n')
        lines.append(f'service = "{backend_specs[0].service}"\nrate = {rate}\nburst = {rate}\n')
    path = fleet.folder / "customers.toml"
    path.write_text("".join(lines))
    fleet.berylctl("apply", str(lists), str(path), "--yes")
    fleet.wait_ready(list(fleet.ports))
    return {name: fleet.grant_key(name, "bench") for name in rates}


def run_streams(
    fleet: Fleet, streams: list[RequestStream], duration_s: float
) -> list[StreamTotals]:
    """Run all streams concurrently and return the totals of each."""

    async def run() -> list[StreamTotals]:
        totals: list[StreamTotals | None] = [None] * len(streams)

        async def run_one(index: int, stream: RequestStream) -> None:
            totals[index] = await run_stream(fleet, stream, duration_s)

        async with anyio.create_task_group() as group:
            for index, stream in enumerate(streams):
                group.start_soon(run_one, index, stream)
        return [total for total in totals if total is not None]

    return anyio.run(run, backend_options={"use_uvloop": True})


async def run_stream(fleet: Fleet, stream: RequestStream, duration_s: float) -> StreamTotals:
    """Run one stream and return its totals."""
    refusals: dict[str, int] = {}

    def check(response: Response) -> bool:
        if response.status != 200:
            error = json.loads(response.body).get("error", "?") if response.body else "?"
            refusals[error] = refusals.get(error, 0) + 1
        return response.status == 200

    headers = (("authorization", f"Bearer {stream.key}"),)
    port = fleet.ports[stream.vm].callers
    plan = LoadPlan(HOST, port, stream.target, headers, stream.connections, duration_s, stream.rate)
    return make_totals(await LoadClient(plan, check).run(), refusals)


def make_totals(result: LoadResult, refusals: dict[str, int]) -> StreamTotals:
    """Return the totals of one load client, with latencies in ms."""
    return StreamTotals(
        result.requests,
        result.statuses.get(200, 0),
        result.cut,
        refusals,
        result.p50_us / 1000,
        result.p99_us / 1000,
    )


def merge_totals(totals: list[StreamTotals]) -> StreamTotals:
    """Return the sums of the counts and the highest latencies."""
    refusals: dict[str, int] = {}
    for total in totals:
        for error, count in total.refusals.items():
            refusals[error] = refusals.get(error, 0) + count
    return StreamTotals(
        sum(t.requests for t in totals),
        sum(t.ok for t in totals),
        sum(t.cut for t in totals),
        refusals,
        max(t.p50_ms for t in totals),
        max(t.p99_ms for t in totals),
    )
