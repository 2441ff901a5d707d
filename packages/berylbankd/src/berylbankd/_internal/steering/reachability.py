"""Finds failure domains that have gone dark.

Load pattern answered: a failure domain loses power or its links. Its servers stay registered for
seconds, and each of them would cost requests a connect timeout before it is left alone.
"""

from collections import defaultdict

# Servers of a domain that could not be reached, with none reached between, before all are left.
SERVERS_UNREACHED = 3


class DomainWatch:
    """Connections that could not be opened, by failure domain."""

    def __init__(self) -> None:
        self.unreached: dict[str, set[str]] = defaultdict(set)

    def note_unreached(self, domain: str, server_id: str) -> bool:
        """Record a server that could not be reached; tell whether its domain is dark by it."""
        found = self.unreached[domain]
        found.add(server_id)
        if len(found) < SERVERS_UNREACHED:
            return False
        found.clear()
        return True

    def note_reached(self, domain: str) -> None:
        """Record a server that was reached."""
        self.unreached.pop(domain, None)
