"""Detects failure domains that have become unreachable.

When a failure domain loses power or its network links, its servers stay registered for seconds.
Requests would wait for a connect timeout on each of them before it is ejected.
"""

from collections import defaultdict

# Servers of a domain that fail, with none reached in between, before the domain is unreachable.
MIN_UNREACHABLE_SERVERS = 3
# Connection failures older than this are unrelated.
UNREACHABLE_WINDOW_MS = 3_000


class DomainReachability:
    """Recent failures to connect to backend servers, by failure domain."""

    def __init__(self) -> None:
        self.failed_ms_by_domain: dict[str, dict[str, int]] = defaultdict(dict)

    def record_unreachable(self, domain: str, server_id: str, now_ms: int) -> bool:
        """Record a failed connection; return whether the failure domain is now unreachable."""
        failed_ms = self.failed_ms_by_domain[domain]
        failed_ms[server_id] = now_ms
        recent = [at_ms for at_ms in failed_ms.values() if now_ms - at_ms < UNREACHABLE_WINDOW_MS]
        if len(recent) < MIN_UNREACHABLE_SERVERS:
            return False
        failed_ms.clear()
        return True

    def record_reached(self, domain: str) -> None:
        """Record an opened connection, which clears the failures of its failure domain."""
        self.failed_ms_by_domain.pop(domain, None)
