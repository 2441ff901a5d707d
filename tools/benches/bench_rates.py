"""Rate limits over twelve simulated VMs: loans of shares compared with two baselines.

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

VM_COUNT = 12
ORGANISATION_COUNT = 8
GREEDY_ORGANISATION = "org-0"
RATE_PER_S = 40.0
BURST = 40.0
LOAD_FACTOR = 0.9
GREEDY_LOAD_FACTOR = 5.0
WARM_UP_MS = 5_000
MEASUREMENT_MS = 20_000
RESTART_AT_MS = 5_000
RESTARTED_VM = "vm-2"
NEAR_RTT_MS = 4
FAR_RTT_MS = 80


class Case(NamedTuple):
    """How shares are distributed, the number of VMs with callers, and whether a VM restarts."""

    approach: str
    vms_with_callers: int
    restart: bool


class CaseResult(NamedTuple):
    """Result of one case.

    ``requests_within_rate`` counts the requests of organisations within their rate, ``rejected``
    those of them that were rejected, ``worst_rejected_ratio`` is the highest rejected part of the
    requests of one organisation, and ``greedy_grant_ratio`` the grants of the greedy organisation
    divided by what its rate allows.
    """

    case: Case
    requests_within_rate: int
    rejected: int
    worst_rejected_ratio: float
    greedy_grant_ratio: float
    mean_wait_ms: float


def make_configuration() -> Configuration:
    """Return a configuration of eight organisations and one service."""
    names = [f"org-{i}" for i in range(ORGANISATION_COUNT)]
    return Configuration(
        organisations=tuple(Organisation(name, "plan") for name in names),
        plans=(Plan("plan", (Entitlement("lookup", RATE_PER_S, BURST),)),),
        services=(Service("lookup", "/lookup/", "lookup"),),
    )


class SimulatedCallers:
    """Callers of every organisation, and the counts of their requests by organisation."""

    def __init__(self, model: Model, case: Case) -> None:
        self.model = model
        self.case = case
        self.sent: dict[str, int] = {}
        self.rejected: dict[str, int] = {}
        self.measured_requests: dict[str, int] = {}
        self.waited_ms = 0
        self.owner_tokens: dict[str, float] = {}
        self.owner_refilled_ms = model.now_ms
        self.start_ms = model.now_ms

    def send(self, measured: bool) -> None:
        """Send the requests that are due now."""
        elapsed_ms = self.model.now_ms - self.start_ms
        for index in range(ORGANISATION_COUNT):
            name = f"org-{index}"
            load_factor = GREEDY_LOAD_FACTOR if name == GREEDY_ORGANISATION else LOAD_FACTOR
            while self.sent.get(name, 0) < elapsed_ms * RATE_PER_S * load_factor / 1000:
                number = self.sent.get(name, 0)
                self.sent[name] = number + 1
                vm = f"vm-{(index + number % self.case.vms_with_callers) % VM_COUNT + 1}"
                self._send_one(name, vm, measured)

    def _send_one(self, name: str, vm: str, measured: bool) -> None:
        sent_ms = self.model.now_ms
        if not self.model.vms[vm].may_act():
            vm = next(other.name for other in self.model.list_acting_vms())

        def record(granted: bool) -> None:
            if measured:
                self.measured_requests[name] = self.measured_requests.get(name, 0) + 1
                self.rejected[name] = self.rejected.get(name, 0) + (not granted)
                self.waited_ms += self.model.now_ms - sent_ms

        if self.case.approach == "owner":
            record(self._take_owner_token(name, vm))
        else:
            self.model.request(vm, name, "lookup", record)

    def _take_owner_token(self, name: str, vm: str) -> bool:
        """Take a token from the VM that owns the bucket, and count the round trip as wait."""
        owner = self.model.vms[f"vm-{int(name[-1]) % VM_COUNT + 1}"]
        same_region = owner.region == self.model.vms[vm].region
        self.waited_ms += 0 if owner.name == vm else NEAR_RTT_MS if same_region else FAR_RTT_MS
        if not owner.may_act() or owner.name in self.model.store_cuts:
            return False
        elapsed_ms = self.model.now_ms - self.owner_refilled_ms
        self.owner_refilled_ms = self.model.now_ms
        for organisation in self.owner_tokens:
            refilled = self.owner_tokens[organisation] + RATE_PER_S * elapsed_ms / 1000
            self.owner_tokens[organisation] = min(BURST, refilled)
        tokens = self.owner_tokens.setdefault(name, BURST)
        if tokens < 1:
            return False
        self.owner_tokens[name] = tokens - 1
        return True


def run_case(case: Case) -> CaseResult:
    """Run one case on a virtual clock and return its result."""
    plan = RateLimiter.plan_loans if case.approach == "loans" else (lambda _self, _now_ms: [])
    with mock.patch.object(RateLimiter, "plan_loans", plan):
        return _simulate(case)


def _simulate(case: Case) -> CaseResult:
    model = Model(7, VM_COUNT)
    assert model.run_until(model.is_settled, 60_000)
    model.change("vm-1", ReplaceConfiguration(model.head_number(), make_configuration()))
    model.run(4_000)
    callers = SimulatedCallers(model, case)
    end_ms = model.now_ms + WARM_UP_MS + MEASUREMENT_MS
    while model.now_ms < end_ms:
        elapsed_ms = model.now_ms - callers.start_ms
        if case.restart and elapsed_ms == WARM_UP_MS + RESTART_AT_MS:
            model.restart(RESTARTED_VM)
        callers.send(elapsed_ms >= WARM_UP_MS)
        model.step()
    model.run(500)
    if case.approach != "owner":
        model.check_granted(RATE_PER_S, BURST)
    return _summarise(case, callers)


def _summarise(case: Case, callers: SimulatedCallers) -> CaseResult:
    requests_within_rate = {
        name: count
        for name, count in callers.measured_requests.items()
        if name != GREEDY_ORGANISATION
    }
    rejected = {name: callers.rejected.get(name, 0) for name in requests_within_rate}
    worst_rejected_ratio = max(
        rejected[name] / requests_within_rate[name] for name in requests_within_rate
    )
    greedy_grants = (
        callers.measured_requests[GREEDY_ORGANISATION] - callers.rejected[GREEDY_ORGANISATION]
    )
    return CaseResult(
        case,
        sum(requests_within_rate.values()),
        sum(rejected.values()),
        worst_rejected_ratio,
        greedy_grants / (RATE_PER_S * MEASUREMENT_MS / 1000 + BURST),
        callers.waited_ms / sum(callers.measured_requests.values()),
    )


def main() -> int:
    """Run all cases in parallel processes."""
    cases = [
        Case(approach, vms_with_callers, restart)
        for approach in ("loans", "static", "owner")
        for vms_with_callers, restart in ((1, False), (3, False), (12, False), (3, True))
    ]
    with ProcessPoolExecutor(4) as pool:
        results = list(pool.map(run_case, cases))
    rows = [
        (
            r.case.approach,
            r.case.vms_with_callers,
            "yes" if r.case.restart else "no",
            r.requests_within_rate,
            r.rejected,
            f"{100 * r.rejected / r.requests_within_rate:.2f}",
            f"{100 * r.worst_rejected_ratio:.2f}",
            f"{r.greedy_grant_ratio:.3f}",
            f"{r.mean_wait_ms:.1f}",
        )
        for r in results
    ]
    columns = (
        "shares",
        "VMs with callers",
        "restart",
        "within rate",
        "rejected",
        "%",
        "worst %",
        "greedy / allowed",
        "wait ms",
    )
    print_rows("rejected requests of organisations within their rate, 12 VMs", columns, rows)
    loan_results = [r for r in results if r.case.approach == "loans"]
    steady_results = [r for r in loan_results if not r.case.restart]
    print_result(
        "rates",
        {
            "steady_refused_percent": round(
                max(100 * r.rejected / r.requests_within_rate for r in steady_results), 3
            ),
            "restart_refused_percent": round(
                max(
                    100 * r.rejected / r.requests_within_rate
                    for r in loan_results
                    if r.case.restart
                ),
                3,
            ),
            "greedy_over_allowed": round(max(r.greedy_grant_ratio for r in loan_results), 3),
            "windows_over_rate": 0,
        },
    )
    return 0
