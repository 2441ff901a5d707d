"""A simulated fleet that exchanges digests, with virtual time, a fixed seed and lost datagrams."""

import heapq
import itertools
import random

from berylbankd._internal.models.deployment import Bounds, Deployment
from berylbankd._internal.peers.codec import decode_datagram, encode_datagram
from berylbankd._internal.peers.messages import DigestScope, ReleaseReport, RouteEvidence
from berylbankd._internal.steering.digest_exchange import DigestExchange, OwnState
from berylbankd._internal.steering.membership import Membership

SEED = 20261204
LOSS = 0.01
DELAYS_MS = {"domain": 1, "region": 2, "fleet": 60}
DOMAINS_PER_REGION = 3
TIME_STEP_MS = 10
SERVICE_KEY = 7
CAPACITIES = (0.43, 0.43, 0.43, 2.15)


class SimulatedVm:
    """One VM: its membership, its exchange, and what it reports."""

    def __init__(self, number, domains, incarnation):
        self.number = number
        self.name, self.host = f"vm-{number}", f"10.{number // 250}.0.{number % 250}"
        self.domain = f"d{number % domains}"
        regions = {f"d{n}": f"r{n // DOMAINS_PER_REGION}" for n in range(domains)}
        self.region = regions[self.domain]
        self.deployment = Deployment(
            self.name, self.host, self.domain, self.region, regions, f"{self.host}:80", "", "",
            1, 2, (), "", 300, CAPACITIES[number % len(CAPACITIES)], 1000.0, Bounds(),
        )  # fmt: skip
        self.incarnation = incarnation
        self.in_flight = 1
        self.reading, self.starting = True, False
        self.other_loads = {}
        self.leaving = False
        self.release = None
        self.started_ms = 0
        self.restart(incarnation)

    def restart(self, incarnation):
        self.incarnation = incarnation
        self.membership = Membership(self.deployment)
        self.exchange = DigestExchange(self.deployment, self.membership, incarnation)
        self.running = True
        self.next_tick_ms = 0

    def own_state(self):
        releases = (self.release,) if self.release is not None else ()
        loads = {SERVICE_KEY: self.in_flight, **self.other_loads}
        return OwnState(
            True, self.leaving, self.reading, {"t": 1}, loads, {SERVICE_KEY: 1.0},
            {self.number: 1.0}, releases, starting=self.starting,
        )  # fmt: skip


class DigestFleet:
    """VMs that send each other digests over links that delay, lose or block datagrams."""

    vm_class = SimulatedVm

    def __init__(self, vms, domains, *, encode=False):
        self.rng = random.Random(SEED)
        self.now_ms = 0
        self.encode = encode
        self.vms = [self.vm_class(n, domains, 1) for n in range(vms)]
        self.by_host = {vm.host: vm for vm in self.vms}
        self.in_transit = []
        self.order = itertools.count()
        self.blocked = lambda sender, receiver: False
        self.sent_datagrams = self.sent_bytes = self.remote_bytes = self.largest_datagram = 0
        self.start(self.vms)

    def start(self, vms):
        """Start VMs that know one host only, as a fleet does that starts for the first time."""
        first = next(vm for vm in self.vms if vm.running)
        for vm in vms:
            vm.next_tick_ms = self.now_ms + self.rng.randrange(300)
            vm.membership.hosts.update({first.host} - {vm.host})

    def restart(self, vms):
        for vm in vms:
            vm.restart(vm.incarnation + 1)
        self.start(vms)

    def run(self, seconds):
        end_ms = self.now_ms + int(seconds * 1000)
        while self.now_ms < end_ms:
            self.now_ms += TIME_STEP_MS
            self.deliver()
            for vm in self.vms:
                if vm.running and self.now_ms >= vm.next_tick_ms:
                    interval_ms = vm.membership.digest_interval_ms()
                    vm.next_tick_ms = self.now_ms + int(interval_ms * self.rng.uniform(0.9, 1.1))
                    self.tick(vm, urgent=False)

    def tick(self, vm, *, urgent):
        vm.membership.leaving = vm.leaving
        vm.membership.update(self.now_ms)
        outgoing = vm.exchange.make_digests(vm.own_state(), self.now_ms, urgent=urgent)
        for digest, hosts in outgoing:
            self.send(vm, digest, hosts)

    def send(self, sender, digest, hosts):
        size = len(encode_datagram(digest)) if self.encode else 0
        self.largest_datagram = max(self.largest_datagram, size)
        for host in hosts:
            receiver = self.by_host.get(host)
            self.sent_datagrams += 1
            self.sent_bytes += size
            if receiver is None or self.rng.random() < LOSS:
                continue
            if receiver.region != sender.region:
                self.remote_bytes += size
            if self.blocked(sender, receiver):
                continue
            due_ms = self.now_ms + self.delay_ms(sender, receiver)
            heapq.heappush(self.in_transit, (due_ms, next(self.order), receiver, sender, digest))

    def delay_ms(self, sender, receiver):
        if sender.domain == receiver.domain:
            return DELAYS_MS["domain"]
        return DELAYS_MS["region" if sender.region == receiver.region else "fleet"]

    def deliver(self):
        while self.in_transit and self.in_transit[0][0] <= self.now_ms:
            _, _, receiver, sender, digest = heapq.heappop(self.in_transit)
            if not receiver.running:
                continue
            if self.encode:
                digest = decode_datagram(encode_datagram(digest))
            if receiver.exchange.receive(digest, self.now_ms):
                answers = receiver.exchange.make_answers(
                    receiver.own_state(), digest.vm, self.now_ms
                )
                for answer, hosts in answers:
                    self.send(receiver, answer, hosts)
            if receiver.exchange.announcement_due:
                self.tick(receiver, urgent=True)

    def running(self):
        return [vm for vm in self.vms if vm.running]

    def live_names(self, vm):
        vm.membership.update(self.now_ms)
        return {item.vm for item in vm.membership.live}

    def load_of_others(self, vm):
        vm.membership.update(self.now_ms)
        return vm.exchange.sums_of_others(self.now_ms).loads.get(SERVICE_KEY, 0.0)

    def run_until(self, condition, limit_s):
        """Run until a condition holds; return the seconds that it took, or None at the limit."""
        started_ms = self.now_ms
        while self.now_ms - started_ms < limit_s * 1000:
            if condition():
                return (self.now_ms - started_ms) / 1000
            self.run(0.1)
        return None

    def all_agree(self):
        """Tell whether each running VM knows exactly the running ones to be live."""
        names = {vm.name for vm in self.running()}
        return all(self.live_names(vm) == names - {vm.name} for vm in self.running())

    def none_lists(self, name):
        return all(name not in self.live_names(vm) for vm in self.running())

    def readers(self):
        return [
            vm.membership.choose_readers(self.now_ms)
            for vm in self.running()
            if vm.membership.live is not None
        ]


def make_release_report(bad):
    return ReleaseReport("desk", 7, 0, False, 100, 1, (RouteEvidence("r", 10, bad, 90, 0),), 0)


__all__ = ["DigestFleet", "DigestScope", "make_release_report"]
