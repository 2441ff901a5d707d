"""Configuration, release orders and backend servers known to one VM, derived from store rows."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from loguru import logger

from berylbankd._internal.models.revisions import describe_revision
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.models.types import (
    BackendServer,
    Configuration,
    Organisation,
    ReleaseOrder,
    ReleaseState,
    ReleaseStatus,
    Route,
)
from berylbankd._internal.steering.servers import Departure, ServerState
from berylbankd._internal.supervision import describe_error

# Servers whose registrations expired while the store was away register again within two seconds of
# its return; the rest is for the time until this VM learns of it.
REMOVAL_GRACE_MS = 2_400
# Up to this many rows applied together, each new backend server is logged; logging a whole table
# row by row would slow down the start.
MAX_SERVERS_LOGGED = 20
# After an evacuation ends, its servers are treated as cold for this time, unless they register a
# remaining warm-up time of their own.
POST_EVACUATION_COLD_MS = 2_500
RELEASED_STARTED_MS = -1
# Start of a server that states none: later than any other.
UNKNOWN_STARTED_MS = 2**63
# How long after a server's departure the last request to it is reported.
DEPARTURE_REPORT_MS = 5_000


class RowCodec(Protocol):
    """Decodes and encodes store rows; implemented by the platform adapter."""

    orders_table: str
    servers_table: str
    vms_table: str
    status_table: str
    configuration_key: RowKey

    def decode_configuration(self, row: Row) -> Configuration | None:
        """Return the configuration in a row, or None."""

    def decode_server(self, row: Row) -> BackendServer | None:
        """Return the backend server that a row registers, or None."""

    def decode_order(self, row: Row) -> ReleaseOrder | None:
        """Return the release order in a row, or None."""

    def decode_evacuation(self, row: Row) -> str | None:
        """Return the failure domain that a row orders to evacuate, or None."""

    def status_key(self, service: str) -> RowKey:
        """Return the key of the row in which operators read a release's state."""

    def decode_status(self, row: Row) -> ReleaseStatus | None:
        """Return the release status in a row, or None."""

    def encode_status(self, status: ReleaseStatus) -> bytes:
        """Return the value of a status row."""


class StatusRow(NamedTuple):
    """A release status and the revision of its row."""

    status: ReleaseStatus
    revision: int


class StableVersion(NamedTuple):
    """The version of a service that gets the requests, and why it does.

    ``started_ms`` is when its first server had started as it was chosen, ``RELEASED_STARTED_MS`` if
    its release succeeded.
    """

    version: str
    started_ms: int


