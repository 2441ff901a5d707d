"""Keeps a VM's copy of the store's rows up to date.

A few VMs, the readers, read the store directly, and the other VMs fetch changed rows from VMs that
have them, so that a change does not cost one store call per VM. A VM reads the store itself while
it ranks among the readers, while it hears of no reader, and when no other VM
returns the rows that it is missing.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio
import httpx
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.feeds.era_change import EraChange
from berylbankd._internal.feeds.store_watch import StoreWatch
from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.models.revisions import describe_revision, era_of
from berylbankd._internal.models.rows import (
    HistoryLostError,
    Row,
    RowCache,
    RowStore,
    StoreError,
    TableSnapshot,
)
from berylbankd._internal.peers.messages import (
    Member,
    Position,
    RowsRequest,
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
# A read can be stale by up to some seconds after the store has compacted its history, so it is
# repeated this long after it. After lost history it is also repeated earlier, as changes are known
# to have been missed.
STALE_READ_MS = 3_500
EARLY_REREAD_MS = 1_500
# A VM that got rows from another one waits longer, as the other one repeats its own read.
FETCHED_REREAD_MS = (6_000, 8_000)
REREAD_CHECK_INTERVAL_S = 0.25
REREAD_RETRY_MS = 1_000
# Pause between reads while the store has no history since the revision that they state.
LOST_HISTORY_PAUSE_S = 0.5
# Registrations expire after three heartbeat intervals without a heartbeat, the first of which may
# have begun before an outage of the store; an outage of fewer intervals than these expires none.
MIN_OUTAGE_HEARTBEATS = 2
# After the store came back from a copy its registrations are believed once those of servers that
# had left have expired, which takes three heartbeat intervals.
COPY_EXPIRY_HEARTBEATS = 3
COPY_EXPIRY_MARGIN_MS = 1_000
# A reader waits this long for its own long poll before it fetches newer rows from another VM.
READER_FETCH_DELAY_S = 0.4


def compute_reader_start_delay_s(deployment: Deployment) -> float:
    """Return how long a VM that has just started waits before it may become a reader."""
    spread_s = FIRST_START_WAIT_SPREAD_S if deployment.first_start else RESTART_WAIT_SPREAD_S
    return READER_WAIT_MIN_S + spread_s * compute_reader_rank(deployment.vm)


class Doubt(NamedTuple):
    """Changes of a table up to a revision may be missing since ``made_ms``.

    At ``due_ms`` the table is read again, unless another VM was sure of it by then. A read from
    ``settled_ms`` on decides.
    """

    table: str
    revision: int
    made_ms: int
    due_ms: int
    settled_ms: int


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
        self.row_cache = RowCache(EraChange(routing_state.row_codec))
        self.doubts: list[Doubt] = []
        self.new_eras: set[tuple[str, int]] = set()
        self.store_available = True
        self.store_called = False
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
            group.start_soon(self._repeat_doubtful_reads)
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
        newer = [item for row in rows for item in self.row_cache.apply(row)]
        self._report_changes(newer, source, now_ms)

    def rows_after(self, request: RowsRequest) -> TableRows:
        """Return what another VM requests of a table.

        If this VM does not know of all removals since then, it returns the complete table.
        """
        cache, table = self.row_cache, request.table
        position, sure = cache.position(table), cache.is_sure(table)
        if not request.complete and cache.knows_changes_after(table, request.after):
            rows = tuple(cache.rows_after(table, request.after))
            return TableRows(table, position, rows, sure=sure)
        rows = cache.snapshot(table).rows
        return TableRows(table, position, rows, complete=True, sure=sure)

    def handle_digest(self, digest: StateDigest) -> None:
        """Take over if a reader states that the store does not answer it, and fetch newer rows."""
        self._record_store_answer(digest.store_time_ms)
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
        if any(self._is_newer(position) for position in digest.positions):
            self.newer_position_reported.set()

    def is_starting(self) -> bool:
        """Tell whether this VM has just started again and knows nothing of the store yet."""
        return not self.store_called and not self.membership.deployment.first_start

    async def read_release_states(self) -> None:
        """Read the release states, as a release may have ended before this VM started.

        :raises StoreError: if the store cannot be read.
        """
        await self._read_table(self.routing_state.row_codec.status_table)

    def _is_newer(self, position: Position) -> bool:
        """Tell whether another VM has newer rows, or as new ones that it alone is sure of."""
        table, known = position.table, self.row_cache.position(position.table)
        if position.revision == known:
            return position.sure > self.row_cache.is_sure(table)
        return position.revision > known

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
                self._set_store_available(False, error.reason)

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
        self.end_polls()

    def end_polls(self) -> None:
        """End the calls of the tasks that follow the store; a reader goes on with new ones."""
        for scope in self.reader_scopes.values():
            scope.cancel()

    async def _follow_while_reader(self, table: str) -> None:
        """Follow a table's changes whenever this VM is a reader, from the position it has."""
        pause_s = STORE_RETRY_MIN_S
        lost_revision = -1
        while True:
            await self.became_reader.wait()
            with anyio.CancelScope() as self.reader_scopes[table]:
                try:
                    if not self.row_cache.position(table):
                        await self._read_table(table)
                    await self._follow_changes(table)
                except HistoryLostError as error:
                    logger.warning(
                        "store has no history of table {} from revision {} on: {}; reading the full"
                        " table",
                        table,
                        describe_revision(self.row_cache.position(table)),
                        error.reason,
                    )
                    if self.row_cache.position(table) == lost_revision:
                        await anyio.sleep(LOST_HISTORY_PAUSE_S)
                    lost_revision = await self._read_after_loss(table)
                except StoreError as error:
                    if self.store_available:
                        pause_s = STORE_RETRY_MIN_S
                    self._set_store_available(False, error.reason)
                    await anyio.sleep(pause_s * random.uniform(0.5, 1.5))
                    pause_s = min(STORE_RETRY_MAX_S, pause_s * 2)

    async def _read_after_loss(self, table: str) -> int:
        """Read a table whose history was lost, and return the new position."""
        try:
            await self._read_table(table, EARLY_REREAD_MS)
        except StoreError as error:
            logger.info(
                "table {} could not be read from the store, keeping the rows known so far: {}",
                table,
                error.reason,
            )
        return self.row_cache.position(table)

    async def _repeat_doubtful_reads(self) -> None:
        """Read tables again of which changes may be missing, until none is."""
        while True:
            await anyio.sleep(REREAD_CHECK_INTERVAL_S)
            await self.repeat_due_reads()

    async def repeat_due_reads(self) -> None:
        """Read each table again that has a doubt which is due."""
        cache, now_ms = self.row_cache, self.clock.now_ms()
        self.doubts = [item for item in self.doubts if not cache.is_sure(item.table)]
        for table in {doubt.table for doubt in self.doubts if doubt.due_ms <= now_ms}:
            await self._repeat_read(table, now_ms)

    async def _repeat_read(self, table: str, now_ms: int) -> None:
        due = [item for item in self.doubts if item.table == table and item.due_ms <= now_ms]
        try:
            snapshot = await self.store.read_table(table)
        except StoreError as error:
            logger.info("table {} could not be read again, retrying: {}", table, error.reason)
            for doubt in due:
                self._postpone(doubt, now_ms + REREAD_RETRY_MS)
            return
        era = era_of(self.row_cache.position(table))
        if era_of(snapshot.revision) > era:
            self._apply_read(snapshot, EARLY_REREAD_MS)
            return
        if era_of(snapshot.revision) < era:
            for doubt in due:
                self._postpone(doubt, now_ms + REREAD_RETRY_MS)
            return
        self._set_store_available(True, "", snapshot.store_time_ms)
        settled = [item for item in due if now_ms >= item.settled_ms]
        if settled:
            changed = self.row_cache.confirm(snapshot, max(item.revision for item in settled))
        else:
            # The read can still be stale, but shows more than the one before.
            revision = max(item.revision for item in due)
            changed = self.row_cache.apply_snapshot(snapshot._replace(revision=revision))
        for doubt in due:
            if doubt in settled:
                self.doubts.remove(doubt)
            else:
                self._postpone(doubt, doubt.settled_ms)
        self._log_read(snapshot, len(changed), "again")
        self._report_changes(changed, "repeated read", self.clock.now_ms())

    def _postpone(self, doubt: Doubt, due_ms: int) -> None:
        self.doubts.remove(doubt)
        self.doubts.append(doubt._replace(due_ms=due_ms))

    def _record_doubt(self, table: str, delay_ms: int) -> None:
        """Have a table read again after some time if changes of it may be missing."""
        revision, now_ms = self.row_cache.doubted.get(table), self.clock.now_ms()
        if revision is None or (table, revision) in {item[:2] for item in self.doubts}:
            return
        settle_ms = STALE_READ_MS
        if (table, era_of(revision)) in self.new_eras:
            settle_ms = max(settle_ms, self._copy_expiry_ms(table))
        self.doubts.append(Doubt(table, revision, now_ms, now_ms + delay_ms, now_ms + settle_ms))

    def _copy_expiry_ms(self, table: str) -> int:
        """Return how long the copy of a table may hold rows whose writers are gone."""
        if table != self.routing_state.row_codec.servers_table:
            return 0
        heartbeat_ms = self.membership.deployment.heartbeat_ms
        return COPY_EXPIRY_HEARTBEATS * heartbeat_ms + COPY_EXPIRY_MARGIN_MS

    def _note_era(self, table: str, revision: int) -> None:
        """Prepare for rows of a new era, if a revision is the first of one in a table."""
        era, known_era = era_of(revision), era_of(self.row_cache.position(table))
        if not self.row_cache.position(table) or era <= known_era:
            return
        self.new_eras.add((table, era))
        # What was in doubt in the older era will not be answered any more.
        self.doubts = [item for item in self.doubts if item.table != table]
        if table == self.routing_state.row_codec.servers_table:
            self.routing_state.removal_grace_until_ms = self.clock.now_ms() + REMOVAL_GRACE_MS
        logger.warning(
            "store came back from a copy: table {} is in era {} after {}, position {} after {};"
            " rows that the copy lacks or has in an older state are checked again later",
            table,
            era,
            known_era,
            describe_revision(revision),
            describe_revision(self.row_cache.position(table)),
        )

    def _log_kept(self, table: str, revision: int) -> None:
        """Log how many rows of an older era a new one's first read has left in use."""
        kept = [
            row.key.key
            for row in self.row_cache.rows.values()
            if row.key.table == table
            and row.value is not None
            and era_of(max(row.revision, row.as_of)) < era_of(revision)
        ]
        if kept:
            logger.info(
                "table {}: {} rows of an older era are kept until the table is read again, such as"
                " {}",
                table,
                len(kept),
                kept[0],
            )

    async def _follow_changes(self, table: str) -> None:
        """Apply changed rows of a table by long polls until one fails."""
        while True:
            batch = await self.store.wait_for_changes(
                table, self.row_cache.position(table), LONG_POLL_WAIT_MS
            )
            self._set_store_available(True, "", batch.store_time_ms)
            self.apply_rows(batch.rows, "feed")
            self.row_cache.advance_position(table, batch.revision)
            if batch.rows:
                self.on_change()
                await anyio.sleep(AFTER_CHANGES_PAUSE_S)

    async def _read_table(self, table: str, reread_ms: int = STALE_READ_MS) -> None:
        """Read a table, and have it read again after some time, as the read may be stale."""
        self._apply_read(await self.store.read_table(table), reread_ms)

    def _apply_read(self, snapshot: TableSnapshot, reread_ms: int) -> None:
        table = snapshot.table
        self._set_store_available(True, "", snapshot.store_time_ms)
        self._note_era(table, snapshot.revision)
        changed = self.row_cache.apply_snapshot(snapshot)
        self._record_doubt(table, reread_ms)
        self._log_read(snapshot, len(changed), "")
        self._log_kept(table, snapshot.revision)
        self._report_changes(changed, "read", self.clock.now_ms())

    def _log_read(self, snapshot: TableSnapshot, changed: int, again: str) -> None:
        logger.info(
            "read table {} from the store {}: {} rows up to revision {}, stated revision {};"
            " {} rows changed, position {}, sure {}",
            snapshot.table,
            again,
            len(snapshot.rows),
            describe_revision(max((row.revision for row in snapshot.rows), default=0)),
            describe_revision(snapshot.revision),
            changed,
            describe_revision(self.row_cache.position(snapshot.table)),
            self.row_cache.is_sure(snapshot.table),
        )

    def _record_store_answer(self, answered_ms: int) -> None:
        # Digests tell of answers up to two intervals late.
        min_outage_ms = (
            MIN_OUTAGE_HEARTBEATS * self.membership.deployment.heartbeat_ms
            + 2 * self.membership.digest_interval_ms()
        )
        now_ms = self.clock.now_ms()
        returned_ms = self.store_watch.record_answer(answered_ms, min_outage_ms, now_ms)
        if returned_ms is not None:
            # Registrations of backend servers that expired meanwhile may still be renewed.
            self.routing_state.removal_grace_until_ms = returned_ms + REMOVAL_GRACE_MS
            logger.info(
                "store answers again after an outage for all VMs, since {} ms; servers without a"
                " registration are kept for {} ms",
                now_ms - returned_ms,
                self.routing_state.removal_grace_until_ms - now_ms,
            )

    def _set_store_available(self, available: bool, reason: str, store_time_ms: int = 0) -> None:
        self._record_store_answer(store_time_ms)
        self.store_called = True
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
                for wanted in self._find_newer_positions():
                    group.start_soon(self._fetch_from_peers, wanted)
            await anyio.sleep(AFTER_FETCH_PAUSE_S)

    def _find_newer_positions(self) -> list[Position]:
        """Return for each table the newest position of another VM, if it is newer than here."""
        now_ms = self.clock.now_ms()
        newest: dict[str, Position] = {}
        for source in self.membership.sources.values():
            if now_ms - source.received_ms >= LISTED_TIMEOUT_MS:
                continue
            for table, held in source.positions.items():
                if not self._is_newer(held):
                    continue
                newest[table] = max(held, newest.get(table, held))
        return list(newest.values())

    def _apply_fetched(self, fetched: TableRows, request: RowsRequest, vm: str) -> None:
        """Apply what another VM sent, unless this VM has meanwhile learned more than was sent."""
        table = fetched.table
        logger.info(
            "fetched table {} from VM {}: {} rows after revision {}, up to {}, sure {},"
            " complete {}",
            table,
            vm,
            len(fetched.rows),
            describe_revision(request.after),
            describe_revision(fetched.position),
            fetched.sure,
            fetched.complete,
        )
        cache = self.row_cache
        if fetched.position < cache.position(table):
            # Rows that were removed since then may be unknown here, and would be added again.
            return
        self._note_era(table, fetched.position)
        if fetched.complete:
            snapshot = TableSnapshot(table, fetched.rows, fetched.position)
            if fetched.sure:
                changed = cache.confirm(snapshot, fetched.position)
            else:
                changed = cache.apply_snapshot(snapshot)
            self._report_changes(changed, vm, self.clock.now_ms())
        else:
            self.apply_rows(fetched.rows, vm)
            cache.advance_beside(table, fetched.position, sure=fetched.sure)
        self._record_doubt(table, random.randint(*FETCHED_REREAD_MS))

    async def _fetch_from_peers(self, wanted: Position) -> None:
        """Fetch rows up to a position from another VM, or from the store if no VM sends them.

        A source that does not answer soon is given up only when another one has answered.
        """
        table = wanted.table
        cache = self.row_cache
        is_newer = wanted.revision > cache.position(table)
        request = RowsRequest(table, cache.position(table), complete=not is_newer)
        if is_newer:
            wanted = wanted._replace(sure=False)
        sources = rank_row_sources(wanted, self.membership, self.clock.now_ms())
        async with anyio.create_task_group() as group:
            for member in sources[:MAX_ROW_SOURCES]:
                failed = anyio.Event()
                group.start_soon(self._fetch_from, member, request, group.cancel_scope, failed)
                with anyio.move_on_after(NEXT_SOURCE_DELAY_S):
                    await failed.wait()
            if not is_newer:
                # Only the confirmation is missing; this VM reads the store again in time.
                return
            logger.info(
                "no VM returned table {} up to revision {} yet; reading the store",
                table,
                describe_revision(wanted.revision),
            )
            try:
                await self._read_table(table)
            except StoreError as error:
                self._set_store_available(False, error.reason)
            else:
                group.cancel_scope.cancel()

    async def _fetch_from(
        self, member: Member, request: RowsRequest, scope: anyio.CancelScope, failed: anyio.Event
    ) -> None:
        """Fetch rows from one VM; cancel the other attempts if that succeeds."""
        fetched = await fetch_rows(self.client, member.host, self.peer_port, request)
        if fetched is None:
            failed.set()
            return
        self._apply_fetched(fetched, request, member.vm)
        scope.cancel()
