"""Success of organisations within their rate while another exceeds its rate or the capacity."""

from fleet import running_fleet

from benches.report import print_result, print_rows
from benches.serving import (
    VM_SPECS,
    RequestStream,
    apply_lists,
    merge_totals,
    run_streams,
    spread_backends,
)

SERVER_COUNT = 6
SLOTS = 3
SERVICE_MS = 100
CAPACITY_PER_S = SERVER_COUNT * SLOTS * 1000 / SERVICE_MS
ORGANISATIONS_WITHIN_RATE = ("cap-forage", "dune-borehole", "faleme-gold")
ORGANISATION_OVER_RATE = "baobab-quarry"
REQUESTS_PER_S = 20.0
DURATION_S = 12.0
CONNECTIONS_PER_VM = 12


def main() -> int:
    """Measure organisations within their rate: alone, beside one over its rate, in overload."""
    backend_specs = spread_backends("history", SERVER_COUNT, SLOTS, SERVICE_MS)
    rates = {
        **dict.fromkeys(ORGANISATIONS_WITHIN_RATE, REQUESTS_PER_S * 1.1),
        ORGANISATION_OVER_RATE: 40.0,
        "flood": 1_000_000.0,
    }
    with running_fleet(VM_SPECS, backend_specs) as fleet:
        keys = apply_lists(fleet, backend_specs, rates)
        streams_within_rate = [
            RequestStream(vm.name, keys[name], REQUESTS_PER_S / len(VM_SPECS), 3)
            for name in ORGANISATIONS_WITHIN_RATE
            for vm in VM_SPECS
        ]
        streams_over_rate = [
            RequestStream(
                p.name, keys[ORGANISATION_OVER_RATE], 200.0 / len(VM_SPECS), CONNECTIONS_PER_VM
            )
            for p in VM_SPECS
        ]
        overload_streams = [
            RequestStream(p.name, keys["flood"], CAPACITY_PER_S * 1.5 / len(VM_SPECS), 40)
            for p in VM_SPECS
        ]
        cases = {
            "alone": [],
            "one at 5 times its rate": streams_over_rate,
            "past capacity": overload_streams,
        }
        rows, figures = [], {}
        for case, other_streams in cases.items():
            totals = run_streams(fleet, streams_within_rate + other_streams, DURATION_S)
            streams_each = len(VM_SPECS)
            totals_by_organisation = [
                merge_totals(totals[i * streams_each : (i + 1) * streams_each])
                for i in range(len(ORGANISATIONS_WITHIN_RATE))
            ]
            worst_served = min(totals_by_organisation, key=lambda t: t.ok / t.requests)
            worst_p99_ms = max(t.p99_ms for t in totals_by_organisation)
            other_totals = (
                merge_totals(totals[len(streams_within_rate) :]) if other_streams else None
            )
            rows.append(
                (
                    case,
                    f"{100 * worst_served.ok / worst_served.requests:.2f}",
                    worst_served.refusals,
                    f"{worst_p99_ms:.0f}",
                    f"{other_totals.ok / DURATION_S:.0f}" if other_totals else "",
                )
            )
            figures[case] = {
                "worst_ok_percent": round(100 * worst_served.ok / worst_served.requests, 2),
                "worst_p99_ms": round(worst_p99_ms),
            }
    columns = ("case", "worst ok %", "its refusals", "worst p99 ms", "other ok/s")
    print_rows("three organisations within their rate, 6 VMs", columns, rows)
    print_result("fairness", figures)
    return 0
