"""Headers that concern one connection only and are never passed on."""

from collections.abc import Iterable

HOP_BY_HOP = frozenset(
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


def named_in_connection(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the header names that a Connection header marks as hop-by-hop."""
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return frozenset(names)
