"""VMs that copy a store's rows from the store and from each other, without waiting."""

import random

import anyio
import httpx

from berylbankd._internal.feeds.row_replicator import RowReplicator
from berylbankd._internal.models.revisions import era_of, make_revision, number_of
from berylbankd._internal.models.rows import (
    ConditionFailedError,
    FeedBatch,
    HistoryLostError,
    Row,
    RowKey,
    StoreError,
    TableSnapshot,
)
from berylbankd._internal.peers.codec import encode_rows
from berylbankd._internal.peers.messages import (
    DigestScope,
    DomainMembers,
    Member,
    Position,
    RowsRequest,
    StateDigest,
)
from berylbankd._internal.steering.membership import Membership
from berylbankd._internal.steering.routing_state import RoutingState
from tests.support.steering import ROW_CODEC, make_deployment, server_row

SERVERS = ROW_CODEC.servers_table
ORDERS = ROW_CODEC.orders_table
NOW_MS = 1_000
SILENCE_S = 5
MAX_STALE_MS = 3_000
SETTLE_MS = 15_000
STEP_MS = 250
GO_BACK_SHARE = 0.08
MAX_LOST_CHANGES = 8


class FixedClock:
    """A clock that stands still until it is set."""

    def __init__(self):
        self.time_ms = NOW_MS

    def now_ms(self):
        return self.time_ms


class ChangingStore:
    """A store that keeps every change, so that it can be read and followed.

    Reads show the rows as of ``stale_ms`` ago. They state the revision of that time, or with
    ``states_newest`` the newest one. ``go_back`` starts the next era with a copy.
    """

    def __init__(self, clock):
        self.clock = clock
        self.stale_ms = 0
        self.states_newest = True
        self.change_times_ms = []
        self.era = self.number = 0
        self.changes = []
        self.reads = 0
        self.followed = {}
        self.lost_revision = 0

    @property
    def revision(self):
        return make_revision(self.era, self.number)

    def go_back(self, lost):
        """Lose the last changes; what is left has its numbers in the next era."""
        self.era += 1
        kept = len(self.changes) - lost
        self.number -= lost
        self.changes = [
            row._replace(revision=make_revision(self.era, number_of(row.revision)))
            for row in self.changes[:kept]
        ]
        self.change_times_ms = self.change_times_ms[:kept]

    def put(self, key, value):
        self.number += 1
        self.changes.append(Row(key, value, self.revision))
        self.change_times_ms.append(self.clock.now_ms())

    def live_rows(self, age_ms=0):
        shown_ms = self.clock.now_ms() - age_ms
        times = zip(self.changes, self.change_times_ms, strict=True)
        newest = {row.key: row for row, changed_ms in times if changed_ms <= shown_ms}
        return {key: row for key, row in newest.items() if row.value is not None}

    async def read_table(self, table):
        self.reads += 1
        live = self.live_rows(self.stale_ms).values()
        rows = tuple(row for row in live if row.key.table == table)
        shown_ms = self.clock.now_ms() - self.stale_ms
        shown = sum(changed_ms <= shown_ms for changed_ms in self.change_times_ms)
        revision = self.revision if self.states_newest else make_revision(self.era, shown)
        return TableSnapshot(table, rows, revision, self.clock.now_ms())

    async def wait_for_changes(self, table, after_revision, wait_ms):
        self.followed[table] = self.followed.get(table, 0) + 1
        if after_revision < self.lost_revision or era_of(after_revision) != self.era:
            raise HistoryLostError("history compacted")
        await anyio.sleep(0.1)
        return self.batch_after(table, after_revision)

    async def write(self, key, value, expected_revision):
        current = self.live_rows().get(key)
        if (current.revision if current is not None else 0) != expected_revision:
            raise ConditionFailedError(current)
        self.put(key, value)
        return self.revision

    def batch_after(self, table, revision):
        rows = [row for row in self.changes if row.key.table == table and row.revision > revision]
        newest = {row.key: row for row in rows}
        return FeedBatch(tuple(newest.values()), self.revision, self.clock.now_ms())


