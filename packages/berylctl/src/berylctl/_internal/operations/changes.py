"""Submits changes and waits for drains."""

import secrets
import time
from typing import Any

from berylbank._internal.models.changes import CHANGE_KINDS, Change
from berylbank._internal.utils.records import encode
from berylctl._internal.operations.client import Client

KIND_NAMES = {kind: name for name, kind in CHANGE_KINDS.items()}
DRAIN_POLL_INTERVAL_S = 0.2


def submit_change(
    client: Client, change: Change, operation_id: str | None, wait_ms: int
) -> dict[str, Any]:
    """Submit a change under the given or a new operation id and return its state."""
    document = {
        "operation_id": operation_id or secrets.token_hex(8),
        "kind": KIND_NAMES[type(change)],
        "change": encode(change),
    }
    state: dict[str, Any] = client.submit(document, wait_ms)
    return state


def wait_for_drain(client: Client, backend: str, timeout_s: float) -> dict[str, Any]:
    """Wait until no VM has a request in flight to the backend server, at most ``timeout_s``.

    Return the last progress of the drain; its ``done`` is False after a timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        view: dict[str, Any] = client.get(f"drains/{backend}")
        if view["done"] or time.monotonic() >= deadline_s:
            return view
        time.sleep(DRAIN_POLL_INTERVAL_S)
