"""Discovery of other VMs through rows in the store, as the settings may name no other VM.

When a whole fleet starts for the first time, the first VM creates one row under a common key. The
conditional write of each other VM fails and returns that row. Later each reader (a VM that reads
the store directly) has a row of its own, and a VM that starts reads all of them. The rows also hold
the number of VMs, for a VM that starts while it is cut off from the others.
"""

import ipaddress
import random
from collections.abc import Callable, Iterable

import anyio
from loguru import logger

from berylbankd._internal.models.revisions import era_of
from berylbankd._internal.models.rows import (
    ConditionFailedError,
    Row,
    RowKey,
    RowStore,
    StoreError,
)
from berylbankd._internal.steering.membership import Membership

# How often a VM checks whether it has become a reader.
READER_CHECK_INTERVAL_S = 0.5
# Consecutive checks that must find the VM to be a reader before it registers as one.
CONSECUTIVE_READER_CHECKS = 4
# How often a VM checks whether it has received digests; if not, it reads the VMs in the store.
PEER_CHECK_INTERVAL_S = 1.5
REGISTER_RETRY_DELAY_S = 1.0
# A reader records the number of VMs again when it has changed by this ratio.
SIZE_CHANGE_RATIO = 0.1
# Consecutive reads of the store that must name no other VM before this VM takes itself for the only
# one; VMs that cannot reach each other have registered as readers by then.
READS_TO_BE_ALONE = 3
# Key of the row that the first VM of a new fleet creates.
FIRST_VM_KEY = "meeting"


class VmRegistry:
    """Finds other VMs at the start and while none is known, and registers this VM as a reader.

    ``table`` holds one row for each registered VM, whose value is the VM's host and the number of
    VMs at that time, if it was known.
    """

    def __init__(
        self, store: RowStore, membership: Membership, table: str, is_reader: Callable[[], bool]
    ) -> None:
        self.store = store
        self.membership = membership
        self.table = table
        self.is_reader = is_reader
        self.reads_without_others = 0
        self.own_revision = 0
        self.written_size: int | None = None

    async def run(self) -> None:
        """Register this VM, and read the VMs in the store while no digest has arrived."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._register_while_reader)
            if self.membership.deployment.first_start:
                await self._claim_first_vm_row()
            else:
                await self._discover_vms()
            while True:
                await anyio.sleep(PEER_CHECK_INTERVAL_S)
                if not self.membership.known:
                    await self._discover_vms()

    async def _register_while_reader(self) -> None:
        # A VM that has just started may be a reader briefly, until it receives the digests of
        # the other readers.
        positive_checks = 0
        while True:
            await anyio.sleep(READER_CHECK_INTERVAL_S)
            positive_checks = positive_checks + 1 if self.is_reader() else 0
            size = self.membership.estimate_size()
            if positive_checks >= CONSECUTIVE_READER_CHECKS and self._must_write(size):
                await self._register(size)

    def _must_write(self, size: int) -> bool:
        # A store that came back from a copy may not have this VM's row.
        if self.written_size is None or era_of(self.own_revision) < self.store.era:
            return True
        return abs(size - self.written_size) > SIZE_CHANGE_RATIO * self.written_size

    async def _register(self, size: int) -> None:
        """Write this VM's host and the number of VMs to its row, retrying until it is there."""
        deployment = self.membership.deployment
        key = RowKey(self.table, deployment.vm)
        value = (f"{deployment.host} {size}" if size else deployment.host).encode()
        while True:
            try:
                self.own_revision = await self.store.write(key, value, self.own_revision)
                self.written_size = size
                return
            except ConditionFailedError as error:
                # The row was written by an earlier start of this VM, maybe with another host.
                if error.revision == self.own_revision:
                    self.written_size = size
                    return
                self.own_revision = error.revision
            except StoreError as error:
                logger.info(
                    "row of this VM could not be written to the store, retrying: {}", error.reason
                )
                await anyio.sleep(REGISTER_RETRY_DELAY_S * random.uniform(0.5, 1.5))

    async def _claim_first_vm_row(self) -> None:
        """Create the row of the fleet's first VM, or learn the first VM's host from it."""
        key = RowKey(self.table, FIRST_VM_KEY)
        try:
            await self.store.write(key, self.membership.host.encode(), 0)
            logger.info("this VM is the first of the fleet; other VMs find its host in the store")
        except ConditionFailedError as error:
            self._add_hosts([error.row] if error.row is not None else [])
        except StoreError as error:
            logger.info(
                "row of the first VM of the fleet could not be written or read; "
                "waiting for digests: {}",
                error.reason,
            )

    async def _discover_vms(self) -> None:
        """Add the hosts of all registered VMs to the membership."""
        try:
            snapshot = await self.store.read_table(self.table)
        except StoreError as error:
            logger.info(
                "hosts of other VMs could not be read from the store; "
                "retrying if no digest arrives: {}",
                error.reason,
            )
            return
        names_others = self._add_hosts(snapshot.rows)
        self.reads_without_others = 0 if names_others else self.reads_without_others + 1
        self.membership.is_alone = self.reads_without_others >= READS_TO_BE_ALONE

    def _add_hosts(self, rows: Iterable[Row]) -> bool:
        """Add the hosts in rows to the membership; return whether there are any but this VM's."""
        names_others = False
        for row in sorted(rows, key=lambda row: row.revision):
            if row.value is None:
                continue
            try:
                text, _, size = row.value.decode().partition(" ")
                host = str(ipaddress.IPv4Address(text))
                # Rows of earlier versions, and that of the first VM, hold the host alone.
                self.membership.recorded_size = int(size) if size else self.membership.recorded_size
            except ValueError:
                logger.warning(
                    "row {} of the VMs' table holds no IP address and number of VMs", row.key.key
                )
                continue
            if host != self.membership.host:
                names_others = True
                self.membership.hosts.add(host)
                self.membership.registered_hosts.add(host)
        return names_others