class VmStore:
    """The store as one VM reaches it; ``turned_away`` lets the VM's calls fail."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.turned_away = False

    @property
    def era(self):
        return self.fleet.store.era

    def check(self):
        if self.turned_away or self.fleet.store_away:
            raise StoreError("ReadTimeout")

    async def read_table(self, table):
        self.check()
        return await self.fleet.store.read_table(table)

    async def wait_for_changes(self, table, after_revision, wait_ms):
        self.check()
        return await self.fleet.store.wait_for_changes(table, after_revision, wait_ms)

    async def write(self, key, value, expected_revision):
        self.check()
        return await self.fleet.store.write(key, value, expected_revision)


class ReplicatingVm:
    """One VM's replicator; fetches from other VMs reach their replicators directly."""

    def __init__(self, fleet, number):
        self.name, self.host = f"vm-{number}", f"10.0.0.{number}"
        self.fleet = fleet
        self.store = VmStore(fleet)
        self.membership = Membership(make_deployment(self.name))
        self.routing_state = RoutingState(ROW_CODEC)
        client = httpx.AsyncClient(transport=httpx.MockTransport(fleet.serve_rows))
        self.replicator = RowReplicator(
            self.store,
            client,
            self.routing_state,
            self.membership,
            clock=fleet.clock,
            peer_port=1,
            on_change=lambda: None,
            on_store_lost=lambda: None,
        )

    async def read(self, table):
        await self.replicator._read_table(table)

    def follow(self, table):
        """Apply what a long poll of the store returns now."""
        replicator = self.replicator
        batch = self.fleet.store.batch_after(table, replicator.row_cache.position(table))
        replicator.apply_rows(batch.rows, "feed")
        replicator.row_cache.advance_position(table, batch.revision)

    async def follow_or_read(self, table):
        """Follow a table, or read it if the store is in a newer era than the rows known here."""
        if era_of(self.replicator.row_cache.position(table)) == self.fleet.store.era:
            self.follow(table)
        else:
            await self.replicator._read_after_loss(table)

    async def fetch(self, source, table):
        """Fetch newer rows from one other VM, whose digest has just arrived."""
        revision = source.replicator.row_cache.position(table)
        self.membership.sources.clear()
        digest = make_positions_digest(source, {table: revision})
        self.membership.record_digest(digest, self.fleet.clock.now_ms())
        self.replicator.handle_digest(digest)
        for wanted in self.replicator._find_newer_positions():
            await self.replicator._fetch_from_peers(wanted)

    def live_rows(self, table):
        rows = self.replicator.row_cache.rows.values()
        live = (row for row in rows if row.key.table == table and row.value is not None)
        return {row.key: row.value for row in live}


def make_positions_digest(source, positions, *, reading=True):
    sequence = max(positions.values())
    member = Member(source.name, source.host, "", "a", 1, sequence, 1.0, True, False, reading)
    return StateDigest(
        DigestScope.VM,
        source.name,
        source.host,
        "a",
        1,
        sequence,
        positions=tuple(
            Position(table, revision, source.replicator.row_cache.is_sure(table))
            for table, revision in positions.items()
        ),
        domains=(DomainMembers("a", (member,)),),
        store_time_ms=source.replicator.store_watch.last_answer_ms,
    )


