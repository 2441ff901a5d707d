"""HTTP client for the row calls of the platform's store."""

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
# Responses normally take milliseconds; a slow store takes up to about a second.
RESPONSE_TIMEOUT_S = 1.5
# Added to the wait time of a long poll, for a slow response at its end.
LONG_POLL_MARGIN_S = 0.4
MAX_PAGE_ROWS = 500
MAX_STORE_TIME_MS = 2**53
DECODE_ERRORS = (KeyError, TypeError, ValueError, OverflowError, RecursionError)
UNREADABLE_VALUE = b""


class HttpRowStore:
    """Client for the platform's store; see :class:`RowStore`."""

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self.client = client
        self.base_url = f"http://{address}"

    async def read_table(self, table: str) -> TableSnapshot:
        """Read all rows of a table page by page.

        The platform divides tables into named parts; only the one with the empty name is used.
        """
        rows: list[Row] = []
        revision: int | None = None
        start = ""
        while True:
            params = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
            if start:
                params["from"] = start
            body = await self._get("/v1/rows-get", params, RESPONSE_TIMEOUT_S)
            page, page_revision, has_more, time_ms = _decode_body(_decode_page, body, table)
            rows.extend(page)
            # Pages are read at increasing revisions, and a row of an earlier page may have been
            # removed meanwhile, so the table as a whole is only current at the lowest revision.
            revision = page_revision if revision is None else min(revision, page_revision)
            if not has_more or not page:
                return TableSnapshot(table, tuple(rows), revision, time_ms)
            start = page[-1].key.key + "\0"

    async def wait_for_changes(self, table: str, after_revision: int, wait_ms: int) -> FeedBatch:
        """Wait with a long poll for rows that changed after a revision."""
        params = {"table": table, "after": str(after_revision), "waitMs": str(wait_ms)}
        body = await self._get("/v1/rows-feed", params, wait_ms / 1000 + LONG_POLL_MARGIN_S)
        page, revision, _, time_ms = _decode_body(_decode_page, body, table)
        return FeedBatch(tuple(page), revision, time_ms)

    async def write(self, key: RowKey, value: bytes, expected_revision: int) -> int:
        """Write one row on the condition that its revision is ``expected_revision``."""
        row_name = {"table": key.table, "part": "", "key": key.key}
        body = {
            "expectedRev": [{**row_name, "ver": expected_revision}],
            "writes": [{**row_name, "value": base64.b64encode(value).decode()}],
            "remove": [],
        }
        response = await self._send("POST", "/v1/rows-tx", {}, body, RESPONSE_TIMEOUT_S)
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            page, *_ = _decode_body(_decode_page, response.content, key.table)
            current = [row for row in page if row.key == key and row.value is not None]
            raise ConditionFailedError(current[0] if current else None)
        if response.status_code != httpx.codes.OK:
            raise StoreError(f"HTTP status {response.status_code}")
        revision: int = _decode_body(lambda raw, _: int(raw["ver"]), response.content, key.table)
        return revision

    async def _get(self, path: str, params: dict[str, str], timeout_s: float) -> bytes:
        response = await self._send("GET", path, params, None, timeout_s)
        if response.status_code == httpx.codes.GONE:
            raise HistoryLostError("history compacted")
        if response.status_code != httpx.codes.OK:
            raise StoreError(f"HTTP status {response.status_code}")
        return response.content

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


def _decode_body(decode: Any, content: bytes, table: str) -> Any:
    try:
        return decode(json.loads(content), table)
    except DECODE_ERRORS as error:
        raise StoreError(f"response cannot be decoded: {error}") from None


def _decode_page(raw: dict[str, Any], table: str) -> tuple[list[Row], int, bool, int]:
    rows = [_decode_row(item, table) for item in raw.get("rows", ())]
    time_ms = min(MAX_STORE_TIME_MS, max(0, int(float(raw.get("nowS", 0)) * 1000)))
    return rows, int(raw.get("ver", 0)), bool(raw.get("hasMore", False)), time_ms


def _decode_row(raw: dict[str, Any], table: str) -> Row:
    key = RowKey(raw.get("table", table), raw["key"])
    removed = raw.get("tombstone", False) or raw.get("value") is None
    return Row(key, None if removed else _decode_value(raw["value"]), int(raw["ver"]))


def _decode_value(encoded: Any) -> bytes:
    """Return a row's value; one that cannot be decoded must not spoil the other rows of a page."""
    try:
        return base64.b64decode(encoded, validate=True)
    except (TypeError, binascii.Error, ValueError):
        return UNREADABLE_VALUE
