"""Tells callers which VMs to use.

Load pattern answered: callers of a failure domain that has lost VMs, or has only one, need others
that are near; a VM that is stopping or silent must be named to nobody.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Callers that have one address only are stuck for a second when it fails.
MIN_ADDRESSES = 2
MAX_ADDRESSES = 64


class ReadyVm(NamedTuple):
    """A VM that takes requests."""

    vm: str
    address: str
    failure_domain: str
    region: str


def choose_addresses(
    vms: Iterable[ReadyVm], failure_domain: str, region: str, allowed: frozenset[str]
) -> list[str]:
    """Return addresses for a caller: its failure domain, its region, then anywhere allowed."""
    ready = sorted(vms)
    nearby = [vm for vm in ready if vm.failure_domain == failure_domain]
    if len(nearby) < MIN_ADDRESSES:
        nearby = [vm for vm in ready if vm.region == region]
    if not nearby:
        nearby = [vm for vm in ready if not allowed or vm.region in allowed] or ready
    return [vm.address for vm in nearby[:MAX_ADDRESSES]]
