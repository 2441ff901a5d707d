"""Rows of the store, and a cache of them that never returns to an older revision."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from berylbankd._internal.models.revisions import era_of, number_of


class RowKey(NamedTuple):
    """The table and key of a row."""

    table: str
    key: str


class Row(NamedTuple):
    """A version of a row, written at a revision; ``value`` is None if the row was removed.

    ``as_of`` is the revision of a read from which it was inferred that the row was there in this
    version, or with a ``value`` of None that this version was gone; 0 if nothing was inferred.
    """

    key: RowKey
    value: bytes | None
    revision: int
    as_of: int = 0

    def is_inferred_removal(self) -> bool:
        """Tell whether the row is taken for removed only because a read did not contain it."""
        return self.value is None and self.as_of > 0


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
    """The operations used of the platform's store; each may raise :class:`StoreError`.

    ``era`` is the newest era that an answer named, 0 if none did.
    """

    era: int

    async def read_table(self, table: str) -> TableSnapshot:
        """Read a whole table."""

    async def wait_for_changes(self, table: str, after_revision: int, wait_ms: int) -> FeedBatch:
        """Wait for rows changed after a revision, at most ``wait_ms``.

        :raises HistoryLostError: if the store no longer has all changes since that revision, or is
            in a newer era.
        """

    async def write(self, key: RowKey, value: bytes, expected_revision: int) -> int:
        """Write a row if its revision is ``expected_revision``, and return the new revision.

        An expected revision of 0 means that the row must not exist.

        :raises ConditionFailedError: if the row has another revision, or the expected one is of
            an older era.
        """


class EraPolicy(Protocol):
    """Decides what stays in use when the store begins a new era with a copy."""

    def keeps(self, known: Row, read: Row | None) -> bool:
        """Tell whether the known version stays; ``read`` is None if the copy lacks the row."""


def merge_rows(known: Row, row: Row) -> Row:
    """Return what is known of a row from two sources, in whatever order they are heard.

    The newer version holds. Whether a version is still there is told by the later of two reads; a
    read that did not contain an older version did not contain the newer one either, unless that
    was written, or seen, after the read.
    """
    if known.revision == row.revision:
        return row if row.as_of > known.as_of else known
    older, newer = (known, row) if row.revision > known.revision else (row, known)
    if older.is_inferred_removal() and older.as_of > max(newer.revision, newer.as_of):
        return newer._replace(value=None, as_of=older.as_of)
    return newer


class RowCache:
    """The newest known version of each row, from the store or from other VMs.

    ``positions`` holds for each table the revision up to which rows were received. A read of the
    store can be stale and still state the newest revision: in a table in ``doubted``, changes up to
    the revision there may be missing.
    ``history_starts`` holds for each table the revision after which every change is known. A
    snapshot does not tell which rows came and went before it, so the history starts there.
    The first reads of a new era leave the rows alone that ``era_policy`` keeps, if it is set.
    """

    def __init__(self, era_policy: EraPolicy | None = None) -> None:
        self.era_policy = era_policy
        self.rows: dict[RowKey, Row] = {}
        self.positions: dict[str, int] = {}
        self.doubted: dict[str, int] = {}
        self.history_starts: dict[str, int] = {}

    def apply(self, row: Row) -> list[Row]:
        """Add what is known of a row; return it as known now if its version or presence changed."""
        known = self.rows.get(row.key)
        merged = row if known is None else merge_rows(known, row)
        self.rows[row.key] = merged
        if known is not None and (merged.revision, merged.value) == (known.revision, known.value):
            return []
        return [merged]

    def apply_snapshot(self, snapshot: TableSnapshot) -> list[Row]:
        """Apply a read of a table that may be stale; return the rows that changed.

        A missing row is removed only if the snapshot is newer than the known row, and a row whose
        removal was inferred is restored if a later snapshot contains it.
        """
        table, revision = snapshot.table, snapshot.revision
        if self._is_known(table, revision):
            return []
        rows = [row for row in snapshot.rows if not self._stays(row.key, row, row.revision)]
        changed = [item for row in rows for item in self._apply_seen(row, revision)]
        changed += self._remove_missing(
            snapshot,
            revision,
            lambda known: max(known.revision, known.as_of) < revision
            and not self._stays(known.key, None, revision),
        )
        if revision > self.position(table):
            self.history_starts[table] = revision
        self.advance_beside(table, revision, sure=False)
        return changed

    def confirm(self, snapshot: TableSnapshot, revision: int) -> list[Row]:
        """Apply a table that has every change up to a revision; return the rows that changed.

        It may lack some changes after that, as the snapshot can be stale itself.
        """
        table = snapshot.table
        if self._is_known(table, revision):
            return []
        changed = [item for row in snapshot.rows for item in self._apply_confirmed(row, revision)]
        changed += self._remove_missing(
            snapshot, revision, lambda known: known.revision <= revision
        )
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
            row
            for row in self.rows.values()
            if row.key.table == table and max(row.revision, row.as_of) > revision
        ]
        return sorted(newer, key=lambda row: row.revision)

    def snapshot(self, table: str) -> TableSnapshot:
        """Return all rows of a table as known here."""
        rows = tuple(row for row in self.rows_after(table, 0) if row.value is not None)
        return TableSnapshot(table, rows, self.position(table))

    def _is_known(self, table: str, revision: int) -> bool:
        """Tell whether a read up to a revision can bring nothing new."""
        position = self.position(table)
        if era_of(revision) < era_of(position):
            return True
        return self.is_sure(table) and revision <= position

    def _stays(self, key: RowKey, read: Row | None, revision: int) -> bool:
        """Tell whether the known version of a row stays beside a read of a new era's copy."""
        known = self.rows.get(key)
        if known is None or self.era_policy is None:
            return False
        known_revision = max(known.revision, known.as_of)
        if era_of(known_revision) >= era_of(revision):
            return False
        if read is not None and number_of(revision) > number_of(known_revision):
            # The known version is older than the copy, or this one was written after it.
            return False
        unchanged = known.value == (read.value if read is not None else None)
        return not unchanged and self.era_policy.keeps(known, read)

    def _apply_seen(self, row: Row, revision: int) -> list[Row]:
        """Apply a row of a read at a revision; see apply."""
        known = self.rows.get(row.key)
        if known is not None and known.is_inferred_removal():
            row = row._replace(as_of=max(row.as_of, revision))
        return self.apply(row)

    def _apply_confirmed(self, row: Row, revision: int) -> list[Row]:
        """Apply a row of a table that has every change up to a revision; see apply."""
        known = self.rows.get(row.key)
        if (
            known is not None
            and known.is_inferred_removal()
            and known.as_of <= revision
            and known.revision <= row.revision
        ):
            self.rows[row.key] = row._replace(as_of=max(row.as_of, revision))
            return [self.rows[row.key]]
        return self._apply_seen(row, revision)

    def _remove_missing(
        self, snapshot: TableSnapshot, revision: int, must_be_there: Callable[[Row], bool]
    ) -> list[Row]:
        """Take rows that a read at a revision lacks for removed, and return the removals.

        ``must_be_there`` tells of a row whether the read would contain it if it still existed.
        """
        present = {row.key for row in snapshot.rows}
        removals = [
            known._replace(value=None, as_of=max(known.as_of, revision))
            for known in self.rows.values()
            if known.key.table == snapshot.table
            and known.value is not None
            and known.key not in present
            and must_be_there(known)
        ]
        for removed in removals:
            self.rows[removed.key] = removed
        return removals
