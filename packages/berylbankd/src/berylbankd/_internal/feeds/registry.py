"""How VMs find each other: by rows in the store, as settings may name no other VM.

When a whole fleet starts for the first time, one row is created by the VM that comes first; the
others find it there in place of their own. Later each VM that reads the store has a row, and a VM
that starts reads them all.
"""

import random
from collections.abc import Callable, Iterable

import anyio
from loguru import logger

from berylbankd._internal.models.rows import (
    ConditionFailedError,
    Row,
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
# The row of the VM that came first.
MEETING_KEY = "meeting"


class VmRegistry:
    """Finds other VMs at the start and while this one is alone, and registers it as a reader."""

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
            if self.members.deployment.first_start:
                await self._meet()
            else:
                await self._find_others()
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
        place = self.members.deployment
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

    async def _meet(self) -> None:
        """Become the VM that others find first, or learn which one it is."""
        key = RowKey(self.table, MEETING_KEY)
        try:
            await self.store.write(key, self.members.host.encode(), 0)
            logger.info("first VM of the fleet: others find this one")
        except ConditionFailedError as error:
            self._note_hosts([error.row] if error.row is not None else [])
        except StoreError as error:
            logger.info("first VM of the fleet not learned: {}", error.reason)

    async def _find_others(self) -> None:
        try:
            read = await self.store.read_table(self.table)
        except StoreError as error:
            logger.info("other VMs not read: {}", error.reason)
            return
        self._note_hosts(read.rows)

    def _note_hosts(self, rows: Iterable[Row]) -> None:
        hosts = {row.value.decode() for row in rows if row.value is not None}
        self.members.hosts.update(hosts - {self.members.host})
