"""Rows of the store as a VM knows them: never an older one after a newer one."""

from typing import NamedTuple, Protocol


class RowKey(NamedTuple):
    """Names one row."""

    table: str
    key: str


class Row(NamedTuple):
    """A row at a revision; ``value`` is None for a row that was removed."""

    key: RowKey
    value: bytes | None
    revision: int


class TableSnapshot(NamedTuple):
    """All rows of a table at a revision of the store."""

    table: str
    rows: tuple[Row, ...]
    revision: int


class FeedBatch(NamedTuple):
    """Changed rows in order; continue after ``revision``."""

    rows: tuple[Row, ...]
    revision: int


class StoreError(Exception):
    """A call to the store failed; ``reason`` is a short word for logs and counters."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HistoryLostError(StoreError):
    """The store no longer has the history that a feed asked for; read the table whole."""


class ConditionFailedError(StoreError):
    """A conditional write lost; ``row`` is the present one, None where there is none."""

    def __init__(self, row: Row | None) -> None:
        super().__init__("condition")
        self.row = row

    @property
    def revision(self) -> int:
        """Return the row's present revision, 0 where there is none."""
        return self.row.revision if self.row is not None else 0


class RowStore(Protocol):
    """What berylbank needs of the platform's store; every call may raise :class:`StoreError`."""

    async def read_table(self, table: str) -> TableSnapshot:
        """Read a table whole."""

    async def wait_for_changes(self, table: str, after: int, wait_ms: int) -> FeedBatch:
        """Wait for rows changed after a revision; raise :class:`HistoryLostError`."""

    async def write(self, key: RowKey, value: bytes, expected: int) -> int:
        """Write a row that has revision ``expected`` (0: none); return the new revision."""


class RowCache:
    """The newest rows known, whoever told them.

    ``positions`` holds for each table the revision up to which nothing is missing.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, Row] = {}
        self.inferred_removals: set[RowKey] = set()
        self.positions: dict[str, int] = {}

    def apply(self, row: Row) -> bool:
        """Take a row if it is newer than the one known; tell whether it was."""
        known = self.rows.get(row.key)
        if known is not None and known.revision >= row.revision:
            return False
        self.rows[row.key] = row
        self.inferred_removals.discard(row.key)
        return True

    def apply_snapshot(self, snapshot: TableSnapshot) -> list[Row]:
        """Take a whole read; return the rows that changed, removed ones included.

        Rows that are missing are removed only where the read is newer than what is known, as reads
        may be stale after the store dropped its history. For the same reason a row that is there
        again in a later read is restored.
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
        self.advance_position(snapshot.table, snapshot.revision)
        return changed

    def advance_position(self, table: str, revision: int) -> None:
        """Note that nothing of a table is missing up to a revision."""
        self.positions[table] = max(self.positions.get(table, 0), revision)

    def position(self, table: str) -> int:
        """Return the revision up to which nothing of a table is missing; 0 before any read."""
        return self.positions.get(table, 0)

    def rows_after(self, table: str, revision: int) -> list[Row]:
        """Return the rows of a table that changed after a revision, oldest first."""
        newer = [
            row for row in self.rows.values() if row.key.table == table and row.revision > revision
        ]
        return sorted(newer, key=lambda row: row.revision)
