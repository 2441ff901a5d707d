"""Where VMs can be found when all seeds are gone: a row in the store for each VM that reads it."""

import random
from collections.abc import Callable

import anyio
from loguru import logger

from berylbankd._internal.facts.rows import (
    ConditionFailedError,
    RowKey,
    RowStore,
    StoreError,
)
from berylbankd._internal.steering.membership import Membership

# How often a VM looks whether it has become a reader.
CHECK_S = 0.5
# Checks in a row that find a VM reading before it counts as a reader.
SETTLED_CHECKS = 4
# A VM that hears nobody in this time looks for others in the store.
ALONE_S = 1.5
RETRY_S = 1.0


class VmRegistry:
    """Writes this VM's row once it reads the store, and reads the others' rows while it is alone.

    There are always VMs that read the store, so that a row of each VM would only cost calls.
    """

    def __init__(
        self, store: RowStore, members: Membership, table: str, is_reader: Callable[[], bool]
    ) -> None:
        self.store = store
        self.members = members
        self.table = table
        self.is_reader = is_reader

    async def run(self) -> None:
        """Register, and look for others until one is heard."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._register_when_reader)
            while True:
                await anyio.sleep(ALONE_S)
                if not self.members.peers:
                    await self._find_others()

    async def _register_when_reader(self) -> None:
        # A VM that has just started reads only for a moment, until it hears those that do.
        readings = 0
        while readings < SETTLED_CHECKS:
            await anyio.sleep(CHECK_S)
            readings = readings + 1 if self.is_reader() else 0
        await self._register()

    async def _register(self) -> None:
        place = self.members.place
        key, value = RowKey(self.table, place.vm), place.host.encode()
        expected = 0
        while True:
            try:
                await self.store.write(key, value, expected)
                return
            except ConditionFailedError as error:
                # The row of an earlier start; the host may be another one now.
                if error.revision == expected:
                    return
                expected = error.revision
            except StoreError as error:
                logger.info("row of this VM not written: {}", error.reason)
                await anyio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def _find_others(self) -> None:
        try:
            read = await self.store.read_table(self.table)
        except StoreError as error:
            logger.info("other VMs not read: {}", error.reason)
            return
        hosts = {row.value.decode() for row in read.rows if row.value is not None}
        self.members.hosts.update(hosts - {self.members.host})
