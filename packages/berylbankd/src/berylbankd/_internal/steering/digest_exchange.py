"""Decides which state a VM sends to which other VMs, and combines what it receives.

Every VM needs recent sums over the whole fleet, also with hundreds of VMs that all start at once,
restart, fall silent or lose packets. In a fleet of up to ``FULL_MESH_VMS`` each VM sends its state
to all others. Beyond it, the VMs of a failure domain report to two collectors; the primary one
sends the domain's sums to the collectors of the other domains, less often where they are far away,
and the fleet's sums to the VMs of its domain. What a VM sends and receives then depends on the size
of its domain and the number of domains, and the sums are a few intervals old at most.

A digest lists all members of a domain only when they changed and now and then. A VM that is heard
for the first time gets an answer at once, so that it knows its collectors. Datagrams stay below the
size that links carry without fragments, as larger ones get lost more often; digests of several VMs
are therefore split.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.peers.messages import (
    DigestScope,
    DomainMembers,
    Member,
    Position,
    RegionSums,
    ReleaseReport,
    StateDigest,
)
from berylbankd._internal.steering.fleet_sums import (
    FleetSums,
    merge_digests,
    subtract_own,
)
from berylbankd._internal.steering.membership import (
    COLLECTED_DIGEST_INTERVAL_MS,
    DIGEST_INTERVAL_MS,
    LISTED_TIMEOUT_MS,
    REMOTE_LISTED_TIMEOUT_MS,
    REPORT_TIMEOUT_MS,
    Membership,
)

# Intervals beyond a full mesh: reports to collectors, sums to the own domain's VMs and to the
# domains of the own region, and sums to other regions, where bytes are scarce.
REPORT_INTERVAL_MS = COLLECTED_DIGEST_INTERVAL_MS
REGION_INTERVAL_MS = COLLECTED_DIGEST_INTERVAL_MS
REMOTE_INTERVAL_MS = 1_000
# A digest that is due within this time is sent with the ones that are due now.
EARLY_SEND_MS = DIGEST_INTERVAL_MS // 2
# A changed list of members is sent this many times, as datagrams may be lost.
CHANGED_LIST_REPEATS = 3
# A list of members is sent this often although it did not change.
LIST_REFRESH_INTERVAL_MS = 6_000
# Hosts without an answer so far that get a digest at each interval, and known VMs that are silent.
UNHEARD_HOSTS_PER_INTERVAL = 4
SILENT_HOSTS_PER_INTERVAL = 2
# A VM that keeps reporting to a VM that is not its collector gets an answer this often.
ANSWER_INTERVAL_MS = 1_000
# Sums over the fleet take at most this many bytes a second of each receiver; with many names in use
# they are sent less often.
MAX_FLEET_SUMS_BYTES_PER_S = 6_000
AMOUNT_BYTES = 8
# A datagram has at most this many amounts, or lists this many members (about 45 bytes each); a
# longer list of a single domain is not split.
MAX_AMOUNTS_PER_DATAGRAM = 110
MAX_MEMBERS_PER_DATAGRAM = 24
# Sums that are older are no longer used; until then they are better than none.
MAX_SUMS_AGE_MS = 5_000


class OwnState(NamedTuple):
    """What a VM tells the others of itself."""

    ready: bool
    leaving: bool
    reading: bool
    positions: Mapping[str, int]
    loads: Mapping[int, float]
    demands: Mapping[int, float]
    organisations: Mapping[int, float]
    releases: tuple[ReleaseReport, ...]
    limits: Mapping[int, float] = MappingProxyType({})
    store_time_ms: int = 0
    doubted_tables: frozenset[str] = frozenset()
    starting: bool = False


class OutgoingDigest(NamedTuple):
    """A digest and the hosts that it is sent to."""

    digest: StateDigest
    hosts: tuple[str, ...]


class Receiver(NamedTuple):
    """An incarnation of a VM that digests are sent to."""

    vm: str
    incarnation: int


class ReceivedDigest(NamedTuple):
    """A digest and the time at which it arrived."""

    digest: StateDigest
    received_ms: int


class ReceivedParts:
    """The latest datagram of each part of a collector's digest."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.incarnation = 0
        self.parts: dict[int, ReceivedDigest] = {}
        self.received_ms = 0

    def add(self, digest: StateDigest, now_ms: int) -> None:
        """Store a datagram; parts of a digest that was split otherwise are dropped."""
        self.received_ms = now_ms
        if digest.part >= digest.parts:
            return
        if any(item.digest.parts != digest.parts for item in self.parts.values()) or (
            digest.incarnation != self.incarnation
        ):
            self.parts.clear()
        self.incarnation = digest.incarnation
        self.parts[digest.part] = ReceivedDigest(digest, now_ms)

    def current(self, now_ms: int) -> list[tuple[StateDigest, int]]:
        """Return the parts that are not too old, with their ages."""
        return [
            (item.digest, now_ms - item.received_ms)
            for item in self.parts.values()
            if now_ms - item.received_ms < MAX_SUMS_AGE_MS
        ]


