"""Rate limits over twelve simulated VMs: loans of shares against two baselines.

The baselines are static shares, and one VM that owns the whole bucket of an organisation.
"""

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
LOAD_FACTOR = 0.9
GREEDY_LOAD_FACTOR = 5.0
WARM_UP_MS = 5_000
MEASURED_MS = 20_000
RESTART_AT_MS = 5_000
RESTARTED = "vm-2"
NEAR_RTT_MS = 4
FAR_RTT_MS = 80


class Case(NamedTuple):
    """How shares are distributed, how many VMs get requests, and whether a VM restarts."""

    approach: str
    spread: int
    restart: bool


class CaseResult(NamedTuple):
    """Result of one case.

    ``requests_in_rate`` counts the requests of organisations inside their rate, ``refused`` those
    of them that were refused, ``worst_refused`` is the highest refused part of one organisation,
    and ``greedy_over`` the grants of the greedy organisation relative to what its rate allows.
    """

    case: Case
    requests_in_rate: int
    refused: int
    worst_refused: float
    greedy_over: float
    mean_wait_ms: float


def make_configuration() -> Configuration:
    """Return a configuration of eight organisations and one service."""
    names = [f"org-{i}" for i in range(ORGANISATIONS)]
    return Configuration(
        organisations=tuple(Organisation(name, "plan") for name in names),
        plans=(Plan("plan", (Entitlement("lookup", RATE, BURST),)),),
        services=(Service("lookup", "/lookup/", "lookup"),),
    )


class SimulatedCallers:
    """Callers of every organisation, with the counts of their requests."""

    def __init__(self, model: Model, case: Case) -> None:
        self.model = model
        self.case = case
        self.sent: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.asked: dict[str, int] = {}
        self.waited_ms = 0
        self.owner_level: dict[str, float] = {}
        self.owner_ms = model.now_ms
        self.begin_ms = model.now_ms

    def send(self, measured: bool) -> None:
        """Send the requests that are due now."""
        elapsed_ms = self.model.now_ms - self.begin_ms
        for index in range(ORGANISATIONS):
            name = f"org-{index}"
            load_factor = GREEDY_LOAD_FACTOR if name == GREEDY else LOAD_FACTOR
            while self.sent.get(name, 0) < elapsed_ms * RATE * load_factor / 1000:
                number = self.sent.get(name, 0)
                self.sent[name] = number + 1
                vm = f"vm-{(index + number % self.case.spread) % VMS + 1}"
                self._send_one(name, vm, measured)

    def _send_one(self, name: str, vm: str, measured: bool) -> None:
        begun_ms = self.model.now_ms
        if not self.model.vms[vm].may_act():
            vm = next(other.name for other in self.model.list_acting_vms())

        def record(granted: bool) -> None:
            if measured:
                self.asked[name] = self.asked.get(name, 0) + 1
                self.refused[name] = self.refused.get(name, 0) + (not granted)
                self.waited_ms += self.model.now_ms - begun_ms

        if self.case.approach == "owner":
            record(self._ask_owner(name, vm))
        else:
            self.model.request(vm, name, "lookup", record)

    def _ask_owner(self, name: str, vm: str) -> bool:
        """Take a token from the VM that owns the organisation's bucket; add the round trip."""
        owner = self.model.vms[f"vm-{int(name[-1]) % VMS + 1}"]
        same_region = owner.region == self.model.vms[vm].region
        self.waited_ms += 0 if owner.name == vm else NEAR_RTT_MS if same_region else FAR_RTT_MS
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


def run_case(case: Case) -> CaseResult:
    """Run one case on a virtual clock and return its result."""
    plan = RateLimiter.plan_loans if case.approach == "loans" else (lambda _self, _now_ms: [])
    with mock.patch.object(RateLimiter, "plan_loans", plan):
        return _simulate(case)


def _simulate(case: Case) -> CaseResult:
    model = Model(7, VMS)
    assert model.run_until(model.is_settled, 60_000)
    model.change("vm-1", ReplaceConfiguration(model.head_number(), make_configuration()))
    model.run(4_000)
    callers = SimulatedCallers(model, case)
    end_ms = model.now_ms + WARM_UP_MS + MEASURED_MS
    while model.now_ms < end_ms:
        elapsed_ms = model.now_ms - callers.begin_ms
        if case.restart and elapsed_ms == WARM_UP_MS + RESTART_AT_MS:
            model.restart(RESTARTED)
        callers.send(elapsed_ms >= WARM_UP_MS)
        model.step()
    model.run(500)
    if case.approach != "owner":
        model.check_granted(RATE, BURST)
    return _summarise(case, callers)


def _summarise(case: Case, callers: SimulatedCallers) -> CaseResult:
    requests_in_rate = {name: count for name, count in callers.asked.items() if name != GREEDY}
    refused = {name: callers.refused.get(name, 0) for name in requests_in_rate}
    worst_refused = max(refused[name] / requests_in_rate[name] for name in requests_in_rate)
    greedy = callers.asked[GREEDY] - callers.refused[GREEDY]
    return CaseResult(
        case,
        sum(requests_in_rate.values()),
        sum(refused.values()),
        worst_refused,
        greedy / (RATE * MEASURED_MS / 1000 + BURST),
        callers.waited_ms / sum(callers.asked.values()),
    )


def main() -> int:
    """Run all cases in parallel processes."""
    cases = [
        Case(approach, spread, restart)
        for approach in ("loans", "static", "owner")
        for spread, restart in ((1, False), (3, False), (12, False), (3, True))
    ]
    with ProcessPoolExecutor(4) as pool:
        results = list(pool.map(run_case, cases))
    rows = [
        (
            f.case.approach,
            f.case.spread,
            "yes" if f.case.restart else "no",
            f.requests_in_rate,
            f.refused,
            f"{100 * f.refused / f.requests_in_rate:.2f}",
            f"{100 * f.worst_refused:.2f}",
            f"{f.greedy_over:.3f}",
            f"{f.mean_wait_ms:.1f}",
        )
        for f in results
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
    loans = [f for f in results if f.case.approach == "loans"]
    steady = [f for f in loans if not f.case.restart]
    print_result(
        "rates",
        {
            "steady_refused_percent": round(
                max(100 * f.refused / f.requests_in_rate for f in steady), 3
            ),
            "restart_refused_percent": round(
                max(100 * f.refused / f.requests_in_rate for f in loans if f.case.restart), 3
            ),
            "greedy_over_allowed": round(max(f.greedy_over for f in loans), 3),
            "windows_over_rate": 0,
        },
    )
    return 0
