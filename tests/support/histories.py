"""Fixed sequences of faults, each of which violates an invariant if one rule is disabled."""

import itertools
from collections.abc import Callable

from berylbank._internal.models.changes import GrantKey
from berylbank._internal.models.configuration import ApiKey
from berylbank._internal.wire.messages import HeadPush, Heartbeat
from berylbankd._internal.changes.head_writer import Written
from berylbankd._internal.rates.bucket import Bucket
from tests.support.campaign import BURST, RATE, settled_model
from tests.support.model import Model

TARGET_VM = "vm-5"
LEASE_MS = 2_000
REQUEST_INTERVAL_MS = 20


def drop_head_messages_to(model: Model, *names: str) -> None:
    """Drop every message that could tell these VMs of a new head."""
    model.filters.append(
        lambda _sender, receiver, message: receiver in names
        and isinstance(message, Heartbeat | HeadPush)
    )


def partition_vms(model: Model, *inside: str) -> None:
    """Cut the VMs in ``inside`` off from all others."""
    for sender, receiver in itertools.permutations(model.vms, 2):
        if (sender in inside) != (receiver in inside):
            model.cuts.add((sender, receiver))


def grant_key(model: Model, name: str) -> None:
    """Grant an API key through a VM."""
    outcome = model.change(name, GrantKey("alder", ApiKey("new", "ab" * 32)))
    assert isinstance(outcome, Written)


def run_vm_without_head_updates() -> None:
    """Keep a change from one VM, whose requests to confirm its lease still reach the others."""
    model = settled_model(11, 5)
    drop_head_messages_to(model, TARGET_VM)
    model.store_cuts.add(TARGET_VM)
    model.run(LEASE_MS)
    grant_key(model, "vm-1")
    model.run(3 * LEASE_MS)
    assert model.ack_trackers[-1].in_force_ms is not None


def run_restart_in_majority() -> None:
    """Restart one VM of the majority that accepted a change, among VMs that don't know of it."""
    model = settled_model(12, 5)
    model.store_cuts |= {"vm-4", TARGET_VM}
    partition_vms(model, "vm-4", TARGET_VM)
    grant_key(model, "vm-1")
    assert model.run_until(lambda: model.ack_trackers[-1].accepted_ms is not None, LEASE_MS)
    model.store.down = True
    model.cuts.clear()
    partition_vms(model, "vm-1", "vm-2")
    model.restart("vm-3")
    model.run(3 * LEASE_MS)


def run_restart_after_ack() -> None:
    """Restart a VM that acknowledged a change, among VMs that still have the older head."""
    model = settled_model(15, 5)
    partition_vms(model, "vm-1", "vm-2")
    grant_key(model, "vm-1")
    tracker = model.ack_trackers[-1]
    assert model.run_until(lambda: "vm-2" in tracker.acked_push_ms, LEASE_MS)
    model.store.down = True
    model.cuts.clear()
    partition_vms(model, "vm-1")
    model.restart("vm-2")
    model.run(900)
    model.cuts.clear()
    partition_vms(model, "vm-1", "vm-3")
    model.run(5 * LEASE_MS)


def run_slow_store_answers() -> None:
    """Write a change between the start of a slow read and its answer, at several offsets."""
    for offset_ms in range(0, 2_000, 200):
        model = settled_model(13, 5)
        partition_vms(model, TARGET_VM)
        model.store_delay_ms = 900
        model.run(2_000 + offset_ms)
        grant_key(model, "vm-1")
        model.run(2 * LEASE_MS)


def run_lender_unseated() -> None:
    """Remove the seat of a VM while another VM still uses what it lent."""
    model = settled_model(14, 5)
    model.filters.append(
        lambda sender, receiver, message: sender == TARGET_VM
        and receiver != "vm-2"
        and isinstance(message, Heartbeat)
    )
    end_ms = model.now_ms + 8 * LEASE_MS
    while model.now_ms < end_ms:
        if model.now_ms % REQUEST_INTERVAL_MS == 0:
            model.request("vm-2", "alder", "lookup", lambda _granted: None)
        model.step()
    model.check_granted(RATE, BURST)


def run_lender_restarted() -> None:
    """Restart a VM while another VM still uses what it lent before."""
    model = settled_model(16, 5)
    end_ms = model.now_ms + 4_000
    while model.now_ms < end_ms:
        if model.now_ms % REQUEST_INTERVAL_MS == 0:
            model.request("vm-2", "alder", "lookup", lambda _granted: None)
        model.step()
    model.restart(TARGET_VM)
    model.run(2 * LEASE_MS)


def run_bucket_with_expired_lease() -> None:
    """Check that a bucket is empty after the lease of its VM expired and was renewed later."""
    bucket = Bucket("rate:alder:lookup", RATE, BURST, LEASE_MS)
    bucket.own_share = 1_000_000
    bucket.refill(0, 60_000, 1)
    bucket.refill(10_000, 60_000, 1)
    assert bucket.microtokens > 0
    bucket.refill(70_000, 72_000, 2)
    assert bucket.microtokens == 0


HISTORIES: dict[str, Callable[[], None]] = {
    "VM without head updates": run_vm_without_head_updates,
    "restart in the majority": run_restart_in_majority,
    "restart after acknowledging": run_restart_after_ack,
    "slow store answers": run_slow_store_answers,
    "lender loses its seat": run_lender_unseated,
    "lender restarts": run_lender_restarted,
    "bucket after an expired lease": run_bucket_with_expired_lease,
}
