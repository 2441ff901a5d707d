"""Batches conditional writes that arrive at about the same time into one transaction."""

from typing import NamedTuple

import anyio

from berylbank._internal.exceptions import BerylbankError, ConflictError
from berylbank._internal.store.protocols import TableService, Write

BATCH_DELAY_S = 0.004
MAX_BATCH_WRITES = 64


class PendingWrite:
    """A write that waits for its transaction; ``error`` stays None if that succeeds."""

    def __init__(self, write: Write) -> None:
        self.write = write
        self.finished = anyio.Event()
        self.error: BerylbankError | None = None


class Batch(NamedTuple):
    """Writes to commit in one transaction."""

    items: list[PendingWrite]


class WriteBatcher:
    """Queues conditional writes and commits them in batches; :meth:`run` must be running."""

    def __init__(self, table: TableService) -> None:
        self.table = table
        self.queue: list[PendingWrite] = []
        self.write_queued = anyio.Event()
        self.transactions = 0

    async def run(self) -> None:
        """Commit queued writes until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self.write_queued.wait()
                self.write_queued = anyio.Event()
                await anyio.sleep(BATCH_DELAY_S)
                while self.queue:
                    group.start_soon(self._commit_batch, self._take_batch())

    async def commit(self, write: Write) -> None:
        """Write one row; raises what ``TableService.commit`` raises for this write alone."""
        pending = PendingWrite(write)
        self.queue.append(pending)
        self.write_queued.set()
        await pending.finished.wait()
        if pending.error is not None:
            raise pending.error

    def _take_batch(self) -> Batch:
        """Take queued writes of different rows.

        Two writes of one row must not share a transaction: both would pass the check of the
        expected version.
        """
        taken: dict[str, PendingWrite] = {}
        left: list[PendingWrite] = []
        for item in self.queue:
            if item.write.key in taken or len(taken) >= MAX_BATCH_WRITES:
                left.append(item)
            else:
                taken[item.write.key] = item
        self.queue = left
        return Batch(list(taken.values()))

    async def _commit_batch(self, batch: Batch) -> None:
        """Commit a batch in one transaction; after a conflict, commit its writes one by one."""
        try:
            await self._commit_transaction(batch.items)
        except ConflictError as error:
            if len(batch.items) == 1:
                self._finish(batch.items, error)
                return
            for item in batch.items:
                await self._commit_batch(Batch([item]))
        except BerylbankError as error:
            self._finish(batch.items, error)
        else:
            self._finish(batch.items, None)

    async def _commit_transaction(self, items: list[PendingWrite]) -> None:
        self.transactions += 1
        await self.table.commit(tuple(item.write for item in items))

    def _finish(self, items: list[PendingWrite], error: BerylbankError | None) -> None:
        for item in items:
            item.error = error
            item.finished.set()
