"""A simulated fleet that sends as many requests as it may to a server that names a limit."""

from collections import deque

from berylbankd._internal.steering.digest_exchange import OwnState
from berylbankd._internal.steering.fleet_sums import hash_name
from berylbankd._internal.steering.servers import ServerState
from tests.support.digest_fleet import TIME_STEP_MS, DigestFleet
from tests.support.steering import ROW_CODEC, server_row

SERVER_ID = "s0"
SERVER_REGION = "r0"
SERVICE_MS = 300
WINDOW_MS = 4_000
TOLD_MARGIN_MS = 500
ALLOWED_RATIO = 1.5
ALLOWED_SLACK = 5


class LimitFleet(DigestFleet):
    """VMs that each try to send a request to one server at every step.

    ``rate_per_s`` is the limit that the server names in its responses, None for none. ``arrivals``
    holds the time and the VM of each request; ``told_ms`` when each VM first got a response that
    named the limit; ``excused`` the VMs whose requests are not counted.
    """

    def __init__(self, vms, domains):
        super().__init__(vms, domains)
        self.rate_per_s = None
        self.named_ms = None
        self.arrivals = []
        self.in_service = deque()
        self.told_ms = {}
        self.excused = set()
        self.frozen = set()
        for vm in self.vms:
            self.reset_server(vm)

    def reset_server(self, vm):
        vm.state = ServerState(ROW_CODEC.decode_server(server_row(SERVER_ID, 1)), self.now_ms)
        vm.own_state = lambda: OwnState(
            True,
            vm.leaving,
            True,
            {"t": 1},
            {},
            {},
            {},
            (),
            (
                {hash_name(SERVER_ID): rate}
                if (rate := vm.state.observed_limit(self.now_ms)) is not None
                else {}
            ),
        )

    def name_limit(self, rate_per_s):
        self.rate_per_s = rate_per_s
        self.named_ms = self.now_ms if self.named_ms is None else self.named_ms

    def restart_vm(self, vm):
        vm.restart(vm.incarnation + 1)
        self.reset_server(vm)
        self.start([vm])
        self.excused.add(vm.name)

    def tick(self, vm, *, urgent):
        super().tick(vm, urgent=urgent)
        # The lists are those of the last tick, as in the daemon.
        live = [item.vm for item in vm.membership.live if not item.leaving]
        near = [name for name in live if self.by_name[name].region == SERVER_REGION]
        if vm.region == SERVER_REGION and not vm.leaving:
            near.append(vm.name)
        vm.fleet_share = vm.membership.fleet_share(self.now_ms)
        vm.near = sorted(near) or sorted([*live, vm.name])
        for rate_per_s in vm.exchange.sums_of_others(self.now_ms).limits.values():
            vm.state.learn_limit(rate_per_s, self.now_ms)

    @property
    def by_name(self):
        return {vm.name: vm for vm in self.vms}

    def run(self, seconds):
        end_ms = self.now_ms + int(seconds * 1000)
        while self.now_ms < end_ms:
            super().run(TIME_STEP_MS / 1000)
            self.respond()
            for vm in self.running():
                if vm.name not in self.frozen and hasattr(vm, "near"):
                    self.try_to_send(vm)

    def try_to_send(self, vm):
        limit = vm.state.limit
        if limit is None:
            # Without a limit the server's slots bound the rate; four requests a second of each VM.
            if self.now_ms % 250 >= TIME_STEP_MS:
                return
        elif not limit.take(SERVER_ID, vm.name, vm.near, vm.fleet_share, self.now_ms):
            return
        self.arrivals.append((self.now_ms, vm.name))
        self.in_service.append((self.now_ms + SERVICE_MS, vm, vm.incarnation, self.now_ms))

    def respond(self):
        while self.in_service and self.in_service[0][0] <= self.now_ms:
            _, vm, incarnation, sent_ms = self.in_service.popleft()
            if not vm.running or vm.incarnation != incarnation:
                continue
            vm.state.record_limit(self.rate_per_s, sent_ms, self.now_ms)
            if self.rate_per_s is not None:
                self.told_ms.setdefault(vm.name, self.now_ms)

    def most_in_window(self, contact_ms):
        """Return the most counted requests in a window that began after the time of contact."""
        counted = [
            at_ms
            for at_ms, name in self.arrivals
            if name not in self.excused
            and at_ms >= self.named_ms + contact_ms
            and at_ms - self.told_ms.get(name, at_ms) >= TOLD_MARGIN_MS
        ]
        most = first = 0
        for last, at_ms in enumerate(counted):
            while counted[first] <= at_ms - WINDOW_MS:
                first += 1
            most = max(most, last - first + 1)
        return most

    def allowed_in_window(self):
        return ALLOWED_RATIO * self.rate_per_s * WINDOW_MS / 1000 + ALLOWED_SLACK

    def rate_since(self, start_ms):
        count = sum(at_ms >= start_ms for at_ms, _ in self.arrivals)
        return count * 1000 / (self.now_ms - start_ms)