class RoutingState:
    """What this VM knows of the store: configuration, servers, evacuations and releases.

    ``generation`` increases with every change. ``organisations`` are keyed by API key.
    ``evacuated_domains`` maps the rows that order an evacuation to their failure domains.
    ``version_checked_generation`` is the generation at which a service's stable version was last
    checked. ``logs_each_server`` tells whether each new server is logged. Until
    ``removal_grace_until_ms`` a registration that disappeared does not remove its server, as the
    store was away before. ``departed`` are the servers whose departure is to be reported,
    and ``failed_rows`` the rows whose handling failed.
    """

    def __init__(self, row_codec: RowCodec) -> None:
        self.row_codec = row_codec
        self.configuration: Configuration | None = None
        self.routes: dict[str, list[Route]] = {}
        self.organisations: dict[str, Organisation] = {}
        self.servers: dict[str, ServerState] = {}
        self.evacuated_domains: dict[RowKey, str] = {}
        self.evacuation_ended_ms: dict[str, int] = {}
        self.orders: dict[str, ReleaseOrder] = {}
        self.statuses: dict[str, StatusRow] = {}
        self.stable_versions: dict[str, StableVersion] = {}
        self.version_checked_generation: dict[str, int] = {}
        self.removal_grace_until_ms = 0
        self.may_miss_servers = False
        self.generation = 0
        self.logs_each_server = True
        self.departed: list[ServerState] = []
        self.failed_rows: dict[RowKey, Row] = {}

    def apply_rows(self, rows: Iterable[Row], source: str, now_ms: int) -> None:
        """Apply newer rows; more than ``MAX_SERVERS_LOGGED`` are logged as a single count.

        ``source`` names where the rows come from, for the log.
        """
        rows = list(rows)
        self.logs_each_server = len(rows) <= MAX_SERVERS_LOGGED
        for row in rows:
            self.failed_rows.pop(row.key, None)
            self._try_to_apply(row, source, now_ms)
        if not self.logs_each_server:
            logger.info(
                "applied {} rows from {}; {} backend servers known",
                len(rows),
                source,
                len(self.servers),
            )
        self.logs_each_server = True

    def retry_failed_rows(self, now_ms: int) -> None:
        """Apply the rows again whose handling failed, as no other VM sends them again."""
        failed, self.failed_rows = self.failed_rows, {}
        for row in failed.values():
            self._try_to_apply(row, "an earlier failure", now_ms, first=False)

    def _try_to_apply(self, row: Row, source: str, now_ms: int, *, first: bool = True) -> None:
        try:
            self.apply_row(row, now_ms, source)
        except Exception as error:  # a row of an unexpected kind must not stop the others
            self.failed_rows[row.key] = row
            if first:
                logger.error(
                    "row {} of table {} at revision {} could not be applied; it is tried again: {}",
                    row.key.key,
                    row.key.table,
                    describe_revision(row.revision),
                    describe_error(error),
                )

    def apply_row(self, row: Row, now_ms: int, source: str = "") -> None:
        """Apply a row that is newer than the known one with the same key; see apply_rows."""
        self.generation += 1
        if row.key == self.row_codec.configuration_key:
            self._apply_configuration(row)
        elif row.key.table == self.row_codec.servers_table:
            self._apply_server(row, now_ms, source)
        elif row.key.table == self.row_codec.status_table:
            self._apply_status(row)
        elif row.key.table == self.row_codec.orders_table:
            self._apply_order(row, now_ms)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def allowed_regions(self, host: str) -> frozenset[str]:
        """Return the regions allowed by all routes of a host; empty means all regions."""
        routes = self.routes.get(host, ())
        if not routes or any(not route.regions for route in routes):
            return frozenset()
        return frozenset.intersection(*(route.regions for route in routes))

    def is_usable(self, state: ServerState) -> bool:
        """Tell whether a server may get new requests."""
        if state.registration.draining or state.leaving:
            return False
        return state.registration.failure_domain not in self.evacuated_domains.values()

    def mark_leaving(self, state: ServerState, now_ms: int) -> None:
        """Use a server no more that has said itself that it will stop."""
        if not state.leaving:
            logger.info("backend server {} says that it leaves", state.registration.id)
            state.leaving = True
            self.generation += 1
            self._record_departure(state, Departure(now_ms, "response", 0))

    def report_departures(self, now_ms: int) -> list[int]:
        """Log when the last request went to each server that departed some seconds ago.

        Return for each how long after the news of its departure that was in milliseconds, 0 if
        it was before.
        """
        delays_ms: list[int] = []
        for state in list(self.departed):
            departure, last_sent_ms = state.departure, state.last_sent_ms
            if departure is not None and now_ms - departure.known_ms < DEPARTURE_REPORT_MS:
                continue
            self.departed.remove(state)
            if departure is None or last_sent_ms is None:
                continue
            delays_ms.append(max(0, last_sent_ms - departure.known_ms))
            logger.info(
                "backend server {} departed: known {} ms ago from {}, revision {};"
                " the last request was sent to it {} ms after that",
                state.registration.id,
                now_ms - departure.known_ms,
                departure.source,
                describe_revision(departure.revision),
                last_sent_ms - departure.known_ms,
            )
        return delays_ms

    def _record_departure(self, state: ServerState, departure: Departure) -> None:
        if state.record_departure(departure):
            self.departed.append(state)

    def servers_of(self, service: str) -> list[ServerState]:
        """Return the servers of a service that may get new requests."""
        return [
            state
            for state in self.servers.values()
            if state.registration.service == service and self.is_usable(state)
        ]

    def remove_missing_servers(self, now_ms: int) -> None:
        """Remove servers that have not registered again since a store outage."""
        if not self.may_miss_servers or now_ms < self.removal_grace_until_ms:
            return
        self.may_miss_servers = False
        for server_id, state in list(self.servers.items()):
            if state.missing:
                logger.info("backend server {} removed: it did not register again", server_id)
                del self.servers[server_id]
                self.generation += 1

    def stable_version(self, service: str) -> str | None:
        """Return the version that gets requests when no release is running, if one is known.

        Servers of a new version start, and register, before its release is ordered. The known
        version is therefore kept until a release of another one has succeeded, or until it has no
        servers. A VM that starts takes the version whose servers started first, and corrects that
        when it learns of one that started before, or that the version's release has not succeeded.
        """
        if self.version_checked_generation.get(service) != self.generation:
            self.version_checked_generation[service] = self.generation
            self._update_stable_version(service)
        known = self.stable_versions.get(service)
        return known.version if known is not None else None

    def _update_stable_version(self, service: str) -> None:
        order, status_row = self.orders.get(service), self.statuses.get(service)
        if status_row is not None and status_row.status.state is ReleaseState.SUCCEEDED:
            self.stable_versions[service] = StableVersion(
                status_row.status.to_version, RELEASED_STARTED_MS
            )
        known = self.stable_versions.get(service)
        started_ms = self._find_version_starts(service)
        if order is not None and self._is_unproved(order.to_version, known, status_row):
            started_ms.pop(order.to_version, None)
        if not started_ms:
            return
        ordered = order.to_version if order is not None else ""
        first = min(started_ms, key=lambda name: (started_ms[name], name == ordered, name))
        if known is None or known.version not in started_ms or started_ms[first] < known.started_ms:
            self.stable_versions[service] = StableVersion(first, started_ms[first])

    def _is_unproved(
        self, ordered: str, known: StableVersion | None, status_row: StatusRow | None
    ) -> bool:
        """Tell whether an ordered version certainly has no release that succeeded."""
        if known is not None and known.version != ordered:
            return True
        if known is not None and known.started_ms == RELEASED_STARTED_MS:
            return False
        return status_row is not None and status_row.status.to_version == ordered

    def _find_version_starts(self, service: str) -> dict[str, int]:
        """Return the versions of a service's servers, with the earliest start of each."""
        started_ms: dict[str, int] = {}
        for state in self.servers.values():
            registration = state.registration
            if registration.service == service:
                own_ms = registration.started_ms or UNKNOWN_STARTED_MS
                earliest_ms = started_ms.get(registration.version, own_ms)
                started_ms[registration.version] = min(earliest_ms, own_ms)
        return started_ms

    def _apply_configuration(self, row: Row) -> None:
        configuration = self.row_codec.decode_configuration(row)
        if configuration is None:
            logger.error(
                "configuration at revision {} cannot be decoded; keeping the previous one",
                describe_revision(row.revision),
            )
            return
        if self.configuration is not None and configuration.version < self.configuration.version:
            # Only a store that came back from a copy goes back; operators write theirs again.
            logger.warning(
                "configuration {} at revision {} is older than {}, which stays in use",
                configuration.version,
                describe_revision(row.revision),
                self.configuration.version,
            )
            return
        self.configuration = configuration
        self.routes = {}
        for route in sorted(configuration.routes, key=lambda item: -len(item.prefix)):
            self.routes.setdefault(route.host, []).append(route)
        self.organisations = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        logger.bind(
            rates={item.name: [item.rate_per_s, item.burst] for item in configuration.organisations}
        ).info(
            "configuration {} applied, revision {}",
            configuration.version,
            describe_revision(row.revision),
        )

    def _apply_server(self, row: Row, now_ms: int, source: str) -> None:
        registration = self.row_codec.decode_server(row)
        known = self.servers.get(row.key.key)
        if registration is None:
            if known is not None:
                self._remove_server(row, known, now_ms, source)
            return
        if known is None:
            self.servers[registration.id] = ServerState(registration, now_ms)
            if not self.logs_each_server:
                return
            logger.info(
                "backend server {} of {} registered at {}, draining {}, warm-up {} ms, revision {}",
                registration.id,
                registration.service,
                registration.address,
                registration.draining,
                registration.warmup_left_ms,
                describe_revision(row.revision),
            )
            return
        if registration == known.registration and not known.missing:
            return
        if registration.draining != known.registration.draining:
            logger.info(
                "backend server {}: draining is now {}, revision {} from {}",
                registration.id,
                registration.draining,
                describe_revision(row.revision),
                source,
            )
        known.update_registration(registration, now_ms)
        if registration.draining:
            self._record_departure(known, Departure(now_ms, source, row.revision))
        if self._recently_evacuated(registration.failure_domain, now_ms):
            known.cold_until_ms = max(known.cold_until_ms, now_ms + registration.warmup_left_ms)

    def _remove_server(self, row: Row, known: ServerState, now_ms: int, source: str) -> None:
        self._record_departure(known, Departure(now_ms, source, row.revision))
        if (
            row.value is None
            and now_ms < self.removal_grace_until_ms
            and not known.registration.draining
        ):
            known.missing = self.may_miss_servers = True
            logger.info(
                "backend server {} has no registration since revision {} from {}; it is kept, as"
                " the store was away",
                row.key.key,
                describe_revision(row.revision),
                source,
            )
            return
        logger.info(
            "backend server {} removed, revision {} from {}",
            row.key.key,
            describe_revision(row.revision),
            source,
        )
        del self.servers[row.key.key]

    def _recently_evacuated(self, failure_domain: str, now_ms: int) -> bool:
        ended_ms = self.evacuation_ended_ms.get(failure_domain)
        return ended_ms is not None and now_ms - ended_ms < POST_EVACUATION_COLD_MS

    def _apply_order(self, row: Row, now_ms: int) -> None:
        """Apply a row that orders or ends an evacuation, or that orders a release."""
        evacuated_before = self.evacuated_domains.pop(row.key, None)
        evacuated_now = self.row_codec.decode_evacuation(row)
        if evacuated_now is not None:
            self.evacuated_domains[row.key] = evacuated_now
            logger.info(
                "evacuation of failure domain {} started, revision {}",
                evacuated_now,
                describe_revision(row.revision),
            )
            return
        if evacuated_before is not None:
            self._end_evacuation(evacuated_before, now_ms)
            return
        order = self.row_codec.decode_order(row)
        if order is not None:
            self.stable_version(order.service)
            self.orders[order.service] = order
            logger.info(
                "release of service {} to version {} ordered", order.service, order.to_version
            )

    def _end_evacuation(self, failure_domain: str, now_ms: int) -> None:
        self.evacuation_ended_ms[failure_domain] = now_ms
        for state in self.servers.values():
            if state.registration.failure_domain == failure_domain:
                state.cold_until_ms = max(state.cold_until_ms, now_ms + POST_EVACUATION_COLD_MS)
        logger.info("evacuation of failure domain {} ended", failure_domain)

    def _apply_status(self, row: Row) -> None:
        status = self.row_codec.decode_status(row)
        if status is not None:
            self.statuses[status.service] = StatusRow(status, row.revision)
        elif row.value is None:
            # The store came back from a copy without it.
            gone = [name for name in self.statuses if self.row_codec.status_key(name) == row.key]
            for service in gone:
                del self.statuses[service]
