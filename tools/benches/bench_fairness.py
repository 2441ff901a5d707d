"""Success of organisations inside their rate while another exceeds its rate or the capacity."""

from fleet import running_fleet

from benches.report import print_result, print_rows
from benches.serving import (
    PLACES,
    RequestStream,
    apply_lists,
    merge_totals,
    run_streams,
    spread_backends,
)

SERVERS = 6
SLOTS = 3
SERVICE_MS = 100
CAPACITY = SERVERS * SLOTS * 1000 / SERVICE_MS
ORGANISATIONS_IN_RATE = ("cap-forage", "dune-borehole", "faleme-gold")
ORGANISATION_OVER_RATE = "baobab-quarry"
REQUEST_RATE = 20.0
DURATION_S = 12.0
CONNECTIONS = 12


def main() -> int:
    """Measure organisations inside their rate: alone, beside one over its rate, in overload."""
    plans = spread_backends("history", SERVERS, SLOTS, SERVICE_MS)
    rates = {
        **dict.fromkeys(ORGANISATIONS_IN_RATE, REQUEST_RATE * 1.1),
        ORGANISATION_OVER_RATE: 40.0,
        "flood": 1_000_000.0,
    }
    with running_fleet(PLACES, plans) as fleet:
        keys = apply_lists(fleet, plans, rates)
        streams_in_rate = [
            RequestStream(place.name, keys[name], REQUEST_RATE / len(PLACES), 3)
            for name in ORGANISATIONS_IN_RATE
            for place in PLACES
        ]
        streams_over_rate = [
            RequestStream(p.name, keys[ORGANISATION_OVER_RATE], 200.0 / len(PLACES), CONNECTIONS)
            for p in PLACES
        ]
        overload_streams = [
            RequestStream(p.name, keys["flood"], CAPACITY * 1.5 / len(PLACES), 40) for p in PLACES
        ]
        cases = {
            "alone": [],
            "one at 5 times its rate": streams_over_rate,
            "past capacity": overload_streams,
        }
        rows, figures = [], {}
        for case, other_streams in cases.items():
            totals = run_streams(fleet, streams_in_rate + other_streams, DURATION_S)
            streams_each = len(PLACES)
            by_name = [
                merge_totals(totals[i * streams_each : (i + 1) * streams_each])
                for i in range(len(ORGANISATIONS_IN_RATE))
            ]
            worst = min(by_name, key=lambda t: t.ok / t.requests)
            slowest = max(t.p99_ms for t in by_name)
            other_totals = merge_totals(totals[len(streams_in_rate) :]) if other_streams else None
            rows.append(
                (
                    case,
                    f"{100 * worst.ok / worst.requests:.2f}",
                    worst.refused,
                    f"{slowest:.0f}",
                    f"{other_totals.ok / DURATION_S:.0f}" if other_totals else "",
                )
            )
            figures[case] = {
                "worst_ok_percent": round(100 * worst.ok / worst.requests, 2),
                "worst_p99_ms": round(slowest),
            }
    columns = ("case", "worst-served ok %", "its refusals", "worst p99 ms", "other gets/s")
    print_rows("three modest organisations inside their rate, 6 VMs", columns, rows)
    print_result("fairness", figures)
    return 0
