"""The input and the result of choosing a backend server for a request."""

from typing import NamedTuple

from berylbankd._internal.models.types import Route
from berylbankd._internal.steering.releases import Release
from berylbankd._internal.steering.servers import ServerState


class PickRequest(NamedTuple):
    """A request that needs a backend server.

    An empty ``regions`` allows all regions. ``tried`` holds the ids of servers already used for
    this request, and ``remaining_ms`` is the time until its deadline.
    """

    route: Route
    service: str
    object_key: str
    regions: frozenset[str]
    tried: frozenset[str]
    remaining_ms: int

    @property
    def has_affinity(self) -> bool:
        """Tell whether the request is faster on a server that recently handled its object."""
        return bool(self.object_key) and self.route.sticky


class Pick(NamedTuple):
    """The chosen server and the release in progress, if any.

    ``new_version`` is true if the server was chosen among those of the release's new version.
    ``rank`` is the server's position in the ranking for the object within its region, and ``load``
    the number of requests that were known to be at the server when it was chosen.
    """

    server: ServerState
    new_version: bool
    release: Release | None
    rank: int = 0
    load: int = 0
