"""The last requests of this VM and why each ended as it did, for operators who ask."""

from collections import deque
from typing import NamedTuple

KEPT_ENTRIES = 2_000
SHOWN_ENTRIES = 50


class Entry(NamedTuple):
    """How one request ended; ``backends`` are the servers it was sent to, in order."""

    request_id: str
    organisation: str
    service: str
    backends: tuple[str, ...]
    status: int
    refusal: str
    ran: str
    duration_ms: int
    head: int


class Journal:
    """A bounded list of entries; the oldest go first."""

    def __init__(self) -> None:
        self.entries: deque[Entry] = deque(maxlen=KEPT_ENTRIES)

    def add(self, entry: Entry) -> None:
        """Remember a request."""
        self.entries.append(entry)

    def find(self, name: str) -> list[Entry]:
        """Return the newest entries of a request id or an organisation, newest first."""
        found = [e for e in reversed(self.entries) if name in (e.request_id, e.organisation)]
        return found[:SHOWN_ENTRIES]
