"""Histories aimed at one rule each: without that rule they break a promise."""

import itertools
from collections.abc import Callable

from berylbank._internal.models.changes import GrantKey
from berylbank._internal.models.configuration import ApiKey
from berylbank._internal.wire.messages import HeadPush, Heartbeat
from berylbankd._internal.changes.head_writer import Written
from berylbankd._internal.rates.bucket import Bucket
from tests.support.campaign import BURST, RATE, settled_model
from tests.support.model import Model

VICTIM = "vm-5"
LEASE_MS = 2_000
LOAD_EVERY_MS = 20


def hide_heads_from(model: Model, *names: str) -> None:
    """Lose every message that could tell these VMs of a new head."""
    model.filters.append(
        lambda _sender, receiver, m: receiver in names and isinstance(m, Heartbeat | HeadPush)
    )


def separate(model: Model, *inside: str) -> None:
    """Cut some VMs off from all others."""
    for a, b in itertools.permutations(model.vms, 2):
        if (a in inside) != (b in inside):
            model.cuts.add((a, b))


def grant_key(model: Model, name: str) -> None:
    """Change the configuration through a VM."""
    outcome = model.change(name, GrantKey("alder", ApiKey("new", "ab" * 32)))
    assert isinstance(outcome, Written)


def ignorant_vm() -> None:
    """One VM cannot learn of a change, while those that know it still answer its questions."""
    model = settled_model(11, 5)
    hide_heads_from(model, VICTIM)
    model.store_cuts.add(VICTIM)
    model.run(LEASE_MS)
    grant_key(model, "vm-1")
    model.run(3 * LEASE_MS)
    assert model.trackers[-1].in_force_ms is not None


def forgetful_majority() -> None:
    """A VM that knew a change restarts, and is asked by those that do not know it."""
    model = settled_model(12, 5)
    model.store_cuts |= {"vm-4", VICTIM}
    separate(model, "vm-4", VICTIM)
    grant_key(model, "vm-1")
    assert model.run_until(lambda: model.trackers[-1].accepted_ms is not None, LEASE_MS)
    model.store.down = True
    model.cuts.clear()
    separate(model, "vm-1", "vm-2")
    model.restart("vm-3")
    model.run(3 * LEASE_MS)


def restart_after_ack() -> None:
    """A VM acknowledges a change, restarts, and is told of the old head by the others."""
    model = settled_model(15, 5)
    separate(model, "vm-1", "vm-2")
    grant_key(model, "vm-1")
    tracker = model.trackers[-1]
    assert model.run_until(lambda: "vm-2" in tracker.acked_push_ms, LEASE_MS)
    model.store.down = True
    model.cuts.clear()
    separate(model, "vm-1")
    model.restart("vm-2")
    model.run(900)
    model.cuts.clear()
    separate(model, "vm-1", "vm-3")
    model.run(5 * LEASE_MS)


def slow_answers() -> None:
    """A change falls between a slow read and its answer, at every offset."""
    for offset_ms in range(0, 2_000, 200):
        model = settled_model(13, 5)
        separate(model, VICTIM)
        model.store_delay_ms = 900
        model.run(2_000 + offset_ms)
        grant_key(model, "vm-1")
        model.run(2 * LEASE_MS)


def lender_unseated() -> None:
    """A VM loses its seat while another still uses what it lent."""
    model = settled_model(14, 5)
    model.filters.append(
        lambda sender, receiver, m: sender == VICTIM
        and receiver != "vm-2"
        and isinstance(m, Heartbeat)
    )
    end_ms = model.now_ms + 8 * LEASE_MS
    while model.now_ms < end_ms:
        if model.now_ms % LOAD_EVERY_MS == 0:
            model.request("vm-2", "alder", "lookup", lambda _granted: None)
        model.step()
    model.check_granted(RATE, BURST)


def lender_restarted() -> None:
    """A VM restarts while another uses what it lent before."""
    model = settled_model(16, 5)
    end_ms = model.now_ms + 4_000
    while model.now_ms < end_ms:
        if model.now_ms % LOAD_EVERY_MS == 0:
            model.request("vm-2", "alder", "lookup", lambda _granted: None)
        model.step()
    model.restart(VICTIM)
    model.run(2 * LEASE_MS)


def lapsed_bucket() -> None:
    """A bucket whose VM lost its authority for a while starts empty."""
    bucket = Bucket("rate:alder:lookup", RATE, BURST, LEASE_MS)
    bucket.own_share = 1_000_000
    bucket.refill(0, 60_000, 1)
    bucket.refill(10_000, 60_000, 1)
    assert bucket.microtokens > 0
    bucket.refill(70_000, 72_000, 2)
    assert bucket.microtokens == 0


HISTORIES: dict[str, Callable[[], None]] = {
    "ignorant VM": ignorant_vm,
    "forgetful majority": forgetful_majority,
    "restart after acknowledging": restart_after_ack,
    "slow answers": slow_answers,
    "lender unseated": lender_unseated,
    "lender restarted": lender_restarted,
    "lapsed bucket": lapsed_bucket,
}
