"""Shifts of traffic from one version or region of a service to another, in capped steps."""

from typing import NamedTuple

FULL_SHARE = 1_000_000
DEFAULT_STEPS = (10_000, 50_000, 200_000, 500_000, FULL_SHARE)
RUNNING = "running"
DONE = "done"
UNDONE = "undone"
STATES = (RUNNING, DONE, UNDONE)
BY_VERSION = "version"
BY_REGION = "region"
SELECTORS = (BY_VERSION, BY_REGION)


class Shift(NamedTuple):
    """A shift and how far it has come.

    ``steps`` are the shares of the service's traffic, in millionths, that the target may get;
    ``step`` counts the steps taken, ``step_ms`` is the least time for each, ``within_ms`` the
    time after which an unfinished shift is undone, ``spent_ms`` the time spent before this row
    was written. ``reason`` tells why it stands as it does, ``begun`` is the head that began it.
    """

    name: str
    service: str
    by: str
    source: str
    target: str
    steps: tuple[int, ...] = DEFAULT_STEPS
    step_ms: int = 10_000
    within_ms: int = 600_000
    step: int = 1
    state: str = RUNNING
    spent_ms: int = 0
    reason: str = ""
    begun: int = 0

    def key(self) -> str:
        """Return a name that no other shift has had, not even an earlier one of this name."""
        return f"{self.name}@{self.begun}"

    def share(self) -> int:
        """Return the share that the target may get now, in millionths."""
        if self.state == UNDONE:
            return 0
        return self.steps[self.step - 1]

    def is_last(self) -> bool:
        """Tell whether the last step is taken."""
        return self.step >= len(self.steps)


def find_problem(shift: Shift) -> str | None:
    """Return what is wrong with a shift that somebody wants to start, or None."""
    rising = bool(shift.steps) and list(shift.steps) == sorted(set(shift.steps))
    in_range = rising and shift.steps[0] > 0 and shift.steps[-1] <= FULL_SHARE
    fresh = shift.step == 1 and shift.state == RUNNING and not shift.spent_ms
    timed = shift.step_ms > 0 and shift.within_ms >= shift.step_ms * len(shift.steps)
    problems = (
        (shift.by not in SELECTORS, f"by must be one of {', '.join(SELECTORS)}"),
        (shift.source == shift.target, "source and target are the same"),
        (not rising, "steps must rise"),
        (not in_range, f"steps must lie between 1 and {FULL_SHARE} millionths"),
        (not fresh, "a new shift begins at its first step"),
        (not timed, "within_ms must leave step_ms for each step"),
    )
    return next((text for broken, text in problems if broken), None)
