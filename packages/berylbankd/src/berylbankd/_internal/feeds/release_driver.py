"""Takes the steps of releases and tells operators how they stand, on the VM that ranks first."""

import random

import anyio
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.feeds.reader import FactReader
from berylbankd._internal.models.rows import ConditionFailedError, Row, RowStore, StoreError
from berylbankd._internal.models.types import ReleaseState, ReleaseStatus
from berylbankd._internal.steering.releases import Release
from berylbankd._internal.steering.steering import Steering

CHECK_EVERY_S = 0.2
RETRY_S = 0.2


class ReleaseDriver:
    """Steps releases and writes their states by compare-and-set, so that two drivers agree."""

    def __init__(
        self, steering: Steering, reader: FactReader, store: RowStore, clock: Clock
    ) -> None:
        self.steering = steering
        self.reader = reader
        self.store = store
        self.clock = clock
        self.status_read = False

    async def run(self) -> None:
        """Drive until cancelled."""
        while True:
            await anyio.sleep(CHECK_EVERY_S)
            releases = list(self.steering.releases.values())
            if releases and not self.status_read:
                await self._read_status()
                continue
            for release in releases:
                if self.steering.is_release_driver(release.order.service):
                    await self._drive(release)

    async def _read_status(self) -> None:
        try:
            await self.reader.read_status()
            self.status_read = True
        except StoreError as error:
            logger.info("release states not read: {}", error.reason)
            self.status_read = bool(self.steering.live_heartbeats)
            await anyio.sleep(RETRY_S)

    async def _drive(self, release: Release) -> None:
        now_ms = self.clock.now_ms()
        reports = self.steering.peer_reports(release)
        if release.advance(reports, now_ms):
            logger.info(
                "release of {} to {}: step {}, {} ms after the order",
                release.order.service,
                release.order.to_version,
                release.step,
                release.elapsed_ms(now_ms),
            )
        if release.is_complete(reports, now_ms):
            await self._tell(release, ReleaseState.SUCCEEDED)
        else:
            await self._tell(release, release.state())

    async def _tell(self, release: Release, state: ReleaseState) -> None:
        """Write a state unless it is written already, or the order has ended."""
        order = release.order
        documents = self.steering.row_codec
        status = ReleaseStatus(order.service, order.to_version, state)
        known = self.steering.routing_state.statuses.get(order.service)
        if (
            known is not None
            and known.revision > order.revision
            and (known.status == status or known.status.state is not ReleaseState.RUNNING)
        ):
            return
        key, value = documents.status_key(order.service), documents.encode_status(status)
        expected = known.revision if known is not None else 0
        try:
            revision = await self.store.write(key, value, expected)
        except ConditionFailedError:
            # Another driver, or an earlier write of ours whose answer was lost.
            await self._read_status()
            return
        except StoreError as error:
            logger.info("state of release of {} not written: {}", order.service, error.reason)
            self.status_read = False
            await anyio.sleep(RETRY_S * random.uniform(0.5, 1.5))
            return
        logger.info("release of {} to {}: {}", order.service, order.to_version, state.value)
        self.reader.apply_rows([Row(key, value, revision)], "own write")
        self.reader.table.advance_position(key.table, revision)
        self.steering.sync_releases(self.clock.now_ms())
