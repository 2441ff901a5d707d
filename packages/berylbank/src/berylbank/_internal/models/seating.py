"""Pure functions that change the seats of a head and the rights of the seated VMs.

The rights of a VM are its share of every rate limit and its ownership of slot groups.
"""

import hashlib
from collections.abc import Iterable

from berylbank._internal.models.configuration import Backend, Configuration
from berylbank._internal.models.head import WHOLE_SHARE_MILLIONTHS, Head, Seat


def divide_equally(vms: Iterable[str]) -> dict[str, int]:
    """Return equal shares in millionths, by VM; the remainder goes to the first VMs by name."""
    names = sorted(vms)
    if not names:
        return {}
    base_share, remainder = divmod(WHOLE_SHARE_MILLIONTHS, len(names))
    return {name: base_share + (1 if i < remainder else 0) for i, name in enumerate(names)}


def name_slot_group(backend: Backend) -> str:
    """Return the name of a backend server's slot group.

    A group has the backend servers of one service in one failure domain. One VM owns it and
    grants the slots of its backend servers.
    """
    return f"{backend.failure_domain}/{backend.service}"


def change_seats(head: Head, joining: Iterable[Seat], leaving: Iterable[str]) -> Head:
    """Return the next head, with VMs added to and removed from the seats.

    No VM gains a right in this head: rights taken from removed VMs and reduced shares stay unused
    until :func:`assign_rights` runs on a head that is in force. New seats start with share 0.
    """
    leaving_vms = frozenset(leaving)
    kept_seats = tuple(seat for seat in head.seats if seat.vm not in leaving_vms)
    kept_vms = {seat.vm for seat in kept_seats}
    added_seats = tuple(seat._replace(share=0) for seat in joining if seat.vm not in kept_vms)
    target_shares = divide_equally([seat.vm for seat in (*kept_seats, *added_seats)])
    seats = [
        seat._replace(share=min(seat.share, target_shares[seat.vm]))
        for seat in (*kept_seats, *added_seats)
    ]
    number = head.number + 1
    return head._replace(
        number=number,
        seats=tuple(sorted(seats)),
        prior_vms=tuple(sorted(head.seated_vms())),
        shrunk_at=number,
        owners={group: vm for group, vm in head.owners.items() if vm not in leaving_vms},
    )


def forget_vm(head: Head, vm: str) -> Head:
    """Return the next head without a VM whose process has ended.

    The VM is removed from ``prior_vms`` too, so that its acknowledgement is not awaited.
    """
    return change_seats(head, (), (vm,))._replace(
        prior_vms=tuple(name for name in head.prior_vms if name != vm)
    )


def assign_rights(head: Head, configuration: Configuration) -> Head | None:
    """Return the next head, with equal shares and an owner per slot group; None if unchanged.

    Must be written only on a head that is in force; ``prior_vms`` is empty in the result because
    the VMs that held seats before that head need not acknowledge the new one.
    """
    target_shares = divide_equally(head.seated_vms())
    seats = tuple(seat._replace(share=target_shares[seat.vm]) for seat in head.seats)
    owners = _assign_owners(head, configuration)
    if seats == head.seats and owners == head.owners:
        return None
    return head._replace(number=head.number + 1, seats=seats, owners=owners, prior_vms=())


def _assign_owners(head: Head, configuration: Configuration) -> dict[str, str]:
    """Keep the owners of all groups, and choose one for each group without an owner."""
    backend_by_group = {name_slot_group(backend): backend for backend in configuration.backends}
    owners = dict(head.owners)
    for group in sorted(backend_by_group.keys() - owners.keys()):
        owners[group] = _choose_owner(group, backend_by_group[group], head, owners)
    return owners


def _choose_owner(group: str, group_backend: Backend, head: Head, owners: dict[str, str]) -> str:
    """Choose the nearest VM, then the one with fewest groups, then by hash of group and name."""
    assigned_vms = list(owners.values())
    return min(
        head.seats,
        key=lambda seat: (
            seat.region != group_backend.region,
            seat.failure_domain != group_backend.failure_domain,
            assigned_vms.count(seat.vm),
            hashlib.sha256(f"{group} {seat.vm}".encode()).digest(),
        ),
    ).vm
