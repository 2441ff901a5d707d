"""An in-memory store of rows and objects, with faults that tests turn on."""

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
    """A store of rows and objects in memory.

    Every call fails while ``down`` is True. The next ``lose_answers`` commits take effect but their
    answers are lost. ``before_commit`` is called once, before the next commit, so that a test can
    make a conflicting write.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.down = False
        self.lose_answers = 0
        self.before_commit: Callable[[], None] | None = None
        self.reads = 0
        self.writes = 0

    async def read(self, key: str) -> Row:
        """Return a row; a missing one is empty and has version 0."""
        self._require_available()
        self.reads += 1
        return self.rows.get(key, Row(b"", 0))

    async def commit(self, writes: tuple[Write, ...]) -> None:
        """Write all rows or none; raise ConflictError if a row has another version."""
        self._require_available()
        before_commit, self.before_commit = self.before_commit, None
        if before_commit is not None:
            before_commit()
        self.writes += 1
        if any(self.rows.get(w.key, Row(b"", 0)).version != w.expected_version for w in writes):
            raise ConflictError("a row has another version than the write expects")
        for write in writes:
            self.rows[write.key] = Row(write.value, write.expected_version + 1)
        if self.lose_answers:
            self.lose_answers -= 1
            raise OutcomeUnknownError("the store applied the commit but its answer was lost")

    async def get(self, name: str) -> bytes:
        """Return an object; raise ObjectMissingError if there is none."""
        self._require_available()
        if name not in self.objects:
            raise ObjectMissingError(name)
        return self.objects[name]

    async def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        self._require_available()
        self.objects[name] = data

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return an empty list, as the daemon uses the list only as a hint."""
        return ()

    def _require_available(self) -> None:
        if self.down:
            raise PlatformUnavailableError("the store is down")


def run_without_waiting(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that never waits and return its result; raise AssertionError if it waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        result: T = stop.value
        return result
    raise AssertionError("the coroutine waited; it must finish without an event loop")


async def skip_sleep(_seconds: float) -> None:
    """Return without waiting, in place of ``anyio.sleep``."""
