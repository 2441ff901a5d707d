"""The head row: one versioned row whose number orders all configuration and seat changes."""

import json
from typing import NamedTuple

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.utils.records import RecordError, decode, encode

WHOLE_SHARE_MILLIONTHS = 1_000_000
MAX_RECENT_OPERATIONS = 64


class Seat(NamedTuple):
    """A voting VM: it acknowledges heads and refills its share of every rate limit.

    ``share`` is the part of each rate limit that it refills, in millionths. ``channel``,
    ``callers`` and ``operators`` are listen addresses as IP:port.
    """

    vm: str
    channel: str
    callers: str
    operators: str
    region: str
    failure_domain: str
    share: int = 0


class Operation(NamedTuple):
    """A change that was written: its id, the number of the first head with it and a summary."""

    operation_id: str
    number: int
    summary: str


class Head(NamedTuple):
    """The content of the head row.

    ``configuration_id`` is the name of the configuration in the object store. ``prior_vms`` are
    the VMs that held seats before the last change of seats; empty once the rights are assigned.
    ``shrunk_at`` is the number of the last head that reduced the rights of a VM. ``operations``
    are the most recent changes, oldest first. ``seat_limit`` is the maximum number of seats.
    ``owners`` maps each slot group to the VM that grants the slots of its backend servers.
    """

    number: int
    configuration_id: str
    seats: tuple[Seat, ...]
    prior_vms: tuple[str, ...] = ()
    shrunk_at: int = 0
    operations: tuple[Operation, ...] = ()
    seat_limit: int = 32
    owners: dict[str, str] = {}

    def seat_of(self, vm: str) -> Seat | None:
        """Return the seat of ``vm``, or None if it has none."""
        return next((seat for seat in self.seats if seat.vm == vm), None)

    def seated_vms(self) -> frozenset[str]:
        """Return the names of the VMs that hold a seat."""
        return frozenset(seat.vm for seat in self.seats)

    def all_seats_taken(self) -> bool:
        """Return whether no seat is free, so that further VMs serve without one."""
        return len(self.seats) >= self.seat_limit

    def with_operation(self, operation: Operation) -> "Head":
        """Return a copy with ``operation`` appended; only the most recent ones are kept."""
        return self._replace(operations=(*self.operations, operation)[-MAX_RECENT_OPERATIONS:])

    def find_operation(self, operation_id: str) -> Operation | None:
        """Return the recent operation with that id, or None."""
        return next((o for o in self.operations if o.operation_id == operation_id), None)


def dump_head(head: Head) -> bytes:
    """Return the head as canonical JSON."""
    return json.dumps(encode(head), sort_keys=True, separators=(",", ":")).encode()


def load_head(data: bytes) -> Head:
    """Parse the output of :func:`dump_head`; raise :class:`InvalidDocumentError`."""
    try:
        return decode(Head, json.loads(data))
    except (RecordError, ValueError) as error:
        raise InvalidDocumentError(
            str(error), context="head row", hint="restore the row or upgrade this VM"
        ) from None
