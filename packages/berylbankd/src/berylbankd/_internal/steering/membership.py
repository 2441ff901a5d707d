"""Tracks the VMs of the fleet, and assigns the tasks that some VMs have for the others.

VMs can crash, freeze, restart or be partitioned at any moment, hundreds at once. A VM counts as
live while its own digests arrive here, or while a collector lists it. Collectors are two VMs of
each failure domain that the domain's other VMs report to; they are chosen by a ranking that needs
no election, so a wrong view costs messages and never a rule.

What all VMs together may do at most, such as an organisation's rate, is divided by
:meth:`Membership.fleet_share`: VMs that hear each other use the share of the fleet that they are. A
silent VM may only be cut off, and then uses its own share, so the others leave that unused.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.peers.messages import (
    DigestScope,
    Member,
    Position,
    SilentMember,
    StateDigest,
)
from berylbankd._internal.steering.hashing import hash_to_fraction

# Interval at which a VM updates what it knows of the others and sends its digests, in a full mesh
# and else; see digest_exchange for the intervals of each scope.
DIGEST_INTERVAL_MS = 250
COLLECTED_DIGEST_INTERVAL_MS = 500
# Up to this many VMs every VM sends its state to all others, and there are no collectors.
FULL_MESH_VMS = 16
# A VM is no longer heard after this time without a digest of its own, in a full mesh and else.
FULL_MESH_TIMEOUT_MS = 5 * DIGEST_INTERVAL_MS
REPORT_TIMEOUT_MS = 1_600
# A collector that hears nothing at all for this time no longer states who is live. It is shorter,
# so that the collector does not first drop the VMs that it cannot hear.
DEAF_TIMEOUT_MS = 1_100
# A VM that is only known through a collector is no longer live this long after the last digest that
# listed it. It covers the replacement of a failed collector. Digests of other regions are less
# frequent.
LISTED_TIMEOUT_MS = 2_500
REMOTE_LISTED_TIMEOUT_MS = 3_500
# A collector that sent nothing for REPORT_TIMEOUT_MS is left out of the ranking for this long, and
# its successor too if it does not take over within the handover time.
SUSPICION_MS = 3_000
HANDOVER_MS = 1_000
COLLECTORS_PER_DOMAIN = 2
# A silent VM still counts in the fleet size for this long, which decides how digests are sent.
FLEET_SIZE_TTL_MS = 20_000
# A VM that has been silent for this long is forgotten. Regions can lose each other for an hour:
# until then it may use its share of what all VMs may do together, and VMs that forgot all of the
# other region would never find them again.
FORGET_MS = 7_200_000
# A VM assumes at least this many VMs for DISCOVERY_MS after its start, and until it has heard of
# others or knows that it is the only one.
ASSUMED_VMS_AT_START = 12
DISCOVERY_MS = 1_000
# While a VM learns of the others after its start, a failure domain of which it hears one VM counts
# as heard for the rates of organisations, as the lists of its members follow.
LEARNING_MS = 4_000
# A VM that hears nothing at all for this many times the usual interval is cut off. The others still
# use its share until they notice, so that it uses only a part of that at first.
ISOLATION_INTERVALS = 2.5
ISOLATED_SHARE = 0.25
# Weight of the latest interval in the mean; shorter ones are between datagrams of one digest.
INTERVAL_WEIGHT = 0.2
MIN_INTERVAL_MS = 50
# Peer hosts listed in each VM's digest in a full mesh, so that VMs discover each other through any
# one of them.
HOSTS_PER_DIGEST = 8
# Digests sent to a host from which nothing was ever heard, before it is given up.
MAX_HOST_ATTEMPTS = 12
# Number of VMs that read the store for the whole fleet; the second covers a failure of the first.
STORE_READER_COUNT = 2
# The store can turn many VMs away while it serves others. For each VM whose call failed within the
# window, more of the next ones try at once, as trying them one after the other takes too long.
READERS_PER_FAILURE = 3
MAX_EXTRA_READERS = 6
READ_FAILURE_WINDOW_MS = 3_000
NEVER_MS = -(10**9)


class KnownMember:
    """Another VM: its newest state, and when this VM last heard of it.

    ``heard_ms`` is the time of its own last digest, ``listed_ms`` of the last one that listed it as
    live, ``live_ms`` when it was last known to be live. ``read_failed_ms`` is when it was first
    known that the store did not answer it any more.
    """

    def __init__(self, member: Member) -> None:
        self.member = member
        self.heard_ms = NEVER_MS
        self.listed_ms = NEVER_MS
        self.live_ms = NEVER_MS
        self.read_failed_ms = NEVER_MS


class SourcePositions:
    """The positions that a VM stated in its last digest, and when it arrived."""

    def __init__(self, positions: tuple[Position, ...], now_ms: int) -> None:
        self.positions = {position.table: position for position in positions}
        self.received_ms = now_ms


class Membership:
    """All other VMs that this VM knows.

    ``hosts`` are the IP addresses of all other VMs that may be running, known from digests,
    settings or the store. ``lists`` holds the latest lists of each collector that this VM heard, by
    failure domain, and ``live`` the other live VMs as of the last update. ``full_mesh`` tells that
    the fleet is small enough for every VM to send its state to all others. ``collectors`` are the
    VMs that this VM's failure domain reports to, the primary one first. ``leaving`` is set while
    this VM is stopping. ``hears_others`` is false while nothing arrives from any of the known VMs,
    so that this VM's view of the fleet is void. ``is_alone`` is set while no other VM is known,
    here or in the store; ``registered_hosts`` are those of other VMs in the store, and
    ``recorded_size`` is the number of VMs that was recorded there last, 0 if none was.
    ``reads_store`` is false since ``read_failed_ms`` if the store does not answer this VM, and
    ``starting`` is set until a call to it has ended after a restart.
    """

    def __init__(self, deployment: Deployment, now_ms: int = 0) -> None:
        self.deployment = deployment
        self.started_ms = now_ms
        self.vm = deployment.vm
        self.host = deployment.host
        self.known: dict[str, KnownMember] = {}
        self.sources: dict[str, SourcePositions] = {}
        self.hosts: set[str] = set()
        self.host_attempts: dict[str, int] = {}
        self.shared_hosts_offset = 0
        self.lists: dict[str, dict[str, frozenset[str]]] = {}
        self.live: list[Member] = []
        self.full_mesh = True
        self.collectors: list[str] = [deployment.vm]
        self.suspected_until_ms: dict[str, int] = {}
        self.primary_heard_ms = 0
        self.collecting_since_ms: int | None = None
        self.leaving = False
        self.received_ms = now_ms
        self.mean_interval_ms = 0.0
        self.hears_others = True
        self.is_alone = False
        self.registered_hosts: set[str] = set()
        self.recorded_size = 0
        self.reads_store = True
        self.read_failed_ms = NEVER_MS
        self.starting = False

    # Digests of other VMs

    def record_digest(self, digest: StateDigest, now_ms: int, *, accepted: bool = True) -> bool:
        """Learn the members that a digest names; return whether its sender has just appeared.

        ``accepted`` is false for a collector's digest while another collector's is used. Its lists
        then add members and remove none, as two collectors that disagree must not make the lists
        change back and forth.
        """
        known = self.known.get(digest.vm)
        has_appeared = (
            known is None
            or known.member.incarnation != digest.incarnation
            or not self.is_live(known, now_ms)
        )
        self._record_interval(now_ms - self.received_ms)
        self.received_ms = now_ms
        self.sources[digest.vm] = SourcePositions(digest.positions, now_ms)
        if digest.scope is DigestScope.VM:
            self._record_introductions(digest, now_ms)
            self._record_silent(digest, now_ms)
        else:
            lists = self.lists.setdefault(digest.vm, {})
            for domain in digest.domains:
                lists[domain.failure_domain] = frozenset(item.vm for item in domain.members)
            if accepted:
                self._record_lists(digest, now_ms)
            else:
                self._add_members(digest, now_ms)
            sender = self.known.get(digest.vm)
            if sender is not None:
                sender.heard_ms = sender.live_ms = now_ms
            if digest.scope is DigestScope.FLEET and digest.vm == self.collectors[0]:
                self.primary_heard_ms = now_ms
        self.hosts.update(digest.hosts)
        self.hosts.add(digest.host)
        self.hosts.discard(self.host)
        return has_appeared

    def _record_interval(self, interval_ms: int) -> None:
        if MIN_INTERVAL_MS <= interval_ms < REMOTE_LISTED_TIMEOUT_MS:
            self.mean_interval_ms += INTERVAL_WEIGHT * (interval_ms - self.mean_interval_ms)

    def is_newer(self, digest: StateDigest, now_ms: int) -> bool:
        """Tell whether a digest is no older than what is known of its sender.

        A VM's clock may have been set back before it restarted, so a lower incarnation is accepted
        from a VM that has not been heard for some time.
        """
        known = self.known.get(digest.vm)
        if known is None or digest.incarnation > known.member.incarnation:
            return True
        if digest.incarnation < known.member.incarnation:
            return not self._is_heard(known, now_ms)
        return digest.sequence >= known.member.sequence or digest.scope is not DigestScope.VM

    def _record_member(self, member: Member, now_ms: int, *, heard: bool) -> None:
        if member.vm == self.vm:
            return
        known = self.known.get(member.vm)
        if known is None:
            known = self.known[member.vm] = KnownMember(member)
            if not member.reading:
                known.read_failed_ms = now_ms
        version = (member.incarnation, member.sequence)
        known_version = (known.member.incarnation, known.member.sequence)
        # Versions go back when a VM's clock was set back before it restarted.
        if version >= known_version or not self._is_heard(known, now_ms):
            if known.member.reading and not member.reading:
                known.read_failed_ms = now_ms
            known.member = member
        if heard:
            known.heard_ms = now_ms
        else:
            known.listed_ms = now_ms
        known.live_ms = now_ms
        self.hosts.add(member.host)
        self.host_attempts.pop(member.host, None)

    def _record_introductions(self, digest: StateDigest, now_ms: int) -> None:
        """Learn a VM's state and the other VMs that it names.

        Known VMs that are silent count as live only if this VM has lost sight of most of the fleet:
        the sender may not have noticed yet that they failed.
        """
        has_lost_sight = 2 * len(self.live) < len(self.known)
        for domain in digest.domains:
            for member in domain.members:
                heard = member.vm == digest.vm
                if heard or has_lost_sight or member.vm not in self.known:
                    self._record_member(member, now_ms, heard=heard)

    def _record_silent(self, digest: StateDigest, now_ms: int) -> None:
        """Learn VMs that the sender no longer hears and that this VM has never heard of."""
        for silent in digest.silent:
            member = silent.member
            if member.vm != self.vm and member.vm not in self.known:
                known = self.known[member.vm] = KnownMember(member)
                known.live_ms = now_ms - silent.silent_ms
                self.hosts.add(member.host)

    def _add_members(self, digest: StateDigest, now_ms: int) -> None:
        """Learn members from a collector whose lists are not used now.

        Of the fleet only unknown ones are added: two collectors would otherwise keep a dead VM
        alive by listing it to each other.
        """
        for domain in digest.domains:
            for member in domain.members:
                if digest.scope is DigestScope.DOMAIN or member.vm not in self.known:
                    self._record_member(member, now_ms, heard=False)

    def _record_lists(self, digest: StateDigest, now_ms: int) -> None:
        """Learn which VMs a collector knows to be live, in its own domain or in the fleet."""
        for domain in digest.domains:
            for member in domain.members:
                self._record_member(member, now_ms, heard=False)
        lists = self.lists.get(digest.vm, {})
        changed = {domain.failure_domain for domain in digest.domains}
        live_domains = set(digest.live_domains)
        for vm, known in self.known.items():
            domain_name = known.member.failure_domain
            listed = lists.get(domain_name)
            if listed is None or (digest.part and domain_name not in changed):
                continue
            if vm in listed and (domain_name in changed or domain_name in live_domains):
                known.listed_ms = known.live_ms = now_ms
            else:
                known.listed_ms = NEVER_MS

    # Who is live

    def is_live(self, known: KnownMember, now_ms: int) -> bool:
        """Tell whether another VM is live."""
        region = self.deployment.regions.get(known.member.failure_domain)
        is_remote = region != self.deployment.region
        timeout_ms = REMOTE_LISTED_TIMEOUT_MS if is_remote else LISTED_TIMEOUT_MS
        return now_ms - known.listed_ms < timeout_ms or self._is_heard(known, now_ms)

    def _is_heard(self, known: KnownMember, now_ms: int) -> bool:
        return now_ms - known.heard_ms < self.report_timeout_ms()

    def update(self, now_ms: int) -> None:
        """Update the live members and the collectors of this VM's failure domain."""
        self.full_mesh = self.fleet_size(now_ms) <= FULL_MESH_VMS
        self.hears_others = not self.known or now_ms - self.received_ms < DEAF_TIMEOUT_MS
        self.live = [known.member for known in self.known.values() if self.is_live(known, now_ms)]
        for known in list(self.known.values()):
            if now_ms - known.live_ms >= FORGET_MS:
                del self.known[known.member.vm]
                self.sources.pop(known.member.vm, None)
                self.lists.pop(known.member.vm, None)
        if self.known:
            self.is_alone = False
        self._update_collectors(now_ms)

    def fleet_size(self, now_ms: int) -> int:
        """Return the number of VMs, including this one and those that fell silent recently."""
        return 1 + sum(
            1
            for known in self.known.values()
            if now_ms - known.live_ms < FLEET_SIZE_TTL_MS and not known.member.leaving
        )

    def heard_vms(self) -> list[str]:
        """Return the VMs that this VM hears and that are not stopping, including this one."""
        return [self.vm, *(member.vm for member in self.live if not member.leaving)]

    def possible_vms(self) -> list[str]:
        """Return the VMs that may be running, heard or not, including this one."""
        others = [vm for vm, known in self.known.items() if not known.member.leaving]
        return [self.vm, *others]

    def possible_vm_count(self, now_ms: int) -> int:
        """Return the number of VMs that may be running, assumed until the others are known."""
        count = len(self.possible_vms())
        if not self._knows_fleet(now_ms):
            return max(self.recorded_size or ASSUMED_VMS_AT_START, count)
        return count if now_ms - self.started_ms >= FORGET_MS else self.estimate_size()

    def estimate_size(self) -> int:
        """Return the number of VMs by what is known here and in the store, 0 if nothing is known.

        A VM that restarts while it is cut off does not know the VMs on the other side.
        """
        count = len(self.possible_vms())
        if not self.known and not self.is_alone:
            return self.recorded_size
        known_hosts = {known.member.host for known in self.known.values()}
        if self.registered_hosts <= known_hosts:
            return count
        stopped = sum(known.member.leaving for known in self.known.values())
        return max(self.recorded_size - stopped, count)

    def fleet_share(self, now_ms: int) -> float:
        """Return the share of the fleet that the VMs are that this VM hears, including this one."""
        possible = self.possible_vm_count(now_ms)
        # Digests with many amounts are sent less often.
        interval_ms = max(self.digest_interval_ms(), self.mean_interval_ms)
        isolated_ms = now_ms - self.received_ms - ISOLATION_INTERVALS * interval_ms
        if not self.known or isolated_ms < 0:
            return len(self.heard_vms()) / possible
        notice_ms = FULL_MESH_TIMEOUT_MS if self.full_mesh else REMOTE_LISTED_TIMEOUT_MS
        return (1.0 if isolated_ms >= notice_ms else ISOLATED_SHARE) / possible

    def rate_share(self, now_ms: int) -> float:
        """Return the share of the rates of organisations for the VMs that this VM hears.

        When a whole fleet restarts, every VM hears most of the others only after some seconds.
        """
        share = self.fleet_share(now_ms)
        elapsed_ms = now_ms - self.started_ms
        # Before the first interval has passed, a VM has heard others by chance.
        if not self.live or not COLLECTED_DIGEST_INTERVAL_MS <= elapsed_ms < LEARNING_MS:
            return share
        domains = {member.failure_domain for member in self.live if not member.leaving}
        domains.add(self.deployment.failure_domain)
        return max(share, len(domains) / len(self.deployment.regions.keys() | domains))

    def hears_majority(self, now_ms: int) -> bool:
        """Tell whether this VM hears most of the fleet; of two halves one counts as most."""
        heard, possible = self.heard_vms(), self.possible_vms()
        twice_heard, count = 2 * len(heard), self.possible_vm_count(now_ms)
        return twice_heard > count or (twice_heard == count and min(possible) in heard)

    def silent_members(self, now_ms: int) -> list[SilentMember]:
        """Return the known VMs that are silent and may only be cut off."""
        return [
            SilentMember(known.member, max(0, now_ms - known.live_ms))
            for known in self.known.values()
            if not known.member.leaving and not self.is_live(known, now_ms)
        ]

    def _knows_fleet(self, now_ms: int) -> bool:
        elapsed_ms = now_ms - self.started_ms
        if elapsed_ms < DISCOVERY_MS:
            return False
        return bool(self.known) or self.is_alone or elapsed_ms >= FORGET_MS

    def digest_interval_ms(self) -> int:
        """Return the interval at which this VM updates its view and sends its digests."""
        return DIGEST_INTERVAL_MS if self.full_mesh else COLLECTED_DIGEST_INTERVAL_MS

    def report_timeout_ms(self) -> int:
        """Return after which time without a digest of its own a VM is no longer heard."""
        return FULL_MESH_TIMEOUT_MS if self.full_mesh else REPORT_TIMEOUT_MS

    def host_of(self, vm: str) -> str | None:
        """Return the host of a VM, or None if it is not known."""
        known = self.known.get(vm)
        return known.member.host if known is not None else None

    # Collectors

    def is_collector(self) -> bool:
        """Tell whether the VMs of this failure domain report to this VM."""
        return self.vm in self.collectors

    def is_primary(self) -> bool:
        """Tell whether this VM sends the state of its failure domain to the other ones."""
        return self.collectors[0] == self.vm and self.hears_others

    def domain_members(self, failure_domain: str) -> list[Member]:
        """Return the other live VMs of a failure domain."""
        return [item for item in self.live if item.failure_domain == failure_domain]

    def heard_members(self, now_ms: int) -> list[Member]:
        """Return the other live VMs of this VM's domain, as it states them as a collector.

        Once they have had time to report, only those that this VM hears itself are live.
        """
        members = self.domain_members(self.deployment.failure_domain)
        if self.collecting_since_ms is None or (
            now_ms - self.collecting_since_ms < REPORT_TIMEOUT_MS
        ):
            return members
        return [item for item in members if self._is_heard(self.known[item.vm], now_ms)]

    def collectors_of(self, failure_domain: str) -> list[Member]:
        """Return the collectors of another failure domain."""
        members = [item for item in self.domain_members(failure_domain) if not item.leaving]
        return rank_collectors(members)[:COLLECTORS_PER_DOMAIN]

    def recent_collectors_of(self, failure_domain: str, now_ms: int) -> list[Member]:
        """Return a domain's collectors, or the last ones if no VM of it is live any more.

        A VM that has just become a collector hears of the other domains only once it has sent them
        a digest.
        """
        recent = [
            known.member
            for known in self.known.values()
            if known.member.failure_domain == failure_domain
            and not known.member.leaving
            and now_ms - known.live_ms < FLEET_SIZE_TTL_MS
        ]
        return self.collectors_of(failure_domain) or rank_collectors(recent)[:COLLECTORS_PER_DOMAIN]

    def _update_collectors(self, now_ms: int) -> None:
        self._suspect_silent_primary(now_ms)
        own = Member(
            self.vm, self.host, "", self.deployment.failure_domain, 0, 0, self.deployment.capacity,
            True, False, True,
        )  # fmt: skip
        candidates = [] if self.leaving else [own]
        candidates += [
            item
            for item in self.domain_members(self.deployment.failure_domain)
            if not item.leaving and now_ms >= self.suspected_until_ms.get(item.vm, 0)
        ]
        ranked = rank_collectors(candidates or [own])
        collectors = [item.vm for item in ranked[:COLLECTORS_PER_DOMAIN]]
        if collectors[0] != self.collectors[0]:
            self.primary_heard_ms = now_ms - REPORT_TIMEOUT_MS + HANDOVER_MS
        self.collectors = collectors
        if not self.is_collector():
            self.collecting_since_ms = None
        elif self.collecting_since_ms is None:
            self.collecting_since_ms = now_ms

    def _suspect_silent_primary(self, now_ms: int) -> None:
        primary = self.collectors[0]
        if primary == self.vm or self.full_mesh:
            self.primary_heard_ms = now_ms
        elif now_ms - self.primary_heard_ms >= REPORT_TIMEOUT_MS:
            self.suspected_until_ms[primary] = now_ms + SUSPICION_MS

    def report_receivers(self, now_ms: int) -> list[str]:
        """Return the VMs that this VM reports to: its collectors, and those that it suspects."""
        receivers = [*self.collectors]
        receivers += [vm for vm, until_ms in self.suspected_until_ms.items() if now_ms < until_ms]
        if not self.hears_others:
            # The others may still hear this VM.
            recent = self.recent_collectors_of(self.deployment.failure_domain, now_ms)
            receivers += [member.vm for member in recent]
        return [vm for vm in dict.fromkeys(receivers) if vm != self.vm]

    # Readers of the store

    def record_store_state(self, reads_store: bool, now_ms: int) -> bool:
        """Store whether the store answers this VM; return whether it has just stopped doing so."""
        has_failed = self.reads_store and not reads_store
        if has_failed:
            self.read_failed_ms = now_ms
        self.reads_store = reads_store
        return has_failed

    def choose_readers(self, now_ms: int) -> set[str]:
        """Return the VMs that read the store, by a ranking that is the same on all VMs.

        A VM that gets no answer from the store is left out of the ranking while another VM can read
        it, and so is one that has started again and has had no answer yet. The former keeps trying
        to read the store in any case. The latter reads beside the others if it would rank among
        them, so that they stop only once the store has answered it.
        """
        reading = [member for member in self.live if member.reading and not member.leaving]
        candidates = {item.vm: item.failure_domain for item in reading if not item.starting}
        with_starting = {item.vm: item.failure_domain for item in reading}
        if self.reads_store or not with_starting:
            with_starting[self.vm] = self.deployment.failure_domain
        if self.reads_store and not self.starting:
            candidates[self.vm] = self.deployment.failure_domain
        candidates = candidates or with_starting
        failure_times_ms = [known.read_failed_ms for known in self.known.values()]
        failures = sum(
            now_ms - failed_ms < READ_FAILURE_WINDOW_MS
            for failed_ms in (*failure_times_ms, self.read_failed_ms)
        )
        count = STORE_READER_COUNT + min(MAX_EXTRA_READERS, READERS_PER_FAILURE * failures)
        readers = set(rank_readers(candidates, self.deployment.regions)[:count])
        if not self.reads_store:
            return readers | {self.vm}
        if self.starting:
            ranked = rank_readers(with_starting, self.deployment.regions)
            readers |= {self.vm} & set(ranked[:count])
        return readers

    def hosts_of_next_readers(self, now_ms: int) -> list[str]:
        """Return the hosts of the other readers, to tell them that this one has failed."""
        hosts = [self.host_of(vm) for vm in sorted(self.choose_readers(now_ms) - {self.vm})]
        return [host for host in hosts if host is not None]

    # Hosts

    def next_shared_hosts(self) -> tuple[str, ...]:
        """Return hosts of live VMs for the next digest, rotating through all of them."""
        hosts = sorted(member.host for member in self.live)
        self.shared_hosts_offset += HOSTS_PER_DIGEST
        start = self.shared_hosts_offset % max(1, len(hosts))
        return tuple((hosts + hosts)[start : start + min(HOSTS_PER_DIGEST, len(hosts))])

    def take_unheard_hosts(self, count: int) -> list[str]:
        """Return hosts from which nothing was heard yet; each is given up after some attempts."""
        known_hosts = {known.member.host for known in self.known.values()}
        unheard = sorted(
            self.hosts - known_hosts, key=lambda host: (self.host_attempts.get(host, 0), host)
        )[:count]
        for host in unheard:
            attempts = self.host_attempts[host] = self.host_attempts.get(host, 0) + 1
            if attempts >= MAX_HOST_ATTEMPTS:
                self.hosts.discard(host)
                del self.host_attempts[host]
        return unheard

    def silent_hosts(self, now_ms: int) -> list[str]:
        """Return the hosts of known VMs that are silent, which may only be partitioned."""
        return sorted(silent.member.host for silent in self.silent_members(now_ms))


