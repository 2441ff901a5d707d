"""Keeps a VM's rows up to date: from the store on a few VMs, from those on all others.

Each change would otherwise cost a call for every VM. A VM reads the store itself while it ranks
among the readers, and whenever the others can't help: when it hears no VM that reads, or when the
rows that another VM has can't be had from it.
"""

import random
from collections.abc import Callable, Iterable

import anyio
import httpx
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.facts.deployment import Deployment
from berylbankd._internal.facts.rows import HistoryLostError, Row, RowStore, RowTable, StoreError
from berylbankd._internal.peers.messages import Heartbeat, Position, TableRows
from berylbankd._internal.peers.transport import fetch_rows
from berylbankd._internal.steering.membership import (
    Membership,
    choose_readers,
    rank_sources,
    reader_rank,
)
from berylbankd._internal.steering.world import LAPSE_MS, World

# A feed that stays silent longer than this may have lost its connection; another VM must take over
# well inside the time in which changes have to be in force.
FEED_WAIT_MS = 1_200
# Changes that come together are read together.
FEED_PAUSE_S = 0.4
# A VM that has fetched changed rows from another one waits this long before it fetches more.
PULL_PAUSE_S = 0.2
# Pause before the store is tried again, doubled up to the longest.
RETRY_S = 0.1
RETRY_MOST_S = 1.0
# How often a VM looks whether it has to read the store itself.
RANK_EVERY_S = 0.25
# A VM waits this long after its start to hear of others before it reads the store itself, and up to
# the spread longer the further back it ranks: when all start together, few find no reader. Before
# callers come at all there is more time for that than after a restart.
FIRST_WAIT_S = 0.3
FIRST_START_SPREAD_S = 1.2
RESTART_SPREAD_S = 0.3
# A VM that starts while callers come reads the store once after this time, unless it has the rows
# of another VM by then: when all restart together, few VMs would have to hand them to all others.
RESTART_READ_S = 0.1
# Reads may be stale for some seconds after the store dropped its history.
REREAD_AFTER_S = (1.5, 3.5)
# A reader gives its own feed this long before it asks another VM for what that one knows.
READER_PATIENCE_S = 0.4


def first_wait_s(place: Deployment) -> float:
    """Return how long a VM that has just started waits for others to read the store."""
    spread_s = FIRST_START_SPREAD_S if place.first_start else RESTART_SPREAD_S
    return FIRST_WAIT_S + spread_s * reader_rank(place.vm)


