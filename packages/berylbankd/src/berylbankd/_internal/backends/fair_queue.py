"""A queue that serves organisations by weight (start-time fair queueing)."""

from collections import deque
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class QueuedItem(NamedTuple, Generic[T]):
    """A queued item with its start tag: the virtual time at which its service starts."""

    start_tag: float
    item: T


class QueueHead(NamedTuple):
    """The start tag of an organisation's first item, by which queues are compared."""

    start_tag: float
    organisation: str


class FairQueue(Generic[T]):
    """Queued items by organisation; each organisation is served in proportion to its weight.

    ``limit_per_organisation`` bounds the queued items of one organisation, so that no
    organisation can take the whole queue.
    """

    def __init__(self, limit_per_organisation: int) -> None:
        self.limit_per_organisation = limit_per_organisation
        self.queues: dict[str, deque[QueuedItem[T]]] = {}
        self.finish_times: dict[str, float] = {}
        self.virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def push(self, organisation: str, weight: int, item: T) -> bool:
        """Add an item; return False if the organisation already has as many as it may queue."""
        queue = self.queues.setdefault(organisation, deque())
        if len(queue) >= self.limit_per_organisation:
            return False
        start_tag = max(self.virtual_time, self.finish_times.get(organisation, 0.0))
        self.finish_times[organisation] = start_tag + 1.0 / weight
        queue.append(QueuedItem(start_tag, item))
        return True

    def peek(self) -> T | None:
        """Return the item with the earliest start tag, or None if the queue is empty."""
        head = self._find_next_head()
        return self.queues[head.organisation][0].item if head is not None else None

    def pop(self) -> T | None:
        """Remove and return the item with the earliest start tag, or None if the queue is empty."""
        head = self._find_next_head()
        if head is None:
            return None
        start_tag, organisation = head
        self.virtual_time = max(self.virtual_time, start_tag)
        queued = self.queues[organisation].popleft()
        if not self.queues[organisation]:
            del self.queues[organisation]
            self._delete_past_finish_times()
        return queued.item

    def remove(self, organisation: str, item: T) -> bool:
        """Remove an item that no longer needs to be served; return whether it was queued."""
        queue = self.queues.get(organisation, deque())
        for queued in queue:
            if queued.item is item:
                queue.remove(queued)
                if not queue:
                    del self.queues[organisation]
                return True
        return False

    def _find_next_head(self) -> QueueHead | None:
        waiting = [
            QueueHead(queue[0].start_tag, organisation)
            for organisation, queue in self.queues.items()
            if queue
        ]
        return min(waiting, default=None)

    def _delete_past_finish_times(self) -> None:
        self.finish_times = {
            organisation: finish
            for organisation, finish in self.finish_times.items()
            if finish > self.virtual_time
        }
