"""A compact table from blocks of client addresses to sites."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import NamedTuple

NO_SITE = 0xFFFF


class AddressRange(NamedTuple):
    """An inclusive range of IPv4 addresses, as integers, and the index of its site."""

    first: int
    last: int
    site: int


class BlockTable:
    """Ranges in sorted arrays: 6 bytes a boundary, one binary search a look-up."""

    def __init__(self, ranges: Iterable[AddressRange]) -> None:
        self.starts = array("I")
        self.sites = array("H")
        next_free = 0
        for item in sorted(ranges):
            if item.first > next_free or not self.starts:
                self._append(next_free, NO_SITE)
            self._append(item.first, item.site)
            next_free = item.last + 1
        if next_free <= 0xFFFFFFFF:
            self._append(next_free, NO_SITE)

    def _append(self, start: int, site: int) -> None:
        if self.starts and self.starts[-1] == start:
            self.sites[-1] = site
            return
        self.starts.append(start)
        self.sites.append(site)

    def find_site(self, address: int) -> int:
        """Return the index of the site for an IPv4 address, or ``NO_SITE``."""
        return self.sites[bisect_right(self.starts, address) - 1]

    def size_bytes(self) -> int:
        """Return the memory that the table's arrays take."""
        return len(self.starts) * self.starts.itemsize + len(self.sites) * self.sites.itemsize


def parse_range(network: str, site: int) -> AddressRange:
    """Return the range of an IPv4 network such as ``10.1.0.0/16``."""
    parsed = ipaddress.IPv4Network(network)
    return AddressRange(int(parsed.network_address), int(parsed.broadcast_address), site)


def build_table(networks: Sequence[str], sites: Sequence[int]) -> BlockTable:
    """Build a table of networks that do not overlap."""
    return BlockTable(parse_range(n, s) for n, s in zip(networks, sites, strict=True))
