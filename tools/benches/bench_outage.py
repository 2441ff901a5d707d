"""Simulation of a store outage of ten minutes and of a region's partition for an hour."""

from typing import NamedTuple

from benches.report import print_result, print_rows
from tests.support.campaign import settled_model
from tests.support.model import REGIONS, Model

VMS = 6
REQUEST_INTERVAL_MS = 200
STORE_OUTAGE_MS = 600_000
PARTITION_MS = 3_600_000
UNDISTURBED_MS = 30_000


class Phase(NamedTuple):
    """Numbers of requests sent and granted in a phase, by region."""

    name: str
    sent: dict[str, int]
    granted: dict[str, int]

    def percent(self, region: str) -> float:
        """Return the percentage of a region's requests that were granted."""
        return 100 * self.granted[region] / self.sent[region]


def run_phase(model: Model, name: str, duration_ms: int) -> Phase:
    """Send five requests per second in each region and count those granted."""
    phase = Phase(name, dict.fromkeys(REGIONS, 0), dict.fromkeys(REGIONS, 0))
    end_ms = model.now_ms + duration_ms
    while model.now_ms < end_ms:
        if model.now_ms % REQUEST_INTERVAL_MS == 0:
            for index, region in enumerate(REGIONS):
                _send(model, phase, f"vm-{index + 1}", region)
        model.step()
    model.run(500)
    return phase


def _send(model: Model, phase: Phase, vm: str, region: str) -> None:
    def record(granted: bool) -> None:
        phase.granted[region] += granted

    phase.sent[region] += 1
    model.request(vm, "alder", "lookup", record)


def main() -> int:
    """Run the store outage, then the partition, with undisturbed phases around them."""
    model = settled_model(31, VMS)
    model.run(5_000)
    phases = [run_phase(model, "before", UNDISTURBED_MS)]
    model.store.down = True
    phases.append(run_phase(model, "store out for 10 min", STORE_OUTAGE_MS))
    model.store.down = False
    phases.append(run_phase(model, "store back", UNDISTURBED_MS))
    model.cut_region("south", with_store=False)
    phases.append(run_phase(model, "south cut for 1 h", PARTITION_MS))
    model.heal()
    phases.append(run_phase(model, "healed", UNDISTURBED_MS))
    rows = [(p.name, *(f"{p.percent(region):.2f}" for region in REGIONS)) for p in phases]
    print_rows("granted requests of an organisation within its rate, %", ("phase", *REGIONS), rows)
    figures = {p.name: {r: round(p.percent(r), 2) for r in REGIONS} for p in phases}
    print_result("outage", figures)
    return 0
