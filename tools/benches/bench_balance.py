"""20 backend servers of 3 slots at rising load, with and without coordination of slots.

The servers are those of the wear history service in the Diop example.
"""

from fleet import running_fleet

from benches.report import print_result, print_rows
from benches.serving import (
    VM_SPECS,
    RequestStream,
    StreamTotals,
    apply_lists,
    merge_totals,
    run_streams,
    spread_backends,
)

SERVER_COUNT = 20
SLOTS = 3
SERVICE_MS = 200
CAPACITY_PER_S = SERVER_COUNT * SLOTS * 1000 / SERVICE_MS
LOAD_FACTORS = (0.5, 0.8, 0.95, 1.2)
DURATION_S = 10.0
CONNECTIONS_PER_VM = 60
UNLIMITED_RATE_PER_S = 1_000_000.0
UNCOORDINATED_SLOTS = 300


def run_loads(declared_slots: int) -> list[tuple[float, StreamTotals, int, int]]:
    """Run every load on a fleet whose lists declare ``declared_slots`` for each server.

    Return for each load the factor, its totals, the number of requests that full servers rejected
    and the highest number of concurrent requests on a server.
    """
    backend_specs = spread_backends("history", SERVER_COUNT, SLOTS, SERVICE_MS)
    results = []
    with running_fleet(VM_SPECS, backend_specs) as fleet:
        declared = [spec._replace(slots=declared_slots) for spec in backend_specs]
        key = apply_lists(fleet, declared, {"baobab": UNLIMITED_RATE_PER_S})["baobab"]
        for load_factor in LOAD_FACTORS:
            before = sum(fleet.backend_state(spec.name)["overloaded"] for spec in backend_specs)
            rate = CAPACITY_PER_S * load_factor / len(VM_SPECS)
            streams = [RequestStream(vm.name, key, rate, CONNECTIONS_PER_VM) for vm in VM_SPECS]
            totals = merge_totals(run_streams(fleet, streams, DURATION_S))
            states = [fleet.backend_state(spec.name) for spec in backend_specs]
            overloaded = sum(s["overloaded"] for s in states) - before
            results.append(
                (load_factor, totals, overloaded, max(s["most_running"] for s in states))
            )
    return results


def main() -> int:
    """Run with the servers' real slots, then with a declared number that is never reached."""
    rows, figures = [], {}
    for name, slots in (("granted", SLOTS), ("uncoordinated", UNCOORDINATED_SLOTS)):
        for load_factor, totals, overloaded, most_running in run_loads(slots):
            rows.append(
                (
                    name,
                    f"{load_factor:.0%}",
                    totals.requests,
                    f"{100 * totals.ok / totals.requests:.2f}",
                    f"{totals.p50_ms:.0f}",
                    f"{totals.p99_ms:.0f}",
                    overloaded,
                    most_running,
                    totals.refusals,
                )
            )
            figures[f"{name}_{load_factor:.0%}"] = {
                "ok_percent": round(100 * totals.ok / totals.requests, 2),
                "p99_ms": round(totals.p99_ms),
                "overloaded": overloaded,
            }
    columns = (
        "slots",
        "load",
        "sent",
        "ok %",
        "p50 ms",
        "p99 ms",
        "overloaded",
        "peak",
        "refusals",
    )
    print_rows("6 VMs, 20 servers of 3 slots, 200 ms each", columns, rows)
    print_result("balance", figures)
    return 0
