"""Joins conditional writes that come close together into one transaction."""

from typing import NamedTuple

import anyio

from berylbank._internal.exceptions import BerylbankError, ConflictError
from berylbank._internal.store.protocols import TableService, Write

GATHER_S = 0.004
MAX_WRITES = 64


class Pending:
    """A write that waits for its transaction; ``error`` is None once it is done."""

    def __init__(self, write: Write) -> None:
        self.write = write
        self.finished = anyio.Event()
        self.error: BerylbankError | None = None


class Split(NamedTuple):
    """Writes that go together."""

    items: list[Pending]


class WriteBatcher:
    """Owns the queue of writes; one task commits them."""

    def __init__(self, table: TableService) -> None:
        self.table = table
        self.waiting: list[Pending] = []
        self.arrived = anyio.Event()
        self.transactions = 0

    async def run(self) -> None:
        """Commit until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self.arrived.wait()
                self.arrived = anyio.Event()
                await anyio.sleep(GATHER_S)
                while self.waiting:
                    group.start_soon(self._commit, self._take_split())

    async def commit(self, write: Write) -> None:
        """Write one row; raises what ``TableService.commit`` raises for it alone."""
        pending = Pending(write)
        self.waiting.append(pending)
        self.arrived.set()
        await pending.finished.wait()
        if pending.error is not None:
            raise pending.error

    def _take_split(self) -> Split:
        """Take writes of different rows: in one transaction, two of one row would both pass."""
        taken: dict[str, Pending] = {}
        left: list[Pending] = []
        for item in self.waiting:
            if item.write.key in taken or len(taken) >= MAX_WRITES:
                left.append(item)
            else:
                taken[item.write.key] = item
        self.waiting = left
        return Split(list(taken.values()))

    async def _commit(self, split: Split) -> None:
        """Commit together; where one row conflicts, find out for each alone."""
        try:
            await self._commit_all(split.items)
        except ConflictError as error:
            if len(split.items) == 1:
                self._finish(split.items, error)
                return
            for item in split.items:
                await self._commit(Split([item]))
        except BerylbankError as error:
            self._finish(split.items, error)
        else:
            self._finish(split.items, None)

    async def _commit_all(self, items: list[Pending]) -> None:
        self.transactions += 1
        await self.table.commit(tuple(item.write for item in items))

    def _finish(self, items: list[Pending], error: BerylbankError | None) -> None:
        for item in items:
            item.error = error
            item.finished.set()
