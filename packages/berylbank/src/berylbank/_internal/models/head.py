"""The head row: the one row that orders every change of configuration and of seats."""

import json
from typing import NamedTuple

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.utils.records import RecordError, decode, encode

SHARE_UNITS = 1_000_000
RECENT_OPERATIONS = 64


class Seat(NamedTuple):
    """A VM that confirms heads and mints a share of every rate.

    ``share`` is in millionths. Addresses are IP:port.
    """

    vm: str
    channel: str
    callers: str
    operators: str
    region: str
    failure_domain: str
    share: int = 0


class Operation(NamedTuple):
    """A change that took effect: its id, the head it made and a summary of it."""

    operation_id: str
    number: int
    summary: str


class Head(NamedTuple):
    """The content of the head row.

    ``prior_vms`` are the VMs seated before the last change of seats, ``shrunk_at`` the number of
    the last head that took rights away from a VM, ``configuration_id`` names an object,
    ``owners`` gives for each group of backend servers the VM that grants its slots.
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
        """Return the seat that ``vm`` holds, or None."""
        return next((seat for seat in self.seats if seat.vm == vm), None)

    def vms(self) -> frozenset[str]:
        """Return the names of the seated VMs."""
        return frozenset(seat.vm for seat in self.seats)

    def is_full(self) -> bool:
        """Tell whether every seat is taken, so that further VMs work without one."""
        return len(self.seats) >= self.seat_limit

    def with_operation(self, operation: Operation) -> "Head":
        """Return the head with ``operation`` as the newest of its recent ones."""
        return self._replace(operations=(*self.operations, operation)[-RECENT_OPERATIONS:])

    def find_operation(self, operation_id: str) -> Operation | None:
        """Return the recent operation of that id, or None."""
        return next((o for o in self.operations if o.operation_id == operation_id), None)


def dump_head(head: Head) -> bytes:
    """Return the head as canonical JSON."""
    return json.dumps(encode(head), sort_keys=True, separators=(",", ":")).encode()


def load_head(data: bytes) -> Head:
    """Read what :func:`dump_head` wrote; raise :class:`InvalidDocumentError`."""
    try:
        return decode(Head, json.loads(data))
    except (RecordError, ValueError) as error:
        raise InvalidDocumentError(
            str(error), context="head row", hint="restore the row or upgrade this VM"
        ) from None
