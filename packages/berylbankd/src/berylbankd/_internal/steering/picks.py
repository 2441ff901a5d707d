"""What a request asks of the decisions, and what they answer."""

from typing import NamedTuple

from berylbankd._internal.models.types import Route
from berylbankd._internal.steering.releases import Release
from berylbankd._internal.steering.servers import ServerState


class PickRequest(NamedTuple):
    """One request that needs a backend server; ``regions`` empty means anywhere."""

    route: Route
    service: str
    object_key: str
    regions: frozenset[str]
    tried: frozenset[str]
    remaining_ms: int

    @property
    def has_affinity(self) -> bool:
        """Tell whether a server that handled the request's object lately works faster."""
        return bool(self.object_key) and self.route.sticky


class Pick(NamedTuple):
    """The server chosen, the release under way, and whether the server runs its new version.

    ``rank`` and ``load`` are what it was chosen by: its place in the object's rank in its region,
    and the requests that it held as far as known.
    """

    server: ServerState
    new: bool
    release: Release | None
    rank: int = 0
    load: int = 0
