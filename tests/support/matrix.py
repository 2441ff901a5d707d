"""Every fault at every step of coordination, at several moments of each."""

from collections.abc import Callable
from typing import NamedTuple

from berylbank._internal.models.changes import Change, GrantKey, ReplaceConfiguration, WithdrawKey
from berylbank._internal.models.configuration import ApiKey
from berylbank._internal.models.head import WHOLE_SHARE_MILLIONTHS
from berylbankd._internal.changes.head_writer import NotWritten, Outcome, Written
from tests.support.campaign import BURST, RATE, example_configuration, settled_model
from tests.support.model import Model

MOMENTS_MS = (-60, 0, 40, 150, 500)
LEAD_MS = 100
FAULT_MS = 5_000
RECOVERY_LIMIT_MS = 40_000
LOAD_EVERY_MS = 40
KEY = ApiKey("matrix", "cd" * 32)


class Run:
    """One model with a caller's load and the outcome of the operator's change."""

    def __init__(self, seed: int) -> None:
        self.model = settled_model(seed, 5)
        self.outcome: Outcome | None = None
        self.expect_key = False

    def advance(self, duration_ms: int) -> None:
        """Let time pass under load on one VM."""
        end_ms = self.model.now_ms + duration_ms
        while self.model.now_ms < end_ms:
            if self.model.now_ms % LOAD_EVERY_MS == 0:
                self.model.request("vm-2", "alder", "lookup", lambda _granted: None)
            self.model.step()

    def change(self, change: Change) -> None:
        """Submit the change under test through the first VM."""
        self.outcome = self.model.change("vm-1", change)

    def has_key(self) -> bool:
        """Tell whether the key under test is in the newest configuration."""
        newest = max(
            self.model.acting(), key=lambda vm: vm.node.lease_state.latest_head_number
        ).node.lease_state.configuration
        return any(key.name == KEY.name for o in newest.organisations for key in o.keys)


class Step(NamedTuple):
    """A step of coordination: what goes before it, and what starts it."""

    prepare: Callable[[Run], None]
    start: Callable[[Run], None]


def _nothing(_run: Run) -> None:
    """Prepare nothing."""


def _apply(run: Run) -> None:
    run.expect_key = False
    run.change(ReplaceConfiguration(run.model.head_number(), example_configuration()))


def _grant(run: Run) -> None:
    run.expect_key = True
    run.change(GrantKey("alder", KEY))


def _prepare_key(run: Run) -> None:
    run.model.change("vm-3", GrantKey("alder", KEY))
    run.advance(500)


def _withdraw(run: Run) -> None:
    run.expect_key = False
    run.change(WithdrawKey("alder", KEY.name))


def _prepare_takeover(run: Run) -> None:
    run.model.kill("vm-5")
    run.advance(3_800)


def _move_tokens(run: Run) -> None:
    for _ in range(20):
        run.model.request("vm-3", "alder", "lookup", lambda _granted: None)


def _leave(run: Run) -> None:
    vm = run.model.vms["vm-4"]
    vm.node.leaving = True
    run.model.carry_out(vm, vm.node.send_heartbeats())
    run.model.later(1_000, lambda: run.model.kill("vm-4"))


STEPS: dict[str, Step] = {
    "apply": Step(_nothing, _apply),
    "grant": Step(_nothing, _grant),
    "withdraw": Step(_prepare_key, _withdraw),
    "seat takeover": Step(_prepare_takeover, _nothing),
    "token move": Step(_nothing, _move_tokens),
    "renewal": Step(_nothing, _nothing),
    "graceful hand-over": Step(_nothing, _leave),
}


def _freeze_for(name: str, duration_ms: int) -> Callable[[Model], None]:
    def strike(model: Model) -> None:
        model.freeze(name)
        model.later(duration_ms, lambda: model.resume(name))

    return strike


def _stop_store(model: Model) -> None:
    model.store.down = True


def _slow_store(model: Model) -> None:
    model.store_delay_ms = 700


def _lose_answer(model: Model) -> None:
    model.store.lose_answers = 1


