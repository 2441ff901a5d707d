"""A fleet of real VMs on loopback for benches of coordination."""

import contextlib
from collections.abc import Iterator
from pathlib import Path

import psutil
from fleet import BackendPlan, Fleet, VmPlace, running_fleet, write_service_lists

REGIONS = ("north", "mid", "south")
CUSTOMERS = 8
SERVICE = {"name": "lookup", "prefix": "/lookup/", "traffic_class": "lookup"}


def make_places(count: int) -> list[VmPlace]:
    """Return VMs spread over three regions with two failure domains each."""
    return [
        VmPlace(f"{REGIONS[i % 3]}-{i // 3 + 1:03d}", REGIONS[i % 3], f"{REGIONS[i % 3]}-{i % 2}")
        for i in range(count)
    ]


def write_customers(folder: Path, count: int) -> Path:
    """Write a list of customers on one plan."""
    lines = [f'[[organisations]]\nname = "org-{i}"\nplan = "all"\n' for i in range(count)]
    lines.append('[[plans]]\nname = "all"\n[[plans.entitlements]]\nservice = "lookup"\n')
    lines.append("rate = 200.0\nburst = 400.0\n")
    path = folder / "customers.toml"
    path.write_text("".join(lines))
    return path


@contextlib.contextmanager
def open_fleet(count: int, customers: int = CUSTOMERS) -> Iterator[Fleet]:
    """Start VMs with one backend server in each region and some customers."""
    plans = [BackendPlan(f"lookup-{r}", "lookup", r, f"{r}-0", 16) for r in REGIONS]
    places = make_places(count)
    with running_fleet(places, plans) as fleet:
        lists = write_service_lists(fleet, plans, [SERVICE])
        fleet.berylctl("apply", str(lists), str(write_customers(fleet.folder, customers)), "--yes")
        fleet.wait_ready([place.name for place in places])
        yield fleet


class Usage:
    """Processor time, memory and channel bytes of the VMs of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.processes = {n: psutil.Process(fleet.processes[n].pid) for n in fleet.ports}
        self.cpu = self._cpu()
        self.bytes = self._bytes()

    def _cpu(self) -> float:
        return sum(sum(p.cpu_times()[:2]) for p in self.processes.values())

    def _bytes(self) -> int:
        return sum(self.fleet.status(n)["channel"]["sent_bytes"] for n in self.processes)

    def cpu_percent(self, elapsed_s: float) -> float:
        """Return the part of a core that a VM used since the start, in percent."""
        return 100 * (self._cpu() - self.cpu) / elapsed_s / len(self.processes)

    def bytes_per_s(self, elapsed_s: float) -> float:
        """Return the channel bytes that a VM sent each second since the start."""
        return (self._bytes() - self.bytes) / elapsed_s / len(self.processes)

    def memory_mib(self) -> float:
        """Return the mean resident memory of a VM."""
        rss = [p.memory_info().rss for p in self.processes.values()]
        return sum(rss) / len(rss) / 2**20
