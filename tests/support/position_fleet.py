"""A simulated fleet whose VMs pass on the position of a table, as rows are fetched by digests."""

import random

from tests.support.digest_fleet import TIME_STEP_MS, DigestFleet, SimulatedVm

TABLE = "t"
# Two round trips to another VM, as links take up to 60 ms.
FETCH_MS = 240
# Pauses of the replicator after a fetch, and of a reader after changed rows.
FETCH_PAUSE_MS = 200


class PositionVm(SimulatedVm):
    """A VM with a position, which it fetches once it hears of a newer one."""

    def restart(self, incarnation):
        super().restart(incarnation)
        self.position = 0
        self.fetch_due_ms = None
        self.free_ms = 0

    def own_state(self):
        return super().own_state()._replace(positions={TABLE: self.position})

    def newest_heard(self):
        held = (source.positions.get(TABLE) for source in self.membership.sources.values())
        return max((item.revision for item in held if item is not None), default=0)


class PositionFleet(DigestFleet):
    """VMs of which the readers learn of a change at once and the others by fetching it."""

    vm_class = PositionVm

    def __init__(self, vms, domains, seed):
        super().__init__(vms, domains)
        self.rng = random.Random(seed)

    def run(self, seconds):
        end_ms = self.now_ms + int(seconds * 1000)
        while self.now_ms < end_ms:
            super().run(TIME_STEP_MS / 1000)
            for vm in self.running():
                self.fetch(vm)

    def fetch(self, vm):
        newest = vm.newest_heard()
        if vm.fetch_due_ms is None:
            if newest > vm.position:
                vm.fetch_due_ms = max(self.now_ms, vm.free_ms) + FETCH_MS
        elif self.now_ms >= vm.fetch_due_ms:
            vm.fetch_due_ms, vm.free_ms = None, self.now_ms + FETCH_PAUSE_MS
            self.learn(vm, newest)

    def learn(self, vm, position):
        vm.position = max(vm.position, position)
        if vm.membership.full_mesh or vm.membership.is_primary():
            self.tick(vm, urgent=True)

    def change(self, position):
        """Let the readers learn of a change, as each VM sees them that reads the store."""
        for vm in self.running():
            vm.membership.update(self.now_ms)
            if vm.name in vm.membership.choose_readers(self.now_ms):
                vm.position = position
                self.tick(vm, urgent=True)

    def add_vms(self, count):
        added = [self.vm_class(len(self.vms) + n, len(self.domains()), 1) for n in range(count)]
        self.vms += added
        self.by_host.update({vm.host: vm for vm in added})
        self.start(added)

    def domains(self):
        return self.vms[0].deployment.regions

    def ms_until_all_know(self, position, limit_s):
        took_s = self.run_until(
            lambda: all(vm.position >= position for vm in self.running()), limit_s
        )
        return None if took_s is None else took_s * 1000
