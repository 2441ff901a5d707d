"""The daemon on the users' platform as one object: it owns every part and ends them in order."""

import os
import random
import signal
from pathlib import Path

import anyio
import httpx
from anyio.abc import TaskGroup
from loguru import logger

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.utils.clock import BootClock
from berylbankd._internal.facts.deployment import Deployment
from berylbankd._internal.feeds.registry import VmRegistry
from berylbankd._internal.feeds.release_driver import ReleaseDriver
from berylbankd._internal.feeds.round_trips import RoundTripMeter
from berylbankd._internal.feeds.row_replicator import RowReplicator
from berylbankd._internal.http_server import HttpServer
from berylbankd._internal.ingress.app import CallerApp
from berylbankd._internal.ingress.journal import RequestJournal
from berylbankd._internal.ingress.pages import Handler, Page, PageApp, Query
from berylbankd._internal.ingress.rate_gate import RateGate
from berylbankd._internal.logs import LogWriter
from berylbankd._internal.metrics import Metrics
from berylbankd._internal.peers.codec import encode_rows
from berylbankd._internal.peers.messages import Heartbeat, TokenGrant, TokenRequest
from berylbankd._internal.peers.transport import ROWS_PATH, PeerTransport, make_incarnation
from berylbankd._internal.platform.documents import PlatformDocuments
from berylbankd._internal.platform.headers import PlatformHeaders
from berylbankd._internal.platform.lookups import PlatformLookups
from berylbankd._internal.platform.names import DEFAULT_SETTINGS_PATH, SETTINGS_PATH_VARIABLE
from berylbankd._internal.platform.settings import load_deployment
from berylbankd._internal.platform.store import HttpRowStore
from berylbankd._internal.steering.directory import ListedVm, choose_addresses
from berylbankd._internal.steering.membership import HEARTBEAT_MS
from berylbankd._internal.steering.steering import Steering

# Callers keep a look-up's answer this long, and stop using a VM that is missing from the next.
LOOKUP_TTL_MS = 2_000
# A stopping VM takes requests for this part of the grace time, as callers keep old look-ups.
SERVE_PART = 0.52
# Then it finishes what is running until this part of the grace time.
FINISH_PART = 0.88
# What is still open when a VM ends is closed after this time.
CLOSE_S = 0.2
# A changed settings file is noticed within this time when no signal tells of it.
SETTINGS_EVERY_S = 1.0
POLL_S = 0.05
# Idle connections to backend servers are looked through this often.
CLOSE_IDLE_S = 1.0


