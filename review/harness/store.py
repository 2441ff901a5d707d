"""A stand-in for the platform's metadata store: rows, conditional writes and long polls."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from harness import wire

READ_S = 0.004
WRITE_S = 0.008
PAGE_ROWS = 500


class StoredRow(NamedTuple):
    """A row as of a version; ``value`` None means that it was removed."""

    table: str
    key: str
    value: bytes | None
    ver: int


class Store:
    """The rows, and the addresses at which they are served.

    Calls at an address in ``silent`` get no answer, also those that wait already. ``feed_calls``
    has the time of the last long poll at each address.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.ver = 0
        self.changed = asyncio.Event()
        self.servers: dict[str, asyncio.Server] = {}
        self.writers: dict[str, set[asyncio.StreamWriter]] = {}
        self.calls: dict[str, int] = {}
        self.silent: set[str] = set()
        self.feed_calls: dict[str, float] = {}
        self.written: list[tuple[float, str, str, str]] = []

    async def listen(self, host: str, port: int) -> str:
        """Serve the rows at one more address, and return it."""
        address = f"{host}:{port}"

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers[address].add(writer)
            try:
                await self._serve(address, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                self.writers[address].discard(writer)
                writer.close()

        self.writers[address] = set()
        self.calls[address] = 0
        self.servers[address] = await asyncio.start_server(serve, host, port)
        return address

    def close(self, address: str) -> None:
        """Stop serving at an address; connections there are closed."""
        self.servers.pop(address).close()
        for writer in list(self.writers[address]):
            writer.close()

    def put(self, table: str, key: str, document: Any) -> float:
        """Write a row as the operator or an instance does; return the time of its answer."""
        value = None if document is None else json.dumps(document).encode()
        self._commit([(table, key, value)])
        return time.monotonic()

    def document(self, table: str, key: str) -> Any:
        """Return the document in a row, or None."""
        row = self.rows.get((table, key))
        return json.loads(row.value) if row is not None and row.value is not None else None

    def _commit(self, changes: list[tuple[str, str, bytes | None]]) -> None:
        self.ver += 1
        for table, key, value in changes:
            self.rows[table, key] = StoredRow(table, key, value, self.ver)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (message := await wire.read_message(reader)) is not None:
            self.calls[address] += 1
            method, target, _ = message.first_line.split(" ")
            if "rows-feed" in target:
                self.feed_calls[address] = time.monotonic()
            parts = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            status, document = await self._answer(method, parts.path, query, message.body)
            while address in self.silent:
                await asyncio.sleep(0.1)
            body = json.dumps(document).encode()
            first_line = f"HTTP/1.1 {status} Answer"
            writer.write(wire.encode(first_line, {"Content-Type": "application/json"}, body))
            await writer.drain()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if (method, path) == ("POST", "/v1/rows-tx"):
            await asyncio.sleep(WRITE_S)
            return self._write(json.loads(body))
        await asyncio.sleep(READ_S)
        if (method, path) == ("GET", "/v1/rows-get"):
            rows = [
                row
                for row in self.rows.values()
                if row.table == query["table"]
                and row.value is not None
                and row.key >= query.get("from", "")
            ]
            rows.sort(key=lambda row: row.key.encode())
            limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
            return 200, {**self._page(rows[:limit]), "hasMore": len(rows) > limit}
        if (method, path) == ("GET", "/v1/rows-feed"):
            return 200, self._page(await self._poll(query))
        return 404, {}

    async def _poll(self, query: dict[str, str]) -> list[StoredRow]:
        table, after = query["table"], int(query["after"])
        ends = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            found = [r for r in self.rows.values() if r.table == table and r.ver > after]
            left = ends - time.monotonic()
            if found or left <= 0:
                return sorted(found, key=lambda row: row.ver)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _write(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        names = [(item["table"], item["key"]) for item in body["expectedRev"]]
        current = [self.rows.get(name) for name in names]
        versions = [row.ver if row is not None and row.value is not None else 0 for row in current]
        if versions != [item["ver"] for item in body["expectedRev"]]:
            kept = [row for row in current if row is not None and row.value is not None]
            return 412, self._page(kept)
        changes: list[tuple[str, str, bytes | None]] = []
        for item in body["writes"]:
            value = base64.b64decode(item["value"])
            changes.append((item["table"], item["key"], value))
            self.written.append(
                (time.monotonic(), item["table"], item["key"], value.decode("latin-1"))
            )
        changes += [(item["table"], item["key"], None) for item in body.get("remove", [])]
        if any(table in ("op", "servers") for table, _, _ in changes):
            return 403, {}
        self._commit(changes)
        return 200, {"ver": self.ver, "nowS": time.monotonic()}

    def _page(self, rows: list[StoredRow]) -> dict[str, Any]:
        encoded = []
        for row in rows:
            item: dict[str, Any] = {"table": row.table, "part": "", "key": row.key, "ver": row.ver}
            if row.value is None:
                item["tombstone"] = True
            else:
                item["value"] = base64.b64encode(row.value).decode()
            encoded.append(item)
        return {"rows": encoded, "ver": self.ver, "nowS": time.monotonic()}
