"""What the callers of a VM may send: the limits in force for each connection."""

from collections.abc import Callable

from berylbankd._internal.models.types import CallerLimits


class ConnectionBudget:
    """The limits of callers.

    ``limits`` are those of the newest configuration. ``on_refusal`` is called with the cause and
    the request's id when a connection ends before its request was admitted.
    """

    def __init__(self) -> None:
        self.limits = CallerLimits()
        self.on_refusal: Callable[[str, str], None] = lambda _cause, _request_id: None
