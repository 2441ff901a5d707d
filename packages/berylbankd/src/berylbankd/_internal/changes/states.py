"""The states of a change that are reported to operators."""

from typing import NamedTuple

IN_FORCE = "in_force"
ACCEPTED = "accepted"
WRITTEN = "written"
NOT_DONE = "not_done"
UNKNOWN = "unknown"


class ChangeState(NamedTuple):
    """How far a change has come; ``number`` is that of the head which contains it.

    ``in_force``: no VM acts on an older head. ``accepted``: the change will be in force once the
    VMs in ``waiting_for`` acknowledge it or their leases expire. ``written``: it is in the table,
    but no majority of the VMs has acknowledged it yet. ``not_done``: it is not in the table and
    will not be applied. ``unknown``: it may be in the table; ask again with the operation id.
    """

    operation_id: str
    state: str
    number: int = 0
    waiting_for: tuple[str, ...] = ()
    message: str = ""
    hint: str = ""
