"""What must hold at every moment of a model."""

from typing import TYPE_CHECKING

from berylbank._internal.models.head import WHOLE_SHARE_MILLIONTHS

if TYPE_CHECKING:
    from tests.support.model import Model

ROUNDING = 1e-6


def in_force_numbers(model: "Model") -> list[int]:
    """Return the numbers of all heads that some VM has proved to be in force."""
    proofs = [vm.node.seat_planner.base_tracker for vm in model.vms.values()]
    trackers = [*model.trackers, *(proof for proof in proofs if proof is not None)]
    return [tracker.number for tracker in trackers if tracker.in_force_ms is not None]


def check_heads(model: "Model") -> None:
    """No VM acts on a head below one that is in force."""
    for vm in model.acting():
        head = vm.node.lease_state.head
        assert head is not None
        assert head.number >= model.floor, (
            f"{_when(model)}: {vm.name} acts on head {head.number} "
            f"below {model.floor}, which is in force"
        )


def check_shares(model: "Model") -> None:
    """The shares of a rate that all acting VMs hold add up to at most one."""
    held: dict[str, int] = {}
    for vm in model.acting():
        now_ms = vm.clock.now_ms()
        for bucket in vm.node.rates.buckets.values():
            held[bucket.resource] = held.get(bucket.resource, 0) + bucket.held_share(now_ms)
    for resource, units in held.items():
        message = f"{_when(model)}: {units} millionths of {resource} are held"
        assert units <= WHOLE_SHARE_MILLIONTHS, message


def check_slots(model: "Model") -> None:
    """The slots that all acting VMs hold are at most those of the backend server."""
    held: dict[str, int] = {}
    slots: dict[str, int] = {}
    for vm in model.acting():
        now_ms = vm.clock.now_ms()
        for name, pool in vm.node.slots.pools.items():
            held[name] = held.get(name, 0) + pool.count_held(now_ms)
            slots[name] = pool.backend.slots
    for name, units in held.items():
        assert units <= slots[name], f"{_when(model)}: {units} slots of {name} are held"


def check_windows(model: "Model", rate: float, burst: float) -> None:
    """No window of time was granted more than rate x window + burst."""
    for resource, times in model.granted.items():
        level, last_ms = 0.0, 0
        for at_ms in times:
            level = max(0.0, level - rate * (at_ms - last_ms) / 1000) + 1
            last_ms = at_ms
            message = f"{_when(model)}: {resource} granted {level:.3f} over a burst of {burst}"
            assert level <= burst + ROUNDING, message


def _when(model: "Model") -> str:
    return f"seed {model.seed}, {model.now_ms} ms"
