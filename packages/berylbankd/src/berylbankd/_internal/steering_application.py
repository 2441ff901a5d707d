"""The daemon on the users' platform: creates all components, runs them and stops them in order."""

import os
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import httpx
from anyio.abc import TaskGroup
from loguru import logger

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.utils.clock import BootClock
from berylbankd._internal.connections.budget import ConnectionBudget
from berylbankd._internal.feeds.registry import VmRegistry
from berylbankd._internal.feeds.release_driver import ReleaseDriver
from berylbankd._internal.feeds.round_trips import RoundTripMeter
from berylbankd._internal.feeds.row_replicator import RowReplicator
from berylbankd._internal.http_server import HttpServer
from berylbankd._internal.ingress.app import CallerApp
from berylbankd._internal.ingress.endpoints import (
    EndpointApp,
    EndpointResponse,
    Handler,
    QueryParameters,
)
from berylbankd._internal.ingress.rate_limiter import RateLimiter
from berylbankd._internal.ingress.request_log import RequestLog
from berylbankd._internal.ingress.stop_plan import plan_stop
from berylbankd._internal.logs import LogWriter
from berylbankd._internal.metrics import Metrics
from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.peers.codec import encode_rows
from berylbankd._internal.peers.messages import StateDigest, TokenGrant, TokenRequest
from berylbankd._internal.peers.transport import (
    ROWS_PATH,
    PeerTransport,
    decode_rows_request,
    make_incarnation,
)
from berylbankd._internal.platform.headers import PlatformHeaderCodec
from berylbankd._internal.platform.lookups import PlatformLookupCodec
from berylbankd._internal.platform.names import DEFAULT_SETTINGS_PATH, SETTINGS_PATH_VARIABLE
from berylbankd._internal.platform.row_codec import PlatformRowCodec
from berylbankd._internal.platform.settings import load_deployment
from berylbankd._internal.platform.store import HttpRowStore
from berylbankd._internal.steering.digest_exchange import OwnState
from berylbankd._internal.steering.directory import ReadyVm, choose_addresses
from berylbankd._internal.steering.steering import Steering
from berylbankd._internal.supervision import SignalReceiver, ignore_signals, run_supervised

# Callers keep the answer of a look-up at most this long, and stop using a VM that is not in the
# next one.
MAX_LOOKUP_TTL_MS = 2_000
# How often the settings file is checked for changes that no SIGHUP announced.
SETTINGS_CHECK_INTERVAL_S = 1.0
# Changes within this time are announced by the same digest.
URGENT_DIGEST_DELAY_S = 0.02
RUNNING_REQUESTS_CHECK_INTERVAL_S = 0.05
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# How often idle connections to backend servers are checked for closing.
IDLE_CHECK_INTERVAL_S = 1.0


