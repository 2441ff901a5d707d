"""Hop-by-hop headers, which apply to one connection and must not be forwarded."""

from collections.abc import Iterable

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


def connection_options(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the header names that a Connection header marks as hop-by-hop."""
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return frozenset(names)
