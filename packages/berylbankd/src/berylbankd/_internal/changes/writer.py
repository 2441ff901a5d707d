"""Writes heads by compare-and-set, and finds out what became of a write whose answer was lost."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from berylbank._internal.exceptions import (
    ChangeRefusedError,
    ConflictError,
    InvalidDocumentError,
    OutcomeUnknownError,
    TableUnavailableError,
)
from berylbank._internal.models.configuration import Configuration, dump_configuration
from berylbank._internal.models.head import Head, Operation, dump_head
from berylbank._internal.store.protocols import ObjectStore, TableService, VmList, Write

HEAD_KEY = "head"
ATTEMPTS = 6
PAUSE_S = 0.05


class Platform(NamedTuple):
    """The platform's services as this VM reaches them."""

    table: TableService
    objects: ObjectStore
    vms: VmList


class StoredHead(NamedTuple):
    """The head row as read, with its content; ``head`` is None for a missing row."""

    version: int
    head: Head | None
    configuration: Configuration


class NewContent(NamedTuple):
    """What to write: a head, and the configuration it names if that changes."""

    head: Head
    configuration: Configuration


class Written(NamedTuple):
    """The change is in the table; ``number`` is the head that it made."""

    number: int
    head: Head
    configuration: Configuration


class NotDone(NamedTuple):
    """The change is not in the table and will not get there."""

    reason: str
    hint: str


class Unknown(NamedTuple):
    """The change may be in the table; the same operation id finds out."""

    reason: str
    hint: str


Outcome = Written | NotDone | Unknown
Edit = Callable[[StoredHead], NewContent]
RACE_HINT = "other operators changed the head meanwhile; look at 'berylctl history' and try again"
ASK_AGAIN_HINT = "run the same command again with --operation-id and this id"


class HeadWriter:
    """Writes changes of the head row. ``read_head`` makes a strong read of row and content."""

    def __init__(
        self,
        platform: Platform,
        read_head: Callable[[], Awaitable[StoredHead]],
        randomness: random.Random,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.sleep = sleep
        self.platform = platform
        self.read_head = read_head
        self.randomness = randomness

    async def write(self, operation_id: str, summary: str, edit: Edit) -> Outcome:
        """Apply ``edit`` to the newest head and write the result under ``operation_id``.

        A write whose answer was lost is never followed by another version of itself: the next
        attempt carries the same expected row version, or begins after the row has moved on.
        """
        in_doubt = False
        for attempt in range(ATTEMPTS):
            if attempt:
                await self.sleep(PAUSE_S * 2**attempt * (0.5 + self.randomness.random()))
            try:
                stored = await self.read_head()
                found = _find(stored, operation_id)
                if found is not None:
                    return found
                return await self._try_write(stored, operation_id, summary, edit)
            except ConflictError:
                in_doubt = False
            except OutcomeUnknownError:
                in_doubt = True
            except (ChangeRefusedError, InvalidDocumentError) as error:
                return _refuse(error, in_doubt)
            except TableUnavailableError as error:
                if not in_doubt:
                    return NotDone(error.message, error.hint)
        if in_doubt:
            return Unknown("the store did not confirm the write", ASK_AGAIN_HINT)
        return NotDone("lost against other writers", RACE_HINT)

    async def _try_write(
        self, stored: StoredHead, operation_id: str, summary: str, edit: Edit
    ) -> Written:
        content = edit(stored)
        head = content.head.with_operation(Operation(operation_id, content.head.number, summary))
        if content.configuration is not stored.configuration:
            name = f"configuration-{head.number}-{operation_id}"
            await self.platform.objects.put(name, dump_configuration(content.configuration))
            head = head._replace(configuration_id=name)
        await self.platform.table.commit((Write(HEAD_KEY, dump_head(head), stored.version),))
        return Written(head.number, head, content.configuration)


def _find(stored: StoredHead, operation_id: str) -> Written | None:
    if stored.head is None:
        return None
    operation = stored.head.find_operation(operation_id)
    if operation is None:
        return None
    return Written(operation.number, stored.head, stored.configuration)


def _refuse(error: ChangeRefusedError | InvalidDocumentError, in_doubt: bool) -> Outcome:
    """Say that an edit does not fit; while an earlier write is in doubt, only that is known."""
    if in_doubt:
        return Unknown(error.message, ASK_AGAIN_HINT)
    return NotDone(error.message, error.hint)
