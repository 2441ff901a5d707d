"""Fault matrix: each fault at each step of coordination, at several offsets from its start."""

from collections.abc import Callable
from typing import NamedTuple

from berylbank._internal.models.changes import Change, GrantKey, ReplaceConfiguration, WithdrawKey
from berylbank._internal.models.configuration import ApiKey
from berylbank._internal.models.head import WHOLE_SHARE_MILLIONTHS
from berylbankd._internal.changes.head_writer import NotWritten, Outcome, Written
from tests.support.campaign import BURST, RATE, make_example_configuration, settled_model
from tests.support.model import Model

FAULT_OFFSETS_MS = (-60, 0, 40, 150, 500)
LEAD_IN_MS = 100
FAULT_DURATION_MS = 5_000
RECOVERY_TIMEOUT_MS = 40_000
REQUEST_INTERVAL_MS = 40
KEY = ApiKey("matrix", "cd" * 32)


class MatrixRun:
    """A fleet under load, and the outcome of the operator's change.

    ``key_expected`` tells whether the key under test must exist once the change is in force.
    """

    def __init__(self, seed: int) -> None:
        self.model = settled_model(seed, 5)
        self.outcome: Outcome | None = None
        self.key_expected = False

    def advance(self, duration_ms: int) -> None:
        """Advance the time while one VM gets a request every ``REQUEST_INTERVAL_MS``."""
        end_ms = self.model.now_ms + duration_ms
        while self.model.now_ms < end_ms:
            if self.model.now_ms % REQUEST_INTERVAL_MS == 0:
                self.model.request("vm-2", "alder", "lookup", lambda _granted: None)
            self.model.step()

    def change(self, change: Change) -> None:
        """Write the change under test through the first VM."""
        self.outcome = self.model.change("vm-1", change)

    def has_key(self) -> bool:
        """Tell whether the key under test is in the newest configuration."""
        newest = max(
            self.model.list_acting_vms(), key=lambda vm: vm.node.lease_state.latest_head_number
        ).node.lease_state.configuration
        return any(key.name == KEY.name for o in newest.organisations for key in o.keys)


class CoordinationStep(NamedTuple):
    """A step of coordination: how to prepare the fleet, and how to start the step."""

    prepare: Callable[[MatrixRun], None]
    start: Callable[[MatrixRun], None]


def _do_nothing(_run: MatrixRun) -> None:
    """Need no preparation, or no start because the step goes on by itself."""


def _apply_configuration(run: MatrixRun) -> None:
    run.key_expected = False
    run.change(ReplaceConfiguration(run.model.head_number(), make_example_configuration()))


def _grant_key(run: MatrixRun) -> None:
    run.key_expected = True
    run.change(GrantKey("alder", KEY))


def _grant_key_to_withdraw(run: MatrixRun) -> None:
    run.model.change("vm-3", GrantKey("alder", KEY))
    run.advance(500)


def _withdraw_key(run: MatrixRun) -> None:
    run.key_expected = False
    run.change(WithdrawKey("alder", KEY.name))


def _kill_seated_vm(run: MatrixRun) -> None:
    run.model.kill("vm-5")
    run.advance(3_800)


def _request_tokens(run: MatrixRun) -> None:
    for _ in range(20):
        run.model.request("vm-3", "alder", "lookup", lambda _granted: None)


def _start_planned_stop(run: MatrixRun) -> None:
    vm = run.model.vms["vm-4"]
    vm.node.leaving = True
    run.model.execute_outputs(vm, vm.node.send_heartbeats())
    run.model.schedule(1_000, lambda: run.model.kill("vm-4"))


STEPS: dict[str, CoordinationStep] = {
    "apply": CoordinationStep(_do_nothing, _apply_configuration),
    "grant": CoordinationStep(_do_nothing, _grant_key),
    "withdraw": CoordinationStep(_grant_key_to_withdraw, _withdraw_key),
    "seat removal": CoordinationStep(_kill_seated_vm, _do_nothing),
    "share loan": CoordinationStep(_do_nothing, _request_tokens),
    "lease renewal": CoordinationStep(_do_nothing, _do_nothing),
    "graceful stop": CoordinationStep(_do_nothing, _start_planned_stop),
}


def _make_freeze(name: str, duration_ms: int) -> Callable[[Model], None]:
    def inject(model: Model) -> None:
        model.freeze(name)
        model.schedule(duration_ms, lambda: model.resume(name))

    return inject


def _stop_store(model: Model) -> None:
    model.store.down = True


def _slow_store(model: Model) -> None:
    model.store_delay_ms = 700


def _lose_answer(model: Model) -> None:
    model.store.lose_answers = 1


