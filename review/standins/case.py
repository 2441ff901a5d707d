"""Runs a case: the record, the time limit and the exit status."""

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.deployment import CouldNotRunError

TIME_LIMIT_S = 110.0
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_s = time.monotonic()

    def write(self, line: str, at_s: float | None = None) -> None:
        """Write a line with its time since the start."""
        at_s = time.monotonic() if at_s is None else at_s
        self.file.write(f"{at_s - self.started_s:8.3f} {line}\n")
        self.file.flush()


def count_most(times_s: list[tuple[float, float]], window_s: float) -> tuple[int, float]:
    """Return the most requests that were sent and arrived inside a window, and its start.

    Each request has the times of its sending and of its arrival.
    """
    most, from_s = 0, 0.0
    for start_s, _ in times_s:
        end_s = start_s + window_s
        count = sum(start_s <= sent_s and arrived_s < end_s for sent_s, arrived_s in times_s)
        if count > most:
            most, from_s = count, start_s
    return most, from_s


def has_trouble() -> bool:
    """Tell whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case and exit; ``play`` returns whether the rule held."""
    # Ends the processes that were started, also where the case is stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(folder / "record.txt")
    record.write(f"trouble: {has_trouble()}")
    status = COULD_NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(play(record), TIME_LIMIT_S))
        status = HELD if held else BROKEN
    except CouldNotRunError as error:
        record.write(f"could not run: {error}")
    except (SystemExit, KeyboardInterrupt):
        record.write("could not run: stopped from outside")
    except Exception:
        record.write(f"could not run: {traceback.format_exc()}")
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "no result"))
    record.file.close()
    # The connections that are still open end with the process.
    os._exit(status)
