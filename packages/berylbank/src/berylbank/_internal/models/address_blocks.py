"""A compact look-up table from blocks of client IPv4 addresses to region indexes."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import NamedTuple

NO_REGION_INDEX = 0xFFFF


class AddressRange(NamedTuple):
    """An inclusive range of IPv4 addresses, as integers, and the index of its region."""

    first: int
    last: int
    region_index: int


class AddressBlockTable:
    """Address ranges in sorted arrays: 6 bytes per boundary, one binary search per look-up.

    ``starts`` holds the first address of each range, ``region_indexes`` the region of each.
    """

    def __init__(self, ranges: Iterable[AddressRange]) -> None:
        self.starts = array("I")
        self.region_indexes = array("H")
        next_unassigned = 0
        for address_range in sorted(ranges):
            if address_range.first > next_unassigned or not self.starts:
                self._append(next_unassigned, NO_REGION_INDEX)
            self._append(address_range.first, address_range.region_index)
            next_unassigned = address_range.last + 1
        if next_unassigned <= 0xFFFFFFFF:
            self._append(next_unassigned, NO_REGION_INDEX)

    def _append(self, start: int, region_index: int) -> None:
        if self.starts and self.starts[-1] == start:
            self.region_indexes[-1] = region_index
            return
        self.starts.append(start)
        self.region_indexes.append(region_index)

    def find_region_index(self, address: int) -> int:
        """Return the index of the region of an IPv4 address, or ``NO_REGION_INDEX``."""
        return self.region_indexes[bisect_right(self.starts, address) - 1]

    def size_bytes(self) -> int:
        """Return the size of the table's arrays."""
        return (
            len(self.starts) * self.starts.itemsize
            + len(self.region_indexes) * self.region_indexes.itemsize
        )


def parse_network_range(network: str, region_index: int) -> AddressRange:
    """Return the range of an IPv4 network such as ``10.1.0.0/16``."""
    parsed = ipaddress.IPv4Network(network)
    return AddressRange(int(parsed.network_address), int(parsed.broadcast_address), region_index)


def build_address_block_table(
    networks: Sequence[str], region_indexes: Sequence[int]
) -> AddressBlockTable:
    """Build a table from networks that do not overlap, given with their region indexes."""
    return AddressBlockTable(
        parse_network_range(network, region_index)
        for network, region_index in zip(networks, region_indexes, strict=True)
    )
