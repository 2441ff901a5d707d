"""Simulated releases under a steady load; the new version fails or slows down as configured."""

import random
from collections.abc import Callable
from typing import NamedTuple

from berylbank._internal.models.changes import StartShift
from berylbank._internal.models.configuration import Backend
from berylbank._internal.models.shifts import Shift
from tests.support.campaign import make_example_configuration
from tests.support.model import REGIONS, Model

OLD_VERSION, NEW_VERSION = "v1", "v2"
SERVICE = "lookup"
ROUTES = ("oak", "elm", "rare")
REQUEST_INTERVAL_MS = 10
STEP_MS = 2_000
TIME_LIMIT_MS = 60_000
BASE_ERROR_RATE = 0.005
BASE_LATENCY_MS = 20
BLOCK_GRACE_MS = 2_000


class SimulatedAnswer(NamedTuple):
    """A simulated answer of a backend server."""

    failed: bool
    latency_ms: int


# Answers a request, given its route, the time since the release began, and the target's share.
Behaviour = Callable[[random.Random, str, int, float], SimulatedAnswer]


def _answer_well(
    rng: random.Random, _route: str, _elapsed_ms: int, _share: float
) -> SimulatedAnswer:
    return SimulatedAnswer(
        rng.random() < BASE_ERROR_RATE, int(rng.expovariate(1 / BASE_LATENCY_MS))
    )


def _fail_half(rng: random.Random, route: str, elapsed_ms: int, share: float) -> SimulatedAnswer:
    return SimulatedAnswer(
        rng.random() < 0.5, _answer_well(rng, route, elapsed_ms, share).latency_ms
    )


def _answer_slowly(
    rng: random.Random, route: str, elapsed_ms: int, share: float
) -> SimulatedAnswer:
    answer = _answer_well(rng, route, elapsed_ms, share)
    return answer._replace(latency_ms=answer.latency_ms + 150)


def _fail_later(rng: random.Random, route: str, elapsed_ms: int, share: float) -> SimulatedAnswer:
    answer_request = _answer_well if elapsed_ms < 3 * STEP_MS else _fail_half
    return answer_request(rng, route, elapsed_ms, share)


def _fail_under_load(
    rng: random.Random, route: str, elapsed_ms: int, share: float
) -> SimulatedAnswer:
    return (_fail_half if share > 0.3 else _answer_well)(rng, route, elapsed_ms, share)


def _fail_on_one_route(
    rng: random.Random, route: str, elapsed_ms: int, share: float
) -> SimulatedAnswer:
    return (_fail_half if route == "elm" else _answer_well)(rng, route, elapsed_ms, share)


BEHAVIOURS: dict[str, Behaviour] = {
    "good": _answer_well,
    "failing": _fail_half,
    "slow": _answer_slowly,
    "bad later": _fail_later,
    "bad under load": _fail_under_load,
    "bad on one route": _fail_on_one_route,
}


class ReleaseResult(NamedTuple):
    """The outcome of a release.

    The target is the new version. ``to_target_after_block`` counts requests that it got later than
    ``BLOCK_GRACE_MS`` after the first VM blocked it, ``over_share`` those beyond its share.
    """

    state: str
    duration_ms: int
    requests: int
    to_target: int
    failed_answers: int
    to_target_after_block: int
    over_share: int


