"""Releases under a steady load: backend servers that behave by version, route and load."""

import random
from collections.abc import Callable
from typing import NamedTuple

from berylbank._internal.models.changes import StartShift
from berylbank._internal.models.configuration import Backend
from berylbank._internal.models.shifts import Shift
from tests.support.campaign import example_configuration
from tests.support.model import REGIONS, Model

OLD, NEW = "v1", "v2"
SERVICE = "lookup"
ROUTES = ("oak", "elm", "rare")
EVERY_MS = 10
STEP_MS = 2_000
WITHIN_MS = 60_000
BASE_ERROR = 0.005
BASE_MS = 20
AFTER_EVIDENCE_MS = 2_000


class Answer(NamedTuple):
    """How a backend server answers a request."""

    failed: bool
    latency_ms: int


Behaviour = Callable[[random.Random, str, int, float], Answer]


def _good(randomness: random.Random, _route: str, _at_ms: int, _share: float) -> Answer:
    return Answer(randomness.random() < BASE_ERROR, int(randomness.expovariate(1 / BASE_MS)))


def _failing(randomness: random.Random, route: str, at_ms: int, share: float) -> Answer:
    return Answer(randomness.random() < 0.5, _good(randomness, route, at_ms, share).latency_ms)


def _slow(randomness: random.Random, route: str, at_ms: int, share: float) -> Answer:
    answer = _good(randomness, route, at_ms, share)
    return answer._replace(latency_ms=answer.latency_ms + 150)


def _later(randomness: random.Random, route: str, at_ms: int, share: float) -> Answer:
    behave = _good if at_ms < 3 * STEP_MS else _failing
    return behave(randomness, route, at_ms, share)


def _under_load(randomness: random.Random, route: str, at_ms: int, share: float) -> Answer:
    return (_failing if share > 0.3 else _good)(randomness, route, at_ms, share)


def _one_route(randomness: random.Random, route: str, at_ms: int, share: float) -> Answer:
    return (_failing if route == "elm" else _good)(randomness, route, at_ms, share)


BEHAVIOURS: dict[str, Behaviour] = {
    "good": _good,
    "failing": _failing,
    "slow": _slow,
    "bad later": _later,
    "bad under load": _under_load,
    "bad on one route": _one_route,
}


class ReleaseResult(NamedTuple):
    """How a release went: where it ended, what the target got, and the highest shares seen."""

    state: str
    took_ms: int
    requests: int
    to_target: int
    bad_answers: int
    after_evidence: int
    over_cap: int


class Release:
    """One release on a model."""

    def __init__(self, seed: int, behaviour: str, count: int = 3) -> None:
        self.model = release_model(seed, count)
        self.randomness = random.Random(seed)
        self.behaviour = BEHAVIOURS[behaviour]
        self.backends = {
            version: _backend(REGIONS[0], version)._replace(name=version) for version in (OLD, NEW)
        }
        self.begun_ms = 0
        self.sent = 0
        self.to_target = 0
        self.bad_answers = 0
        self.after_evidence = 0
        self.over_cap = 0
        self.cut_ms: int | None = None
        self.per_vm: dict[str, list[bool]] = {}

    def run(self, limit_ms: int = WITHIN_MS, step_ms: int = STEP_MS) -> ReleaseResult:
        """Start the release and run until it has ended or the time is over."""
        shift = Shift("release", SERVICE, "version", OLD, NEW, step_ms=step_ms, within_ms=WITHIN_MS)
        self.model.change("vm-1", StartShift(shift))
        self.begun_ms = self.model.now_ms
        while self.model.now_ms - self.begun_ms < limit_ms and self.state() == "running":
            self.step()
        took_ms = self.model.now_ms - self.begun_ms
        for _ in range(3_000 // EVERY_MS):
            self.step()
        return ReleaseResult(
            self.state(),
            took_ms,
            self.sent,
            self.to_target,
            self.bad_answers,
            self.after_evidence,
            self.over_cap,
        )

    def state(self) -> str:
        """Return the state of the release in the newest configuration."""
        acting = self.model.acting() or list(self.model.vms.values())
        newest = max(acting, key=lambda vm: vm.node.lease_state.latest_head_number)
        shifts = newest.node.lease_state.configuration.shifts
        return shifts[0].state if shifts else "running"

    def step(self) -> None:
        """Send one request to each VM and let time pass."""
        for vm in self.model.acting():
            self._request(vm.name)
        self.model.step()

    def _request(self, name: str) -> None:
        vm = self.model.vms[name]
        now_ms = vm.clock.now_ms()
        choice = vm.node.shifts.choose_side(SERVICE)
        target = choice.side.value == NEW
        share = self._check_cap(name, target)
        route = self.randomness.choices(ROUTES, (60, 38, 2))[0]
        at_ms = self.model.now_ms - self.begun_ms
        behave = self.behaviour if target else _good
        answer = behave(self.randomness, route, at_ms, share)
        backend = self.backends[NEW if target else OLD]
        vm.node.shifts.note(backend, route, answer.failed, answer.latency_ms, now_ms)
        self._count(target, answer)

    def _count(self, target: bool, answer: Answer) -> None:
        self.sent += 1
        self.to_target += target
        self.bad_answers += target and answer.failed
        if self.cut_ms is None and any(v.node.shifts.cuts for v in self.model.vms.values()):
            self.cut_ms = self.model.now_ms
        if target and self.cut_ms is not None:
            self.after_evidence += self.model.now_ms > self.cut_ms + AFTER_EVIDENCE_MS

    def _check_cap(self, name: str, target: bool) -> float:
        """Count requests beyond the share of the newest step in the last hundred; return it."""
        shifts = self.model.vms[name].node.lease_state.configuration.shifts
        share = shifts[0].share() / 1_000_000 if shifts else 0.0
        history = self.per_vm.setdefault(name, [])
        history.append(target)
        del history[:-100]
        self.over_cap += sum(history) > share * len(history) + 1 and target
        return share


def _backend(region: str, version: str) -> Backend:
    return Backend(
        f"lookup-{region}-{version}",
        SERVICE,
        "127.0.0.1:9",
        region,
        f"{region}-1",
        3,
        version=version,
    )


def release_model(seed: int, count: int) -> Model:
    """Return a settled model with servers of both versions in each region."""
    from berylbank._internal.models.changes import ApplyLists

    model = Model(seed, count)
    assert model.run_until(model.is_settled, 60_000)
    backends = tuple(_backend(region, version) for region in REGIONS for version in (OLD, NEW))
    configuration = example_configuration()._replace(backends=backends)
    model.change("vm-1", ApplyLists(model.head_number(), configuration))
    model.run(6_000)
    return model