def _write_before_next_commit(model: Model) -> None:
    other = ApiKey("racer", "ef" * 32)
    model.store.before_commit = lambda: _write_concurrently(model, GrantKey("birch", other))


def _write_concurrently(model: Model, change: Change) -> None:
    model.change("vm-3", change)


def _lose_messages(model: Model) -> None:
    model.loss = 0.4


def _repeat_messages(model: Model) -> None:
    model.duplication = 0.5


def _reorder_messages(model: Model) -> None:
    model.extra_delay_ms = 1_200


def _cut_both_ways(model: Model) -> None:
    model.cuts |= {("vm-1", "vm-2"), ("vm-2", "vm-1")}


def _cut_one_way(model: Model) -> None:
    model.cuts |= {("vm-1", "vm-2"), ("vm-1", "vm-3")}


FAULTS: dict[str, Callable[[Model], None]] = {
    "VM killed": lambda model: model.kill("vm-2"),
    "VM frozen briefly": _make_freeze("vm-1", 700),
    "VM frozen past its lease": _make_freeze("vm-1", 4_000),
    "region cut": lambda model: model.cut_region("mid", with_store=False),
    "region cut with the store": lambda model: model.cut_region("north", with_store=True),
    "one-way cut": _cut_one_way,
    "store down": _stop_store,
    "store slow": _slow_store,
    "store answer lost": _lose_answer,
    "messages lost": _lose_messages,
    "messages repeated": _repeat_messages,
    "messages reordered": _reorder_messages,
    "two-way cut": _cut_both_ways,
    "VM restarted": lambda model: model.restart("vm-1"),
    "operators racing": _write_before_next_commit,
}


def inject_at_every_offset(step_name: str, fault_names: tuple[str, ...]) -> None:
    """Run a step once for each offset, with the faults injected at that offset from its start."""
    for index, offset_ms in enumerate(FAULT_OFFSETS_MS):
        run_cell(step_name, fault_names, offset_ms, seed=100 + index)


def run_cell(step_name: str, fault_names: tuple[str, ...], offset_ms: int, seed: int) -> None:
    """Run one cell of the matrix: inject the faults, end them, and check the recovery.

    With a negative offset the faults are injected before the step starts.
    """
    run = MatrixRun(seed)
    step = STEPS[step_name]
    step.prepare(run)
    run.advance(LEAD_IN_MS + min(0, offset_ms))
    if offset_ms < 0:
        _inject_all(run, fault_names)
        run.advance(-offset_ms)
    _start_if_able(run, step)
    if offset_ms >= 0:
        run.advance(offset_ms)
        _inject_all(run, fault_names)
    run.advance(FAULT_DURATION_MS)
    run.model.heal()
    _check_recovery(run)
    _check_reported_outcome(run)
    run.model.check_granted(RATE, BURST)


def _inject_all(run: MatrixRun, fault_names: tuple[str, ...]) -> None:
    for name in fault_names:
        FAULTS[name](run.model)


def _start_if_able(run: MatrixRun, step: CoordinationStep) -> None:
    """Start the step, unless the VM that serves the operator is frozen."""
    if not run.model.vms["vm-1"].frozen:
        step.start(run)


def _check_recovery(run: MatrixRun) -> None:
    model = run.model
    recovered = model.run_until(lambda: _has_recovered(model), RECOVERY_TIMEOUT_MS)
    assert recovered, f"seed {model.seed}: the fleet did not recover; {_describe_vms(model)}"


def _has_recovered(model: Model) -> bool:
    head_numbers = {vm.node.lease_state.latest_head_number for vm in model.list_acting_vms()}
    return model.is_settled() and len(head_numbers) == 1


def _describe_vms(model: Model) -> str:
    return ", ".join(
        f"{vm.name} knows of head {vm.node.lease_state.latest_head_number}, may act: {vm.may_act()}"
        for vm in model.vms.values()
        if not vm.killed
    )


def _check_reported_outcome(run: MatrixRun) -> None:
    """Check that the configuration after recovery agrees with the outcome that was reported."""
    if isinstance(run.outcome, Written):
        assert (
            run.has_key() == run.key_expected
        ), "change was reported as written, but is not in the newest configuration"
    if isinstance(run.outcome, NotWritten):
        assert (
            run.has_key() != run.key_expected or not run.key_expected
        ), "change was reported as not written, but is in the newest configuration"
    shares = {seat.share for seat in run.model.list_acting_vms()[0].node.lease_state.head.seats}  # type: ignore[union-attr]
    assert max(shares) < WHOLE_SHARE_MILLIONTHS
