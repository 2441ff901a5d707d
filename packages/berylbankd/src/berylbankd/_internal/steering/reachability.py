"""Finds failure domains that have gone dark.

Load pattern answered: a failure domain loses power or its links. Its servers stay registered for
seconds, and each of them would cost requests a connect timeout before it is left alone.
"""

from collections import defaultdict

# Servers of a domain that could not be reached, with none reached between, before all are left.
MAX_UNREACHABLE_SERVERS = 3
# Servers that could not be reached longer ago than this failed for reasons of their own.
UNREACHABLE_WINDOW_MS = 3_000


class DomainReachability:
    """Connections that could not be opened, by failure domain."""

    def __init__(self) -> None:
        self.failed_ms_by_domain: dict[str, dict[str, int]] = defaultdict(dict)

    def record_unreachable(self, domain: str, server_id: str, now_ms: int) -> bool:
        """Record a server that could not be reached; tell whether its domain is dark by it."""
        failed_ms = self.failed_ms_by_domain[domain]
        failed_ms[server_id] = now_ms
        recent = [at_ms for at_ms in failed_ms.values() if now_ms - at_ms < UNREACHABLE_WINDOW_MS]
        if len(recent) < MAX_UNREACHABLE_SERVERS:
            return False
        failed_ms.clear()
        return True

    def record_reached(self, domain: str) -> None:
        """Record a server that was reached."""
        self.failed_ms_by_domain.pop(domain, None)