class SimulatedRelease:
    """One simulated release, with a request to each VM every ``REQUEST_INTERVAL_MS``."""

    def __init__(self, seed: int, behaviour: str, count: int = 3) -> None:
        self.model = make_release_model(seed, count)
        self.rng = random.Random(seed)
        self.behaviour = BEHAVIOURS[behaviour]
        self.backends = {
            version: _make_backend(REGIONS[0], version)._replace(name=version)
            for version in (OLD_VERSION, NEW_VERSION)
        }
        self.started_ms = 0
        self.requests = 0
        self.to_target = 0
        self.failed_answers = 0
        self.to_target_after_block = 0
        self.over_share = 0
        self.blocked_ms: int | None = None
        self.last_targets_by_vm: dict[str, list[bool]] = {}

    def run(self, limit_ms: int = TIME_LIMIT_MS, step_ms: int = STEP_MS) -> ReleaseResult:
        """Start the release, and run until 3 s after it has ended or ``limit_ms`` has passed."""
        shift = Shift(
            "release",
            SERVICE,
            "version",
            OLD_VERSION,
            NEW_VERSION,
            step_ms=step_ms,
            within_ms=TIME_LIMIT_MS,
        )
        self.model.change("vm-1", StartShift(shift))
        self.started_ms = self.model.now_ms
        while self.model.now_ms - self.started_ms < limit_ms and self.state() == "running":
            self.step()
        duration_ms = self.model.now_ms - self.started_ms
        for _ in range(3_000 // REQUEST_INTERVAL_MS):
            self.step()
        return ReleaseResult(
            self.state(),
            duration_ms,
            self.requests,
            self.to_target,
            self.failed_answers,
            self.to_target_after_block,
            self.over_share,
        )

    def state(self) -> str:
        """Return the state of the release in the newest configuration that a VM has."""
        acting = self.model.list_acting_vms() or list(self.model.vms.values())
        newest = max(acting, key=lambda vm: vm.node.lease_state.latest_head_number)
        shifts = newest.node.lease_state.configuration.shifts
        return shifts[0].state if shifts else "running"

    def step(self) -> None:
        """Send one request to each acting VM and advance the clock."""
        for vm in self.model.list_acting_vms():
            self._send_request(vm.name)
        self.model.step()

    def _send_request(self, name: str) -> None:
        vm = self.model.vms[name]
        now_ms = vm.clock.now_ms()
        choice = vm.node.shift_controller.choose_side(SERVICE)
        target = choice.side.value == NEW_VERSION
        share = self._check_share(name, target)
        route = self.rng.choices(ROUTES, (60, 38, 2))[0]
        elapsed_ms = self.model.now_ms - self.started_ms
        answer_request = self.behaviour if target else _answer_well
        answer = answer_request(self.rng, route, elapsed_ms, share)
        backend = self.backends[NEW_VERSION if target else OLD_VERSION]
        vm.node.shift_controller.record_result(
            backend, route, answer.failed, answer.latency_ms, now_ms
        )
        self._count_answer(target, answer)

    def _count_answer(self, target: bool, answer: SimulatedAnswer) -> None:
        self.requests += 1
        self.to_target += target
        self.failed_answers += target and answer.failed
        if self.blocked_ms is None and any(
            v.node.shift_controller.blocked_keys for v in self.model.vms.values()
        ):
            self.blocked_ms = self.model.now_ms
        if target and self.blocked_ms is not None:
            self.to_target_after_block += self.model.now_ms > self.blocked_ms + BLOCK_GRACE_MS

    def _check_share(self, name: str, target: bool) -> float:
        """Count a request that puts the target over its share; return the current share.

        The share is checked over the last hundred requests, with one request of tolerance.
        """
        shifts = self.model.vms[name].node.lease_state.configuration.shifts
        share = shifts[0].target_share() / 1_000_000 if shifts else 0.0
        last_targets = self.last_targets_by_vm.setdefault(name, [])
        last_targets.append(target)
        del last_targets[:-100]
        self.over_share += sum(last_targets) > share * len(last_targets) + 1 and target
        return share


def _make_backend(region: str, version: str) -> Backend:
    return Backend(
        f"lookup-{region}-{version}",
        SERVICE,
        "127.0.0.1:9",
        region,
        f"{region}-1",
        3,
        version=version,
    )


def make_release_model(seed: int, count: int) -> Model:
    """Return a settled model with backend servers of both versions in each region."""
    from berylbank._internal.models.changes import ReplaceConfiguration

    model = Model(seed, count)
    assert model.run_until(model.is_settled, 60_000)
    backends = tuple(
        _make_backend(region, version)
        for region in REGIONS
        for version in (OLD_VERSION, NEW_VERSION)
    )
    configuration = make_example_configuration()._replace(backends=backends)
    model.change("vm-1", ReplaceConfiguration(model.head_number(), configuration))
    model.run(6_000)
    return model
