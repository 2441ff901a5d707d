"""HTTP client for the row calls of the platform's store."""

import base64
import binascii
import json
from typing import Any

import httpx

from berylbankd._internal.models.revisions import MAX_ERA, era_of, make_revision, number_of
from berylbankd._internal.models.rows import (
    ConditionFailedError,
    FeedBatch,
    HistoryLostError,
    Row,
    RowKey,
    StoreError,
    TableSnapshot,
)
from berylbankd._internal.platform import names

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
    """Client for the platform's store; see :class:`RowStore`.

    ``era`` is the newest one that an answer named, 0 if none did. What an older era answers is a
    :class:`StoreError`.
    """

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self.client = client
        self.era = 0
        self.move(address)

    def move(self, address: str) -> None:
        """Make further calls to another address."""
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
            response = await self._get("/v1/rows-get", params, RESPONSE_TIMEOUT_S)
            page, page_revision, has_more, time_ms = self._decode(response, table)
            if revision is not None and era_of(page_revision) != era_of(revision):
                raise StoreError("pages of two eras")
            rows.extend(page)
            # Pages are read at increasing revisions, and a row of an earlier page may have been
            # removed meanwhile, so the table as a whole is only current at the lowest revision.
            revision = page_revision if revision is None else min(revision, page_revision)
            if not has_more or not page:
                return TableSnapshot(table, tuple(rows), revision, time_ms)
            start = page[-1].key.key + "\0"

    async def wait_for_changes(self, table: str, after_revision: int, wait_ms: int) -> FeedBatch:
        """Wait with a long poll for rows that changed after a revision."""
        after = str(number_of(after_revision))
        params = {"table": table, "after": after, "waitMs": str(wait_ms)}
        response = await self._get("/v1/rows-feed", params, wait_ms / 1000 + LONG_POLL_MARGIN_S)
        if self.era < era_of(after_revision):
            raise StoreError(f"the store is still in era {self.era}")
        if self.era > era_of(after_revision):
            # The number belongs to an older era, in which it meant something else.
            raise HistoryLostError(f"the store is now in era {self.era}")
        page, revision, _, time_ms = self._decode(response, table)
        return FeedBatch(tuple(page), revision, time_ms)

    async def write(self, key: RowKey, value: bytes, expected_revision: int) -> int:
        """Write one row on the condition that its revision is ``expected_revision``."""
        if expected_revision and era_of(expected_revision) < self.era:
            raise ConditionFailedError(None)
        row_name = {"table": key.table, "part": "", "key": key.key}
        body = {
            "expectedRev": [{**row_name, "ver": number_of(expected_revision)}],
            "writes": [{**row_name, "value": base64.b64encode(value).decode()}],
            "remove": [],
        }
        response = await self._send("POST", "/v1/rows-tx", {}, body, RESPONSE_TIMEOUT_S)
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            page, *_ = self._decode(response, key.table)
            current = [row for row in page if row.key == key and row.value is not None]
            raise ConditionFailedError(current[0] if current else None)
        if response.status_code != httpx.codes.OK:
            raise StoreError(f"HTTP status {response.status_code}")
        number = _decode_body(lambda raw, *_: int(raw["ver"]), response.content, key.table, 0)
        revision = make_revision(self.era, number)
        if expected_revision and era_of(expected_revision) != self.era:
            # The condition held by chance: the number was given out again.
            raise ConditionFailedError(Row(key, value, revision))
        return revision

    async def _get(self, path: str, params: dict[str, str], timeout_s: float) -> httpx.Response:
        response = await self._send("GET", path, params, None, timeout_s)
        if response.status_code == httpx.codes.GONE:
            raise HistoryLostError("history compacted")
        if response.status_code != httpx.codes.OK:
            raise StoreError(f"HTTP status {response.status_code}")
        return response

    async def _send(
        self, method: str, path: str, params: dict[str, str], body: Any, timeout_s: float
    ) -> httpx.Response:
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            response = await self.client.request(
                method, self.base_url + path, params=params, json=body, timeout=timeout
            )
        except httpx.HTTPError as error:
            raise StoreError(type(error).__name__) from None
        self._record_era(response.headers.get(names.ERA_HEADER))
        return response

    def _record_era(self, header: str | None) -> None:
        """Record the era that an answer names.

        :raises StoreError: if that is an older one, so that the answer comes late, or no number.
        """
        if header is None:
            return
        if not header.isascii() or not header.isdigit() or len(header) > len(str(MAX_ERA)):
            raise StoreError("the era in the response is no number")
        if int(header) < self.era:
            raise StoreError(f"response of era {header} after one of era {self.era}")
        self.era = min(int(header), MAX_ERA)

    def _decode(self, response: httpx.Response, table: str) -> tuple[list[Row], int, bool, int]:
        page: tuple[list[Row], int, bool, int]
        page = _decode_body(_decode_page, response.content, table, self.era)
        return page


def _decode_body(decode: Any, content: bytes, table: str, era: int) -> Any:
    try:
        return decode(json.loads(content), table, era)
    except DECODE_ERRORS as error:
        raise StoreError(f"response cannot be decoded: {error}") from None


def _decode_page(raw: dict[str, Any], table: str, era: int) -> tuple[list[Row], int, bool, int]:
    rows = [_decode_row(item, table, era) for item in raw.get("rows", ())]
    time_ms = min(MAX_STORE_TIME_MS, max(0, int(float(raw.get("nowS", 0)) * 1000)))
    revision = make_revision(era, int(raw.get("ver", 0)))
    return rows, revision, bool(raw.get("hasMore", False)), time_ms


def _decode_row(raw: dict[str, Any], table: str, era: int) -> Row:
    key = RowKey(raw.get("table", table), raw["key"])
    removed = raw.get("tombstone", False) or raw.get("value") is None
    revision = make_revision(era, int(raw["ver"]))
    return Row(key, None if removed else _decode_value(raw["value"]), revision)


def _decode_value(encoded: Any) -> bytes:
    """Return a row's value; one that cannot be decoded must not spoil the other rows of a page."""
    try:
        return base64.b64decode(encoded, validate=True)
    except (TypeError, binascii.Error, ValueError):
        return UNREADABLE_VALUE
