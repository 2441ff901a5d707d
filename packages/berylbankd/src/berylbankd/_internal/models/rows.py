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
    """All rows of a table as of a revision of the store.

    ``store_time_ms`` is the time of the answer by the store's clock, 0 if unknown.
    """

    table: str
    rows: tuple[Row, ...]
    revision: int
    store_time_ms: int = 0


class FeedBatch(NamedTuple):
    """Changed rows in order of revision; the next request continues after ``revision``.

    ``store_time_ms`` is that of :class:`TableSnapshot`.
    """

    rows: tuple[Row, ...]
    revision: int
    store_time_ms: int = 0


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

    ``positions`` holds for each table the revision up to which rows were received. A read of the
    store can be stale and still state the newest revision: in a table in ``doubted``, changes up to
    the revision there may be missing.
    ``inferred_removals`` are the rows considered removed because a snapshot did not contain them.
    ``history_starts`` holds for each table the revision after which every change is known. A
    snapshot does not tell which rows came and went before it, so the history starts there.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, Row] = {}
        self.inferred_removals: set[RowKey] = set()
        self.positions: dict[str, int] = {}
        self.doubted: dict[str, int] = {}
        self.history_starts: dict[str, int] = {}

    def apply(self, row: Row) -> bool:
        """Store a row if it is newer than the known one; return whether it was.

        Only an inferred removal can have the revision of another version of its row, which then
        was found to exist.
        """
        known = self.rows.get(row.key)
        if known is not None and known.revision >= row.revision:
            found = known.value is None and row.value is not None
            if known.revision > row.revision or not found:
                return False
        self.rows[row.key] = row
        self.inferred_removals.discard(row.key)
        return True

    def apply_snapshot(self, snapshot: TableSnapshot) -> list[Row]:
        """Apply a read of a table that may be stale; return the rows that changed.

        A missing row is removed only if the snapshot is newer than the known row, and a row whose
        removal was inferred is restored if a later snapshot contains it.
        """
        table, revision = snapshot.table, snapshot.revision
        if self.is_sure(table) and revision <= self.position(table):
            return []
        changed = [row for row in snapshot.rows if self.apply(row)]
        for row in snapshot.rows:
            if row.key in self.inferred_removals and revision > self.rows[row.key].revision:
                restored = row._replace(revision=revision)
                self.apply(restored)
                changed.append(restored)
        changed += self._remove_missing(snapshot, revision, revision - 1)
        if revision > self.position(table):
            self.history_starts[table] = revision
        self.advance_beside(table, revision, sure=False)
        return changed

    def confirm(self, snapshot: TableSnapshot, revision: int) -> list[Row]:
        """Apply a table that has every change up to a revision; return the rows that changed.

        It may lack some changes after that, as the snapshot can be stale itself.
        """
        table = snapshot.table
        if self.is_sure(table) and revision <= self.position(table):
            return []
        changed = [row for row in snapshot.rows if self.apply(row)]
        for row in snapshot.rows:
            known = self.rows[row.key]
            if known.value is None and known.revision <= revision:
                restored = row._replace(revision=known.revision)
                self.apply(restored)
                changed.append(restored)
        changed += self._remove_missing(snapshot, revision, revision)
        if revision >= self.doubted.get(table, 0):
            self.doubted.pop(table, None)
        self.advance_position(table, revision)
        self.history_starts[table] = max(revision, self.history_starts.get(table, 0))
        return changed

    def advance_position(self, table: str, revision: int) -> None:
        """Record that every change of a table from its position up to a revision was applied."""
        self.positions[table] = max(self.positions.get(table, 0), revision)

    def advance_beside(self, table: str, revision: int, *, sure: bool) -> None:
        """Record the changes after the position of a table that another VM knows up to a revision.

        Unless the other VM is ``sure``, some may be missing.
        """
        if not sure:
            self.doubted[table] = max(revision, self.doubted.get(table, 0))
        self.advance_position(table, revision)

    def position(self, table: str) -> int:
        """Return the newest revision up to which rows of a table were received; 0 before any."""
        return self.positions.get(table, 0)

    def is_sure(self, table: str) -> bool:
        """Tell whether certainly no change of a table up to its position is missing."""
        return table not in self.doubted

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

    def _remove_missing(
        self, snapshot: TableSnapshot, revision: int, last_removed: int
    ) -> list[Row]:
        """Remove the rows that a snapshot lacks, and return the removals.

        They get a revision, and concern rows up to the revision ``last_removed``.
        """
        present = {row.key for row in snapshot.rows}
        removals = [
            Row(known.key, None, revision)
            for known in self.rows.values()
            if known.key.table == snapshot.table
            and known.value is not None
            and known.key not in present
            and known.revision <= last_removed
        ]
        for removed in removals:
            self.rows[removed.key] = removed
            self.inferred_removals.add(removed.key)
        return removals
