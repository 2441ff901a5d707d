"""Gradual traffic shifts from one version or region of a service to another."""

from typing import NamedTuple

FULL_SHARE_MILLIONTHS = 1_000_000
DEFAULT_STEPS_MILLIONTHS = (10_000, 50_000, 200_000, 500_000, FULL_SHARE_MILLIONTHS)
RUNNING = "running"
DONE = "done"
UNDONE = "undone"
STATES = (RUNNING, DONE, UNDONE)
BY_VERSION = "version"
BY_REGION = "region"
SELECTOR_FIELDS = (BY_VERSION, BY_REGION)


class Shift(NamedTuple):
    """A traffic shift and its progress.

    ``by`` is the field of a backend server, version or region, that ``source`` and ``target``
    are values of. ``steps`` are the increasing shares of the service's traffic, in millionths,
    that the target may receive; ``step`` is the current one, counted from 1. ``step_ms`` is the
    minimum time of a step, ``within_ms`` the time after which an unfinished shift is undone and
    ``spent_ms`` the time spent before this row was written. ``reason`` explains the current
    state; ``begun`` is the number of the head that started the shift.
    """

    name: str
    service: str
    by: str
    source: str
    target: str
    steps: tuple[int, ...] = DEFAULT_STEPS_MILLIONTHS
    step_ms: int = 10_000
    within_ms: int = 600_000
    step: int = 1
    state: str = RUNNING
    spent_ms: int = 0
    reason: str = ""
    begun: int = 0

    def unique_name(self) -> str:
        """Return a name that no other shift has, not even an earlier one called the same."""
        return f"{self.name}@{self.begun}"

    def target_share(self) -> int:
        """Return the share of traffic that the target may receive now, in millionths."""
        if self.state == UNDONE:
            return 0
        return self.steps[self.step - 1]

    def is_at_last_step(self) -> bool:
        """Return whether the shift has reached its last step."""
        return self.step >= len(self.steps)


def find_shift_problem(shift: Shift) -> str | None:
    """Return why a new shift is invalid, or None."""
    increasing = bool(shift.steps) and list(shift.steps) == sorted(set(shift.steps))
    in_range = increasing and shift.steps[0] > 0 and shift.steps[-1] <= FULL_SHARE_MILLIONTHS
    is_new = shift.step == 1 and shift.state == RUNNING and not shift.spent_ms
    enough_time = shift.step_ms > 0 and shift.within_ms >= shift.step_ms * len(shift.steps)
    problems = (
        (shift.by not in SELECTOR_FIELDS, f"by must be one of {', '.join(SELECTOR_FIELDS)}"),
        (shift.source == shift.target, "source and target are the same"),
        (not increasing, "steps must not be empty and must increase"),
        (not in_range, f"steps must lie between 1 and {FULL_SHARE_MILLIONTHS} millionths"),
        (not is_new, "a new shift must be running, at step 1, with spent_ms 0"),
        (not enough_time, "within_ms must be at least step_ms times the number of steps"),
    )
    return next((message for applies, message in problems if applies), None)
