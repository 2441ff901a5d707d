"""A stand-in for the platform's row store, with faults that tests can switch on."""

import base64
import json
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import anyio

from berylbank_standins._internal.serving import read_body, send_response

MAX_PAGE_ROWS = 500
FIRST_ERA = 1
ERA_HEADER = b"store-era"


class StoredRow(NamedTuple):
    """A row; ``value`` None means removed. All rows are in the table part with an empty name."""

    table: str
    key: str
    value: bytes | None
    revision: int


class RowStoreFaults(NamedTuple):
    """The injected faults.

    ``refuse`` answers every call with 503, ``silent`` never answers, ``lose_answers`` is the number
    of further writes that are done but not answered, ``delay_ms`` delays every response.
    """

    refuse: bool = False
    silent: bool = False
    lose_answers: int = 0
    delay_ms: int = 0


class StoreCopy(NamedTuple):
    """The rows and their history as of a revision."""

    rows: dict[tuple[str, str], StoredRow]
    history: list[StoredRow]
    revision: int
    compacted_revision: int


class RowStoreState:
    """The rows and their history, without I/O; ``era`` rises when a copy is restored."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.history: list[StoredRow] = []
        self.revision = 0
        self.compacted_revision = 0
        self.era = FIRST_ERA

    def copy(self) -> StoreCopy:
        """Return a copy to go back to."""
        return StoreCopy(
            dict(self.rows), list(self.history), self.revision, self.compacted_revision
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; revisions after it are given out again, in the next era."""
        self.rows, self.history = dict(copy.rows), list(copy.history)
        self.revision, self.compacted_revision = copy.revision, copy.compacted_revision
        self.era += 1

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write one row, or remove it if ``value`` is None; return the new revision."""
        return self.commit([(table, key, value)])

    def commit(self, changes: list[tuple[str, str, bytes | None]]) -> int:
        """Write or remove rows in one transaction; return its revision."""
        self.revision += 1
        for table, key, value in changes:
            row = StoredRow(table, key, value, self.revision)
            self.history.append(row)
            self.rows.pop((table, key), None)
            if value is not None:
                self.rows[table, key] = row
        return self.revision

    def revision_of(self, table: str, key: str) -> int:
        """Return a row's revision, or 0 if the row does not exist."""
        row = self.rows.get((table, key))
        return row.revision if row is not None else 0

    def read(self, table: str, start: str = "", limit: int = MAX_PAGE_ROWS) -> list[StoredRow]:
        """Return up to ``limit`` rows of a table from a key on, ordered by key."""
        matching_rows = [
            row for row in self.rows.values() if row.table == table and row.key >= start
        ]
        return sorted(matching_rows, key=lambda row: row.key)[:limit]

    def changes_after(self, table: str, revision: int) -> list[StoredRow] | None:
        """Return the rows that changed after a revision, or None without a history from there."""
        if not self.compacted_revision <= revision <= self.revision:
            return None
        return [row for row in self.history if row.table == table and row.revision > revision]

    def compact_history(self) -> None:
        """Drop the history of all changes so far, as the platform's compaction does."""
        self.history.clear()
        self.compacted_revision = self.revision


class StandInRowStore:
    """The row store as an ASGI application; ``calls`` counts calls by the end of their path."""

    def __init__(self) -> None:
        self.state = RowStoreState()
        self.faults = RowStoreFaults()
        self.changed = anyio.Event()
        self.calls: dict[str, int] = {}
        self.closed = False

    def close(self) -> None:
        """End the waiting long polls, so that the server can stop."""
        self.closed = True
        self.changed.set()

    def put(self, table: str, key: str, document: Any) -> int:
        """Write a row and wake long polls; a document of None removes the row."""
        value = None if document is None else json.dumps(document).encode()
        return self._announce_change(self.state.put(table, key, value))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; long polls that wait end with 410."""
        self.state.restore(copy)
        self._announce_change(copy.revision)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        call_name = scope["path"].rsplit("/", 1)[-1]
        self.calls[call_name] = self.calls.get(call_name, 0) + 1
        await anyio.sleep(self.faults.delay_ms / 1000)
        if self.faults.silent:
            await anyio.sleep_forever()
        if self.faults.refuse:
            await self._respond(send, 503, {})
            return
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        status, document = await self._dispatch(call_name, query, body)
        if call_name == "rows-tx" and status == 200 and self.faults.lose_answers:
            self.faults = self.faults._replace(lose_answers=self.faults.lose_answers - 1)
            return
        await self._respond(send, status, document)

    async def _respond(self, send: Any, status: int, document: dict[str, Any]) -> None:
        headers = [(ERA_HEADER, str(self.state.era).encode())]
        body = json.dumps(document).encode()
        await send_response(send, status, body, extra_headers=headers)

    async def _dispatch(
        self, call_name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if call_name == "rows-get":
            limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
            rows = self.state.read(query["table"], query.get("from", ""), limit + 1)
            has_more = len(rows) > limit
            return 200, {**self._page(rows[:limit]), "hasMore": has_more}
        if call_name == "rows-feed":
            return await self._poll_changes(query)
        if call_name == "rows-tx":
            return self._commit(json.loads(body))
        return 404, {}

    async def _poll_changes(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, wait_s = int(query["after"]), int(query["waitMs"]) / 1000
        with anyio.move_on_after(wait_s):
            while not self.closed and not self.state.changes_after(query["table"], after):
                if self.state.changes_after(query["table"], after) is None:
                    break
                await self.changed.wait()
        rows = self.state.changes_after(query["table"], after)
        if rows is None:
            return 410, {}
        return 200, self._page(rows)

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for condition in body["expectedRev"]:
            table, key = condition["table"], condition["key"]
            if self.state.revision_of(table, key) != condition["ver"]:
                row = self.state.rows.get((table, key))
                return 412, self._page([row] if row is not None else [])
        changes: list[tuple[str, str, bytes | None]] = [
            (item["table"], item["key"], base64.b64decode(item["value"])) for item in body["writes"]
        ]
        changes += [(item["table"], item["key"], None) for item in body["remove"]]
        return 200, {
            "ver": self._announce_change(self.state.commit(changes)),
            "nowS": anyio.current_time(),
        }

    def _announce_change(self, revision: int) -> int:
        self.changed.set()
        self.changed = anyio.Event()
        return revision

    def _page(self, rows: list[StoredRow]) -> dict[str, Any]:
        encoded = [_encode_row(row) for row in rows]
        return {"rows": encoded, "ver": self.state.revision, "nowS": anyio.current_time()}


def _encode_row(row: StoredRow) -> dict[str, Any]:
    encoded: dict[str, Any] = {"table": row.table, "part": "", "key": row.key, "ver": row.revision}
    if row.value is None:
        return {**encoded, "tombstone": True}
    return {**encoded, "value": base64.b64encode(row.value).decode()}
