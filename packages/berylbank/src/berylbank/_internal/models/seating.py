"""Pure changes of the seats and of the rights that they hold.

Rights are the shares of every rate and the ownership of backend groups.
"""

import hashlib
from collections.abc import Iterable

from berylbank._internal.models.configuration import Backend, Configuration
from berylbank._internal.models.head import SHARE_UNITS, Head, Seat


def target_shares(vms: Iterable[str]) -> dict[str, int]:
    """Divide the share equally; what does not divide goes to the first names."""
    names = sorted(vms)
    if not names:
        return {}
    part, rest = divmod(SHARE_UNITS, len(names))
    return {name: part + (1 if i < rest else 0) for i, name in enumerate(names)}


def group_of(backend: Backend) -> str:
    """Return the group of backend servers whose slots one VM grants."""
    return f"{backend.failure_domain}/{backend.service}"


def change_seats(head: Head, joining: Iterable[Seat], leaving: Iterable[str]) -> Head:
    """Seat and unseat VMs in one step.

    Nobody gains a right in this step: what leavers and larger shares give up stays unused until
    :func:`settle_rights` runs on a head that is in force.
    """
    gone = frozenset(leaving)
    kept = tuple(seat for seat in head.seats if seat.vm not in gone)
    known = {seat.vm for seat in kept}
    added = tuple(seat._replace(share=0) for seat in joining if seat.vm not in known)
    targets = target_shares([seat.vm for seat in (*kept, *added)])
    seats = [seat._replace(share=min(seat.share, targets[seat.vm])) for seat in (*kept, *added)]
    number = head.number + 1
    return head._replace(
        number=number,
        seats=tuple(sorted(seats)),
        prior_vms=tuple(sorted(head.vms())),
        shrunk_at=number,
        owners={group: vm for group, vm in head.owners.items() if vm not in gone},
    )


def forget_vm(head: Head, vm: str) -> Head:
    """Unseat a VM whose process is known to have ended; nobody waits for it any more."""
    return change_seats(head, (), (vm,))._replace(
        prior_vms=tuple(name for name in head.prior_vms if name != vm)
    )


def settle_rights(head: Head, configuration: Configuration) -> Head | None:
    """Give every seat its target share and every group an owner; None where all is settled.

    Written only on a head that is in force, so the VMs seated before it need not be asked again.
    """
    targets = target_shares(head.vms())
    seats = tuple(seat._replace(share=targets[seat.vm]) for seat in head.seats)
    owners = _settle_owners(head, configuration)
    if seats == head.seats and owners == head.owners:
        return None
    return head._replace(number=head.number + 1, seats=seats, owners=owners, prior_vms=())


def _settle_owners(head: Head, configuration: Configuration) -> dict[str, str]:
    places = {group_of(backend): backend for backend in configuration.backends}
    owners = dict(head.owners)
    for group in sorted(places.keys() - owners.keys()):
        owners[group] = _choose_owner(group, places[group], head, owners)
    return owners


def _choose_owner(group: str, place: Backend, head: Head, owners: dict[str, str]) -> str:
    """Choose the nearest VM with the fewest groups; equal ones by hash of group and name."""
    taken = list(owners.values())
    return min(
        head.seats,
        key=lambda seat: (
            seat.region != place.region,
            seat.failure_domain != place.failure_domain,
            taken.count(seat.vm),
            hashlib.sha256(f"{group} {seat.vm}".encode()).digest(),
        ),
    ).vm
