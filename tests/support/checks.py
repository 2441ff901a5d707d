"""Invariants of a simulated fleet, each checked by an assertion."""

from typing import TYPE_CHECKING

from berylbank._internal.models.head import WHOLE_SHARE_MILLIONTHS

if TYPE_CHECKING:
    from tests.support.model import Model

LEVEL_TOLERANCE_TOKENS = 1e-6


def list_in_force_numbers(model: "Model") -> list[int]:
    """Return the numbers of all heads that an operation or a seat planner knows to be in force."""
    base_trackers = [vm.node.seat_planner.base_tracker for vm in model.vms.values()]
    trackers = [
        *model.ack_trackers,
        *(base_tracker for base_tracker in base_trackers if base_tracker is not None),
    ]
    return [tracker.head_number for tracker in trackers if tracker.in_force_ms is not None]


def check_heads(model: "Model") -> None:
    """Check that no VM acts on a head older than one in force."""
    for vm in model.list_acting_vms():
        head = vm.node.lease_state.head
        assert head is not None
        assert head.number >= model.in_force_number, (
            f"{_describe_moment(model)}: {vm.name} acts on head {head.number} "
            f"although the newer head {model.in_force_number} is in force"
        )


def check_shares(model: "Model") -> None:
    """Check that the shares of a rate held by all acting VMs add up to at most one."""
    held: dict[str, int] = {}
    for vm in model.list_acting_vms():
        now_ms = vm.clock.now_ms()
        for bucket in vm.node.rate_limiter.buckets.values():
            held[bucket.resource] = held.get(bucket.resource, 0) + bucket.held_share(now_ms)
    for resource, units in held.items():
        message = f"{_describe_moment(model)}: VMs hold {units} millionths of {resource} in total"
        assert units <= WHOLE_SHARE_MILLIONTHS, message


def check_slots(model: "Model") -> None:
    """Check that acting VMs hold no more slots of a backend server than it has."""
    held: dict[str, int] = {}
    slots: dict[str, int] = {}
    for vm in model.list_acting_vms():
        now_ms = vm.clock.now_ms()
        for name, pool in vm.node.slots.pools.items():
            held[name] = held.get(name, 0) + pool.count_held(now_ms)
            slots[name] = pool.backend.slots
    for name, units in held.items():
        assert (
            units <= slots[name]
        ), f"{_describe_moment(model)}: VMs hold {units} slots of {name} in total"


def check_rate_windows(model: "Model", rate: float, burst: float) -> None:
    """Check that no window of time was granted more than rate x window + burst."""
    for resource, grant_times_ms in model.grant_times_ms.items():
        level, last_ms = 0.0, 0
        for at_ms in grant_times_ms:
            level = max(0.0, level - rate * (at_ms - last_ms) / 1000) + 1
            last_ms = at_ms
            message = (
                f"{_describe_moment(model)}: {resource} used {level:.3f} of a burst of {burst}"
            )
            assert level <= burst + LEVEL_TOLERANCE_TOKENS, message


def _describe_moment(model: "Model") -> str:
    return f"seed {model.seed}, {model.now_ms} ms"
