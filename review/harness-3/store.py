"""A stand-in for the platform's row store, as the users' protocol page describes it."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http_connection import HttpServerConnection, Message, start_server

MAX_PAGE_ROWS = 500
ROW_BYTES = 65_536
# How long an answer and a transaction take.
ANSWER_S = 0.004
TRANSACTION_S = 0.008


class Store:
    """Rows by table and key, and their history; ``writes`` are the changes that VMs made."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        """Serve the store's calls."""
        await start_server(host, port, self.answer)

    def put(self, table: str, key: str, document: Any) -> int:
        """Write a row as the operator or an instance does; None removes it."""
        value = None if document is None else json.dumps(document, separators=(",", ":")).encode()
        assert value is None or len(base64.b64encode(value)) <= ROW_BYTES, "the row is too large"
        return self.apply([(table, key, value)])

    def get(self, table: str, key: str) -> Any:
        """Return the document in a row, or None."""
        row = self.rows.get((table, key))
        return None if row is None else json.loads(row[0])

    def apply(self, changes: list[tuple[str, str, bytes | None]]) -> int:
        """Apply the changes of one transaction."""
        self.version += 1
        for table, key, value in changes:
            self.history.append((self.version, table, key, value))
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.version

    async def answer(self, request: Message, connection: HttpServerConnection) -> None:
        """Answer one call."""
        await asyncio.sleep(ANSWER_S)
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path.rsplit("/", 1)[-1]
        status, document = await self._dispatch(call, query, request.body)
        connection.respond(
            status,
            [("Content-Type", "application/json"), ("Store-Era", "1")],
            json.dumps(document).encode(),
        )

    async def _dispatch(
        self, call: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if call == "rows-get":
            return 200, self._read(query)
        if call == "rows-feed":
            return await self._feed(query)
        if call == "rows-tx":
            await asyncio.sleep(TRANSACTION_S)
            return self._commit(json.loads(body))
        return 404, {}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        start, end = query.get("from", ""), query.get("to")
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        found = sorted(
            (key, value, version)
            for (table, key), (value, version) in self.rows.items()
            if table == query["table"] and key >= start and (end is None or key < end)
        )
        rows = [encode_row(query["table"], *item) for item in found[:limit]]
        return {**self._stamp(), "rows": rows, "hasMore": len(found) > limit}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, after = query["table"], int(query["after"])
        if after > self.version:
            return 410, {}
        deadline_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changes = {
                key: (value, version)
                for version, name, key, value in self.history
                if name == table and version > after
            }
            remaining_s = deadline_s - time.monotonic()
            if changes or remaining_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), remaining_s)
        ordered = sorted(changes.items(), key=lambda item: item[1][1])
        rows = [encode_row(table, key, value, version) for key, (value, version) in ordered]
        return 200, {**self._stamp(), "rows": rows}

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = {(item["table"], item["key"]): item["ver"] for item in body["expectedRev"]}
        touched = [(item["table"], item["key"]) for item in [*body["writes"], *body["remove"]]]
        if any(table in ("op", "servers") for table, _ in touched):
            return 403, {}
        current = {name: self.rows.get(name, (b"", 0)) for name in expected}
        if any(current[name][1] != version for name, version in expected.items()):
            rows = [
                encode_row(table, key, *self.rows[table, key])
                for table, key in expected
                if (table, key) in self.rows
            ]
            return 412, {**self._stamp(), "rows": rows}
        changes: list[tuple[str, str, bytes | None]] = [
            (item["table"], item["key"], base64.b64decode(item["value"])) for item in body["writes"]
        ]
        changes += [(item["table"], item["key"], None) for item in body["remove"]]
        self.apply(changes)
        return 200, self._stamp()

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.version, "nowS": time.monotonic()}


def encode_row(table: str, key: str, value: bytes | None, version: int) -> dict[str, Any]:
    """Return a row as the store's answers hold it."""
    row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, "tombstone": True}
    return {**row, "value": base64.b64encode(value).decode()}