class SentList:
    """When the list of members of a failure domain must be sent again.

    It goes into digests that are sent every ``interval_ms``.
    """

    def __init__(self, interval_ms: int) -> None:
        self.refresh_digests = LIST_REFRESH_INTERVAL_MS // interval_ms
        self.members: tuple[Member, ...] = ()
        self.receivers: set[Receiver] = set()
        self.repeats_left = 0
        self.digests_until_refresh = 0

    def is_due(self, members: tuple[Member, ...], receivers: set[Receiver]) -> bool:
        """Tell whether the list belongs in the next digest to these receivers."""
        if receivers - self.receivers:
            self.repeats_left = CHANGED_LIST_REPEATS
        self.receivers = receivers
        if [_identity(item) for item in members] != [_identity(item) for item in self.members]:
            self.repeats_left = CHANGED_LIST_REPEATS
        self.members = members
        self.digests_until_refresh -= 1
        if self.repeats_left == 0 and self.digests_until_refresh > 0:
            return False
        self.repeats_left = max(0, self.repeats_left - 1)
        self.digests_until_refresh = self.refresh_digests
        return True


class DigestExchange:
    """The digests that one VM sends and has received.

    ``reports`` are the other VMs' own digests, ``domain_digests`` those of collectors by failure
    domain and sender, and ``fleet_digest`` the latest one of this VM's primary collector.
    ``announcement_due`` is set when a VM has started to stop: the others must learn it at once.
    """

    def __init__(self, deployment: Deployment, membership: Membership, incarnation: int) -> None:
        self.deployment = deployment
        self.membership = membership
        self.incarnation = incarnation
        self.sequence = 0
        self.reports: dict[str, ReceivedDigest] = {}
        self.domain_digests: dict[str, dict[str, ReceivedParts]] = {}
        self.fleet_digest: ReceivedParts | None = None
        self.own_report: StateDigest | None = None
        self.sent_ms: dict[str, int] = {}
        self.answered_ms: dict[str, int] = {}
        self.announcement_due = False
        # The lists sent to the own domain, and this domain's list sent to the others.
        self.fleet_lists: dict[str, SentList] = {}
        self.near_list = SentList(REGION_INTERVAL_MS)
        self.far_list = SentList(REMOTE_INTERVAL_MS)
        self.silent_offset = 0
        self.fleet_interval_ms = REGION_INTERVAL_MS

    # Receiving

    def receive(self, digest: StateDigest, now_ms: int) -> bool:
        """Store a digest; return whether its sender must get an answer at once."""
        if digest.vm == self.deployment.vm or not self.membership.is_newer(digest, now_ms):
            return False
        if digest.scope is DigestScope.VM:
            return self._receive_report(digest, now_ms)
        if digest.scope is DigestScope.DOMAIN:
            by_sender = self.domain_digests.setdefault(digest.failure_domain, {})
            received = by_sender.setdefault(digest.vm, ReceivedParts(digest.vm))
            received.add(digest, now_ms)
            accepted = self._choose_domain_digest(by_sender, now_ms) is received
        else:
            accepted = self._accepts_fleet_digest(digest, now_ms)
            if accepted:
                if self.fleet_digest is None or self.fleet_digest.vm != digest.vm:
                    self.fleet_digest = ReceivedParts(digest.vm)
                self.fleet_digest.add(digest, now_ms)
        self.membership.record_digest(digest, now_ms, accepted=accepted)
        return False

    def _receive_report(self, digest: StateDigest, now_ms: int) -> bool:
        self.reports[digest.vm] = ReceivedDigest(digest, now_ms)
        known = self.membership.known.get(digest.vm)
        was_leaving = known is not None and known.member.leaving
        has_appeared = self.membership.record_digest(digest, now_ms)
        known = self.membership.known.get(digest.vm)
        if known is not None and known.member.leaving and not was_leaving:
            self.announcement_due = self.membership.is_primary()
        return has_appeared or self._must_redirect(digest, now_ms)

    def _must_redirect(self, digest: StateDigest, now_ms: int) -> bool:
        """Tell whether a VM reports here although this VM sends it nothing.

        It then knows too few others, and is told its collectors.
        """
        membership = self.membership
        if membership.full_mesh or (
            digest.failure_domain == self.deployment.failure_domain and membership.is_collector()
        ):
            return False
        if now_ms - self.answered_ms.get(digest.vm, -ANSWER_INTERVAL_MS) < ANSWER_INTERVAL_MS:
            return False
        self.answered_ms[digest.vm] = now_ms
        return True

    def _accepts_fleet_digest(self, digest: StateDigest, now_ms: int) -> bool:
        """Tell whether a collector's view of the fleet replaces the present one.

        One of a VM that is not this VM's primary collector is used only while there is no other.
        """
        if self.membership.collectors[0] == self.deployment.vm:
            return False
        present = self.fleet_digest
        return (
            digest.vm == self.membership.collectors[0]
            or present is None
            or now_ms - present.received_ms >= LISTED_TIMEOUT_MS
        )

    # Combining

    def sums_of_others(self, now_ms: int) -> FleetSums:
        """Return the sums over all other VMs."""
        if self.membership.full_mesh or self.membership.is_primary():
            return merge_digests(self._collected_parts(now_ms))
        fleet = self.fleet_digest
        if fleet is None or now_ms - fleet.received_ms >= MAX_SUMS_AGE_MS:
            return merge_digests(self._collected_parts(now_ms))
        return subtract_own(merge_digests(fleet.current(now_ms)), self.own_report)

    def _collected_parts(self, now_ms: int) -> list[tuple[StateDigest, int]]:
        """Return the digests that together cover each other VM once, with their ages."""
        parts: list[tuple[StateDigest, int]] = []
        for failure_domain, by_sender in self.domain_digests.items():
            if failure_domain != self.deployment.failure_domain:
                chosen = self._choose_domain_digest(by_sender, now_ms)
                if chosen is not None:
                    parts += chosen.current(now_ms)
        covered = {digest.failure_domain for digest, _ in parts}
        return parts + [
            part for part in self._fresh_reports(now_ms) if part[0].failure_domain not in covered
        ]

    def _fresh_reports(self, now_ms: int) -> list[tuple[StateDigest, int]]:
        timeout_ms = self.membership.report_timeout_ms()
        for vm, report in list(self.reports.items()):
            if now_ms - report.received_ms >= MAX_SUMS_AGE_MS:
                del self.reports[vm]
        return [
            (report.digest, now_ms - report.received_ms)
            for report in self.reports.values()
            if now_ms - report.received_ms < timeout_ms
        ]

    def _choose_domain_digest(
        self, by_sender: dict[str, ReceivedParts], now_ms: int
    ) -> ReceivedParts | None:
        """Return the digest of a domain's primary collector, or else the latest one."""
        for sender, received in list(by_sender.items()):
            if now_ms - received.received_ms >= MAX_SUMS_AGE_MS:
                del by_sender[sender]
        fresh = [
            received
            for received in by_sender.values()
            if now_ms - received.received_ms < REMOTE_LISTED_TIMEOUT_MS
        ]
        if len(fresh) <= 1:
            return fresh[0] if fresh else None
        member = self.membership.known.get(fresh[0].vm)
        domain = member.member.failure_domain if member is not None else ""
        collectors = [item.vm for item in self.membership.collectors_of(domain)]
        # While only one collector sends, it is trusted for longer.
        for vm in collectors:
            ranked = by_sender.get(vm)
            if ranked is not None and now_ms - ranked.received_ms < REPORT_TIMEOUT_MS:
                return ranked
        return max(fresh, key=lambda received: received.received_ms)

    # Sending

    def make_digests(self, own: OwnState, now_ms: int, *, urgent: bool) -> list[OutgoingDigest]:
        """Return the digests that are due; ``urgent`` sends those to all receivers now."""
        report = self._make_report(own)
        self.announcement_due = False
        outgoing: list[OutgoingDigest] = []
        self.membership.starting = own.starting
        if self.membership.record_store_state(own.reading, now_ms):
            # The next readers are told directly: collectors would pass it on too late.
            next_readers = self.membership.hosts_of_next_readers(now_ms)
            outgoing.append(OutgoingDigest(report, tuple(next_readers)))
        if self.membership.full_mesh:
            self.own_report = report
            hosts = self._mesh_hosts()
            shared = report._replace(hosts=self.membership.next_shared_hosts())
            return [OutgoingDigest(shared, tuple(hosts))] if hosts else []
        if urgent or self._is_due("report", REPORT_INTERVAL_MS, now_ms):
            self.own_report = report
            outgoing.append(OutgoingDigest(report, tuple(self._report_hosts(now_ms))))
        if self.membership.is_primary():
            outgoing += self._make_collector_digests(report, now_ms, urgent)
        return [item for item in outgoing if item.hosts]

    def make_answers(self, own: OwnState, receiver: str, now_ms: int) -> list[OutgoingDigest]:
        """Return the digests for a VM that was heard for the first time, or after a silence.

        They introduce the VMs of the receiver's failure domain, the collectors of the others, and
        all VMs that are silent.
        """
        known = self.membership.known.get(receiver)
        if known is None:
            return []
        domain = known.member.failure_domain
        lists = [
            DomainMembers(name, tuple(self._members_to_introduce(name, domain)))
            for name in sorted({item.failure_domain for item in self.membership.live} | {domain})
        ]
        report = self._make_report(own)
        answers = [
            report._replace(domains=(*report.domains, *group)) for group in group_lists(lists)
        ]
        silent = self.membership.silent_members(now_ms)
        answers += [
            report._replace(silent=tuple(silent[start : start + MAX_MEMBERS_PER_DATAGRAM]))
            for start in range(0, len(silent), MAX_MEMBERS_PER_DATAGRAM)
        ]
        return [OutgoingDigest(answer, (known.member.host,)) for answer in answers]

    def _members_to_introduce(self, failure_domain: str, receiver_domain: str) -> list[Member]:
        if failure_domain == receiver_domain:
            return self.membership.domain_members(failure_domain)
        return self.membership.collectors_of(failure_domain)

    def _make_report(self, own: OwnState) -> StateDigest:
        deployment = self.deployment
        self.sequence += 1
        member = Member(
            deployment.vm,
            deployment.host,
            deployment.caller_address,
            deployment.failure_domain,
            self.incarnation,
            self.sequence,
            deployment.capacity,
            own.ready,
            own.leaving,
            own.reading,
            own.starting,
        )
        return StateDigest(
            DigestScope.VM,
            deployment.vm,
            deployment.host,
            deployment.failure_domain,
            self.incarnation,
            self.sequence,
            tuple(
                Position(table, revision, table not in own.doubted_tables)
                for table, revision in own.positions.items()
            ),
            (DomainMembers(deployment.failure_domain, (member,)),),
            (),
            own.loads,
            (RegionSums(deployment.region, own.demands, own.organisations),),
            own.releases,
            limits=own.limits,
            store_time_ms=own.store_time_ms,
        )

    def _make_collector_digests(
        self, report: StateDigest, now_ms: int, urgent: bool
    ) -> list[OutgoingDigest]:
        near_due = urgent or self._is_due("region", REGION_INTERVAL_MS, now_ms)
        far_due = urgent or self._is_due("remote", REMOTE_INTERVAL_MS, now_ms)
        fleet_due = urgent or self._is_due("fleet", self.fleet_interval_ms, now_ms)
        if not near_due and not far_due and not fleet_due:
            return []
        near, far = self._other_collectors(now_ms)
        domain_digest = self._make_domain_digest(report, now_ms)
        outgoing: list[OutgoingDigest] = []
        for due, sent_list, receivers in (
            (near_due, self.near_list, near),
            (far_due, self.far_list, far),
        ):
            if not due:
                continue
            lists = domain_digest.domains
            is_due = sent_list.is_due(lists[0].members, _identify_receivers(receivers))
            digest = domain_digest._replace(domains=lists if is_due else ())
            hosts = tuple(item.host for item in receivers)
            outgoing += [OutgoingDigest(part, hosts) for part in split_digest(digest)]
        if fleet_due:
            members = self.membership.domain_members(self.deployment.failure_domain)
            member_hosts = tuple(item.host for item in members)
            fleet = self._make_fleet_digest(report, now_ms)
            self.fleet_interval_ms = compute_fleet_interval_ms(count_amounts(fleet))
            outgoing += [OutgoingDigest(part, member_hosts) for part in split_digest(fleet)]
        return outgoing

    def _make_domain_digest(self, report: StateDigest, now_ms: int) -> StateDigest:
        own_domain = self.deployment.failure_domain
        parts = [
            part for part in self._fresh_reports(now_ms) if part[0].failure_domain == own_domain
        ]
        domains = (DomainMembers(own_domain, self._own_domain_members(report, now_ms)),)
        sums = merge_digests([(report, 0), *parts])
        digest = report._replace(
            scope=DigestScope.DOMAIN, domains=domains, live_domains=(own_domain,)
        )
        return _replace_sums(digest, sums)

    def _make_fleet_digest(self, report: StateDigest, now_ms: int) -> StateDigest:
        lists: dict[str, list[Member]] = {name: [] for name in self.deployment.regions}
        for item in self.membership.live:
            lists.setdefault(item.failure_domain, []).append(item)
        own_domain = self.deployment.failure_domain
        lists[own_domain] = list(self._own_domain_members(report, now_ms))
        receivers = _identify_receivers(lists[own_domain])
        domains = tuple(
            DomainMembers(name, tuple(members))
            for name, members in lists.items()
            if self.fleet_lists.setdefault(name, SentList(REGION_INTERVAL_MS)).is_due(
                tuple(members), receivers
            )
        )
        live_domains = tuple(name for name, members in lists.items() if members)
        sums = merge_digests([(report, 0), *self._collected_parts(now_ms)])
        digest = report._replace(
            scope=DigestScope.FLEET, domains=domains, live_domains=live_domains
        )
        return _replace_sums(digest, sums)

    def _own_domain_members(self, report: StateDigest, now_ms: int) -> tuple[Member, ...]:
        return (*report.domains[0].members, *self.membership.heard_members(now_ms))

    # Receivers

    def _is_due(self, name: str, interval_ms: int, now_ms: int) -> bool:
        if now_ms - self.sent_ms.get(name, -interval_ms) < interval_ms - EARLY_SEND_MS:
            return False
        self.sent_ms[name] = now_ms
        return True

    def _mesh_hosts(self) -> list[str]:
        known_hosts = {known.member.host for known in self.membership.known.values()}
        unheard = self.membership.take_unheard_hosts(UNHEARD_HOSTS_PER_INTERVAL)
        return sorted(known_hosts.union(unheard))

    def _report_hosts(self, now_ms: int) -> list[str]:
        membership = self.membership
        hosts = [membership.host_of(vm) for vm in membership.report_receivers(now_ms)]
        found = [host for host in hosts if host is not None]
        found += membership.take_unheard_hosts(UNHEARD_HOSTS_PER_INTERVAL)
        fleet = self.fleet_digest
        if membership.is_collector() or (
            fleet is None or now_ms - fleet.received_ms >= LISTED_TIMEOUT_MS
        ):
            found += self._next_silent_hosts(now_ms)
        return found

    def _next_silent_hosts(self, now_ms: int) -> list[str]:
        """Return some VMs that fell silent, as the link to them may work again."""
        silent = self.membership.silent_hosts(now_ms)
        self.silent_offset += SILENT_HOSTS_PER_INTERVAL
        start = self.silent_offset % max(1, len(silent))
        return (silent + silent)[start : start + min(SILENT_HOSTS_PER_INTERVAL, len(silent))]

    def _other_collectors(self, now_ms: int) -> tuple[list[Member], list[Member]]:
        """Return the other domains' collectors: in this region, and elsewhere."""
        near: list[Member] = []
        far: list[Member] = []
        for domain, region in sorted(self.deployment.regions.items()):
            if domain != self.deployment.failure_domain:
                collectors = near if region == self.deployment.region else far
                collectors += self.membership.recent_collectors_of(domain, now_ms)
        return near, far


