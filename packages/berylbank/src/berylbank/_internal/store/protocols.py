"""What berylbank needs of the platform: a table service, an object store and a VM list."""

from typing import NamedTuple, Protocol


class Row(NamedTuple):
    """A row as read; ``version`` is 0 for a row that does not exist."""

    value: bytes
    version: int


class Write(NamedTuple):
    """A conditional write: it takes effect only if the row still has ``expected_version``."""

    key: str
    value: bytes
    expected_version: int


class ListedVm(NamedTuple):
    """A VM in the platform's list; the list lags and proves nothing."""

    name: str
    channel: str
    leaving: bool


class TableService(Protocol):
    """A transactional table with strong reads and conditional writes."""

    async def read(self, key: str) -> Row:
        """Read a row; raise ``TableUnavailableError``."""

    async def commit(self, writes: tuple[Write, ...]) -> None:
        """Write all rows or none.

        Raise ``ConflictError`` or ``TableUnavailableError`` when nothing was written, and
        ``OutcomeUnknownError`` when that is not known.
        """


class ObjectStore(Protocol):
    """A store of immutable objects."""

    async def get(self, name: str) -> bytes:
        """Return an object; raise ``ObjectMissingError`` or ``TableUnavailableError``."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; raise ``TableUnavailableError``."""


class VmList(Protocol):
    """The platform's list of live and leaving VMs."""

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the list; raise ``TableUnavailableError``."""
