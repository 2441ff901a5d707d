"""VMs that copy a store's rows from the store and from each other, without waiting."""

import random

import anyio
import httpx

from berylbankd._internal.feeds.row_replicator import RowReplicator
from berylbankd._internal.models.rows import FeedBatch, Row, RowKey, StoreError, TableSnapshot
from berylbankd._internal.peers.codec import encode_rows
from berylbankd._internal.peers.messages import (
    DigestScope,
    DomainMembers,
    Member,
    Position,
    StateDigest,
)
from berylbankd._internal.steering.membership import Membership
from berylbankd._internal.steering.routing_state import RoutingState
from tests.support.steering import ROW_CODEC, make_deployment, server_row

SERVERS = ROW_CODEC.servers_table
ORDERS = ROW_CODEC.orders_table
NOW_MS = 1_000
SILENCE_S = 5


class FixedClock:
    """A clock that stands still until it is set."""

    def __init__(self):
        self.time_ms = NOW_MS

    def now_ms(self):
        return self.time_ms


class ChangingStore:
    """A store that keeps every change, so that it can be read and followed."""

    def __init__(self):
        self.revision = 0
        self.changes = []
        self.reads = 0
        self.followed = {}

    def put(self, key, value):
        self.revision += 1
        self.changes.append(Row(key, value, self.revision))

    def live_rows(self):
        newest = {row.key: row for row in self.changes}
        return {key: row for key, row in newest.items() if row.value is not None}

    async def read_table(self, table):
        self.reads += 1
        rows = tuple(row for row in self.live_rows().values() if row.key.table == table)
        return TableSnapshot(table, rows, self.revision)

    async def wait_for_changes(self, table, after_revision, wait_ms):
        self.followed[table] = self.followed.get(table, 0) + 1
        await anyio.sleep(0.1)
        return self.batch_after(table, after_revision)

    async def write(self, key, value, expected_revision):
        assert self.live_rows().get(key, Row(key, None, 0)).revision == expected_revision
        self.put(key, value)
        return self.revision

    def batch_after(self, table, revision):
        rows = [row for row in self.changes if row.key.table == table and row.revision > revision]
        newest = {row.key: row for row in rows}
        return FeedBatch(tuple(newest.values()), self.revision)


class VmStore:
    """The store as one VM reaches it; ``turned_away`` lets the VM's calls fail."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.turned_away = False

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

    async def fetch(self, source, table):
        """Fetch newer rows from one other VM, whose digest has just arrived."""
        revision = source.replicator.row_cache.position(table)
        self.membership.sources.clear()
        digest = make_positions_digest(source, {table: revision})
        self.membership.record_digest(digest, self.fleet.clock.now_ms())
        self.replicator.handle_digest(digest)
        if revision <= self.replicator.row_cache.position(table):
            return
        await self.replicator._fetch_from_peers(table, revision)

    def live_rows(self, table):
        rows = self.replicator.row_cache.rows.values()
        return {row.key for row in rows if row.key.table == table and row.value is not None}


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
        positions=tuple(Position(table, revision) for table, revision in positions.items()),
        domains=(DomainMembers("a", (member,)),),
        store_age_ms=source.replicator.store_watch.age_ms(source.fleet.clock.now_ms()),
    )


class ReplicatingFleet:
    """A store and VMs that hold copies of its rows."""

    def __init__(self, vms):
        self.store, self.clock = ChangingStore(), FixedClock()
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
        table, after = request.url.params["table"], int(request.url.params["after"])
        table_rows = source.replicator.rows_after(table, after)
        self.sent_rows += len(table_rows.rows)
        return httpx.Response(200, content=encode_rows(table_rows))

    def put_server(self, server_id):
        self.store.put(RowKey(SERVERS, server_id), server_row(server_id, 0).value)

    def remove_server(self, server_id):
        self.store.put(RowKey(SERVERS, server_id), None)


async def run_random_changes(seed, steps):
    """Change a store and copy its rows in a random order; return the fleet once all have fetched.

    Each VM fetches last from the VM before it, and the first one follows the store.
    """
    rng = random.Random(seed)
    fleet = ReplicatingFleet(4)
    for vm in fleet.vms:
        await vm.read(SERVERS)
    for _ in range(steps):
        vm, source = rng.sample(fleet.vms, 2)
        action = rng.randrange(6)
        if action <= 1:
            fleet.put_server(f"s{rng.randrange(6)}")
        elif action == 2:
            fleet.remove_server(f"s{rng.randrange(6)}")
        elif action == 3:
            await vm.fetch(source, SERVERS)
        elif action == 4:
            vm.follow(SERVERS)
        elif rng.random() < 0.5:
            await vm.read(SERVERS)
        else:
            await fleet.add_vm().read(SERVERS)
    fleet.store.put(RowKey(SERVERS, "last"), server_row("last", 0).value)
    rng.shuffle(fleet.vms)
    fleet.vms[0].follow(SERVERS)
    for source, vm in zip(fleet.vms, fleet.vms[1:], strict=False):
        await vm.fetch(source, SERVERS)
    return fleet