def _identify_receivers(members: Iterable[Member]) -> set[Receiver]:
    return {Receiver(item.vm, item.incarnation) for item in members}


def _identity(member: Member) -> tuple[str, int, tuple[bool, ...]]:
    """Return what other VMs must learn of a member soon when it changes."""
    states = (member.ready, member.leaving, member.reading, member.starting)
    return member.vm, member.incarnation, states


def _replace_sums(digest: StateDigest, sums: FleetSums) -> StateDigest:
    return digest._replace(
        loads=sums.loads,
        limits=sums.limits,
        regions=sums.regions(),
        releases=tuple(sums.releases.values()),
        age_ms=sums.age_ms,
    )


def count_amounts(digest: StateDigest) -> int:
    """Return the number of amounts in a digest."""
    return (
        len(digest.loads)
        + len(digest.limits)
        + sum(len(item.demands) + len(item.organisations) for item in digest.regions)
    )


def compute_fleet_interval_ms(amounts: int) -> int:
    """Return the interval at which the fleet's sums are sent to the VMs of a domain."""
    bytes_each = amounts * AMOUNT_BYTES
    return max(REGION_INTERVAL_MS, bytes_each * 1000 // MAX_FLEET_SUMS_BYTES_PER_S)


def split_digest(digest: StateDigest) -> list[StateDigest]:
    """Return the datagrams that together carry a digest of several VMs.

    Amounts are divided by their keys, so that each is in the same part every time.
    """
    parts = max(1, -(-count_amounts(digest) // MAX_AMOUNTS_PER_DATAGRAM))
    bare = digest._replace(
        domains=(), live_domains=(), loads={}, limits={}, regions=(), releases=(), parts=parts
    )
    datagrams = [
        bare._replace(
            part=part,
            loads=_select_part(digest.loads, part, parts),
            limits=_select_part(digest.limits, part, parts),
            regions=tuple(
                RegionSums(
                    item.region,
                    _select_part(item.demands, part, parts),
                    _select_part(item.organisations, part, parts),
                )
                for item in digest.regions
            ),
        )
        for part in range(parts)
    ]
    datagrams[0] = datagrams[0]._replace(live_domains=digest.live_domains, releases=digest.releases)
    lists = [
        bare._replace(part=parts + number, domains=group)
        for number, group in enumerate(group_lists(digest.domains))
        if group
    ]
    # The lists come first, as part 0 refreshes those that are known.
    return lists + datagrams


def group_lists(lists: Iterable[DomainMembers]) -> list[tuple[DomainMembers, ...]]:
    """Divide lists of members into groups that fit into a datagram each; there is at least one."""
    groups: list[list[DomainMembers]] = [[]]
    size = 0
    for item in lists:
        if groups[-1] and size + len(item.members) > MAX_MEMBERS_PER_DATAGRAM:
            groups.append([])
            size = 0
        groups[-1].append(item)
        size += len(item.members)
    return [tuple(group) for group in groups]


def _select_part(amounts: Mapping[int, float], part: int, parts: int) -> Mapping[int, float]:
    if parts == 1:
        return amounts
    return {key: amount for key, amount in amounts.items() if key % parts == part}
