"""An in-memory platform whose faults tests switch."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from berylbank._internal.exceptions import (
    ConflictError,
    ObjectMissingError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from berylbank._internal.store.protocols import ListedVm, Row, Write

T = TypeVar("T")


class FakeStore:
    """Rows and objects; ``before_commit`` lets a test slip in another writer."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.down = False
        self.lose_answers = 0
        self.before_commit: Callable[[], None] | None = None
        self.reads = 0
        self.writes = 0

    async def read(self, key: str) -> Row:
        """Read a row."""
        self._require_up()
        self.reads += 1
        return self.rows.get(key, Row(b"", 0))

    async def commit(self, writes: tuple[Write, ...]) -> None:
        """Write all rows or none."""
        self._require_up()
        hook, self.before_commit = self.before_commit, None
        if hook is not None:
            hook()
        self.writes += 1
        if any(self.rows.get(w.key, Row(b"", 0)).version != w.expected_version for w in writes):
            raise ConflictError("conflict")
        for write in writes:
            self.rows[write.key] = Row(write.value, write.expected_version + 1)
        if self.lose_answers:
            self.lose_answers -= 1
            raise OutcomeUnknownError("answer lost")

    async def get(self, name: str) -> bytes:
        """Return an object."""
        self._require_up()
        if name not in self.objects:
            raise ObjectMissingError(name)
        return self.objects[name]

    async def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        self._require_up()
        self.objects[name] = data

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return an empty list: it is only a hint."""
        return ()

    def _require_up(self) -> None:
        if self.down:
            raise PlatformUnavailableError("store is down")


def run_now(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that never really waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        result: T = stop.value
        return result
    raise AssertionError("the coroutine waited")


async def no_sleep(_seconds: float) -> None:
    """Return at once."""
