"""The platform's store over HTTP: the one client of its row calls."""

import base64
import binascii
import json
from typing import Any

import httpx

from berylbankd._internal.models.rows import (
    ConditionFailedError,
    FeedBatch,
    HistoryLostError,
    Row,
    RowKey,
    StoreError,
    TableSnapshot,
)

# A new connection either opens within a few round trips between regions or is refused.
CONNECT_TIMEOUT_S = 0.6
# Answers normally take milliseconds; a slow store takes up to about a second.
ANSWER_TIMEOUT_S = 1.5
# The store holds a feed call open for its wait; the answer may be slow on top of that.
FEED_MARGIN_S = 0.4
MAX_PAGE_ROWS = 500
UNREADABLE = (KeyError, TypeError, ValueError, binascii.Error)


class HttpRowStore:
    """Row calls of the platform's store; see :class:`RowStore`."""

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self.client = client
        self.base_url = f"http://{address}"

    async def read_table(self, table: str) -> TableSnapshot:
        """Read all rows of the empty part of a table; pages after the first start at a key."""
        rows: list[Row] = []
        revision: int | None = None
        start = ""
        while True:
            params = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
            if start:
                params["from"] = start
            body = await self._get("/v1/rows-get", params, ANSWER_TIMEOUT_S)
            page, page_revision, more = _decode(_decode_page, body, table)
            rows.extend(page)
            # Later pages are newer; a row may have gone between, so the oldest counts.
            revision = page_revision if revision is None else min(revision, page_revision)
            if not more or not page:
                return TableSnapshot(table, tuple(rows), revision)
            start = page[-1].key.key + "\0"

    async def wait_for_changes(self, table: str, after: int, wait_ms: int) -> FeedBatch:
        """Wait for changed rows."""
        params = {"table": table, "after": str(after), "waitMs": str(wait_ms)}
        body = await self._get("/v1/rows-feed", params, wait_ms / 1000 + FEED_MARGIN_S)
        page, revision, _ = _decode(_decode_page, body, table)
        return FeedBatch(tuple(page), revision)

    async def write(self, key: RowKey, value: bytes, expected: int) -> int:
        """Write one row under the condition that it has revision ``expected``."""
        name = {"table": key.table, "part": "", "key": key.key}
        body = {
            "expectedRev": [{**name, "ver": expected}],
            "writes": [{**name, "value": base64.b64encode(value).decode()}],
            "remove": [],
        }
        answer = await self._send("POST", "/v1/rows-tx", {}, body, ANSWER_TIMEOUT_S)
        if answer.status_code == httpx.codes.PRECONDITION_FAILED:
            page, _, _ = _decode(_decode_page, answer.content, key.table)
            found = [row for row in page if row.key == key and row.value is not None]
            raise ConditionFailedError(found[0] if found else None)
        if answer.status_code != httpx.codes.OK:
            raise StoreError(f"status {answer.status_code}")
        revision: int = _decode(lambda raw, _: int(raw["ver"]), answer.content, key.table)
        return revision

    async def _get(self, path: str, params: dict[str, str], timeout_s: float) -> bytes:
        answer = await self._send("GET", path, params, None, timeout_s)
        if answer.status_code == httpx.codes.GONE:
            raise HistoryLostError("history lost")
        if answer.status_code != httpx.codes.OK:
            raise StoreError(f"status {answer.status_code}")
        return answer.content

    async def _send(
        self, method: str, path: str, params: dict[str, str], body: Any, timeout_s: float
    ) -> httpx.Response:
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            return await self.client.request(
                method, self.base_url + path, params=params, json=body, timeout=timeout
            )
        except httpx.HTTPError as error:
            raise StoreError(type(error).__name__) from None


def _decode(decode: Any, content: bytes, table: str) -> Any:
    try:
        return decode(json.loads(content), table)
    except UNREADABLE as error:
        raise StoreError(f"unreadable answer: {error}") from None


def _decode_page(raw: dict[str, Any], table: str) -> tuple[list[Row], int, bool]:
    rows = [_decode_row(item, table) for item in raw.get("rows", ())]
    return rows, int(raw.get("ver", 0)), bool(raw.get("hasMore", False))


def _decode_row(raw: dict[str, Any], table: str) -> Row:
    key = RowKey(raw.get("table", table), raw["key"])
    gone = raw.get("tombstone", False) or raw.get("value") is None
    value = None if gone else base64.b64decode(raw["value"])
    return Row(key, value, int(raw["ver"]))
