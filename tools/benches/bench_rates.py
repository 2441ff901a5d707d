"""Rates over twelve VMs on a virtual clock: loans of shares against two baselines of ours."""

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple
from unittest import mock

from benches.report import print_result, print_rows
from berylbank._internal.models.changes import ReplaceConfiguration
from berylbank._internal.models.configuration import (
    Configuration,
    Entitlement,
    Organisation,
    Plan,
    Service,
)
from berylbankd._internal.rates.limiter import RateLimiter
from tests.support.model import Model

VMS = 12
ORGANISATIONS = 8
GREEDY = "org-0"
RATE = 40.0
BURST = 40.0
PART = 0.9
GREEDY_PART = 5.0
WARM_MS = 5_000
MEASURED_MS = 20_000
RESTART_AT_MS = 5_000
RESTARTED = "vm-2"
NEAR_RTT_MS = 4
FAR_RTT_MS = 80


class Cell(NamedTuple):
    """One run: how shares are handed out, on how many VMs callers are, and whether one restarts."""

    approach: str
    spread: int
    restart: bool


class Figures(NamedTuple):
    """Requests inside the rate, those refused, and the greedy organisation's grants."""

    cell: Cell
    inside: int
    refused: int
    worst_refused: float
    greedy_over: float
    mean_wait_ms: float


def make_configuration() -> Configuration:
    """Return eight organisations with one service."""
    names = [f"org-{i}" for i in range(ORGANISATIONS)]
    return Configuration(
        organisations=tuple(Organisation(name, "plan") for name in names),
        plans=(Plan("plan", (Entitlement("lookup", RATE, BURST),)),),
        services=(Service("lookup", "/lookup/", "lookup"),),
    )


class Callers:
    """Callers of every organisation, and what became of their requests."""

    def __init__(self, model: Model, cell: Cell) -> None:
        self.model = model
        self.cell = cell
        self.sent: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.asked: dict[str, int] = {}
        self.waited_ms = 0
        self.owner_level: dict[str, float] = {}
        self.owner_ms = model.now_ms
        self.begin_ms = model.now_ms

    def send(self, measured: bool) -> None:
        """Send what is due in this step of time."""
        elapsed_ms = self.model.now_ms - self.begin_ms
        for index in range(ORGANISATIONS):
            name = f"org-{index}"
            part = GREEDY_PART if name == GREEDY else PART
            while self.sent.get(name, 0) < elapsed_ms * RATE * part / 1000:
                number = self.sent.get(name, 0)
                self.sent[name] = number + 1
                vm = f"vm-{(index + number % self.cell.spread) % VMS + 1}"
                self._send_one(name, vm, measured)

    def _send_one(self, name: str, vm: str, measured: bool) -> None:
        begun_ms = self.model.now_ms
        if not self.model.vms[vm].may_act():
            vm = next(other.name for other in self.model.acting())

        def done(granted: bool) -> None:
            if measured:
                self.asked[name] = self.asked.get(name, 0) + 1
                self.refused[name] = self.refused.get(name, 0) + (not granted)
                self.waited_ms += self.model.now_ms - begun_ms

        if self.cell.approach == "owner":
            done(self._ask_owner(name, vm))
        else:
            self.model.request(vm, name, "lookup", done)

    def _ask_owner(self, name: str, vm: str) -> bool:
        """One VM holds the whole bucket of an organisation; the others ask it each time."""
        owner = self.model.vms[f"vm-{int(name[-1]) % VMS + 1}"]
        same = owner.region == self.model.vms[vm].region
        self.waited_ms += 0 if owner.name == vm else NEAR_RTT_MS if same else FAR_RTT_MS
        if not owner.may_act() or owner.name in self.model.store_cuts:
            return False
        elapsed_ms = self.model.now_ms - self.owner_ms
        self.owner_ms = self.model.now_ms
        for organisation in self.owner_level:
            filled = self.owner_level[organisation] + RATE * elapsed_ms / 1000
            self.owner_level[organisation] = min(BURST, filled)
        level = self.owner_level.setdefault(name, BURST)
        if level < 1:
            return False
        self.owner_level[name] = level - 1
        return True


def run_cell(cell: Cell) -> Figures:
    """Run one cell on a virtual clock and return its figures."""
    plan = RateLimiter.plan_loans if cell.approach == "loans" else (lambda _self, _now_ms: [])
    with mock.patch.object(RateLimiter, "plan_loans", plan):
        return _run(cell)


def _run(cell: Cell) -> Figures:
    model = Model(7, VMS)
    assert model.run_until(model.is_settled, 60_000)
    model.change("vm-1", ReplaceConfiguration(model.head_number(), make_configuration()))
    model.run(4_000)
    callers = Callers(model, cell)
    end_ms = model.now_ms + WARM_MS + MEASURED_MS
    while model.now_ms < end_ms:
        elapsed_ms = model.now_ms - callers.begin_ms
        if cell.restart and elapsed_ms == WARM_MS + RESTART_AT_MS:
            model.restart(RESTARTED)
        callers.send(elapsed_ms >= WARM_MS)
        model.step()
    model.run(500)
    if cell.approach != "owner":
        model.check_granted(RATE, BURST)
    return _figures(cell, callers)


def _figures(cell: Cell, callers: Callers) -> Figures:
    inside = {name: count for name, count in callers.asked.items() if name != GREEDY}
    refused = {name: callers.refused.get(name, 0) for name in inside}
    worst = max(refused[name] / inside[name] for name in inside)
    greedy = callers.asked[GREEDY] - callers.refused[GREEDY]
    return Figures(
        cell,
        sum(inside.values()),
        sum(refused.values()),
        worst,
        greedy / (RATE * MEASURED_MS / 1000 + BURST),
        callers.waited_ms / sum(callers.asked.values()),
    )


def main() -> int:
    """Run every cell side by side."""
    cells = [
        Cell(approach, spread, restart)
        for approach in ("loans", "static", "owner")
        for spread, restart in ((1, False), (3, False), (12, False), (3, True))
    ]
    with ProcessPoolExecutor(4) as pool:
        found = list(pool.map(run_cell, cells))
    rows = [
        (
            f.cell.approach,
            f.cell.spread,
            "yes" if f.cell.restart else "no",
            f.inside,
            f.refused,
            f"{100 * f.refused / f.inside:.2f}",
            f"{100 * f.worst_refused:.2f}",
            f"{f.greedy_over:.3f}",
            f"{f.mean_wait_ms:.1f}",
        )
        for f in found
    ]
    columns = (
        "shares",
        "VMs with callers",
        "restart",
        "inside rate",
        "refused",
        "%",
        "worst %",
        "greedy / allowed",
        "wait ms",
    )
    print_rows("requests inside the rate that were refused, 12 VMs", columns, rows)
    loans = [f for f in found if f.cell.approach == "loans"]
    steady = [f for f in loans if not f.cell.restart]
    print_result(
        "rates",
        {
            "steady_refused_percent": round(max(100 * f.refused / f.inside for f in steady), 3),
            "restart_refused_percent": round(
                max(100 * f.refused / f.inside for f in loans if f.cell.restart), 3
            ),
            "greedy_over_allowed": round(max(f.greedy_over for f in loans), 3),
            "windows_over_rate": 0,
        },
    )
    return 0