def _race(model: Model) -> None:
    other = ApiKey("racer", "ef" * 32)
    model.store.before_commit = lambda: _write_beside(model, GrantKey("birch", other))


def _write_beside(model: Model, change: Change) -> None:
    model.change("vm-3", change)


def _lose_messages(model: Model) -> None:
    model.loss = 0.4


def _repeat_messages(model: Model) -> None:
    model.duplication = 0.5


def _reorder_messages(model: Model) -> None:
    model.extra_delay_ms = 1_200


def _silence(model: Model) -> None:
    model.cuts |= {("vm-1", "vm-2"), ("vm-2", "vm-1")}


def _cut_one_way(model: Model) -> None:
    model.cuts |= {("vm-1", "vm-2"), ("vm-1", "vm-3")}


FAULTS: dict[str, Callable[[Model], None]] = {
    "VM killed": lambda model: model.kill("vm-2"),
    "VM frozen briefly": _freeze_for("vm-1", 700),
    "VM frozen past its lease": _freeze_for("vm-1", 4_000),
    "region cut": lambda model: model.cut_region("mid", with_store=False),
    "region cut with the store": lambda model: model.cut_region("north", with_store=True),
    "one-way cut": _cut_one_way,
    "store down": _stop_store,
    "store slow": _slow_store,
    "store answer lost": _lose_answer,
    "messages lost": _lose_messages,
    "messages repeated": _repeat_messages,
    "messages reordered": _reorder_messages,
    "connection silent": _silence,
    "VM restarted": lambda model: model.restart("vm-1"),
    "operators racing": _race,
}


def strike_at_every_moment(step_name: str, fault_names: tuple[str, ...]) -> None:
    """Run a step once for each moment, with the faults striking then."""
    for index, moment_ms in enumerate(MOMENTS_MS):
        strike(step_name, fault_names, moment_ms, seed=100 + index)


def strike(step_name: str, fault_names: tuple[str, ...], moment_ms: int, seed: int) -> None:
    """Run one cell of the matrix: fault, recovery, and what must be true in the end."""
    run = Run(seed)
    step = STEPS[step_name]
    step.prepare(run)
    run.advance(LEAD_MS + min(0, moment_ms))
    if moment_ms < 0:
        _strike_all(run, fault_names)
        run.advance(-moment_ms)
    _start_if_able(run, step)
    if moment_ms >= 0:
        run.advance(moment_ms)
        _strike_all(run, fault_names)
    run.advance(FAULT_MS)
    run.model.heal()
    _expect_recovery(run)
    _expect_honest_outcome(run)
    run.model.check_granted(RATE, BURST)


def _strike_all(run: Run, fault_names: tuple[str, ...]) -> None:
    for name in fault_names:
        FAULTS[name](run.model)


def _start_if_able(run: Run, step: Step) -> None:
    """Start the step; a frozen VM has no operator's request to serve."""
    if not run.model.vms["vm-1"].frozen:
        step.start(run)


def _expect_recovery(run: Run) -> None:
    model = run.model
    recovered = model.run_until(lambda: _is_whole(model), RECOVERY_LIMIT_MS)
    assert recovered, f"seed {model.seed}: no recovery; {_describe(model)}"


def _is_whole(model: Model) -> bool:
    heads = {vm.node.lease_state.latest_head_number for vm in model.acting()}
    return model.is_settled() and len(heads) == 1


def _describe(model: Model) -> str:
    return ", ".join(
        f"{vm.name} knows {vm.node.lease_state.latest_head_number} acts {vm.may_act()}"
        for vm in model.vms.values()
        if not vm.killed
    )


def _expect_honest_outcome(run: Run) -> None:
    """What the operator was told must be what is in force after recovery."""
    if isinstance(run.outcome, Written):
        assert run.has_key() == run.expect_key, "reported as written, but not in force"
    if isinstance(run.outcome, NotWritten):
        assert run.has_key() != run.expect_key or not run.expect_key, "reported as not done"
    shares = {seat.share for seat in run.model.acting()[0].node.lease_state.head.seats}  # type: ignore[union-attr]
    assert max(shares) < WHOLE_SHARE_MILLIONTHS
