"""All decisions of one VM together: the facts, the load and what other VMs report.

Nothing here does any I/O; every method is given the time. The request path asks :meth:`pick`, tells
what became of each dispatch, and the peer tasks feed heartbeats in and take reports out.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable

from loguru import logger

from berylbankd._internal.facts.deployment import Deployment
from berylbankd._internal.facts.types import ReleaseState, Route
from berylbankd._internal.peers.messages import (
    Heartbeat,
    NamedAmount,
    Position,
    ReleaseReport,
)
from berylbankd._internal.steering.asks import Ask, Pick
from berylbankd._internal.steering.membership import Membership
from berylbankd._internal.steering.placement import (
    ServerGroup,
    Wanted,
)
from berylbankd._internal.steering.rate_keeper import RateKeeper
from berylbankd._internal.steering.reachability import DomainWatch
from berylbankd._internal.steering.region_planner import RegionPlanner
from berylbankd._internal.steering.releases import LatencyBook, Release
from berylbankd._internal.steering.retries import RetryBudget
from berylbankd._internal.steering.returning import ReturnTimes
from berylbankd._internal.steering.servers import ServerState
from berylbankd._internal.steering.warming import ColdAllowance, find_owner
from berylbankd._internal.steering.world import Documents, World

# Requests that may wait at a server for each of its slots, where they will still be in time.
MOST_WAIT_SLOTS = 1.0
# How often demand, splits between regions and lapsed servers are brought up to date.
SLOW_TICK_MS = 500
# Weight of the newest sample in running means of demand and of service time.
DEMAND_WEIGHT = 0.36
SERVICE_TIME_WEIGHT = 0.02
# Service time assumed before the first answer.
FIRST_SERVICE_MS = 200.0
# Smallest figures worth reporting to other VMs.
LEAST_FIGURE = 0.05


class Steering:
    """The decisions of one VM."""

    def __init__(
        self, deployment: Deployment, documents: Documents, incarnation: int, now_ms: int
    ) -> None:
        self.deployment = deployment
        self.documents = documents
        self.incarnation = incarnation
        self.world = World(documents)
        self.members = Membership(deployment)
        self.rates = RateKeeper(deployment, now_ms)
        self.regions = RegionPlanner(deployment)
        self.budgets: dict[str, RetryBudget] = {}
        self.domains = DomainWatch()
        self.returns = ReturnTimes()
        self.allowances: dict[str, ColdAllowance] = {}
        self.releases: dict[str, Release] = {}
        self.latencies = LatencyBook()
        self.service_ms: dict[str, float] = {}
        self.arrivals: dict[str, int] = defaultdict(int)
        self.demands: dict[str, float] = {}
        self.credits: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        self.vms: list[Heartbeat] = []
        self.near_vms: dict[str, list[str]] = {}
        self.groups: dict[tuple[str, str | None], dict[str, ServerGroup]] = {}
        self.generation = -1
        self.loaded: set[str] = set()
        self.since_slow_ms = SLOW_TICK_MS
        self.sequence = 0
        self.leaving = False

    # Requests

    def pick(self, ask: Ask, now_ms: int) -> Pick | None:
        """Choose a backend server for a request, or None where none has room."""
        release = self.releases.get(ask.service)
        if release is None:
            return self._pick_side(ask, False, now_ms)
        side = release.choose_side()
        picked = self._pick_side(ask, side.first_new, now_ms)
        if picked is None and side.other_allowed:
            picked = self._pick_side(ask, not side.first_new, now_ms)
        return picked

    def choose_service(self, route: Route) -> str:
        """Return the service of a request, so that each gets its weight of any run of requests."""
        if len(route.services) == 1:
            return route.services[0].service
        total = sum(part.weight for part in route.services)
        credits = self.credits[route.name]
        for part in route.services:
            credits[part.service] += part.weight / total if total > 0 else 0.0
        chosen = max(route.services, key=lambda part: credits[part.service]).service
        credits[chosen] -= 1
        return chosen

    def note_arrival(self, service: str) -> None:
        """Count a request that wants a service."""
        self.arrivals[service] += 1
        self.budget(service).note_request(len(self.vms) + 1)

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service on this VM."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.deployment.bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack)
            self.budgets[service] = budget
        return budget

    def note_dispatch(self, pick: Pick) -> None:
        """Count a request that is about to leave."""
        pick.server.in_flight += 1
        if pick.release is not None:
            pick.release.note_dispatch(pick.new)

    def note_end(self, pick: Pick) -> None:
        """Count a dispatch that has ended, however it did."""
        pick.server.in_flight -= 1
        if pick.release is not None:
            pick.release.note_end(pick.new)

    def note_connected(self, pick: Pick) -> None:
        """Record that a new connection to a server was opened."""
        self.domains.note_reached(pick.server.entry.failure_domain)

    def regions_to_measure(self) -> dict[str, Heartbeat]:
        """Return a live VM in each other region, to measure the way there."""
        return {beat.region: beat for beat in self.vms if beat.region != self.deployment.region}

    def note_unreached(self, pick: Pick, now_ms: int) -> None:
        """Record that no connection to a server could be opened."""
        entry = pick.server.entry
        if pick.server.note_unreached(now_ms):
            logger.info("backend server {} ejected: not reached", entry.id)
        if not self.domains.note_unreached(entry.failure_domain, entry.id, now_ms):
            return
        logger.warning(
            "failure domain {} not reached; its servers are ejected", entry.failure_domain
        )
        for state in self.world.servers.values():
            if state.entry.failure_domain == entry.failure_domain and not state.is_ejected(now_ms):
                state.eject(now_ms)

    def note_answer(
        self, ask: Ask, pick: Pick, *, failed: bool, latency_ms: float, now_ms: int
    ) -> None:
        """Record how a dispatch turned out, for placement and as evidence on a release."""
        service, route = ask.service, ask.route
        cold = pick.server.is_cold(now_ms)
        slow = self.latencies.is_slow(route.name, latency_ms, route.objective_ms)
        if not failed and not cold:
            known = self.service_ms.get(service, latency_ms)
            self.service_ms[service] = known + SERVICE_TIME_WEIGHT * (latency_ms - known)
        if not failed and not pick.new:
            self.latencies.note(route.name, latency_ms)
        release = pick.release
        if release is not None:
            release.note_answer(route.name, pick.new, failed or (slow and not cold))
            self._judge(release, now_ms)
        if failed:
            if pick.server.note_failure(now_ms):
                logger.info("backend server {} ejected after failures", pick.server.entry.id)
        else:
            pick.server.note_success(latency_ms)

    def expected_ms(self, service: str) -> float:
        """Return how long a request of a service takes without waiting."""
        return self.service_ms.get(service, FIRST_SERVICE_MS)

    def room_in_s(self, service: str) -> float:
        """Return when a caller that found no room should come back."""
        return self.returns.next_ms(self.expected_ms(service)) / 1000

    def host_of(self, vm: str) -> str | None:
        """Return where a VM takes datagrams."""
        peer = self.members.peers.get(vm)
        return peer.beat.host if peer is not None else None

    def reload(self, deployment: Deployment) -> None:
        """Take changed settings."""
        self.deployment = self.regions.deployment = deployment

    # Other VMs

    def take_heartbeat(self, beat: Heartbeat, now_ms: int) -> None:
        """Take another VM's report; verdicts on releases count at once."""
        if not self.members.note(beat, now_ms):
            return
        for report in beat.releases:
            release = self.releases.get(report.service)
            if release is not None and release.order.revision == report.revision:
                if release.note_reports([report], now_ms):
                    logger.info(
                        "release of {}: step {}, rolled back {}, told by {}",
                        report.service,
                        release.step,
                        release.rolled_back,
                        beat.vm,
                    )
                self._judge(release, now_ms)

    def make_heartbeat(
        self, ready: bool, reading: bool, positions: dict[str, int], now_ms: int
    ) -> Heartbeat:
        """Return this VM's report."""
        self.sequence += 1
        place = self.deployment
        organisations = (NamedAmount(name, amount) for name, amount in self.rates.told.items())
        return Heartbeat(
            place.vm,
            self.incarnation,
            self.sequence,
            place.host,
            place.callers,
            place.region,
            place.failure_domain,
            ready,
            self.leaving,
            reading,
            tuple(Position(table, revision) for table, revision in positions.items()),
            _worth_telling(NamedAmount(name, amount) for name, amount in self.demands.items()),
            _worth_telling(organisations),
            tuple(
                NamedAmount(server_id, state.in_flight)
                for server_id, state in self.world.servers.items()
                if state.in_flight
            ),
            tuple(release.report(now_ms) for release in self.releases.values()),
            self.members.some_hosts(),
        )

    def tick(self, elapsed_ms: int, now_ms: int) -> None:
        """Bring demands, splits, quotas and releases up to date; called with each heartbeat."""
        self.vms = self.members.live(now_ms)
        self.near_vms = self._vms_by_region()
        self.rates.set_near(self.near_vms.get(self.deployment.region, [self.deployment.vm]))
        self._note_peers(now_ms)
        self.sync_releases(now_ms)
        self.since_slow_ms += elapsed_ms
        if self.since_slow_ms >= SLOW_TICK_MS:
            self._tick_slowly(self.since_slow_ms, now_ms)
            self.since_slow_ms = 0

    def _tick_slowly(self, elapsed_ms: int, now_ms: int) -> None:
        """Bring up to date what changes over seconds and walks over all backend servers."""
        self.world.expire_lapsed(now_ms)
        self._note_demands(elapsed_ms)
        if self.world.configuration is not None:
            services, demands = self.world.configuration.services, self._demands_by_region()
            self.regions.update(services, self.world, demands, now_ms)

    # Releases

    def sync_releases(self, now_ms: int) -> None:
        """Begin releases that were ordered, and take over verdicts already written."""
        for service, order in self.world.orders.items():
            release = self.releases.get(service)
            if release is None or release.order.revision != order.revision:
                release = Release(order, self.deployment.bounds, now_ms)
                self.releases[service] = release
            known = self.world.statuses.get(service)
            # A status row that is older than the order tells of an earlier one.
            if known is None or known.revision < order.revision:
                continue
            if known.status.to_version != order.to_version:
                continue
            if known.status.state is ReleaseState.SUCCEEDED:
                release.succeeded = True
            if known.status.state is ReleaseState.ROLLED_BACK:
                release.rolled_back = True

    def reports_on(self, release: Release) -> list[ReleaseReport]:
        """Return what live VMs report of a release."""
        order = release.order
        return [
            report
            for beat in self.vms
            for report in beat.releases
            if report.service == order.service and report.revision == order.revision
        ]

    def drives(self, service: str) -> bool:
        """Tell whether this VM takes a release's steps and writes its status now."""
        names = [beat.vm for beat in self.vms if beat.reading and not beat.leaving]
        return find_owner(service, [*names, self.deployment.vm]) == self.deployment.vm

    # Parts

    def _judge(self, release: Release, now_ms: int) -> None:
        reason = release.judge(self.reports_on(release), now_ms)
        if reason is not None:
            logger.warning(
                "release of {} to {} taken back: {}",
                release.order.service,
                release.order.to_version,
                reason,
            )

    def _pick_side(self, ask: Ask, new: bool, now_ms: int) -> Pick | None:
        groups = self._groups_of_side(ask.service, new)
        if ask.regions:
            groups = {name: group for name, group in groups.items() if name in ask.regions}
        wanted = Wanted(
            ask.object_key if ask.has_affinity else "",
            # Without an object servers are alike, and the nearest one is best.
            "" if ask.has_affinity else self.deployment.failure_domain,
            ask.tried,
            self._wait_slots(ask),
        )
        admits = self._admits(now_ms)
        for region in self.regions.order(ask, groups, now_ms):
            found = groups[region].choose(wanted, admits, now_ms)
            if found is not None:
                release = self.releases.get(ask.service)
                return Pick(found.server, new, release, found.rank, found.load)
        return None

    def _groups_of_side(self, service: str, new: bool) -> dict[str, ServerGroup]:
        """Return the servers of one side of a release by region, grouped anew on changes only."""
        if self.generation != self.world.generation:
            self.generation = self.world.generation
            self.groups.clear()
        release = self.releases.get(service)
        if release is not None and new:
            version: str | None = release.order.to_version
        else:
            version = self.world.stable_version(service)
        found = self.groups.get((service, version))
        if found is None:
            found = self.groups[service, version] = self._group(service, version)
        return found

    def _group(self, service: str, version: str | None) -> dict[str, ServerGroup]:
        regions: dict[str, list[ServerState]] = {}
        for state in self.world.servers_of(service):
            if state.entry.version == version:
                region = self.deployment.regions.get(state.entry.failure_domain, "")
                regions.setdefault(region, []).append(state)
        return {region: ServerGroup(servers) for region, servers in regions.items()}

    def _wait_slots(self, ask: Ask) -> float:
        mean = self.expected_ms(ask.service)
        in_time = min(ask.left_ms, ask.route.objective_ms)
        return min(MOST_WAIT_SLOTS, max(0.0, (in_time - mean) / mean))

    def _admits(self, now_ms: int) -> Callable[[ServerState], bool]:
        def admits(state: ServerState) -> bool:
            if not state.is_cold(now_ms):
                return True
            return self._take_cold(state, now_ms)

        return admits

    def _take_cold(self, state: ServerState, now_ms: int) -> bool:
        configuration = self.world.configuration
        service = configuration.services.get(state.entry.service) if configuration else None
        if service is None or service.warmup_per_s <= 0:
            return True
        region = self.deployment.regions.get(state.entry.failure_domain, "")
        vms = self.near_vms.get(region) or [
            name for near in self.near_vms.values() for name in near
        ]
        if find_owner(state.entry.id, vms) != self.deployment.vm:
            return False
        allowance = self.allowances.get(state.entry.id)
        if allowance is None:
            allowance = self.allowances[state.entry.id] = ColdAllowance(now_ms)
        return allowance.take(service.warmup_per_s, now_ms)

    def _vms_by_region(self) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        if not self.leaving:
            found[self.deployment.region] = [self.deployment.vm]
        for beat in sorted(self.vms, key=lambda beat: beat.vm):
            if beat.ready and not beat.leaving:
                found.setdefault(beat.region, []).append(beat.vm)
        return found

    def _note_demands(self, elapsed_ms: int) -> None:
        for service in set(self.arrivals) | set(self.demands):
            per_ms = self.arrivals.pop(service, 0) / max(1, elapsed_ms)
            demand = per_ms * self.expected_ms(service)
            known = self.demands.get(service, demand)
            self.demands[service] = known + DEMAND_WEIGHT * (demand - known)

    def _note_peers(self, now_ms: int) -> None:
        by_server: dict[str, float] = defaultdict(float)
        for beat in self.vms:
            for figure in beat.loads:
                by_server[figure.name] += figure.amount
        for server_id in self.loaded | by_server.keys():
            state = self.world.servers.get(server_id)
            if state is not None:
                state.peers_in_flight = round(by_server.get(server_id, 0))
        self.loaded = set(by_server)
        known = self.members.known_count(now_ms)
        self.rates.update(self.world.configuration, self.vms, known, now_ms)

    def _demands_by_region(self) -> dict[str, dict[str, float]]:
        found: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        found[self.deployment.region].update(self.demands)
        for beat in self.vms:
            for figure in beat.demands:
                found[beat.region][figure.name] += figure.amount
        return found


def _worth_telling(figures: Iterable[NamedAmount]) -> tuple[NamedAmount, ...]:
    return tuple(figure for figure in figures if figure.amount >= LEAST_FIGURE)
