"""The daemon with its own operator interface: creates, runs and stops its components."""

import random
import signal
import ssl

import anyio
import httpx
from anyio.abc import TaskGroup
from loguru import logger

from berylbank._internal.settings import FleetSettings, Settings, read_secret_file
from berylbank._internal.store.http import HttpObjects, HttpTable, HttpVmList
from berylbank._internal.utils.clock import BootClock
from berylbankd._internal.changes.head_writer import PlatformClients
from berylbankd._internal.channel.channel import Channel, ChannelSettings
from berylbankd._internal.claims.claim_store import ClaimStore
from berylbankd._internal.claims.write_batcher import WriteBatcher
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.entry.app import EntryApp
from berylbankd._internal.metrics import Metrics
from berylbankd._internal.operators.app import OperatorApp
from berylbankd._internal.serving import serve_http
from berylbankd._internal.supervision import ignore_signals

IDLE_CHECK_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Application:
    """The daemon of one VM, which serves callers, operators and the other VMs.

    ``stop_requested`` is set by a signal; ``stop_serving`` closes the servers after the drain.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = BootClock()
        self.randomness = random.Random()
        self.metrics = Metrics()
        self.stop_requested = anyio.Event()
        self.stop_serving = anyio.Event()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        async with httpx.AsyncClient() as client, anyio.create_task_group() as group:
            self._build(client)
            group.start_soon(self._watch_signals)
            group.start_soon(self.channel.run, group)
            await anyio.sleep(0)
            await self.coordinator.run(group)
            group.start_soon(self._close_idle_connections)
            group.start_soon(self.entry.dispatcher.deadline_monitor.run)
            group.start_soon(self.batcher.run)
            self.entry.idempotency_claims.task_group = group
            async with anyio.create_task_group() as servers:
                self._start_servers(servers)
                await self.stop_requested.wait()
                await self._leave_and_drain()
                self.stop_serving.set()
            await self.entry.dispatcher.connection_pool.aclose()
            group.cancel_scope.cancel()
        logger.info("stopped")

    def _build(self, client: httpx.AsyncClient) -> None:
        settings = self.settings
        platform = PlatformClients(
            HttpTable(client, settings.platform.table),
            HttpObjects(client, settings.platform.objects),
            HttpVmList(client, settings.platform.vms),
        )
        channel_settings = ChannelSettings(
            settings.vm.name,
            self.randomness.getrandbits(63),
            settings.vm.channel,
            read_secret_file(settings.fleet.key_file),
            *make_tls_contexts(settings.fleet),
        )
        self.channel = Channel(channel_settings, self._deliver, self.randomness.random)
        self.coordinator = Coordinator(
            settings, self.clock, platform, self.channel, self.randomness
        )
        self.batcher = WriteBatcher(platform.table)
        claim_store = ClaimStore(platform.table, self.batcher, self.randomness)
        self.entry = EntryApp(self.coordinator, self.metrics, claim_store)
        self.operators = OperatorApp(
            self.coordinator,
            self.entry,
            self.metrics,
            read_secret_file(settings.operators.operate_token_file),
            read_secret_file(settings.operators.look_token_file),
        )

    def _deliver(self, envelope: object) -> None:
        self.coordinator.deliver(envelope)  # type: ignore[arg-type]

    def _start_servers(self, group: TaskGroup) -> None:
        vm, grace_ms = self.settings.vm, self.settings.timing.stop_grace_ms
        end_requests = self.entry.dispatcher.deadline_monitor.expire_unanswered
        group.start_soon(
            serve_http, self.entry, vm.callers, self.stop_serving, grace_ms, end_requests
        )
        group.start_soon(serve_http, self.operators, vm.operators, self.stop_serving, grace_ms)
        logger.info("VM {} listens for callers on {}", vm.name, vm.callers)

    async def _leave_and_drain(self) -> None:
        """Announce the stop, then serve until look-ups expire and running requests have ended.

        Callers may cache a look-up that names this VM for ``lookup_max_age_ms``. After that, the
        wait for running requests and unrecorded outcomes is limited to ``stop_grace_ms``. Requests
        that still run then go on while the servers stop, which may take as long again.
        """
        self.coordinator.start_leaving()
        logger.info("stopping gracefully: look-ups no longer name this VM")
        await anyio.sleep(self.settings.timing.lookup_max_age_ms / 1000)
        with anyio.move_on_after(self.settings.timing.stop_grace_ms / 1000):
            while (
                self.entry.running_requests
                or self.entry.idempotency_claims.claim_store.pending_records
            ):
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        if self.entry.running_requests:
            logger.warning(
                "{} requests did not finish within the grace time; no further ones are accepted,"
                " and these may take as long again",
                self.entry.running_requests,
            )

    async def _watch_signals(self) -> None:
        try:
            with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
                async for signal_number in signals:
                    if signal_number == signal.SIGHUP:
                        logger.warning(
                            "SIGHUP has no effect: restart the VM to read changed settings"
                        )
                    else:
                        self.stop_requested.set()
        finally:
            ignore_signals(HANDLED_SIGNALS)

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
            await self.entry.dispatcher.connection_pool.close_unusable(self.clock.now_ms())


def make_tls_contexts(
    fleet: FleetSettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the TLS contexts for listening and dialing; both None without certificates.

    Both ends must have a certificate of the authority. Host names aren't checked, as VMs are
    addressed by IP address.
    """
    if fleet.certificate_file is None or fleet.private_key_file is None:
        return None, None
    server_context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=fleet.authority_file
    )
    client_context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=fleet.authority_file
    )
    client_context.check_hostname = False
    for context in (server_context, client_context):
        context.load_cert_chain(fleet.certificate_file, fleet.private_key_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return server_context, client_context
