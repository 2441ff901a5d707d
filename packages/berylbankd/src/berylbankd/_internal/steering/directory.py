"""Chooses the VM addresses that callers receive from a look-up.

Callers in a failure domain with fewer than two ready VMs are given VMs elsewhere in their region.
The VMs passed in must be ready: a VM that is stopping or silent must not be listed. A failure
domain can have more VMs than fit into an answer; the VMs that answer then list different ones, and
those with more capacity more often, so that callers spread over all of them.
"""

from collections.abc import Iterable
from typing import NamedTuple

from berylbankd._internal.steering.placement import compute_weighted_rank

# A caller with a single address cannot send requests for a second when that VM fails.
MIN_ADDRESSES = 2
MAX_ADDRESSES = 64


class ReadyVm(NamedTuple):
    """A VM that accepts requests, its address for callers as IP:port, and its capacity."""

    vm: str
    address: str
    failure_domain: str
    region: str
    capacity: float


def choose_addresses(
    vms: Iterable[ReadyVm],
    failure_domain: str,
    region: str,
    allowed_regions: frozenset[str],
    answering_vm: str,
) -> list[str]:
    """Return addresses of ready VMs for a caller.

    They are in its failure domain, else in its region, else in ``allowed_regions`` (empty allows
    all regions), else anywhere. ``answering_vm`` is the VM that answers the look-up.
    """
    ready = sorted(vms)
    nearby = [vm for vm in ready if vm.failure_domain == failure_domain]
    if len(nearby) < MIN_ADDRESSES:
        nearby = [vm for vm in ready if vm.region == region]
    if not nearby:
        nearby = [
            vm for vm in ready if not allowed_regions or vm.region in allowed_regions
        ] or ready
    if len(nearby) > MAX_ADDRESSES:
        nearby = sorted(
            nearby,
            key=lambda vm: compute_weighted_rank(vm.capacity, "look-up", answering_vm, vm.vm),
        )
    return [vm.address for vm in nearby[:MAX_ADDRESSES]]
