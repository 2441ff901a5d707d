"""Combines all routing decisions of one VM with its state and the reports of other VMs.

Nothing here does I/O, and every method is given the current time. The request path calls
:meth:`Steering.pick` and records the outcome of each dispatch; the peer tasks pass in received
digests and send what :mod:`digest_exchange` makes.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping

from loguru import logger

from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.models.types import ReleaseState, Route, ServerNotices
from berylbankd._internal.peers.messages import Member, ReleaseReport, StateDigest
from berylbankd._internal.steering.digest_exchange import DigestExchange, OwnState
from berylbankd._internal.steering.fleet_sums import FleetSums, hash_name, make_empty_sums
from berylbankd._internal.steering.membership import Membership
from berylbankd._internal.steering.picks import Pick, PickRequest
from berylbankd._internal.steering.placement import (
    PlacementQuery,
    ServerGroup,
)
from berylbankd._internal.steering.quota_coordinator import FleetView, QuotaCoordinator
from berylbankd._internal.steering.reachability import DomainReachability
from berylbankd._internal.steering.region_planner import RegionPlanner
from berylbankd._internal.steering.regions import RoundTripEstimates
from berylbankd._internal.steering.releases import (
    BaselineLatency,
    Release,
    choose_release_servers,
)
from berylbankd._internal.steering.retries import RetryBudget
from berylbankd._internal.steering.retry_after import RetryAfterSpread
from berylbankd._internal.steering.routing_state import RoutingState, RowCodec
from berylbankd._internal.steering.servers import ServerState
from berylbankd._internal.steering.warmup import ColdServerBucket, find_owner

# Upper limit for requests queued per slot of a server; less where they would miss the deadline.
MAX_QUEUE_PER_SLOT = 1.0
# Interval at which demand and region splits are updated.
SLOW_TICK_INTERVAL_MS = 500
# Weight of the latest sample in the moving averages of demand and service time.
DEMAND_WEIGHT = 0.36
SERVICE_TIME_WEIGHT = 0.02
# With each response, the longest recent service time falls by this factor until one takes longer.
LONGEST_SERVICE_DECAY = 0.99
# Service time assumed before the first response.
INITIAL_SERVICE_MS = 200.0
# Latencies are taken in whole milliseconds, so those of a fast server can be 0; several decisions
# divide by the service time.
MIN_SERVICE_MS = 1.0
# Smaller amounts (slots in use, or requests per second) are left out of digests.
MIN_REPORTED_AMOUNT = 0.05


class Steering:
    """All routing decisions of one VM.

    ``server_groups`` caches the servers of each service and version by region, and the share of
    them that a release uses; it is cleared when ``grouped_generation`` is no longer the generation
    of the routing state. ``arrivals`` counts requests by service since the last slow tick, and
    ``demands`` is a moving average of the slots that they use.
    ``service_credits`` holds for each route the credit of its weighted services. ``fleet_share`` is
    that of :meth:`Membership.fleet_share`, ``possible_vms`` the number of VMs that may be running,
    and ``hears_majority`` tells whether this VM hears most of them, all as of the last tick.
    """

    def __init__(
        self, deployment: Deployment, row_codec: RowCodec, incarnation: int, now_ms: int
    ) -> None:
        self.deployment = deployment
        self.row_codec = row_codec
        self.incarnation = incarnation
        self.routing_state = RoutingState(row_codec)
        self.membership = Membership(deployment, now_ms)
        self.digest_exchange = DigestExchange(deployment, self.membership, incarnation)
        self.quotas = QuotaCoordinator(deployment)
        self.region_planner = RegionPlanner(deployment)
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.domain_reachability = DomainReachability()
        self.retry_delays = RetryAfterSpread()
        self.cold_server_buckets: dict[str, ColdServerBucket] = {}
        self.releases: dict[str, Release] = {}
        self.baseline_latency = BaselineLatency()
        self.server_round_trips = RoundTripEstimates()
        self.mean_service_ms: dict[str, float] = {}
        self.longest_recent_ms: dict[str, float] = {}
        self.arrivals: dict[str, int] = defaultdict(int)
        self.demands: dict[str, float] = {}
        self.service_credits: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        self.peer_sums: FleetSums = make_empty_sums()
        self.ready_vms_by_region: dict[str, list[str]] = {}
        self.server_groups: dict[tuple[str, str | None, float], dict[str, ServerGroup]] = {}
        self.grouped_generation = -1
        self.server_ids_by_hash: dict[int, str] = {}
        self.hashed_generation = -1
        self.servers_with_peer_load: set[str] = set()
        self.slow_tick_elapsed_ms = SLOW_TICK_INTERVAL_MS
        self.record_departure_delay: Callable[[int], None] = lambda _: None
        self.fleet_share = self.membership.fleet_share(now_ms)
        self.possible_vms = self.membership.possible_vm_count(now_ms)
        self.hears_majority = False
        self.leaving = False

    # Requests

    def pick(self, request: PickRequest, now_ms: int) -> Pick | None:
        """Choose a backend server for a request, or return None where none has capacity."""
        self.routing_state.remove_missing_servers(now_ms)
        release = self.releases.get(request.service)
        if release is None:
            return self._pick_version(request, False, now_ms)
        preference = release.choose_version(request.object_key if request.has_affinity else "")
        pick = self._pick_version(request, preference.prefer_new, now_ms)
        if pick is None and preference.allow_fallback:
            pick = self._pick_version(request, not preference.prefer_new, now_ms)
        if pick is None:
            release.return_credit()
        return pick

    def choose_service(self, route: Route) -> str:
        """Choose a service by weight; the weights hold over any sequence of requests."""
        if len(route.services) == 1:
            return route.services[0].service
        total_weight = sum(item.weight for item in route.services)
        service_credits = self.service_credits[route.name]
        for item in route.services:
            service_credits[item.service] += item.weight / total_weight if total_weight > 0 else 0.0
        chosen = max(route.services, key=lambda item: service_credits[item.service]).service
        service_credits[chosen] -= 1
        return chosen

    def record_arrival(self, service: str) -> None:
        """Count a request for a service."""
        self.arrivals[service] += 1
        self.retry_budget(service).record_request(self.possible_vms)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service on this VM."""
        retry_budget = self.retry_budgets.get(service)
        if retry_budget is None:
            bounds = self.deployment.bounds
            retry_budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack)
            self.retry_budgets[service] = retry_budget
        return retry_budget

    def record_dispatch(self, pick: Pick) -> None:
        """Count a request that is about to be sent."""
        pick.server.in_flight += 1
        if pick.release is not None:
            pick.release.record_dispatch(pick.new_version)

    def record_end(self, pick: Pick) -> None:
        """Count a dispatch as ended, whatever its outcome."""
        pick.server.in_flight -= 1
        if pick.release is not None:
            pick.release.record_end(pick.new_version)

    def record_connected(self, pick: Pick, connect_ms: float) -> None:
        """Record an opened connection: the server's failure domain is reachable, and how far."""
        failure_domain = pick.server.registration.failure_domain
        self.domain_reachability.record_reached(failure_domain)
        self.server_round_trips.record(failure_domain, connect_ms)

    def choose_measured_vms(self) -> dict[str, Member]:
        """Return one live VM in each other region, to measure the round trip."""
        by_region = {self._region_of(member): member for member in self.membership.live}
        by_region.pop(self.deployment.region, None)
        return by_region

    def record_unreachable(self, pick: Pick, now_ms: int) -> None:
        """Record that no connection to a server could be opened."""
        registration = pick.server.registration
        if pick.server.record_unreachable(now_ms):
            logger.info("backend server {} ejected: no connection could be opened", registration.id)
        if not self.domain_reachability.record_unreachable(
            registration.failure_domain, registration.id, now_ms
        ):
            return
        logger.warning(
            "failure domain {} is unreachable; ejecting its backend servers",
            registration.failure_domain,
        )
        for state in self.routing_state.servers.values():
            if (
                state.registration.failure_domain == registration.failure_domain
                and not state.is_ejected(now_ms)
            ):
                state.eject(now_ms)

    def record_response(
        self,
        request: PickRequest,
        pick: Pick,
        *,
        failed: bool,
        latency_ms: float,
        now_ms: int,
        timed_out: bool = False,
    ) -> None:
        """Record the outcome of a dispatch, for placement and as evidence on a release.

        ``timed_out`` means that the server failed the request because its time had passed.
        """
        service, route = request.service, request.route
        cold = pick.server.is_cold(now_ms)
        server_ms = self._find_server_ms(pick, latency_ms)
        slow = self.baseline_latency.is_slow(route, request.has_affinity, latency_ms, server_ms)
        if not failed and not cold:
            mean_ms = self.mean_service_ms.get(service, latency_ms)
            self.mean_service_ms[service] = mean_ms + SERVICE_TIME_WEIGHT * (latency_ms - mean_ms)
            longest_ms = LONGEST_SERVICE_DECAY * self.longest_recent_ms.get(service, 0.0)
            self.longest_recent_ms[service] = max(latency_ms, longest_ms)
        if not failed and not pick.new_version:
            self.baseline_latency.record(route.name, latency_ms, server_ms)
        release = pick.release
        if timed_out:
            self.record_unanswered(request, pick, waited_ms=latency_ms, now_ms=now_ms)
        elif release is not None:
            release.record_response(route.name, pick.new_version, failed or (slow and not cold))
            self._evaluate_release(release, now_ms)
        if failed:
            if pick.server.record_failure(now_ms):
                logger.info(
                    "backend server {} ejected after repeated failures",
                    pick.server.registration.id,
                )
        else:
            pick.server.record_success(latency_ms)

    def record_unanswered(
        self, request: PickRequest, pick: Pick, *, waited_ms: float, now_ms: int
    ) -> None:
        """Record as evidence on a release that a request ended without its server's response.

        Its time ran out, or its caller left. Callers of one route wait for different times, so both
        versions are counted alike; a wait in which the old version rarely responds is no evidence.
        It says nothing of the server alone, at which the request may only have been queued.
        """
        release, route = pick.release, request.route
        if release is None or pick.server.is_cold(now_ms):
            return
        server_ms = self._find_server_ms(pick, waited_ms)
        if self.baseline_latency.is_overdue(route, request.has_affinity, waited_ms, server_ms):
            release.record_response(route.name, pick.new_version, True)
            self._evaluate_release(release, now_ms)

    def _find_server_ms(self, pick: Pick, latency_ms: float) -> float:
        """Return the part of a latency that is not spent on the way to the server and back."""
        failure_domain = pick.server.registration.failure_domain
        return max(MIN_SERVICE_MS, latency_ms - self.server_round_trips.estimate_ms(failure_domain))

    def record_notices(
        self, state: ServerState, notices: ServerNotices, sent_ms: int, now_ms: int
    ) -> None:
        """Record what a server said of itself in a response to a request sent at ``sent_ms``."""
        was_limited = state.limit is not None
        state.record_limit(notices.limit_per_s, sent_ms, now_ms)
        if was_limited != (state.limit is not None):
            logger.info(
                "backend server {} takes {} requests per second from all VMs together",
                state.registration.id,
                "any number of" if state.limit is None else state.limit.rate_per_s,
            )
        if notices.leaving:
            self.routing_state.mark_leaving(state, now_ms)
        if notices.pause_ms is not None:
            state.paused_until_ms = max(state.paused_until_ms, now_ms + notices.pause_ms)

    def expected_service_ms(self, service: str) -> float:
        """Return the mean time to serve a request of a service, without queueing."""
        return max(MIN_SERVICE_MS, self.mean_service_ms.get(service, INITIAL_SERVICE_MS))

    def longest_service_ms(self, service: str) -> float:
        """Return the time that the slowest recent requests of a service took."""
        return max(self.expected_service_ms(service), self.longest_recent_ms.get(service, 0.0))

    def retry_after_s(self, service: str, now_ms: int) -> float:
        """Return when a caller that was refused for lack of capacity may retry, in seconds.

        While all servers have asked for a pause, that is not before the first pause ends.
        """
        delay_ms = self.retry_delays.next_delay_ms(self.expected_service_ms(service))
        servers = self.routing_state.servers_of(service)
        pause_ms = min((state.paused_until_ms - now_ms for state in servers), default=0)
        return max(0, pause_ms) / 1000 + delay_ms / 1000

    def host_of(self, vm: str) -> str | None:
        """Return the host to which datagrams for a VM are sent, or None for an unknown VM."""
        return self.membership.host_of(vm)

    def reload(self, deployment: Deployment) -> None:
        """Apply changed settings."""
        self.deployment = self.region_planner.deployment = deployment
        self.membership.deployment = self.digest_exchange.deployment = deployment
        self.quotas.manager.bounds = deployment.bounds

    # Other VMs

    def handle_digest(self, digest: StateDigest, now_ms: int) -> bool:
        """Process another VM's digest; return whether the VM must get an answer at once.

        Its release reports are evaluated at once.
        """
        must_answer = self.digest_exchange.receive(digest, now_ms)
        for report in digest.releases:
            release = self.releases.get(report.service)
            if release is None or release.order.revision != report.revision:
                continue
            if release.merge_reports([report], now_ms):
                logger.info(
                    "release of service {}: step now {}, rolled back {}, reported by VM {}",
                    report.service,
                    release.step,
                    release.rolled_back,
                    digest.vm,
                )
                self._evaluate_release(release, now_ms)
        return must_answer

    def make_own_state(
        self,
        ready: bool,
        reading: bool,
        positions: Mapping[str, int],
        now_ms: int,
    ) -> OwnState:
        """Return what this VM tells the others of itself."""
        return OwnState(
            ready,
            self.leaving,
            reading,
            positions,
            {
                hash_name(server_id): state.in_flight
                for server_id, state in self.routing_state.servers.items()
                if state.in_flight
            },
            _hash_reportable(self.demands),
            _hash_reportable(self.quotas.advertised_demand),
            tuple(release.make_report(now_ms) for release in self.releases.values()),
            self._observed_limits(now_ms),
        )

    def _observed_limits(self, now_ms: int) -> dict[int, float]:
        limits: dict[int, float] = {}
        for server_id, state in self.routing_state.servers.items():
            rate_per_s = state.observed_limit(now_ms)
            if rate_per_s is not None:
                limits[hash_name(server_id)] = rate_per_s
        return limits

    def tick(self, elapsed_ms: int, now_ms: int) -> None:
        """Update peer load, quotas and releases, and less often demands and region splits."""
        self.membership.leaving = self.leaving
        self.membership.update(now_ms)
        self.fleet_share = self.membership.fleet_share(now_ms)
        self.possible_vms = self.membership.possible_vm_count(now_ms)
        self.hears_majority = self.membership.hears_majority(now_ms)
        self.peer_sums = self.digest_exchange.sums_of_others(now_ms)
        self.ready_vms_by_region = self._group_ready_vms()
        self.quotas.set_region_vms(self._find_region_capacities())
        self._update_peer_load(now_ms)
        self._update_quotas(now_ms)
        self.sync_releases(now_ms)
        for release in self.releases.values():
            self._evaluate_release(release, now_ms)
        self.slow_tick_elapsed_ms += elapsed_ms
        if self.slow_tick_elapsed_ms >= SLOW_TICK_INTERVAL_MS:
            self._slow_tick(self.slow_tick_elapsed_ms, now_ms)
            self.slow_tick_elapsed_ms = 0

    def _slow_tick(self, elapsed_ms: int, now_ms: int) -> None:
        """Update what takes a pass over all backend servers and changes only over seconds."""
        self.routing_state.retry_failed_rows(now_ms)
        for delay_ms in self.routing_state.report_departures(now_ms):
            self.record_departure_delay(delay_ms)
        for state in self.routing_state.servers.values():
            state.forget_old_limit(now_ms)
        for server_id in self.cold_server_buckets.keys() - self.routing_state.servers.keys():
            del self.cold_server_buckets[server_id]
        self._update_demands(elapsed_ms)
        if self.routing_state.configuration is not None:
            services, demands = self.routing_state.configuration.services, self._demands_by_region()
            self.region_planner.update(services, self.routing_state, demands, now_ms)

    # Releases

    def sync_releases(self, now_ms: int) -> None:
        """Start releases that were ordered, and apply outcomes already written to the store."""
        for service, order in self.routing_state.orders.items():
            release = self.releases.get(service)
            if release is None or not release.order.is_same(order):
                release = Release(order, self.deployment.bounds, now_ms)
                self.releases[service] = release
            release.adopt_order(order, now_ms)
            release.service_ms = self.expected_service_ms(service)
            status_row = self.routing_state.statuses.get(service)
            # A status row older than the order belongs to an earlier release.
            if status_row is None or status_row.revision < order.revision:
                continue
            if status_row.status.to_version != order.to_version:
                continue
            if status_row.status.state is ReleaseState.SUCCEEDED:
                release.succeeded = True
            if status_row.status.state is ReleaseState.ROLLED_BACK:
                release.rolled_back = True

    def collect_peer_reports(self, release: Release) -> list[ReleaseReport]:
        """Return what the other live VMs report on a release."""
        key = (release.order.service, release.order.revision)
        report = self.peer_sums.releases.get(key)
        return [report] if report is not None else []

    def is_release_driver(self, service: str) -> bool:
        """Tell whether this VM advances a service's release and concludes it for all VMs.

        That needs a view of most of the fleet: the others may still use the old version, or have
        evidence against the new one.
        """
        return self.hears_majority and self.ranks_first_for_release(service)

    def ranks_first_for_release(self, service: str) -> bool:
        """Tell whether this VM acts on a release for the VMs that it hears."""
        names = [
            member.vm for member in self.membership.live if member.reading and not member.leaving
        ]
        return find_owner(service, [*names, self.deployment.vm]) == self.deployment.vm

    # Helpers

    def _evaluate_release(self, release: Release, now_ms: int) -> None:
        reason = release.evaluate(self.collect_peer_reports(release), now_ms)
        if reason is not None:
            logger.warning(
                "release of service {} to version {} rolled back: {}",
                release.order.service,
                release.order.to_version,
                reason,
            )

    def _pick_version(self, request: PickRequest, new_version: bool, now_ms: int) -> Pick | None:
        groups = self._find_groups(request.service, new_version)
        if request.regions:
            groups = {name: group for name, group in groups.items() if name in request.regions}
        query = PlacementQuery(
            request.object_key if request.has_affinity else "",
            # Without an object all servers are equally fast, and the nearest one is best.
            "" if request.has_affinity else self.deployment.failure_domain,
            request.tried,
            self._compute_max_queue_per_slot(request),
        )
        admit = self._make_admission_check(now_ms)
        regions = self.region_planner.order_regions(request, groups, now_ms)
        for region in regions:
            placement = groups[region].choose(query, admit, now_ms)
            if placement is not None:
                if region != regions[0]:
                    self.region_planner.record_overflow(request.service, groups[region], now_ms)
                release = self.releases.get(request.service)
                return Pick(placement.server, new_version, release, placement.rank, placement.load)
        return None

    def _find_groups(self, service: str, new_version: bool) -> dict[str, ServerGroup]:
        """Return the servers of the new or the stable version by region, cached until a change."""
        if self.grouped_generation != self.routing_state.generation:
            self.grouped_generation = self.routing_state.generation
            self.server_groups.clear()
        release = self.releases.get(service)
        share = 1.0
        if release is not None and new_version:
            version: str | None = release.order.to_version
            share = release.current_share()
        else:
            version = self.routing_state.stable_version(service)
        key = (service, version, share)
        found = self.server_groups.get(key)
        if found is None:
            found = self.server_groups[key] = self._group_servers(service, version, share)
        return found

    def _group_servers(
        self, service: str, version: str | None, share: float
    ) -> dict[str, ServerGroup]:
        regions: dict[str, list[ServerState]] = {}
        for state in self.routing_state.servers_of(service):
            if state.registration.version == version:
                region = self.deployment.regions.get(state.registration.failure_domain, "")
                regions.setdefault(region, []).append(state)
        return {
            region: ServerGroup(choose_release_servers(servers, share))
            for region, servers in regions.items()
        }

    def _compute_max_queue_per_slot(self, request: PickRequest) -> float:
        service_ms = self.expected_service_ms(request.service)
        available_ms = min(request.remaining_ms, request.route.objective_ms)
        return min(MAX_QUEUE_PER_SLOT, max(0.0, (available_ms - service_ms) / service_ms))

    def _make_admission_check(self, now_ms: int) -> Callable[[ServerState], bool]:
        def admit(state: ServerState) -> bool:
            if state.is_cold(now_ms) and not self._admit_cold(state, now_ms):
                return False
            return self._admit_limited(state, now_ms)

        return admit

    def _admit_limited(self, state: ServerState, now_ms: int) -> bool:
        return state.limit is None or state.limit.take(
            state.registration.id,
            self.deployment.vm,
            self._vms_near(state),
            self.fleet_share,
            now_ms,
        )

    def _admit_cold(self, state: ServerState, now_ms: int) -> bool:
        configuration = self.routing_state.configuration
        service = configuration.services.get(state.registration.service) if configuration else None
        if service is None or service.warmup_per_s <= 0:
            return True
        if find_owner(state.registration.id, self._vms_near(state)) != self.deployment.vm:
            return False
        bucket = self.cold_server_buckets.get(state.registration.id)
        if bucket is None:
            bucket = self.cold_server_buckets[state.registration.id] = ColdServerBucket(now_ms)
        return bucket.take(service.warmup_per_s, self.fleet_share, now_ms)

    def _vms_near(self, state: ServerState) -> list[str]:
        """Return the ready VMs of a server's region, or all ready VMs if there is none."""
        region = self.deployment.regions.get(state.registration.failure_domain, "")
        return self.ready_vms_by_region.get(region) or [
            name for region_vms in self.ready_vms_by_region.values() for name in region_vms
        ]

    def _region_of(self, member: Member) -> str:
        return self.deployment.regions.get(member.failure_domain, "")

    def _group_ready_vms(self) -> dict[str, list[str]]:
        vms_by_region: dict[str, list[str]] = {}
        if not self.leaving:
            vms_by_region[self.deployment.region] = [self.deployment.vm]
        for member in self.membership.live:
            if member.ready and not member.leaving:
                vms_by_region.setdefault(self._region_of(member), []).append(member.vm)
        return {region: sorted(vms) for region, vms in vms_by_region.items()}

    def _find_region_capacities(self) -> dict[str, float]:
        """Return the ready VMs of this region, which may own token buckets."""
        region = self.deployment.region
        capacities = {
            member.vm: member.capacity
            for member in self.membership.live
            if member.ready and not member.leaving and self._region_of(member) == region
        }
        if not self.leaving or not capacities:
            capacities[self.deployment.vm] = self.deployment.capacity
        return capacities

    def _update_demands(self, elapsed_ms: int) -> None:
        for service in set(self.arrivals) | set(self.demands):
            arrivals_per_ms = self.arrivals.pop(service, 0) / max(1, elapsed_ms)
            demand = arrivals_per_ms * self.expected_service_ms(service)
            mean = self.demands.get(service, demand)
            self.demands[service] = mean + DEMAND_WEIGHT * (demand - mean)

    def _update_peer_load(self, now_ms: int) -> None:
        if self.hashed_generation != self.routing_state.generation:
            self.hashed_generation = self.routing_state.generation
            self.server_ids_by_hash = {
                hash_name(server_id): server_id for server_id in self.routing_state.servers
            }
        by_server = {
            self.server_ids_by_hash[key]: amount
            for key, amount in self.peer_sums.loads.items()
            if key in self.server_ids_by_hash
        }
        for server_id in self.servers_with_peer_load | by_server.keys():
            state = self.routing_state.servers.get(server_id)
            if state is not None:
                state.peers_in_flight = round(by_server.get(server_id, 0))
        self.servers_with_peer_load = set(by_server)
        for key, rate_per_s in self.peer_sums.limits.items():
            state = self.routing_state.servers.get(self.server_ids_by_hash.get(key, ""))
            if state is not None:
                state.learn_limit(rate_per_s, now_ms)

    def _update_quotas(self, now_ms: int) -> None:
        fleet = FleetView(
            self.membership.rate_share(now_ms),
            self.possible_vms,
            len({self.deployment.region, *map(self._region_of, self.membership.live)}),
        )
        self.quotas.update(
            self.routing_state.configuration, self.peer_sums.organisations, fleet, now_ms
        )

    def _demands_by_region(self) -> dict[str, dict[str, float]]:
        configuration = self.routing_state.configuration
        services = configuration.services if configuration is not None else {}
        by_region: dict[str, dict[str, float]] = {self.deployment.region: dict(self.demands)}
        for region, demands in self.peer_sums.demands.items():
            total = by_region.setdefault(region, {})
            for service in services:
                amount = demands.get(hash_name(service), 0.0)
                total[service] = total.get(service, 0.0) + amount
        return by_region


def _hash_reportable(amounts: Mapping[str, float]) -> dict[int, float]:
    return {
        hash_name(name): amount for name, amount in amounts.items() if amount >= MIN_REPORTED_AMOUNT
    }
