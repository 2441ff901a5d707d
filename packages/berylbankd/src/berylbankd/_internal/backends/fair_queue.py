"""A queue that serves organisations by weight: start-time fair queueing."""

from collections import deque
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class Tagged(NamedTuple, Generic[T]):
    """An item with the virtual time at which its service starts."""

    start: float
    item: T


class First(NamedTuple):
    """Whose item is next."""

    start: float
    organisation: str


class FairQueue(Generic[T]):
    """Items by organisation; each gets room in proportion to its weight.

    ``limit`` bounds the items of one organisation, so that none fills the queue for others.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.queues: dict[str, deque[Tagged[T]]] = {}
        self.finish: dict[str, float] = {}
        self.virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def push(self, organisation: str, weight: int, item: T) -> bool:
        """Add an item; False when the organisation's part of the queue is full."""
        queue = self.queues.setdefault(organisation, deque())
        if len(queue) >= self.limit:
            return False
        start = max(self.virtual_time, self.finish.get(organisation, 0.0))
        self.finish[organisation] = start + 1.0 / weight
        queue.append(Tagged(start, item))
        return True

    def peek(self) -> T | None:
        """Return the item whose service starts first, or None."""
        first = self._first()
        return self.queues[first.organisation][0].item if first is not None else None

    def pop(self) -> T | None:
        """Remove and return the item whose service starts first, or None."""
        first = self._first()
        if first is None:
            return None
        start, name = first
        self.virtual_time = max(self.virtual_time, start)
        tagged = self.queues[name].popleft()
        if not self.queues[name]:
            del self.queues[name]
            self._forget_past()
        return tagged.item

    def remove(self, organisation: str, item: T) -> bool:
        """Remove an item that need not be served any more."""
        queue = self.queues.get(organisation, deque())
        for tagged in queue:
            if tagged.item is item:
                queue.remove(tagged)
                if not queue:
                    del self.queues[organisation]
                return True
        return False

    def _first(self) -> First | None:
        waiting = [First(queue[0].start, name) for name, queue in self.queues.items() if queue]
        return min(waiting, default=None)

    def _forget_past(self) -> None:
        self.finish = {n: f for n, f in self.finish.items() if f > self.virtual_time}