class ReplicatingFleet:
    """A store and VMs that hold copies of its rows."""

    def __init__(self, vms):
        self.clock = FixedClock()
        self.store = ChangingStore(self.clock)
        self.store_away = False
        self.sent_rows = 0
        self.silent_hosts = set()
        self.vms = [ReplicatingVm(self, number) for number in range(vms)]

    def add_vm(self):
        self.vms.append(ReplicatingVm(self, len(self.vms)))
        return self.vms[-1]

    async def serve_rows(self, request):
        if request.url.host in self.silent_hosts:
            await anyio.sleep(SILENCE_S)
        source = next(vm for vm in self.vms if vm.host == request.url.host)
        params = request.url.params
        wanted = RowsRequest(params["table"], int(params["after"]), "complete" in params)
        table_rows = source.replicator.rows_after(wanted)
        self.sent_rows += len(table_rows.rows)
        return httpx.Response(200, content=encode_rows(table_rows))

    def put_server(self, server_id, value=0):
        born = {"born": 1 + value}
        self.store.put(RowKey(SERVERS, server_id), server_row(server_id, 0, **born).value)

    def remove_server(self, server_id):
        self.store.put(RowKey(SERVERS, server_id), None)


async def take_random_step(fleet, rng, actions, read, going_back=False):
    """Change the store, or let a VM read, follow or fetch; ``actions`` weighs the reads."""
    if going_back and fleet.store.changes and rng.random() < GO_BACK_SHARE:
        fleet.store.go_back(rng.randrange(1 + min(MAX_LOST_CHANGES, len(fleet.store.changes))))
    vm, source = rng.sample(fleet.vms, 2)
    action = rng.randrange(actions)
    if action <= 1:
        fleet.put_server(f"s{rng.randrange(6)}", rng.randrange(10**6))
    elif action == 2:
        fleet.remove_server(f"s{rng.randrange(6)}")
    elif action == 3:
        await vm.fetch(source, SERVERS)
    elif action == 4:
        await vm.follow_or_read(SERVERS)
    elif rng.random() < 0.5:
        await read(vm)
    else:
        await read(fleet.add_vm())


async def run_random_changes(seed, steps):
    """Change a store and copy its rows in a random order; return the fleet once all have fetched.

    Each VM fetches last from the VM before it, and the first one follows the store.
    """
    rng = random.Random(seed)
    fleet = ReplicatingFleet(4)
    for vm in fleet.vms:
        await vm.read(SERVERS)
    for _ in range(steps):
        await take_random_step(fleet, rng, 6, lambda vm: vm.read(SERVERS))
    fleet.store.put(RowKey(SERVERS, "last"), server_row("last", 0).value)
    rng.shuffle(fleet.vms)
    fleet.vms[0].follow(SERVERS)
    for source, vm in zip(fleet.vms, fleet.vms[1:], strict=False):
        await vm.fetch(source, SERVERS)
    return fleet


async def run_stale_reads(seed, steps, *, states_newest, going_back=False):
    """Change a store whose reads can be stale, and copy its rows; return the fleet when settled.

    With ``going_back`` the store goes back to a copy at times.
    VMs start, read, follow and fetch in a random order, each as it would in its tasks.
    """
    rng = random.Random(seed)
    fleet = ReplicatingFleet(4)
    fleet.store.states_newest = states_newest
    fleet.clock.time_ms = 2 * MAX_STALE_MS

    async def read(vm):
        fleet.store.stale_ms = rng.choice((0, rng.randrange(MAX_STALE_MS)))
        await vm.read(SERVERS)

    async def repeat_reads():
        for vm in fleet.vms:
            fleet.store.stale_ms = rng.choice((0, rng.randrange(MAX_STALE_MS)))
            await vm.replicator.repeat_due_reads()

    for vm in fleet.vms:
        await read(vm)
    for _ in range(steps):
        fleet.clock.time_ms += rng.randrange(2 * STEP_MS)
        await take_random_step(fleet, rng, 7, read, going_back)
        await repeat_reads()
    for _ in range(SETTLE_MS // STEP_MS):
        fleet.clock.time_ms += STEP_MS
        await fleet.vms[0].follow_or_read(SERVERS)
        await repeat_reads()
        rng.shuffle(fleet.vms)
        for source, vm in zip(fleet.vms, fleet.vms[1:], strict=False):
            await vm.fetch(source, SERVERS)
    return fleet