class SteeringApplication:
    """The steering daemon of one VM: its components, background tasks and HTTP servers.

    ``stop_signal_ms`` is the time of the signal that stops the VM, valid once ``stop_requested`` is
    set.
    """

    def __init__(self, settings_path: Path) -> None:
        self.settings_path = settings_path
        self.deployment = load_deployment(settings_path)
        self.clock = BootClock()
        self.logs = LogWriter(self.deployment.vm)
        self.stop_requested = anyio.Event()
        self.stop_signal_ms = 0
        self.digest_due = anyio.Event()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        self.logs.install_sink()
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=8)
        async with (
            # The store and the VMs use plain HTTP; loading CA certificates would take 0.25 s.
            httpx.AsyncClient(limits=limits, trust_env=False, verify=False) as client,
            anyio.create_task_group() as group,
        ):
            self._create_components(client)
            self._start_tasks(group)
            await self._start_servers()
            await self.stop_requested.wait()
            await self._stop_gracefully()
            self._log_cut_responses()
            await self.caller_app.dispatcher.connection_pool.aclose()
            logger.info("stopped")
            group.cancel_scope.cancel()

    def _create_components(self, client: httpx.AsyncClient) -> None:
        deployment = self.deployment
        now_ms = self.clock.now_ms()
        row_codec, self.lookup_codec = PlatformRowCodec(), PlatformLookupCodec()
        store = self.row_store = HttpRowStore(client, deployment.store_address)
        self.steering = Steering(deployment, row_codec, make_incarnation(), now_ms)
        self.steering.membership.hosts.update(set(deployment.seed_hosts) - {deployment.host})
        self.row_replicator = RowReplicator(
            store,
            client,
            self.steering.routing_state,
            self.steering.membership,
            clock=self.clock,
            peer_port=deployment.peer_port,
            on_change=self._on_rows_changed,
            on_store_lost=self._on_store_lost,
        )
        self.release_driver = ReleaseDriver(self.steering, self.row_replicator, store, self.clock)
        self.vm_registry = VmRegistry(
            store,
            self.steering.membership,
            row_codec.vms_table,
            lambda: self.row_replicator.is_reader,
        )
        self.round_trip_meter = RoundTripMeter(self.steering, deployment.peer_port, self.clock)
        self.peer_transport = PeerTransport(deployment.host, deployment.peer_port, self)
        self.metrics = Metrics()
        self.steering.record_departure_delay = self.metrics.departure_delay.record
        request_log = RequestLog(self.metrics, self.logs)
        rate_limiter = RateLimiter(self.steering, self.peer_transport, self.clock)
        self.caller_app = CallerApp(
            self.steering, PlatformHeaderCodec(), self.clock, request_log, rate_limiter
        )
        self.connection_budget = ConnectionBudget(deployment.memory_mb, deployment.max_descriptors)
        self.connection_budget.on_refusal = request_log.record_connection_refusal
        self.caller_server = HttpServer(
            self.caller_app, deployment.caller_address, self.connection_budget
        )

    def _start_tasks(self, group: TaskGroup) -> None:
        group.start_soon(self._watch_signals)
        tasks: dict[str, Callable[[], Awaitable[None]]] = {
            "logs": self.logs.run,
            "requests": self.caller_app.run,
            "caller connections": self.connection_budget.run,
            "settings": self._watch_settings,
            "datagrams": self.peer_transport.run,
            "digests": self._send_digests,
            "rows": self.row_replicator.run,
            "registry": self.vm_registry.run,
            "releases": self.release_driver.run,
            "round trips": self.round_trip_meter.run,
            "idle connections": self._close_idle_connections,
        }
        for name, run in tasks.items():
            group.start_soon(run_supervised, name, run)

    async def _start_servers(self) -> None:
        deployment = self.deployment
        handlers_by_address: dict[str, dict[str, Handler]] = {
            deployment.readiness_address: {self.lookup_codec.ready_path: self._serve_readiness},
            deployment.lookup_address: {self.lookup_codec.lookup_path: self._serve_lookup},
            f"{deployment.host}:{deployment.peer_port}": {ROWS_PATH: self._serve_rows},
            f"{deployment.host}:{deployment.metrics_port}": {"/metrics": self._serve_metrics},
        }
        self.http_servers = [self.caller_server]
        self.http_servers += [
            HttpServer(EndpointApp(handlers), address, self.connection_budget)
            for address, handlers in handlers_by_address.items()
        ]
        for server in self.http_servers:
            await server.start()
        logger.bind(region=deployment.region, failure_domain=deployment.failure_domain).info(
            "started; serving callers at {}", deployment.caller_address
        )

    # HTTP endpoints for callers, the platform and other VMs

    def is_ready(self) -> bool:
        """Tell whether this VM can serve callers."""
        routing_state = self.steering.routing_state
        return (
            not self.steering.leaving
            and routing_state.configuration is not None
            and bool(routing_state.servers)
            and self.caller_app.request_faults.is_ready(self.clock.now_ms())
        )

    def _serve_readiness(self, _: QueryParameters) -> EndpointResponse:
        return EndpointResponse(200 if self.is_ready() else 503)

    def _serve_lookup(self, query: QueryParameters) -> EndpointResponse:
        lookup_query = self.lookup_codec.decode_query(query)
        deployment = self.deployment
        ready_vms = [
            ReadyVm(
                member.vm,
                member.callers,
                member.failure_domain,
                deployment.regions.get(member.failure_domain, ""),
                member.capacity,
            )
            for member in self.steering.membership.live
            if member.ready and not member.leaving
        ]
        if self.is_ready():
            ready_vms.append(
                ReadyVm(
                    deployment.vm,
                    deployment.caller_address,
                    deployment.failure_domain,
                    deployment.region,
                    deployment.capacity,
                )
            )
        allowed_regions = self.steering.routing_state.allowed_regions(lookup_query.host)
        addresses = choose_addresses(
            ready_vms,
            lookup_query.failure_domain,
            lookup_query.region,
            allowed_regions,
            deployment.vm,
        )
        self.metrics.lookups.add(1)
        if not addresses:
            return EndpointResponse(503)
        ttl_ms = min(MAX_LOOKUP_TTL_MS, deployment.bounds.lookup_ttl_ms)
        return EndpointResponse(200, self.lookup_codec.encode_addresses(addresses, ttl_ms))

    def _serve_rows(self, query: QueryParameters) -> EndpointResponse:
        request = decode_rows_request(query)
        if request is None:
            return EndpointResponse(400)
        table_rows = self.row_replicator.rows_after(request)
        return EndpointResponse(200, encode_rows(table_rows), b"application/octet-stream")

    def _serve_metrics(self, _: QueryParameters) -> EndpointResponse:
        return EndpointResponse(200, self.metrics.render(), b"text/plain; version=0.0.4")

    # Messages between VMs

    def grant_tokens(self, request: TokenRequest) -> TokenGrant:
        """Return the answer to another VM's request for an organisation's tokens."""
        configuration = self.steering.routing_state.configuration
        return self.steering.quotas.grant(request, configuration, self.clock.now_ms())

    def handle_digest(self, digest: StateDigest) -> None:
        """Process another VM's digest, and fetch rows if the VM has newer ones."""
        now_ms = self.clock.now_ms()
        if self.steering.handle_digest(digest, now_ms):
            # Answer a VM that has just appeared, so that it knows this VM and its collectors.
            answers = self.steering.digest_exchange.make_answers(
                self._make_own_state(now_ms), digest.vm, now_ms
            )
            for answer, hosts in answers:
                self.peer_transport.send_digest(answer, hosts)
        if self.steering.digest_exchange.announcement_due:
            self.digest_due.set()
        self.row_replicator.handle_digest(digest)

    def _on_rows_changed(self) -> None:
        self.steering.sync_releases(self.clock.now_ms())
        configuration = self.steering.routing_state.configuration
        if configuration is not None:
            self.connection_budget.limits = configuration.limits
        membership = self.steering.membership
        if self.row_replicator.is_reader or membership.full_mesh or membership.is_primary():
            # The VMs that get their rows from this one must learn of them at once.
            self.digest_due.set()

    def _on_store_lost(self) -> None:
        self.digest_due.set()

    async def _send_digests(self) -> None:
        """Send digests at an interval with jitter, and at once when rows have changed."""
        last_ms, live_count, urgent = self.clock.now_ms(), 0, True
        while True:
            now_ms = self.clock.now_ms()
            self.steering.tick(now_ms - last_ms, now_ms)
            last_ms = now_ms
            membership = self.steering.membership
            if len(membership.live) != live_count:
                live_count = len(membership.live)
                logger.info(
                    "{} other VMs are live, {} known; collectors of this failure domain: {}",
                    live_count,
                    len(membership.known),
                    membership.collectors,
                )
            outgoing = self.steering.digest_exchange.make_digests(
                self._make_own_state(now_ms), now_ms, urgent=urgent
            )
            for digest, hosts in outgoing:
                self.peer_transport.send_digest(digest, hosts)
            self.digest_due = anyio.Event()
            urgent = False
            interval_s = membership.digest_interval_ms() / 1000 * random.uniform(0.9, 1.1)
            with anyio.move_on_after(interval_s):
                await self.digest_due.wait()
                urgent = True
            if urgent:
                await anyio.sleep(URGENT_DIGEST_DELAY_S)

    def _make_own_state(self, now_ms: int) -> OwnState:
        replicator = self.row_replicator
        own = self.steering.make_own_state(
            self.is_ready(), replicator.store_available, replicator.row_cache.positions, now_ms
        )
        return own._replace(
            store_time_ms=replicator.store_watch.last_answer_ms,
            doubted_tables=frozenset(replicator.row_cache.doubted),
            starting=replicator.is_starting(),
        )

    # Stopping and reloading

    async def _stop_gracefully(self) -> None:
        """Leave look-up answers, serve callers for a time, then finish running requests."""
        app = self.caller_app
        plan = plan_stop(self.stop_signal_ms, self.deployment.bounds.grace_ms)
        self.steering.leaving = True
        self.caller_server.prepare_stop()
        app.start_stopping(plan)
        self.digest_due.set()
        logger.info(
            "stopping: callers move to other VMs, {} requests running", app.running_requests
        )
        await self._sleep_until(plan.close_ms)
        # Open connections stay, so that requests on them are refused and not cut.
        await self.caller_server.stop_accepting()
        await self._sleep_until(plan.last_start_ms)
        while app.running_requests and self.clock.now_ms() < plan.end_ms:
            await anyio.sleep(RUNNING_REQUESTS_CHECK_INTERVAL_S)
        if app.running_requests:
            logger.warning(
                "{} requests did not finish within the grace time; ending them",
                app.running_requests,
            )
            app.expire_deadlines()
        await self._stop_servers(plan.deliver_ms)

    async def _sleep_until(self, time_ms: int) -> None:
        await anyio.sleep(max(0, time_ms - self.clock.now_ms()) / 1000)

    async def _stop_servers(self, deliver_ms: int) -> None:
        """Close the HTTP servers when callers have their responses, at the latest at a time."""
        grace_s = max(0, deliver_ms - self.clock.now_ms()) / 1000
        async with anyio.create_task_group() as group:
            for server in self.http_servers:
                group.start_soon(server.stop, grace_s)

    def _log_cut_responses(self) -> None:
        """Log each response that the caller has not got in full when this process ends."""
        for response in self.caller_server.list_undelivered():
            cut = response.unsent_bytes or not response.complete
            logger.bind(**response._asdict()).warning(
                "response is cut by the end of this process"
                if cut
                else "response is left to the kernel at the end of this process"
            )

    async def _watch_signals(self) -> None:
        receiver = SignalReceiver(self.clock)
        receiver.install(HANDLED_SIGNALS)
        try:
            while True:
                number, arrived_ms = await receiver.receive()
                if number == signal.SIGHUP:
                    self._reload()
                elif not self.stop_requested.is_set():
                    self.stop_signal_ms = arrived_ms
                    self.stop_requested.set()
        finally:
            ignore_signals(HANDLED_SIGNALS)

    async def _watch_settings(self) -> None:
        last_modified_ns = _read_modified_ns(self.settings_path)
        while True:
            await anyio.sleep(SETTINGS_CHECK_INTERVAL_S)
            modified_ns = _read_modified_ns(self.settings_path)
            if modified_ns != last_modified_ns:
                last_modified_ns = modified_ns
                self._reload()

    def _reload(self) -> None:
        """Load changed settings; new addresses to listen on only apply at the next start."""
        try:
            loaded: Deployment = load_deployment(self.settings_path)
        except InvalidDocumentError as error:
            logger.error("settings could not be reloaded, keeping the previous ones: {}", error)
            return
        if loaded.store_address != self.deployment.store_address:
            self.row_store.move(loaded.store_address)
            self.row_replicator.end_polls()
            logger.info("store is now called at {}", loaded.store_address)
        self.deployment = loaded
        self.steering.reload(loaded)
        self.steering.membership.hosts.update(set(loaded.seed_hosts) - {loaded.host})
        logger.info("settings reloaded")

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
            await self.caller_app.dispatcher.connection_pool.close_unusable(self.clock.now_ms())


def find_settings_path() -> Path:
    """Return the path of the settings file: from the environment, or the default."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def _read_modified_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