class FactReader:
    """The rows known to this VM, and the tasks that keep them new."""

    def __init__(
        self,
        store: RowStore,
        client: httpx.AsyncClient,
        world: World,
        members: Membership,
        *,
        clock: Clock,
        peer_port: int,
        changed: Callable[[], None],
    ) -> None:
        self.store = store
        self.client = client
        self.world = world
        self.members = members
        self.clock = clock
        self.peer_port = peer_port
        self.changed = changed
        self.table = RowTable()
        self.store_answers = True
        self.is_reader = False
        self.following: dict[str, anyio.CancelScope] = {}
        self.behind = anyio.Event()

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as group:
            documents = self.world.documents
            for table in (documents.orders_table, documents.servers_table):
                group.start_soon(self._follow_when_reader, table)
            group.start_soon(self._pull_when_behind)
            if not self.members.place.first_start:
                group.start_soon(self._read_after_restart)
            await anyio.sleep(first_wait_s(self.members.place))
            while True:
                self._update_rank()
                await anyio.sleep(RANK_EVERY_S)

    def apply_rows(self, rows: Iterable[Row], source: str) -> None:
        """Take rows that are newer than the known ones, and tell the decisions."""
        now_ms = self.clock.now_ms()
        fresh = [row for row in rows if self.table.apply(row)]
        self._take(fresh, source, now_ms)

    def rows_after(self, table: str, revision: int) -> TableRows:
        """Return what another VM misses."""
        rows = tuple(self.table.rows_after(table, revision))
        return TableRows(table, self.table.position(table), rows)

    def note_heartbeat(self, beat: Heartbeat) -> None:
        """Notice that another VM knows more."""
        for table, revision in beat.positions:
            if revision > self.table.position(table):
                self.behind.set()
                return

    async def read_status(self) -> None:
        """Read the release states once: an order may have ended before this VM started."""
        await self._read_whole(self.world.documents.status_table)

    def _take(self, rows: list[Row], source: str, now_ms: int) -> None:
        if rows:
            self.world.apply_all(rows, source, now_ms)
            self.changed()

    async def _read_after_restart(self) -> None:
        await anyio.sleep(RESTART_READ_S)
        documents = self.world.documents
        for table in (documents.orders_table, documents.servers_table):
            if self.table.position(table):
                continue
            try:
                await self._read_whole(table)
            except StoreError as error:
                logger.info("{} not read from the store at the start: {}", table, error.reason)

    def _update_rank(self) -> None:
        live = self.members.live(self.clock.now_ms())
        readers = choose_readers(live, self.members.vm, self.store_answers)
        is_reader = self.members.vm in readers
        if is_reader != self.is_reader:
            logger.info("reads the store itself: {}, readers {}", is_reader, sorted(readers))
        self.is_reader = is_reader
        if not is_reader:
            for scope in self.following.values():
                scope.cancel()

    async def _follow_when_reader(self, table: str) -> None:
        pause_s = RETRY_S
        while True:
            if not self.is_reader:
                await anyio.sleep(RANK_EVERY_S)
                continue
            with anyio.CancelScope() as self.following[table]:
                try:
                    await self._read_whole(table)
                    pause_s = RETRY_S
                    await self._follow(table)
                except HistoryLostError:
                    logger.warning("store dropped its history of {}; reading it whole", table)
                    await self._reread(table)
                except StoreError as error:
                    self._note_store(False, error.reason)
                    await anyio.sleep(pause_s * random.uniform(0.5, 1.5))
                    pause_s = min(RETRY_MOST_S, pause_s * 2)

    async def _reread(self, table: str) -> None:
        """Read again and again until stale reads are over."""
        waited_s = 0.0
        for after_s in (0.0, *REREAD_AFTER_S):
            await anyio.sleep(after_s - waited_s)
            waited_s = after_s
            try:
                await self._read_whole(table)
            except StoreError as error:
                logger.info("read of {} failed: {}", table, error.reason)

    async def _follow(self, table: str) -> None:
        while True:
            answer = await self.store.follow(table, self.table.position(table), FEED_WAIT_MS)
            self._note_store(True, "")
            self.apply_rows(answer.rows, "feed")
            self.table.advance(table, answer.revision)
            if answer.rows:
                self.changed()
                await anyio.sleep(FEED_PAUSE_S)

    async def _read_whole(self, table: str) -> None:
        read = await self.store.read_table(table)
        self._note_store(True, "")
        now_ms = self.clock.now_ms()
        self._take(self.table.apply_read(read), "read", now_ms)

    def _note_store(self, answers: bool, reason: str) -> None:
        if answers == self.store_answers:
            return
        self.store_answers = answers
        if answers:
            # Entries that lapsed meanwhile get time to come back.
            self.world.settled_ms = self.clock.now_ms() + LAPSE_MS
            logger.info("store answers again")
        else:
            logger.warning("store lost: {}; serving goes on with what is known", reason)

    async def _pull_when_behind(self) -> None:
        while True:
            await self.behind.wait()
            self.behind = anyio.Event()
            if self.is_reader:
                await anyio.sleep(READER_PATIENCE_S)
            for table, revision in self._missing().items():
                await self._pull(table, revision)
            await anyio.sleep(PULL_PAUSE_S)

    def _missing(self) -> dict[str, int]:
        newest: dict[str, int] = {}
        for beat in self.members.live(self.clock.now_ms()):
            for table, revision in beat.positions:
                if revision > self.table.position(table):
                    newest[table] = max(revision, newest.get(table, 0))
        return newest

    async def _pull(self, table: str, revision: int) -> None:
        position = Position(table, self.table.position(table))
        live = self.members.live(self.clock.now_ms())
        for beat in rank_sources(live, table, revision, self.members)[:2]:
            found = await fetch_rows(self.client, beat.host, self.peer_port, position)
            if found is None:
                continue
            self.apply_rows(found.rows, beat.vm)
            self.table.advance(table, found.position)
            return
        logger.info("no VM gave {} up to {}; reading the store", table, revision)
        try:
            await self._read_whole(table)
        except StoreError as error:
            self._note_store(False, error.reason)
