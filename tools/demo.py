"""The whole path on one machine: three VMs, a platform, backend servers, callers, operators."""

import json
import signal
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import anyio
import httpx
from fleet import HOST, BackendPlan, Fleet, VmPlace, running_fleet, service_lists, wait_until
from rich.console import Console
from rich.table import Table

from berylbank_standins._internal.load import LoadClient, LoadPlan, LoadResult, Response

EXAMPLE = Path(__file__).parent.parent / "examples" / "faner"
PLACES = [
    VmPlace("north-1a", "north", "north-1"),
    VmPlace("mid-1a", "mid", "mid-1"),
    VmPlace("south-1a", "south", "south-1"),
]
TIMING = {"lookup_max_age_ms": 1_000, "stop_grace_ms": 5_000}
LOAD_S = 2.0
WITHDRAWAL_LIMIT_MS = 3_000


def plan_backends() -> list[BackendPlan]:
    """Return a third of Faner's backend servers: one failure domain in each region."""
    plans = []
    for place in PLACES:
        for service, slots in (("lookup", 8), ("booking", 6), ("images", 3)):
            name = f"{service}-{place.region}"
            plans.append(BackendPlan(name, service, place.region, place.failure_domain, slots, 2))
    return plans


async def run_load(plan: LoadPlan, organisation: str) -> tuple[LoadResult, int]:
    """Send load and count answers that belong to another organisation."""
    wrong = 0

    def check(answer: Response) -> bool:
        nonlocal wrong
        if answer.status != 200:
            return False
        if json.loads(answer.body)["organisation"] != organisation:
            wrong += 1
            return False
        return True

    return await LoadClient(plan, check).run(), wrong


def withdraw_under_traffic(fleet: Fleet, key: str) -> int:
    """Withdraw a key while it is used; return for how many ms it went on working."""
    callers = [fleet.ports[place.name].callers for place in PLACES]
    started = time.monotonic()
    state = fleet.change(
        "mid-1a", "withdraw-key", {"organisation": "birch-mill", "key_name": "shift"}
    )
    assert state["state"] == "in_force", state
    last_success = started
    headers = {"authorization": f"Bearer {key}"}
    while time.monotonic() - started < 2.5:
        for port in callers:
            answer = fleet.http.get(f"http://{HOST}:{port}/lookup/oak", headers=headers)
            if answer.status_code == 200:
                last_success = time.monotonic()
    return int((last_success - started) * 1000)


async def stop_under_load(fleet: Fleet, plan: LoadPlan) -> LoadResult:
    """Stop a VM gracefully while a caller with a cached look-up goes on using it."""
    client = LoadClient(plan)
    async with anyio.create_task_group() as group:

        async def stop() -> None:
            await anyio.sleep(0.3)
            fleet.signal("south-1a", signal.SIGTERM)
            await anyio.sleep(0.9)
            client.stopping = True

        group.start_soon(stop)
        result = await client.run()
    await anyio.to_thread.run_sync(fleet.wait_exit, "south-1a")
    return result


def show(rows: list[tuple[str, LoadResult]]) -> None:
    """Print a table of load results."""
    table = Table(title="what callers saw", title_justify="left")
    for column in ("callers", "requests", "per second", "p50 ms", "p99 ms", "failed", "cut"):
        table.add_column(column)
    for name, result in rows:
        table.add_row(
            name,
            str(result.requests),
            f"{result.requests / result.elapsed_s:.0f}",
            f"{result.p50_us / 1000:.1f}",
            f"{result.p99_us / 1000:.1f}",
            str(result.failed),
            str(result.cut),
        )
    Console(width=100).print(table)


def main() -> int:
    """Run the demo; return 1 if a promise broke."""
    plans = plan_backends()
    with running_fleet(PLACES, plans, TIMING) as fleet:
        print("three VMs are seated")
        services = tomllib.loads((EXAMPLE / "services.toml").read_text())["services"]
        lists = service_lists(fleet, plans, services)
        files = [EXAMPLE / "organisations.toml", EXAMPLE / "plans.toml", lists]
        print(fleet.berylctl("apply", *map(str, files), "--yes").stdout.splitlines()[-1])
        names = [place.name for place in PLACES]
        fleet.wait_ready(names)
        key = fleet.grant_key("alder-mill", "front-desk")
        other = fleet.grant_key("birch-mill", "shift")
        time.sleep(1.0)
        return report(*serve(fleet, key, other))


def serve(fleet: Fleet, key: str, other: str) -> tuple[list[Any], dict[str, Any]]:
    """Run every scene of the demo and return its rows and figures."""
    port = fleet.ports["north-1a"].callers
    lookup = fleet.http.get(f"http://{HOST}:{port}/.well-known/berylbank/lookup").json()
    print("look-up names", [vm["address"] for vm in lookup["entry_vms"]])
    headers = (("authorization", f"Bearer {key}"),)
    rows: list[tuple[str, LoadResult]] = []
    wrong = 0
    for place in PLACES:
        plan = LoadPlan(
            HOST, fleet.ports[place.name].callers, "/lookup/oak", headers, 4, LOAD_S, rate=120
        )
        result, misdirected = anyio.run(run_load, plan, "alder-mill")
        rows.append((f"look-ups at {place.name}", result))
        wrong += misdirected
    plain = httpx.get(
        f"http://{HOST}:{port}/lookup/oak",
        headers={"authorization": f"Bearer {key}"},
        trust_env=False,
    )
    print("a plain client gets", plain.status_code, plain.json()["organisation"])
    after_ms = withdraw_under_traffic(fleet, other)
    started = time.monotonic()
    drained = fleet.berylctl("drain", "lookup-mid").stdout.strip()
    drain_ms = int((time.monotonic() - started) * 1000)
    print(drained)
    before = fleet.backend_state("lookup-mid")["requests"]
    stop_plan = LoadPlan(
        HOST, fleet.ports["south-1a"].callers, "/lookup/elm", headers, 4, 3.0, rate=100
    )
    stopped = anyio.run(stop_under_load, fleet, stop_plan)
    rows.append(("look-ups at a stopping VM", stopped))
    late = fleet.backend_state("lookup-mid")["requests"] - before
    leaked = sum(fleet.backend_state(name)["bad_headers"] for name in fleet.backend_ports)
    wait_until(lambda: fleet.status("north-1a")["may_act"], "the VMs that stay")
    figures = {
        "requests": sum(result.requests for _, result in rows),
        "failed": sum(result.failed for _, result in rows),
        "cut": sum(result.cut for _, result in rows),
        "wrong_org": wrong,
        "after_withdrawal_ms": after_ms,
        "drain_ms": drain_ms,
        "work_after_drain": late,
        "keys_seen_by_backends": leaked,
    }
    return rows, figures


def report(rows: list[tuple[str, LoadResult]], figures: dict[str, Any]) -> int:
    """Print the table and one JSON line; return 1 if a promise broke."""
    show(rows)
    print(json.dumps(figures))
    must_be_zero = ("failed", "cut", "wrong_org", "work_after_drain", "keys_seen_by_backends")
    broken = [name for name in must_be_zero if figures[name]]
    if figures["after_withdrawal_ms"] > WITHDRAWAL_LIMIT_MS:
        broken.append("after_withdrawal_ms")
    if broken:
        print(f"broken: {', '.join(broken)}", file=sys.stderr)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