class SteeringApplication:
    """One VM's daemon."""

    def __init__(self, settings: Path) -> None:
        self.settings = settings
        self.deployment = load_deployment(settings)
        self.clock = BootClock()
        self.logs = LogWriter(self.deployment.vm)
        self.stop_requested = anyio.Event()
        self.news = anyio.Event()

    async def run(self) -> None:
        """Run until SIGTERM asks for a graceful stop."""
        self.logs.install()
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=8)
        async with (
            # Store and VMs speak plain HTTP; certificates would take 0.25 s to load.
            httpx.AsyncClient(limits=limits, trust_env=False, verify=False) as client,
            anyio.create_task_group() as group,
        ):
            self._build(client)
            self._start(group)
            await self._start_servers()
            await self.stop_requested.wait()
            await self._drain()
            for server in self.servers:
                await server.stop(CLOSE_S)
            await self.callers.dispatcher.pool.aclose()
            logger.info("stopped")
            group.cancel_scope.cancel()

    def _build(self, client: httpx.AsyncClient) -> None:
        place = self.deployment
        now_ms = self.clock.now_ms()
        documents, self.lookups = PlatformDocuments(), PlatformLookups()
        store = HttpRowStore(client, place.store)
        self.steering = Steering(place, documents, make_incarnation(), now_ms)
        self.steering.members.hosts.update(set(place.seed_hosts) - {place.host})
        self.row_replicator = RowReplicator(
            store,
            client,
            self.steering.world,
            self.steering.members,
            clock=self.clock,
            peer_port=place.peer_port,
            on_change=self._facts_changed,
        )
        self.driver = ReleaseDriver(self.steering, self.row_replicator, store, self.clock)
        self.registry = VmRegistry(
            store, self.steering.members, documents.vms_table, lambda: self.row_replicator.is_reader
        )
        self.meter = RoundTripMeter(self.steering, place.peer_port, self.clock)
        self.peer_transport = PeerTransport(place.host, place.peer_port, self)
        self.metrics = Metrics()
        journal = RequestJournal(self.metrics, self.logs)
        rates = RateGate(self.steering, self.peer_transport, self.clock)
        self.callers = CallerApp(self.steering, PlatformHeaders(), self.clock, journal, rates)
        self.caller_server = HttpServer(self.callers, place.callers)

    def _start(self, group: TaskGroup) -> None:
        group.start_soon(self.logs.run)
        group.start_soon(self._watch_signals)
        group.start_soon(self._watch_settings)
        group.start_soon(self.peer_transport.run)
        group.start_soon(self._send_heartbeats)
        group.start_soon(self.row_replicator.run)
        group.start_soon(self.registry.run)
        group.start_soon(self.driver.run)
        group.start_soon(self.meter.run)
        group.start_soon(self._close_idle)

    async def _start_servers(self) -> None:
        place = self.deployment
        pages: dict[str, dict[str, Handler]] = {
            place.readiness: {self.lookups.ready_path: self._ready_page},
            place.directory: {self.lookups.lookup_path: self._lookup_page},
            f"{place.host}:{place.peer_port}": {ROWS_PATH: self._rows_page},
            f"{place.host}:{place.metrics_port}": {"/metrics": self._metrics_page},
        }
        self.servers = [self.caller_server]
        self.servers += [HttpServer(PageApp(handlers), at) for at, handlers in pages.items()]
        for server in self.servers:
            await server.start()
        logger.bind(region=place.region, failure_domain=place.failure_domain).info(
            "started, callers at {}", place.callers
        )

    # Pages

    def is_ready(self) -> bool:
        """Tell whether callers may come."""
        world = self.steering.world
        return not self.steering.leaving and world.configuration is not None and bool(world.servers)

    def _ready_page(self, _: Query) -> Page:
        return Page(200 if self.is_ready() else 503)

    def _lookup_page(self, query: Query) -> Page:
        question = self.lookups.decode_question(query)
        place = self.deployment
        beats = (beat for beat in self.steering.members.live(self.clock.now_ms()) if beat.ready)
        listed = [
            ListedVm(beat.vm, beat.callers, beat.failure_domain, beat.region)
            for beat in beats
            if not beat.leaving
        ]
        if self.is_ready():
            listed.append(ListedVm(place.vm, place.callers, place.failure_domain, place.region))
        allowed = self.steering.world.regions_of(question.host)
        addresses = choose_addresses(listed, question.failure_domain, question.region, allowed)
        self.metrics.lookups.add(1)
        if not addresses:
            return Page(503)
        ttl_ms = min(LOOKUP_TTL_MS, place.bounds.lookup_ttl_ms)
        return Page(200, self.lookups.encode_addresses(addresses, ttl_ms))

    def _rows_page(self, query: Query) -> Page:
        table, after = query.get("table", [""])[0], query.get("after", [""])[0]
        if not after.isdigit():
            return Page(400)
        found = self.row_replicator.rows_after(table, int(after))
        return Page(200, encode_rows(found), b"application/octet-stream")

    def _metrics_page(self, _: Query) -> Page:
        return Page(200, self.metrics.render(), b"text/plain; version=0.0.4")

    # Other VMs

    def grant_tokens(self, ask: TokenRequest) -> TokenGrant:
        """Answer a VM that asks for an organisation's tokens."""
        configuration = self.steering.world.configuration
        return self.steering.rates.grant(ask, configuration, self.clock.now_ms())

    def handle_heartbeat(self, beat: Heartbeat) -> None:
        """Take another VM's heartbeat."""
        known = beat.vm in self.steering.members.peers
        self.steering.take_heartbeat(beat, self.clock.now_ms())
        if not known and beat.vm != self.deployment.vm:
            # A VM that has just been found hears of this one, and of some more, at once.
            self._send_heartbeat(self.clock.now_ms(), [beat.host])
        self.row_replicator.check_positions(beat)

    def _facts_changed(self) -> None:
        self.steering.sync_releases(self.clock.now_ms())
        configuration = self.steering.world.configuration
        if configuration is not None:
            self.caller_server.keep_connections_for(configuration.limits.idle_timeout_ms)
        self.news.set()

    async def _send_heartbeats(self) -> None:
        """Send at a fixed interval, and at once when facts have changed."""
        last_ms, live = self.clock.now_ms(), 0
        while True:
            now_ms = self.clock.now_ms()
            self.steering.tick(now_ms - last_ms, now_ms)
            last_ms = now_ms
            if len(self.steering.vms) != live:
                live = len(self.steering.vms)
                logger.info("{} other VMs live, {} known", live, len(self.steering.members.peers))
            self._send_heartbeat(now_ms)
            self.news = anyio.Event()
            with anyio.move_on_after(HEARTBEAT_MS / 1000 * random.uniform(0.9, 1.1)):
                await self.news.wait()

    def _send_heartbeat(self, now_ms: int, hosts: list[str] | None = None) -> None:
        beat = self.steering.make_heartbeat(
            self.is_ready(),
            self.row_replicator.store_available,
            self.row_replicator.row_table.positions,
            now_ms,
        )
        self.peer_transport.send_heartbeat(beat, hosts or self.steering.members.choose_receivers())

    # Life cycle

    async def _drain(self) -> None:
        """Leave the look-up answers, serve callers that kept one, finish what is running."""
        grace_s = self.deployment.bounds.grace_ms / 1000
        self.steering.leaving = True
        self.news.set()
        logger.info("stopping: callers move over, {} requests running", self.callers.running)
        await anyio.sleep(grace_s * SERVE_PART)
        # What came later could not be finished within the grace time.
        self.caller_server.stop_listening()
        with anyio.move_on_after(grace_s * (FINISH_PART - SERVE_PART)):
            while self.callers.running:
                await anyio.sleep(POLL_S)
        if self.callers.running:
            logger.warning("{} requests did not end within the grace time", self.callers.running)
            self.callers.end_all()

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for received in signals:
                if received == signal.SIGHUP:
                    self._reload()
                else:
                    self.stop_requested.set()

    async def _watch_settings(self) -> None:
        seen = _modified_ns(self.settings)
        while True:
            await anyio.sleep(SETTINGS_EVERY_S)
            modified = _modified_ns(self.settings)
            if modified != seen:
                seen = modified
                self._reload()

    def _reload(self) -> None:
        """Take changed settings; addresses stay as they are until the next start."""
        try:
            loaded: Deployment = load_deployment(self.settings)
        except InvalidDocumentError as error:
            logger.error("settings not reloaded: {}", error)
            return
        self.deployment = loaded
        self.steering.reload(loaded)
        self.steering.members.hosts.update(set(loaded.seed_hosts) - {loaded.host})
        logger.info("settings reloaded")

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(CLOSE_IDLE_S)
            await self.callers.dispatcher.pool.close_idle(self.clock.now_ms())


def find_settings() -> Path:
    """Return the settings file that the platform names."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def _modified_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
