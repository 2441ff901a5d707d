"""Finds failure domains that have gone dark.

Load pattern answered: a failure domain loses power or its links. Its servers stay registered for
seconds, and each of them would cost requests a connect timeout before it is left alone.
"""

from collections import defaultdict

# Servers of a domain that could not be reached, with none reached between, before all are left.
SERVERS_UNREACHED = 3
# Servers that could not be reached longer ago than this failed for reasons of their own.
WINDOW_MS = 3_000


class DomainWatch:
    """Connections that could not be opened, by failure domain."""

    def __init__(self) -> None:
        self.unreached: dict[str, dict[str, int]] = defaultdict(dict)

    def note_unreached(self, domain: str, server_id: str, now_ms: int) -> bool:
        """Record a server that could not be reached; tell whether its domain is dark by it."""
        found = self.unreached[domain]
        found[server_id] = now_ms
        recent = [at_ms for at_ms in found.values() if now_ms - at_ms < WINDOW_MS]
        if len(recent) < SERVERS_UNREACHED:
            return False
        found.clear()
        return True

    def note_reached(self, domain: str) -> None:
        """Record a server that was reached."""
        self.unreached.pop(domain, None)
