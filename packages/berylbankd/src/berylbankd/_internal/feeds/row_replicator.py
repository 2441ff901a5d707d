"""Keeps a VM's copy of the store's rows up to date.

A few VMs, the readers, read the store directly, and the other VMs fetch changed rows from VMs that
have them, so that a change does not cost one store call per VM. A VM reads the store itself while
it ranks among the readers, while it hears of no reader, and when no other VM
returns the rows that it is missing.
"""

import random
from collections.abc import Callable, Iterable

import anyio
import httpx
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.feeds.store_watch import StoreWatch
from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.models.rows import (
    HistoryLostError,
    Row,
    RowCache,
    RowStore,
    StoreError,
    TableSnapshot,
)
from berylbankd._internal.peers.messages import (
    UNKNOWN_AGE_MS,
    Member,
    Position,
    StateDigest,
    TableRows,
)
from berylbankd._internal.peers.transport import fetch_rows
from berylbankd._internal.steering.membership import (
    LISTED_TIMEOUT_MS,
    Membership,
    compute_reader_rank,
    rank_row_sources,
)
from berylbankd._internal.steering.routing_state import REMOVAL_GRACE_MS, RoutingState

# Wait time of a long poll for changed rows. A poll without an answer after this time may have lost
# its connection; another VM must become a reader well within the time limit for applying changes
# (``Bounds.apply_ms``).
LONG_POLL_WAIT_MS = 1_200
# Pause after changed rows, so that changes made shortly after each other are read in one call.
AFTER_CHANGES_PAUSE_S = 0.4
# Pause after fetching changed rows from another VM.
AFTER_FETCH_PAUSE_S = 0.2
# Pause before a failed store call is repeated; it doubles with each failure up to the maximum.
STORE_RETRY_MIN_S = 0.1
STORE_RETRY_MAX_S = 1.0
# VMs that are asked for newer rows before the store is read, and how long each is waited for before
# the next one is asked as well. Waiting for each one's timeout would exceed the time limit for
# applying changes (``Bounds.apply_ms``).
MAX_ROW_SOURCES = 2
NEXT_SOURCE_DELAY_S = 0.35
# How often a VM checks whether it is a reader.
READER_CHECK_INTERVAL_S = 0.25
# After its start a VM waits for digests of other VMs before it becomes a reader: at least the
# minimum, plus a part of the spread that grows with its rank. When all VMs start together, the VMs
# of the first ranks are thus readers before the others check. The spread is longer at the first
# start of the fleet, when there are no callers yet.
READER_WAIT_MIN_S = 0.3
FIRST_START_WAIT_SPREAD_S = 3.0
RESTART_WAIT_SPREAD_S = 0.3
# A restarted VM reads the store once after this time unless it has fetched the rows from another VM
# by then. Otherwise, when all VMs restart together, a few VMs would have to send the rows to all.
RESTART_READ_DELAY_S = 0.1
# Reads may be stale for some seconds after the store has compacted its history, so the table is
# read again at these times after the first read.
REREAD_TIMES_S = (1.5, 3.5)
# Registrations expire after three heartbeat intervals without a heartbeat, the first of which may
# have begun before an outage of the store; an outage of fewer intervals than these expires none.
MIN_OUTAGE_HEARTBEATS = 2
# A reader waits this long for its own long poll before it fetches newer rows from another VM.
READER_FETCH_DELAY_S = 0.4


def compute_reader_start_delay_s(deployment: Deployment) -> float:
    """Return how long a VM that has just started waits before it may become a reader."""
    spread_s = FIRST_START_WAIT_SPREAD_S if deployment.first_start else RESTART_WAIT_SPREAD_S
    return READER_WAIT_MIN_S + spread_s * compute_reader_rank(deployment.vm)


