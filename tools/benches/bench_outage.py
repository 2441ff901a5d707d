"""The store out for ten minutes and a region cut for an hour, on a virtual clock."""

from typing import NamedTuple

from benches.report import print_result, print_rows
from tests.support.campaign import settled_model
from tests.support.model import REGIONS, Model

VMS = 6
EVERY_MS = 200
STORE_OUT_MS = 600_000
CUT_MS = 3_600_000
AROUND_MS = 30_000


class Phase(NamedTuple):
    """Requests answered in a phase, by region."""

    name: str
    asked: dict[str, int]
    granted: dict[str, int]

    def percent(self, region: str) -> float:
        """Return the part of a region's requests that were granted."""
        return 100 * self.granted[region] / self.asked[region]


def run_phase(model: Model, name: str, duration_ms: int) -> Phase:
    """Send five requests a second in each region and count the grants."""
    phase = Phase(name, dict.fromkeys(REGIONS, 0), dict.fromkeys(REGIONS, 0))
    end_ms = model.now_ms + duration_ms
    while model.now_ms < end_ms:
        if model.now_ms % EVERY_MS == 0:
            for index, region in enumerate(REGIONS):
                _send(model, phase, f"vm-{index + 1}", region)
        model.step()
    model.run(500)
    return phase


def _send(model: Model, phase: Phase, vm: str, region: str) -> None:
    def done(granted: bool) -> None:
        phase.granted[region] += granted

    phase.asked[region] += 1
    model.request(vm, "alder", "lookup", done)


def main() -> int:
    """Run both histories."""
    model = settled_model(31, VMS)
    model.run(5_000)
    phases = [run_phase(model, "before", AROUND_MS)]
    model.store.down = True
    phases.append(run_phase(model, "store out for 10 min", STORE_OUT_MS))
    model.store.down = False
    phases.append(run_phase(model, "store back", AROUND_MS))
    model.cut_region("south", with_store=False)
    phases.append(run_phase(model, "south cut for 1 h", CUT_MS))
    model.heal()
    phases.append(run_phase(model, "healed", AROUND_MS))
    rows = [(p.name, *(f"{p.percent(region):.2f}" for region in REGIONS)) for p in phases]
    print_rows("requests inside the rate that were granted, %", ("phase", *REGIONS), rows)
    figures = {p.name: {r: round(p.percent(r), 2) for r in REGIONS} for p in phases}
    print_result("outage", figures)
    return 0
