"""Writes the changes that operators submit, and reports their state."""

from collections.abc import Mapping
from typing import Any

import anyio

from berylbank._internal.exceptions import BerylbankError, InvalidDocumentError
from berylbank._internal.models.changes import CHANGE_KINDS, Change, describe_change
from berylbank._internal.models.head import Head
from berylbank._internal.utils.records import RecordError, decode
from berylbankd._internal.changes.head_writer import (
    MaybeWritten,
    NotWritten,
    Outcome,
    Written,
)
from berylbankd._internal.changes.states import (
    ACCEPTED,
    IN_FORCE,
    NOT_DONE,
    UNKNOWN,
    WRITTEN,
    ChangeState,
)
from berylbankd._internal.coordination.ack_tracker import AckTracker
from berylbankd._internal.coordinator import Coordinator, make_change_edit

IN_FORCE_POLL_INTERVAL_S = 0.02
MAX_TRACKERS = 256


def parse_change(raw: Mapping[str, Any]) -> Change:
    """Return the change of a request's document.

    :raises InvalidDocumentError: naming the kind or the key at fault.
    """
    kind = raw.get("kind")
    if not isinstance(kind, str) or kind not in CHANGE_KINDS:
        raise InvalidDocumentError(f"unknown kind of change {kind!r}", hint="upgrade berylctl")
    try:
        change = decode(CHANGE_KINDS[kind], raw.get("change"))
    except RecordError as error:
        raise InvalidDocumentError(
            error.message, context=f"change, key {error.path}", hint="correct that key"
        ) from None
    return change


class ChangeService:
    """Writes changes and tracks whether each is accepted and in force.

    ``trackers`` holds those of the last ``MAX_TRACKERS`` changes, by operation id.
    """

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.trackers: dict[str, AckTracker] = {}

    async def submit(self, operation_id: str, change: Change, wait_ms: int) -> ChangeState:
        """Write a change, wait up to ``wait_ms`` for it to be in force, and return its state."""
        outcome = await self.coordinator.write(
            operation_id, describe_change(change), make_change_edit(change)
        )
        return await self._report_outcome(operation_id, outcome, wait_ms)

    async def find(self, operation_id: str, wait_ms: int) -> ChangeState:
        """Return the state of a change, by its operation id; read the head row if not tracked."""
        tracker = self.trackers.get(operation_id)
        if tracker is not None:
            return await self._wait_until_in_force(operation_id, tracker, wait_ms)
        try:
            stored = await self.coordinator.read_head()
        except BerylbankError as error:
            return ChangeState(operation_id, UNKNOWN, message=error.message, hint=error.hint)
        operation = stored.head.find_operation(operation_id) if stored.head else None
        if stored.head is None or operation is None:
            message = "the store holds no change with this id among the recent ones"
            return ChangeState(operation_id, NOT_DONE, message=message, hint="submit it again")
        written = Written(operation.number, stored.head, stored.configuration)
        return await self._report_outcome(operation_id, written, wait_ms)

    async def _report_outcome(
        self, operation_id: str, outcome: Outcome, wait_ms: int
    ) -> ChangeState:
        if isinstance(outcome, NotWritten):
            return ChangeState(operation_id, NOT_DONE, message=outcome.reason, hint=outcome.hint)
        if isinstance(outcome, MaybeWritten):
            return ChangeState(operation_id, UNKNOWN, message=outcome.reason, hint=outcome.hint)
        tracker = self._track_acks(operation_id, outcome.head)
        return await self._wait_until_in_force(operation_id, tracker, wait_ms)

    def _track_acks(self, operation_id: str, head: Head) -> AckTracker:
        tracker = self.coordinator.track_acks(head)
        self.trackers[operation_id] = tracker
        while len(self.trackers) > MAX_TRACKERS:
            del self.trackers[next(iter(self.trackers))]
        return tracker

    async def _wait_until_in_force(
        self, operation_id: str, tracker: AckTracker, wait_ms: int
    ) -> ChangeState:
        with anyio.move_on_after(wait_ms / 1000):
            while tracker.in_force_ms is None:
                await anyio.sleep(IN_FORCE_POLL_INTERVAL_S)
        return _make_change_state(operation_id, tracker)


def _make_change_state(operation_id: str, tracker: AckTracker) -> ChangeState:
    if tracker.in_force_ms is not None:
        return ChangeState(operation_id, IN_FORCE, tracker.head_number)
    state = WRITTEN if tracker.accepted_ms is None else ACCEPTED
    message = "waiting for VMs to acknowledge the change or for their leases to expire"
    return ChangeState(
        operation_id,
        state,
        tracker.head_number,
        tracker.waiting_for(),
        message,
        "run 'berylctl status --operation ID' with this id",
    )