class RowReplicator:
    """This VM's copy of the rows, and the tasks that keep it up to date.

    ``on_change`` is called after changed rows have been applied to the routing state, and
    ``on_store_lost`` when the store stops answering this VM. ``may_read`` is set once this VM has
    been up for long enough to know the other readers.
    """

    def __init__(
        self,
        store: RowStore,
        client: httpx.AsyncClient,
        routing_state: RoutingState,
        membership: Membership,
        *,
        clock: Clock,
        peer_port: int,
        on_change: Callable[[], None],
        on_store_lost: Callable[[], None],
    ) -> None:
        self.store = store
        self.client = client
        self.routing_state = routing_state
        self.membership = membership
        self.clock = clock
        self.peer_port = peer_port
        self.on_change = on_change
        self.on_store_lost = on_store_lost
        self.row_cache = RowCache()
        self.store_available = True
        self.store_watch = StoreWatch()
        self.is_reader = self.may_read = False
        self.became_reader = anyio.Event()
        self.reader_scopes: dict[str, anyio.CancelScope] = {}
        self.newer_position_reported = anyio.Event()

    async def run(self) -> None:
        """Replicate rows until cancelled."""
        async with anyio.create_task_group() as group:
            row_codec = self.routing_state.row_codec
            for table in (row_codec.orders_table, row_codec.servers_table):
                group.start_soon(self._follow_while_reader, table)
            group.start_soon(self._fetch_newer_rows)
            if not self.membership.deployment.first_start:
                group.start_soon(self._read_after_restart)
            await anyio.sleep(compute_reader_start_delay_s(self.membership.deployment))
            self.may_read = True
            while True:
                self._update_reader_role()
                await anyio.sleep(READER_CHECK_INTERVAL_S)

    def apply_rows(self, rows: Iterable[Row], source: str) -> None:
        """Store the rows that are newer than the known ones, and report them as changed."""
        now_ms = self.clock.now_ms()
        newer = [row for row in rows if self.row_cache.apply(row)]
        self._report_changes(newer, source, now_ms)

    def rows_after(self, table: str, revision: int) -> TableRows:
        """Return what changed in a table after a revision, for another VM.

        If this VM does not know of all removals since then, it returns the complete table.
        """
        if not self.row_cache.knows_changes_after(table, revision):
            snapshot = self.row_cache.snapshot(table)
            return TableRows(table, snapshot.revision, snapshot.rows, complete=True)
        rows = tuple(self.row_cache.rows_after(table, revision))
        return TableRows(table, self.row_cache.position(table), rows)

    def handle_digest(self, digest: StateDigest) -> None:
        """Take over if a reader states that the store does not answer it, and fetch newer rows."""
        if digest.store_age_ms != UNKNOWN_AGE_MS:
            self._record_store_answer(self.clock.now_ms() - digest.store_age_ms)
        is_reading = all(
            item.reading
            for domain in digest.domains
            for item in domain.members
            if item.vm == digest.vm
        )
        if not is_reading and self.may_read and not self.is_reader:
            self.membership.update(self.clock.now_ms())
            self._update_reader_role()
        self.check_positions(digest)

    def check_positions(self, digest: StateDigest) -> None:
        """Request a fetch if another VM has a newer position in a table than this one."""
        for table, revision in digest.positions:
            if revision > self.row_cache.position(table):
                self.newer_position_reported.set()
                return

    async def read_release_states(self) -> None:
        """Read the release states, as a release may have ended before this VM started.

        :raises StoreError: if the store cannot be read.
        """
        await self._read_table(self.routing_state.row_codec.status_table)

    def _report_changes(self, rows: list[Row], source: str, now_ms: int) -> None:
        if rows:
            self.routing_state.apply_rows(rows, source, now_ms)
            self.on_change()

    async def _read_after_restart(self) -> None:
        """Read each table that no other VM has sent shortly after this VM's restart."""
        await anyio.sleep(RESTART_READ_DELAY_S)
        row_codec = self.routing_state.row_codec
        for table in (row_codec.orders_table, row_codec.servers_table):
            if self.row_cache.position(table):
                continue
            try:
                await self._read_table(table)
            except StoreError as error:
                logger.info(
                    "table {} could not be read from the store after the restart; it will be "
                    "fetched from other VMs: {}",
                    table,
                    error.reason,
                )

    def _update_reader_role(self) -> None:
        readers = self.membership.choose_readers(self.clock.now_ms())
        is_reader = self.membership.vm in readers
        if is_reader == self.is_reader:
            return
        logger.info(
            "this VM is now a reader of the store: {}; all readers: {}",
            is_reader,
            sorted(readers),
        )
        self.is_reader = is_reader
        if is_reader:
            self.became_reader.set()
            return
        self.became_reader = anyio.Event()
        for scope in self.reader_scopes.values():
            scope.cancel()

    async def _follow_while_reader(self, table: str) -> None:
        """Follow a table's changes whenever this VM is a reader, from the position it has."""
        pause_s = STORE_RETRY_MIN_S
        while True:
            await self.became_reader.wait()
            with anyio.CancelScope() as self.reader_scopes[table]:
                try:
                    if not self.row_cache.position(table):
                        await self._read_table(table)
                    await self._follow_changes(table)
                except HistoryLostError:
                    logger.warning(
                        "store has compacted the history of table {}; reading the full table", table
                    )
                    await self._reread_until_consistent(table)
                except StoreError as error:
                    if self.store_available:
                        pause_s = STORE_RETRY_MIN_S
                    self._set_store_available(False, error.reason)
                    await anyio.sleep(pause_s * random.uniform(0.5, 1.5))
                    pause_s = min(STORE_RETRY_MAX_S, pause_s * 2)

    async def _reread_until_consistent(self, table: str) -> None:
        """Read a table several times, until the store no longer returns stale rows."""
        elapsed_s = 0.0
        for read_at_s in (0.0, *REREAD_TIMES_S):
            await anyio.sleep(read_at_s - elapsed_s)
            elapsed_s = read_at_s
            try:
                await self._read_table(table)
            except StoreError as error:
                logger.info(
                    "table {} could not be read from the store, keeping the rows known so far: {}",
                    table,
                    error.reason,
                )

    async def _follow_changes(self, table: str) -> None:
        """Apply changed rows of a table by long polls until one fails."""
        while True:
            batch = await self.store.wait_for_changes(
                table, self.row_cache.position(table), LONG_POLL_WAIT_MS
            )
            self._set_store_available(True, "")
            self.apply_rows(batch.rows, "feed")
            self.row_cache.advance_position(table, batch.revision)
            if batch.rows:
                self.on_change()
                await anyio.sleep(AFTER_CHANGES_PAUSE_S)

    async def _read_table(self, table: str) -> None:
        snapshot = await self.store.read_table(table)
        self._set_store_available(True, "")
        now_ms, known_revision = self.clock.now_ms(), self.row_cache.position(table)
        changed = self.row_cache.apply_snapshot(snapshot)
        logger.info(
            "read table {} from the store: {} rows up to revision {}, stated revision {}, known"
            " before {}; {} rows changed",
            table,
            len(snapshot.rows),
            max((row.revision for row in snapshot.rows), default=0),
            snapshot.revision,
            known_revision,
            len(changed),
        )
        self._report_changes(changed, "read", now_ms)

    def _record_store_answer(self, answered_ms: int) -> None:
        # Digests tell of answers up to two intervals late.
        min_outage_ms = (
            MIN_OUTAGE_HEARTBEATS * self.membership.deployment.heartbeat_ms
            + 2 * self.membership.digest_interval_ms()
        )
        if self.store_watch.record_answer(answered_ms, min_outage_ms):
            # Registrations of backend servers that expired meanwhile may still be renewed.
            self.routing_state.removal_grace_until_ms = answered_ms + REMOVAL_GRACE_MS
            logger.info(
                "store answers again after an outage for all VMs; servers without a registration"
                " are kept for {} ms",
                self.routing_state.removal_grace_until_ms - self.clock.now_ms(),
            )

    def _set_store_available(self, available: bool, reason: str) -> None:
        if available:
            self._record_store_answer(self.clock.now_ms())
        if available == self.store_available:
            return
        self.store_available = available
        if available:
            logger.info("store is available again")
        else:
            logger.warning(
                "store is unavailable: {}; serving continues with the rows known so far", reason
            )
            self.on_store_lost()

    async def _fetch_newer_rows(self) -> None:
        """Fetch rows from other VMs whenever a digest reports a newer position."""
        while True:
            await self.newer_position_reported.wait()
            self.newer_position_reported = anyio.Event()
            if self.is_reader:
                await anyio.sleep(READER_FETCH_DELAY_S)
            async with anyio.create_task_group() as group:
                for table, revision in self._find_newer_positions().items():
                    group.start_soon(self._fetch_from_peers, table, revision)
            await anyio.sleep(AFTER_FETCH_PAUSE_S)

    def _find_newer_positions(self) -> dict[str, int]:
        newest: dict[str, int] = {}
        now_ms = self.clock.now_ms()
        for source in self.membership.sources.values():
            if now_ms - source.received_ms >= LISTED_TIMEOUT_MS:
                continue
            for table, revision in source.positions.items():
                if revision > self.row_cache.position(table):
                    newest[table] = max(revision, newest.get(table, 0))
        return newest

    def _apply_fetched(self, fetched: TableRows, requested: Position, vm: str) -> None:
        """Apply what another VM sent, unless this VM has meanwhile learned more than was sent."""
        table = fetched.table
        logger.info(
            "fetched table {} from VM {}: {} rows after revision {}, up to {}, complete {}",
            table,
            vm,
            len(fetched.rows),
            requested.revision,
            fetched.position,
            fetched.complete,
        )
        if not fetched.complete:
            self.apply_rows(fetched.rows, vm)
            self.row_cache.advance_position(table, fetched.position)
        elif fetched.position > self.row_cache.position(table):
            snapshot = TableSnapshot(table, fetched.rows, fetched.position)
            changed = self.row_cache.apply_snapshot(snapshot)
            self._report_changes(changed, vm, self.clock.now_ms())

    async def _fetch_from_peers(self, table: str, revision: int) -> None:
        """Fetch rows up to a revision from another VM, or from the store if no VM sends them.

        A source that does not answer soon is given up only when another one has answered.
        """
        position = Position(table, self.row_cache.position(table))
        sources = rank_row_sources(table, revision, self.membership, self.clock.now_ms())
        async with anyio.create_task_group() as group:
            for member in sources[:MAX_ROW_SOURCES]:
                failed = anyio.Event()
                group.start_soon(self._fetch_from, member, position, group.cancel_scope, failed)
                with anyio.move_on_after(NEXT_SOURCE_DELAY_S):
                    await failed.wait()
            logger.info(
                "no VM returned table {} up to revision {} yet; reading the store", table, revision
            )
            try:
                await self._read_table(table)
            except StoreError as error:
                self._set_store_available(False, error.reason)
            else:
                group.cancel_scope.cancel()

    async def _fetch_from(
        self, member: Member, position: Position, scope: anyio.CancelScope, failed: anyio.Event
    ) -> None:
        """Fetch rows from one VM; cancel the other attempts if that succeeds."""
        fetched = await fetch_rows(self.client, member.host, self.peer_port, position)
        if fetched is None:
            failed.set()
            return
        self._apply_fetched(fetched, position, member.vm)
        scope.cancel()
