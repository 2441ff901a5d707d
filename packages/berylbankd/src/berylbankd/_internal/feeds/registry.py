"""Where VMs can be found: a row each in the store, for VMs whose seeds are all gone."""

import random

import anyio
from loguru import logger

from berylbankd._internal.facts.rows import (
    ConditionFailedError,
    RowKey,
    RowStore,
    StoreError,
)
from berylbankd._internal.steering.membership import Membership

# Rows are written at different moments when all VMs start together.
SPREAD_S = 2.0
# A VM that hears nobody in this time looks for others in the store.
ALONE_S = 1.5
RETRY_S = 1.0


class VmRegistry:
    """Writes this VM's row once, and reads those of the others while it is alone."""

    def __init__(self, store: RowStore, members: Membership, table: str) -> None:
        self.store = store
        self.members = members
        self.table = table

    async def run(self) -> None:
        """Register, and look for others until one is heard."""
        await anyio.sleep(random.uniform(0, SPREAD_S))
        await self._register()
        while True:
            await anyio.sleep(ALONE_S)
            if not self.members.peers:
                await self._find_others()

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
