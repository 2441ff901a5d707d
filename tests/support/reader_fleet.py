"""A simulated fleet whose store turns some VMs away while it serves the others."""

from tests.support.digest_fleet import TIME_STEP_MS, DigestFleet

CHECK_INTERVAL_MS = 250
ANSWER_MS = 50


class ReaderFleet(DigestFleet):
    """VMs of which some read the store.

    A VM in ``turned_away`` notices that a call failed after ``failure_ms``. ``tried`` are the VMs
    that called the store while it turned VMs away, ``served`` those that were served then.
    ``longest_unread_ms`` is the longest time without a VM that reads the store and is served.
    """

    def __init__(self, vms, domains):
        super().__init__(vms, domains)
        self.turned_away = set()
        self.failure_ms = 0
        self.tried, self.served = set(), set()
        self.read_ms = self.longest_unread_ms = 0
        for vm in self.vms:
            vm.reading, vm.called_ms, vm.next_check_ms = True, None, 0

    def run(self, seconds):
        end_ms = self.now_ms + int(seconds * 1000)
        while self.now_ms < end_ms:
            super().run(TIME_STEP_MS / 1000)
            for vm in self.running():
                if self.now_ms >= vm.next_check_ms:
                    vm.next_check_ms = self.now_ms + CHECK_INTERVAL_MS
                    self.check_role(vm)
                if vm.called_ms is not None and self.now_ms >= vm.called_ms + self.call_ms(vm):
                    self.finish_call(vm)
                if vm.called_ms is not None and vm.name not in self.turned_away:
                    self.read_ms = self.now_ms
            self.longest_unread_ms = max(self.longest_unread_ms, self.now_ms - self.read_ms)

    def call_ms(self, vm):
        return self.failure_ms if vm.name in self.turned_away else ANSWER_MS

    def readers_seen_by(self, vm):
        vm.membership.update(self.now_ms)
        return vm.membership.choose_readers(self.now_ms)

    def check_role(self, vm):
        if vm.name not in self.readers_seen_by(vm):
            vm.called_ms = None
        elif vm.called_ms is None:
            vm.called_ms = self.now_ms

    def finish_call(self, vm):
        vm.called_ms = self.now_ms
        self.tried.add(vm.name)
        is_served = vm.name not in self.turned_away
        if is_served:
            self.served.add(vm.name)
        vm.starting = False
        if vm.reading != is_served:
            vm.reading = is_served
            self.tick(vm, urgent=True)

    def turn_away(self, share, seed_rng, failure_ms):
        """Turn away both readers and a share of the other VMs."""
        readers = {name for vm in self.vms for name in self.readers_seen_by(vm)}
        others = [vm.name for vm in self.vms if vm.name not in readers]
        self.turned_away = readers | set(seed_rng.sample(others, int(share * len(others))))
        self.failure_ms = failure_ms
        self.tried, self.served = set(), set()

    def turn_away_only(self, names, failure_ms):
        """Turn away some VMs."""
        self.turned_away, self.failure_ms = set(names), failure_ms
        self.tried, self.served = set(), set()

    def kill(self, vms):
        """Kill VMs, whose calls end."""
        for vm in vms:
            vm.running, vm.called_ms = False, None

    def restart(self, vms):
        """Start VMs again, which have not called the store yet."""
        super().restart(vms)
        for vm in vms:
            vm.reading, vm.called_ms = True, None
            vm.starting = True

    def serve_all(self):
        self.turned_away = set()
        self.failure_ms = 0
