"""Look-ups per second that one VM answers in a fleet of 12 VMs."""

import anyio
from fleet import HOST

from benches.coordination_fleet import ResourceUsage, open_coordination_fleet
from benches.report import print_result, print_rows
from berylbank_standins._internal.load import LoadClient, LoadPlan

VMS = 12
DURATION_S = 5.0
TARGET = "/.well-known/berylbank/lookup?region=north"


def main() -> int:
    """Measure closed loops with several numbers of connections."""
    rows, figures = [], {}
    with open_coordination_fleet(VMS) as fleet:
        port = fleet.ports["north-001"].callers
        for connections in (1, 16, 64):
            plan = LoadPlan(HOST, port, TARGET, (), connections, DURATION_S)
            usage = ResourceUsage(fleet)
            result = anyio.run(LoadClient(plan).run, backend_options={"use_uvloop": True})
            lookups_per_s = result.requests / result.elapsed_s
            fleet_cpu_percent = usage.cpu_percent(result.elapsed_s) * VMS
            rows.append(
                (
                    connections,
                    f"{lookups_per_s:.0f}",
                    f"{result.p50_us / 1000:.2f}",
                    f"{fleet_cpu_percent:.0f}",
                )
            )
            figures[f"at_{connections}"] = round(lookups_per_s)
    columns = ("connections", "look-ups/s", "p50 ms", "% of a core, all VMs")
    print_rows("look-ups at one of 12 VMs", columns, rows)
    print_result("lookup", figures)
    return 0
