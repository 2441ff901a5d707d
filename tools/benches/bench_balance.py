"""20 backend servers of 3 slots at rising load, with and without granted slots.

The service is that of Diop's wear history.
"""

from fleet import running_fleet

from benches.report import print_result, print_rows
from benches.serving import (
    PLACES,
    RequestStream,
    StreamTotals,
    apply_lists,
    merge_totals,
    run_streams,
    spread_backends,
)

SERVERS = 20
SLOTS = 3
SERVICE_MS = 200
CAPACITY = SERVERS * SLOTS * 1000 / SERVICE_MS
LOADS = (0.5, 0.8, 0.95, 1.2)
DURATION_S = 10.0
CONNECTIONS = 60
RATE = 1_000_000.0
UNCOORDINATED_SLOTS = 300


def run_loads(declared_slots: int) -> list[tuple[float, StreamTotals, int, int]]:
    """Run every load on a fleet whose lists declare ``declared_slots`` for each server.

    Return the load, its totals, the overload rejections and the most concurrent requests.
    """
    plans = spread_backends("history", SERVERS, SLOTS, SERVICE_MS)
    results = []
    with running_fleet(PLACES, plans) as fleet:
        declared = [plan._replace(slots=declared_slots) for plan in plans]
        key = apply_lists(fleet, declared, {"baobab": RATE})["baobab"]
        for load in LOADS:
            before = sum(fleet.backend_state(p.name)["overloaded"] for p in plans)
            rate = CAPACITY * load / len(PLACES)
            streams = [RequestStream(place.name, key, rate, CONNECTIONS) for place in PLACES]
            total = merge_totals(run_streams(fleet, streams, DURATION_S))
            states = [fleet.backend_state(p.name) for p in plans]
            overloaded = sum(s["overloaded"] for s in states) - before
            results.append((load, total, overloaded, max(s["most_running"] for s in states)))
    return results


def main() -> int:
    """Run with granted slots, then with a slot limit that is never reached."""
    rows, figures = [], {}
    for name, slots in (("granted", SLOTS), ("uncoordinated", UNCOORDINATED_SLOTS)):
        for load, total, overloaded, most_running in run_loads(slots):
            rows.append(
                (
                    name,
                    f"{load:.0%}",
                    total.requests,
                    f"{100 * total.ok / total.requests:.2f}",
                    f"{total.p50_ms:.0f}",
                    f"{total.p99_ms:.0f}",
                    overloaded,
                    most_running,
                    total.refused,
                )
            )
            figures[f"{name}_{load:.0%}"] = {
                "ok_percent": round(100 * total.ok / total.requests, 2),
                "p99_ms": round(total.p99_ms),
                "overloaded": overloaded,
            }
    columns = ("slots", "load", "sent", "ok %", "p50 ms", "p99 ms", "overloaded", "most", "refused")
    print_rows("6 VMs, 20 servers of 3 slots, 200 ms each", columns, rows)
    print_result("balance", figures)
    return 0