def rank_collectors(members: Iterable[Member]) -> list[Member]:
    """Rank the VMs of a failure domain as collectors, the same on all VMs.

    The VMs with the most capacity come first: a collector sends to all VMs of its domain at once,
    and a narrow link drops datagrams that arrive faster than it carries them.
    """

    def sort_key(member: Member) -> tuple[float, float]:
        return -round(member.capacity, 2), hash_to_fraction("collector", member.vm)

    return sorted(members, key=sort_key)


def compute_reader_rank(vm: str) -> float:
    """Return a VM's rank for reading the store, from 0 (first) to 1; it is the same on all VMs."""
    return hash_to_fraction("reader", vm)


def rank_readers(candidates: Mapping[str, str], regions: Mapping[str, str]) -> list[str]:
    """Rank VMs for reading the store, so that the first ones share neither region nor domain.

    The loss of a failure domain or a region then leaves a reader. ``candidates`` maps VMs to their
    failure domains.
    """
    ranked: list[str] = []
    used_regions: Counter[str] = Counter()
    used_domains: Counter[str] = Counter()
    remaining = sorted(candidates, key=compute_reader_rank)
    while remaining and len(ranked) < STORE_READER_COUNT + MAX_EXTRA_READERS:
        vm = min(
            remaining,
            key=lambda name: (
                used_regions[regions.get(candidates[name], "")],
                used_domains[candidates[name]],
            ),
        )
        remaining.remove(vm)
        ranked.append(vm)
        used_regions[regions.get(candidates[vm], "")] += 1
        used_domains[candidates[vm]] += 1
    return ranked


def rank_row_sources(wanted: Position, membership: Membership, now_ms: int) -> list[Member]:
    """Return the VMs heard recently that hold a table up to a position, nearest first."""
    deployment = membership.deployment

    def sort_key(member: Member) -> tuple[bool, bool, float]:
        return (
            member.failure_domain != deployment.failure_domain,
            deployment.regions.get(member.failure_domain) != deployment.region,
            hash_to_fraction(membership.vm, member.vm),
        )

    sources = [
        membership.known[vm].member
        for vm, source in membership.sources.items()
        if vm in membership.known
        and now_ms - source.received_ms < LISTED_TIMEOUT_MS
        and (held := source.positions.get(wanted.table)) is not None
        and held.revision >= wanted.revision
        and held.sure >= wanted.sure
    ]
    return sorted(sources, key=sort_key)
