"""The states of a change as an operator sees them."""

from typing import NamedTuple

IN_FORCE = "in_force"
ACCEPTED = "accepted"
WRITTEN = "written"
NOT_DONE = "not_done"
UNKNOWN = "unknown"


class ChangeState(NamedTuple):
    """Where a change stands.

    ``in_force``: no VM acts on anything older. ``accepted``: that will be so once the VMs in
    ``waiting_for`` acknowledge or their leases lapse. ``written``: in the table, but no majority
    knows it yet. ``not_done``: it will not happen. ``unknown``: ask again with the operation id.
    """

    operation_id: str
    state: str
    number: int = 0
    waiting_for: tuple[str, ...] = ()
    message: str = ""
    hint: str = ""
