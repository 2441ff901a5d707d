"""Rows of the store, and a cache of them that never returns to an older revision."""

from typing import NamedTuple, Protocol


class RowKey(NamedTuple):
    """The table and key of a row."""

    table: str
    key: str


class Row(NamedTuple):
    """A row at a revision; ``value`` is None if the row was removed."""

    key: RowKey
    value: bytes | None
    revision: int


class TableSnapshot(NamedTuple):
    """All rows of a table as of a revision of the store."""

    table: str
    rows: tuple[Row, ...]
    revision: int


class FeedBatch(NamedTuple):
    """Changed rows in order of revision; the next request continues after ``revision``."""

    rows: tuple[Row, ...]
    revision: int


class StoreError(Exception):
    """A call to the store failed; ``reason`` says why in a few words, for logs."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HistoryLostError(StoreError):
    """The store no longer has the requested changes; the whole table must be read again."""


class ConditionFailedError(StoreError):
    """The row's revision is not the expected one; ``row`` is the current row, None if absent."""

    def __init__(self, row: Row | None) -> None:
        super().__init__("condition")
        self.row = row

    @property
    def revision(self) -> int:
        """Return the current revision of the row, 0 if it does not exist."""
        return self.row.revision if self.row is not None else 0


class RowStore(Protocol):
    """The operations used of the platform's store; each may raise :class:`StoreError`."""

    async def read_table(self, table: str) -> TableSnapshot:
        """Read a whole table."""

    async def wait_for_changes(self, table: str, after_revision: int, wait_ms: int) -> FeedBatch:
        """Wait for rows changed after a revision, at most ``wait_ms``.

        :raises HistoryLostError: if the store no longer has all changes since that revision.
        """

    async def write(self, key: RowKey, value: bytes, expected_revision: int) -> int:
        """Write a row if its revision is ``expected_revision``, and return the new revision.

        An expected revision of 0 means that the row must not exist.

        :raises ConditionFailedError: if the row has another revision.
        """


class RowCache:
    """The newest known version of each row, from the store or from other VMs.

    ``positions`` holds for each table the revision up to which no change is missing.
    ``inferred_removals`` are the rows considered removed because a snapshot did not contain them.
    ``history_starts`` holds for each table the revision after which every change is known. A
    snapshot does not tell which rows came and went before it, so the history starts there.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, Row] = {}
        self.inferred_removals: set[RowKey] = set()
        self.positions: dict[str, int] = {}
        self.history_starts: dict[str, int] = {}

    def apply(self, row: Row) -> bool:
        """Store a row if it is newer than the known one; return whether it was."""
        known = self.rows.get(row.key)
        if known is not None and known.revision >= row.revision:
            return False
        self.rows[row.key] = row
        self.inferred_removals.discard(row.key)
        return True

    def apply_snapshot(self, snapshot: TableSnapshot) -> list[Row]:
        """Apply a snapshot of a table; return the rows that changed, including removed ones.

        Snapshots can be stale after the store dropped its history. A missing row is therefore
        removed only if the snapshot is newer than the known row, and a row whose removal was
        inferred is restored if a later snapshot contains it.
        """
        changed = [row for row in snapshot.rows if self.apply(row)]
        for row in snapshot.rows:
            if (
                row.key in self.inferred_removals
                and snapshot.revision > self.rows[row.key].revision
            ):
                restored = row._replace(revision=snapshot.revision)
                self.apply(restored)
                changed.append(restored)
        present = {row.key for row in snapshot.rows}
        for known in list(self.rows.values()):
            if known.key.table != snapshot.table or known.value is None or known.key in present:
                continue
            removed = Row(known.key, None, snapshot.revision)
            if self.apply(removed):
                self.inferred_removals.add(known.key)
                changed.append(removed)
        if snapshot.revision > self.position(snapshot.table):
            self.history_starts[snapshot.table] = snapshot.revision
        self.advance_position(snapshot.table, snapshot.revision)
        return changed

    def advance_position(self, table: str, revision: int) -> None:
        """Record that no change of a table is missing up to a revision."""
        self.positions[table] = max(self.positions.get(table, 0), revision)

    def position(self, table: str) -> int:
        """Return the revision up to which no change of a table is missing; 0 before any read."""
        return self.positions.get(table, 0)

    def knows_changes_after(self, table: str, revision: int) -> bool:
        """Tell whether :meth:`rows_after` has every change after a revision, removals included."""
        return revision >= self.history_starts.get(table, 0)

    def rows_after(self, table: str, revision: int) -> list[Row]:
        """Return the rows of a table that changed after a revision, oldest first."""
        newer = [
            row for row in self.rows.values() if row.key.table == table and row.revision > revision
        ]
        return sorted(newer, key=lambda row: row.revision)

    def snapshot(self, table: str) -> TableSnapshot:
        """Return all rows of a table as known here."""
        rows = tuple(row for row in self.rows_after(table, 0) if row.value is not None)
        return TableSnapshot(table, rows, self.position(table))
