"""The look-up: which entry VMs a caller should use."""

import ipaddress
import json
from typing import NamedTuple

from berylbank._internal.models.blocks import NO_SITE, BlockTable, build_table
from berylbank._internal.models.configuration import Configuration
from berylbank._internal.models.head import Seat
from berylbankd._internal.coordinator import Coordinator

LOOKUP_PATH = "/.well-known/berylbank/lookup"
NEAR_WEIGHT = 100
FAR_WEIGHT = 1
KEPT_MS = 50


class EntryVm(NamedTuple):
    """One entry VM in an answer; the highest weight is to be used first."""

    address: str
    region: str
    failure_domain: str
    weight: int


class KeptAnswer(NamedTuple):
    """An answer for one region, good until ``until_ms``."""

    until_ms: int
    body: bytes


class Lookup:
    """Answers look-ups from what this VM hears of the others."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.configuration: Configuration | None = None
        self.regions: list[str] = []
        self.table = BlockTable(())
        self.kept: dict[str, KeptAnswer] = {}

    def find_region(self, client: str) -> str:
        """Return the region nearest to a client address; this VM's own where unknown."""
        self._refresh()
        try:
            site = self.table.find_site(int(ipaddress.IPv4Address(client)))
        except ValueError:
            site = NO_SITE
        if site == NO_SITE:
            return self.coordinator.settings.vm.region
        return self.regions[site]

    def list_vms(self, region: str) -> list[EntryVm]:
        """Return the VMs for callers in ``region``, nearest first.

        VMs that are leaving, silent or without authority are left out; where none remains, all
        other seated VMs are named.
        """
        ready = [self._entry(seat.vm, region) for seat in self._seats() if self._is_ready(seat.vm)]
        if not ready:
            own = self.coordinator.node.vm
            ready = [self._entry(seat.vm, region) for seat in self._seats() if seat.vm != own]
        return sorted(ready, key=lambda vm: (-vm.weight, vm.address))

    def answer(self, region: str) -> bytes:
        """Return the JSON document for callers in ``region``; one is made for many callers.

        A region without a VM is treated as this VM's own, which also bounds what is kept.
        """
        if region not in {seat.region for seat in self._seats()}:
            region = self.coordinator.settings.vm.region
        now_ms = self.coordinator.clock.now_ms()
        kept = self.kept.get(region)
        if kept is None or now_ms >= kept.until_ms:
            kept = KeptAnswer(now_ms + KEPT_MS, self._make_answer(region))
            self.kept[region] = kept
        return kept.body

    def _make_answer(self, region: str) -> bytes:
        document = {
            "entry_vms": [vm._asdict() for vm in self.list_vms(region)],
            "max_age_ms": self.coordinator.settings.timing.lookup_max_age_ms,
            "region": region,
        }
        return json.dumps(document).encode()

    def _seats(self) -> tuple[Seat, ...]:
        head = self.coordinator.lease_state.head
        return head.seats if head is not None else ()

    def _is_ready(self, vm: str) -> bool:
        if vm == self.coordinator.node.vm:
            return self.coordinator.node.is_ready()
        peer = self.coordinator.node.peers.get(vm)
        if peer is None or peer.last_heartbeat_ms is None:
            return False
        silent_ms = self.coordinator.clock.now_ms() - peer.last_heartbeat_ms
        return (
            peer.ready and not peer.leaving and silent_ms < self.coordinator.node.timing.suspect_ms
        )

    def _entry(self, vm: str, region: str) -> EntryVm:
        head = self.coordinator.lease_state.head
        assert head is not None
        seat = head.seat_of(vm)
        assert seat is not None
        weight = NEAR_WEIGHT if seat.region == region else FAR_WEIGHT
        return EntryVm(seat.callers, seat.region, seat.failure_domain, weight)

    def _refresh(self) -> None:
        configuration = self.coordinator.lease_state.configuration
        if configuration is self.configuration:
            return
        self.configuration = configuration
        self.regions = sorted({block.region for block in configuration.client_blocks})
        sites = [self.regions.index(block.region) for block in configuration.client_blocks]
        networks = [block.network for block in configuration.client_blocks]
        self.table = build_table(networks, sites)
