"""Writes the head row by compare-and-set, and resolves writes whose outcome is unknown."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from berylbank._internal.exceptions import (
    ChangeRefusedError,
    ConflictError,
    InvalidDocumentError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from berylbank._internal.models.configuration import Configuration, dump_configuration
from berylbank._internal.models.head import Head, Operation, dump_head
from berylbank._internal.store.protocols import ObjectStore, TableService, VmList, Write

HEAD_KEY = "head"
MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.05


class PlatformClients(NamedTuple):
    """Clients of the platform's services."""

    table: TableService
    objects: ObjectStore
    vms: VmList


class StoredHead(NamedTuple):
    """The head row as read, with its configuration.

    ``version`` is that of the row; ``head`` is None and ``version`` 0 for a missing row.
    """

    version: int
    head: Head | None
    configuration: Configuration


class HeadUpdate(NamedTuple):
    """The head to write, and its configuration.

    The configuration is stored only if it is not the very object that was read.
    """

    head: Head
    configuration: Configuration


class Written(NamedTuple):
    """The change is in the table; ``number`` is that of the head which contained it first."""

    number: int
    head: Head
    configuration: Configuration


class NotWritten(NamedTuple):
    """The change is not in the table and will not be written."""

    reason: str
    hint: str


class MaybeWritten(NamedTuple):
    """The change may be in the table; a retry with the same operation id finds out."""

    reason: str
    hint: str


Outcome = Written | NotWritten | MaybeWritten
HeadEdit = Callable[[StoredHead], HeadUpdate]
CONFLICT_HINT = (
    "other operators changed the head meanwhile; check 'berylctl history' and run the command again"
)
RETRY_SAME_ID_HINT = "run the same command again with --operation-id and this id"


class HeadWriter:
    """Writes changes of the head row.

    ``read_head`` makes a strongly consistent read of the row and its configuration. ``sleep``
    waits between attempts.
    """

    def __init__(
        self,
        platform: PlatformClients,
        read_head: Callable[[], Awaitable[StoredHead]],
        randomness: random.Random,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.sleep = sleep
        self.platform = platform
        self.read_head = read_head
        self.randomness = randomness

    async def write(self, operation_id: str, summary: str, edit: HeadEdit) -> Outcome:
        """Apply ``edit`` to the newest head and write the result under ``operation_id``.

        After a write without a reply, the next attempt reads the row again and looks for the
        operation id. If the row is unchanged, the attempt expects the same row version as the
        write in doubt, so at most one of them succeeds. If it has changed, the write in doubt
        either has succeeded, and its id is found, or can't succeed any more. A change is therefore
        never applied twice.
        """
        in_doubt = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self.sleep(RETRY_DELAY_S * 2**attempt * (0.5 + self.randomness.random()))
            try:
                stored = await self.read_head()
                written = _find_written(stored, operation_id)
                if written is not None:
                    return written
                return await self._try_write(stored, operation_id, summary, edit)
            except ConflictError:
                in_doubt = False
            except OutcomeUnknownError:
                in_doubt = True
            except (ChangeRefusedError, InvalidDocumentError) as error:
                return _reject_edit(error, in_doubt)
            except PlatformUnavailableError as error:
                if not in_doubt:
                    return NotWritten(error.message, error.hint)
        if in_doubt:
            return MaybeWritten("the store did not confirm the write", RETRY_SAME_ID_HINT)
        return NotWritten("each attempt conflicted with another write of the head", CONFLICT_HINT)

    async def _try_write(
        self, stored: StoredHead, operation_id: str, summary: str, edit: HeadEdit
    ) -> Written:
        """Store the configuration, if it is new, and write the head row on the version read."""
        update = edit(stored)
        head = update.head.with_operation(Operation(operation_id, update.head.number, summary))
        if update.configuration is not stored.configuration:
            object_name = f"configuration-{head.number}-{operation_id}"
            await self.platform.objects.put(object_name, dump_configuration(update.configuration))
            head = head._replace(configuration_id=object_name)
        await self.platform.table.commit((Write(HEAD_KEY, dump_head(head), stored.version),))
        return Written(head.number, head, update.configuration)


def _find_written(stored: StoredHead, operation_id: str) -> Written | None:
    if stored.head is None:
        return None
    operation = stored.head.find_operation(operation_id)
    if operation is None:
        return None
    return Written(operation.number, stored.head, stored.configuration)


def _reject_edit(error: ChangeRefusedError | InvalidDocumentError, in_doubt: bool) -> Outcome:
    """Report a refused edit; the outcome is unknown if an earlier attempt may have succeeded."""
    if in_doubt:
        return MaybeWritten(error.message, RETRY_SAME_ID_HINT)
    return NotWritten(error.message, error.hint)
