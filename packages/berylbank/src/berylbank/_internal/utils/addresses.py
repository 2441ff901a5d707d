"""Parsing of addresses in the form IP:port."""

import ipaddress
from typing import NamedTuple

MAX_PORT = 65_535


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse ``IP:port``; raise :class:`ValueError` for host names and invalid ports."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not of the form IP:port")
    ipaddress.ip_address(host.strip("[]"))
    return Address(host.strip("[]"), int(port))
