"""Interfaces of the platform services: a table service, an object store and a VM list."""

from typing import NamedTuple, Protocol


class Row(NamedTuple):
    """A stored row; ``version`` is 0 if the row does not exist."""

    value: bytes
    version: int


class Write(NamedTuple):
    """A conditional write: it takes effect only if the row still has ``expected_version``."""

    key: str
    value: bytes
    expected_version: int


class ListedVm(NamedTuple):
    """A VM in the platform's list, which may be out of date: it does not prove that a VM runs."""

    name: str
    channel: str
    leaving: bool


class TableService(Protocol):
    """A transactional table with strongly consistent reads and conditional writes."""

    async def read(self, key: str) -> Row:
        """Read a row; raise ``PlatformUnavailableError``."""

    async def commit(self, writes: tuple[Write, ...]) -> None:
        """Write all rows or none.

        Raise ``ConflictError`` or ``PlatformUnavailableError`` when nothing was written, and
        ``OutcomeUnknownError`` when the rows may have been written.
        """


class ObjectStore(Protocol):
    """A store of immutable objects."""

    async def get(self, name: str) -> bytes:
        """Return an object; raise ``ObjectMissingError`` or ``PlatformUnavailableError``."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; raise ``PlatformUnavailableError``."""


class VmList(Protocol):
    """The platform's list of running and stopping VMs."""

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the list; raise ``PlatformUnavailableError``."""
