"""A stand-in for the platform's store: rows in tables, conditional writes and long polls."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from standins.http import encode_response, read_message


class Store:
    """The rows by table and key; ``history`` holds every change in order.

    While ``busy`` is set every call gets 503, and nothing is done.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 0
        self.changed = asyncio.Event()
        self.address = ""
        self.busy = False

    async def start(self, host: str) -> None:
        """Listen on a free port of a loopback address."""
        server = await asyncio.start_server(self._serve, host, 0, limit=1 << 20)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row as the operator or an instance; None removes it."""
        value = None if document is None else base64.b64encode(json.dumps(document).encode())
        self._commit([(table, key, value.decode() if value is not None else None)])

    def document(self, table: str, key: str) -> Any:
        """Return the decoded value of a row, or None if the row does not exist."""
        row = self.rows.get((table, key))
        return json.loads(base64.b64decode(row["value"])) if row is not None else None

    def _commit(self, changes: list[tuple[str, str, str | None]]) -> None:
        self.revision += 1
        for table, key, value in changes:
            row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": self.revision}
            self.rows.pop((table, key), None)
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = value
                self.rows[table, key] = row
            self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            url = urlsplit(message.start[1])
            query = dict(parse_qsl(url.query, keep_blank_values=True))
            status, document = await self._answer(url.path, query, message.body)
            headers = {"Content-Type": "application/json"}
            try:
                writer.write(encode_response(status, headers, json.dumps(document).encode()))
                await writer.drain()
            except ConnectionError:
                break
        writer.close()

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if self.busy:
            return 503, {}
        if path == "/v1/rows-get":
            rows = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == query["table"] and key >= query.get("from", "")
            ]
            limit = min(500, int(query.get("limit", "500")))
            return 200, {**self._page(rows[:limit]), "hasMore": len(rows) > limit}
        if path == "/v1/rows-feed":
            return 200, self._page(await self._wait_for_changes(query))
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    async def _wait_for_changes(self, query: dict[str, str]) -> list[dict[str, Any]]:
        end_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"] and row["ver"] > int(query["after"])
            ]
            remaining_s = end_s - time.monotonic()
            if rows or remaining_s <= 0:
                return rows
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), remaining_s)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = body.get("expectedRev", [])
        current = [self.rows.get((item["table"], item["key"])) for item in conditions]
        for item, row in zip(conditions, current, strict=True):
            if item["ver"] != (row["ver"] if row is not None else 0):
                return 412, self._page([row for row in current if row is not None])
        changes = [(item["table"], item["key"], item["value"]) for item in body.get("writes", [])]
        changes += [(item["table"], item["key"], None) for item in body.get("remove", [])]
        self._commit(changes)
        return 200, {"ver": self.revision, "nowS": time.monotonic()}

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        return {"rows": rows, "ver": self.revision, "nowS": time.monotonic()}
