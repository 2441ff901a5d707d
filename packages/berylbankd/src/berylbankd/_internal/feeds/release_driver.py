"""Advances releases step by step and writes their states to the store for operators.

Of all VMs, the one that ranks first for a service drives the service's release. A part of the fleet
that is cut off only reports a rollback, as its evidence on a good version is incomplete.
"""

import random

import anyio
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.feeds.row_replicator import RowReplicator
from berylbankd._internal.models.rows import ConditionFailedError, Row, RowStore, StoreError
from berylbankd._internal.models.types import ReleaseState, ReleaseStatus
from berylbankd._internal.steering.releases import Release
from berylbankd._internal.steering.steering import Steering

ADVANCE_INTERVAL_S = 0.2
STORE_RETRY_DELAY_S = 0.2


class ReleaseDriver:
    """Advances releases and writes their states.

    States are written by compare-and-set, so that two VMs that drive the same release for a moment
    cannot overwrite each other's state.
    """

    def __init__(
        self, steering: Steering, replicator: RowReplicator, store: RowStore, clock: Clock
    ) -> None:
        self.steering = steering
        self.replicator = replicator
        self.store = store
        self.clock = clock
        self.states_read = False

    async def run(self) -> None:
        """Drive releases until cancelled."""
        while True:
            await anyio.sleep(ADVANCE_INTERVAL_S)
            releases = list(self.steering.releases.values())
            if releases and not self.states_read:
                await self._read_states()
                continue
            for release in releases:
                service = release.order.service
                if self.steering.is_release_driver(service):
                    await self._advance(release)
                elif release.rolled_back and self.steering.ranks_first_for_release(service):
                    await self._write_state(release, ReleaseState.ROLLED_BACK)

    async def _read_states(self) -> None:
        try:
            await self.replicator.read_release_states()
            self.states_read = True
        except StoreError as error:
            logger.info("release states could not be read from the store: {}", error.reason)
            # Other VMs report the steps that they have reached; alone this VM must know the state.
            self.states_read = bool(self.steering.membership.live)
            await anyio.sleep(STORE_RETRY_DELAY_S)

    async def _advance(self, release: Release) -> None:
        now_ms = self.clock.now_ms()
        reports = self.steering.collect_peer_reports(release)
        if release.advance(reports, now_ms):
            logger.info(
                "release of service {} to version {} advanced to step {}, {} ms after its order",
                release.order.service,
                release.order.to_version,
                release.step,
                release.elapsed_ms(now_ms),
            )
        if release.is_complete(reports, now_ms):
            await self._write_state(release, ReleaseState.SUCCEEDED)
        else:
            await self._write_state(release, release.state())

    async def _write_state(self, release: Release, state: ReleaseState) -> None:
        """Write a release's state, unless the row has it already or says that the release ended."""
        order = release.order
        row_codec = self.steering.row_codec
        status = ReleaseStatus(order.service, order.to_version, state)
        known = self.steering.routing_state.statuses.get(order.service)
        if (
            known is not None
            and known.revision > order.revision
            and (known.status == status or known.status.state is not ReleaseState.RUNNING)
        ):
            return
        key, value = row_codec.status_key(order.service), row_codec.encode_status(status)
        expected_revision = known.revision if known is not None else 0
        try:
            revision = await self.store.write(key, value, expected_revision)
        except ConditionFailedError:
            # Written by another driver, or by an earlier write of this VM whose response was lost.
            await self._read_states()
            return
        except StoreError as error:
            logger.info(
                "state of the release of service {} could not be written, retrying: {}",
                order.service,
                error.reason,
            )
            self.states_read = False
            await anyio.sleep(STORE_RETRY_DELAY_S * random.uniform(0.5, 1.5))
            return
        logger.info(
            "release of service {} to version {}: state {} written",
            order.service,
            order.to_version,
            state.value,
        )
        self.replicator.apply_rows([Row(key, value, revision)], "own write")
        self.steering.sync_releases(self.clock.now_ms())
        # Another VM may have written a row before this one, so the table is read to pass it on.
        await self._read_states()
