"""A fleet of VM processes on loopback for benches of coordination."""

import contextlib
from collections.abc import Iterator
from pathlib import Path

import psutil
from fleet import BackendSpec, Fleet, VmSpec, running_fleet, write_service_lists

REGIONS = ("north", "mid", "south")
ORGANISATION_COUNT = 8
SERVICE = {"name": "lookup", "prefix": "/lookup/", "traffic_class": "lookup"}


def make_vm_specs(count: int) -> list[VmSpec]:
    """Return VMs spread over three regions with two failure domains each."""
    return [
        VmSpec(f"{REGIONS[i % 3]}-{i // 3 + 1:03d}", REGIONS[i % 3], f"{REGIONS[i % 3]}-{i % 2}")
        for i in range(count)
    ]


def write_organisations(folder: Path, count: int) -> Path:
    """Write a list of organisations on one plan; return the path."""
    lines = [f'[[organisations]]\nname = "org-{i}"\nplan = "all"\n' for i in range(count)]
    lines.append('[[plans]]\nname = "all"\n[[plans.entitlements]]\nservice = "lookup"\n')
    lines.append("rate = 200.0\nburst = 400.0\n")
    path = folder / "customers.toml"
    path.write_text("".join(lines))
    return path


@contextlib.contextmanager
def open_coordination_fleet(count: int, organisations: int = ORGANISATION_COUNT) -> Iterator[Fleet]:
    """Start VMs with one backend server in each region, and apply lists of organisations."""
    backend_specs = [BackendSpec(f"lookup-{r}", "lookup", r, f"{r}-0", 16) for r in REGIONS]
    vm_specs = make_vm_specs(count)
    with running_fleet(vm_specs, backend_specs) as fleet:
        lists = write_service_lists(fleet, backend_specs, [SERVICE])
        fleet.berylctl(
            "apply", str(lists), str(write_organisations(fleet.folder, organisations)), "--yes"
        )
        fleet.wait_ready([vm.name for vm in vm_specs])
        yield fleet


class ResourceUsage:
    """CPU time, memory and sent channel bytes of a fleet's VMs since the object's creation."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.processes = {n: psutil.Process(fleet.processes[n].pid) for n in fleet.ports}
        self.start_cpu_s = self._read_cpu_s()
        self.start_bytes = self._read_sent_bytes()

    def _read_cpu_s(self) -> float:
        return sum(sum(p.cpu_times()[:2]) for p in self.processes.values())

    def _read_sent_bytes(self) -> int:
        return sum(self.fleet.get_status(n)["channel"]["sent_bytes"] for n in self.processes)

    def cpu_percent(self, elapsed_s: float) -> float:
        """Return the mean CPU use of a VM since the start, in percent of a core."""
        return 100 * (self._read_cpu_s() - self.start_cpu_s) / elapsed_s / len(self.processes)

    def bytes_per_s(self, elapsed_s: float) -> float:
        """Return the mean number of channel bytes that a VM sent per second since the start."""
        return (self._read_sent_bytes() - self.start_bytes) / elapsed_s / len(self.processes)

    def memory_mib(self) -> float:
        """Return the mean resident memory of a VM now, in MiB."""
        rss = [p.memory_info().rss for p in self.processes.values()]
        return sum(rss) / len(rss) / 2**20
