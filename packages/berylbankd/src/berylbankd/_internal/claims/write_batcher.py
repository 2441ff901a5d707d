"""Batches conditional writes that arrive at about the same time into one transaction."""

from typing import NamedTuple

import anyio

from berylbank._internal.exceptions import BerylbankError, ConflictError
from berylbank._internal.store.protocols import TableService, Write

BATCH_DELAY_S = 0.004
MAX_BATCH_WRITES = 64


class PendingWrite:
    """A queued write; ``error`` stays None if its transaction succeeds."""

    def __init__(self, write: Write) -> None:
        self.write = write
        self.finished = anyio.Event()
        self.error: BerylbankError | None = None


class Batch(NamedTuple):
    """Writes to commit in one transaction."""

    pending_writes: list[PendingWrite]


class WriteBatcher:
    """Queues conditional writes and commits them in batches; :meth:`run` must be running.

    ``transactions`` counts the transactions that were sent to the table service.
    """

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
        batch_by_key: dict[str, PendingWrite] = {}
        remaining: list[PendingWrite] = []
        for pending in self.queue:
            if pending.write.key in batch_by_key or len(batch_by_key) >= MAX_BATCH_WRITES:
                remaining.append(pending)
            else:
                batch_by_key[pending.write.key] = pending
        self.queue = remaining
        return Batch(list(batch_by_key.values()))

    async def _commit_batch(self, batch: Batch) -> None:
        """Commit a batch in one transaction; after a conflict, commit its writes one by one."""
        try:
            await self._commit_transaction(batch.pending_writes)
        except ConflictError as error:
            if len(batch.pending_writes) == 1:
                self._finish_writes(batch.pending_writes, error)
                return
            for pending in batch.pending_writes:
                await self._commit_batch(Batch([pending]))
        except BerylbankError as error:
            self._finish_writes(batch.pending_writes, error)
        else:
            self._finish_writes(batch.pending_writes, None)

    async def _commit_transaction(self, pending_writes: list[PendingWrite]) -> None:
        self.transactions += 1
        await self.table.commit(tuple(pending.write for pending in pending_writes))

    def _finish_writes(
        self, pending_writes: list[PendingWrite], error: BerylbankError | None
    ) -> None:
        for pending in pending_writes:
            pending.error = error
            pending.finished.set()
