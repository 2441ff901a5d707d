"""One organisation at five times its rate, and load beyond capacity: how the others fare."""

from fleet import running_fleet

from benches.report import print_result, print_rows
from benches.serving import PLACES, Stream, apply_lists, join, run_streams, spread_backends

SERVERS = 6
SLOTS = 3
SERVICE_MS = 100
CAPACITY = SERVERS * SLOTS * 1000 / SERVICE_MS
MODEST = ("cap-forage", "dune-borehole", "faleme-gold")
GREEDY = "baobab-quarry"
MODEST_RATE = 20.0
DURATION_S = 12.0
CONNECTIONS = 12


def main() -> int:
    """Measure the modest organisations alone, beside a greedy one, and past capacity."""
    plans = spread_backends("history", SERVERS, SLOTS, SERVICE_MS)
    rates = {**dict.fromkeys(MODEST, MODEST_RATE * 1.1), GREEDY: 40.0, "flood": 1_000_000.0}
    with running_fleet(PLACES, plans) as fleet:
        keys = apply_lists(fleet, plans, rates)
        modest = [
            Stream(place.name, keys[name], MODEST_RATE / len(PLACES), 3)
            for name in MODEST
            for place in PLACES
        ]
        greedy = [Stream(p.name, keys[GREEDY], 200.0 / len(PLACES), CONNECTIONS) for p in PLACES]
        flood = [Stream(p.name, keys["flood"], CAPACITY * 1.5 / len(PLACES), 40) for p in PLACES]
        cases = {"alone": [], "one at 5 times its rate": greedy, "past capacity": flood}
        rows, figures = [], {}
        for case, others in cases.items():
            totals = run_streams(fleet, modest + others, DURATION_S)
            per = len(PLACES)
            by_name = [join(totals[i * per : (i + 1) * per]) for i in range(len(MODEST))]
            worst = min(by_name, key=lambda t: t.ok / t.requests)
            slowest = max(t.p99_ms for t in by_name)
            rest = join(totals[len(modest) :]) if others else None
            rows.append(
                (
                    case,
                    f"{100 * worst.ok / worst.requests:.2f}",
                    worst.refused,
                    f"{slowest:.0f}",
                    f"{rest.ok / DURATION_S:.0f}" if rest else "",
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
