"""Answers look-ups: which entry VMs a caller should use."""

import ipaddress
import json
from typing import NamedTuple

from berylbank._internal.models.address_blocks import (
    NO_REGION_INDEX,
    AddressBlockTable,
    build_address_block_table,
)
from berylbank._internal.models.configuration import Configuration
from berylbank._internal.models.head import Seat
from berylbankd._internal.coordinator import Coordinator

LOOKUP_PATH = "/.well-known/berylbank/lookup"
SAME_REGION_WEIGHT = 100
OTHER_REGION_WEIGHT = 1
CACHE_TTL_MS = 50


class EntryVm(NamedTuple):
    """An entry VM in a look-up response; callers use the highest weight first."""

    address: str
    region: str
    failure_domain: str
    weight: int


class CachedResponse(NamedTuple):
    """The look-up response for one region, valid until ``until_ms``."""

    until_ms: int
    body: bytes


class LookupResponder:
    """Answers look-ups from the state that the other VMs report to this one."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.configuration: Configuration | None = None
        self.regions: list[str] = []
        self.address_blocks = AddressBlockTable(())
        self.cache: dict[str, CachedResponse] = {}

    def find_region(self, client_address: str) -> str:
        """Return the region whose address blocks contain the client; this VM's own if none does."""
        self._refresh_address_blocks()
        try:
            region_index = self.address_blocks.find_region_index(
                int(ipaddress.IPv4Address(client_address))
            )
        except ValueError:
            region_index = NO_REGION_INDEX
        if region_index == NO_REGION_INDEX:
            return self.coordinator.settings.vm.region
        return self.regions[region_index]

    def list_vms(self, region: str) -> list[EntryVm]:
        """Return the VMs for callers in ``region``, those of that region first.

        VMs that are leaving, that sent no recent heartbeat or that are not ready (for example
        without authority) are omitted; if none remains, all other VMs with a seat are returned.
        """
        ready = [
            self._make_entry_vm(seat.vm, region)
            for seat in self._list_seats()
            if self._is_ready(seat.vm)
        ]
        if not ready:
            own_vm = self.coordinator.node.vm
            ready = [
                self._make_entry_vm(seat.vm, region)
                for seat in self._list_seats()
                if seat.vm != own_vm
            ]
        return sorted(ready, key=lambda vm: (-vm.weight, vm.address))

    def render_response(self, region: str) -> bytes:
        """Return the JSON document for callers in ``region``; it is cached for ``CACHE_TTL_MS``.

        A region without a VM is treated as this VM's own, which also bounds the size of the cache.
        """
        if region not in {seat.region for seat in self._list_seats()}:
            region = self.coordinator.settings.vm.region
        now_ms = self.coordinator.clock.now_ms()
        cached = self.cache.get(region)
        if cached is None or now_ms >= cached.until_ms:
            cached = CachedResponse(now_ms + CACHE_TTL_MS, self._encode_response(region))
            self.cache[region] = cached
        return cached.body

    def _encode_response(self, region: str) -> bytes:
        document = {
            "entry_vms": [vm._asdict() for vm in self.list_vms(region)],
            "max_age_ms": self.coordinator.settings.timing.lookup_max_age_ms,
            "region": region,
        }
        return json.dumps(document).encode()

    def _list_seats(self) -> tuple[Seat, ...]:
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

    def _make_entry_vm(self, vm: str, region: str) -> EntryVm:
        head = self.coordinator.lease_state.head
        assert head is not None
        seat = head.seat_of(vm)
        assert seat is not None
        weight = SAME_REGION_WEIGHT if seat.region == region else OTHER_REGION_WEIGHT
        return EntryVm(seat.callers, seat.region, seat.failure_domain, weight)

    def _refresh_address_blocks(self) -> None:
        configuration = self.coordinator.lease_state.configuration
        if configuration is self.configuration:
            return
        self.configuration = configuration
        self.regions = sorted({block.region for block in configuration.client_blocks})
        region_indexes = [self.regions.index(block.region) for block in configuration.client_blocks]
        networks = [block.network for block in configuration.client_blocks]
        self.address_blocks = build_address_block_table(networks, region_indexes)
