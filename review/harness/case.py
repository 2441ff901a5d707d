"""Runs one case: writes its record and returns the exit code."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.client import get
from harness.deployment import Deployment

# The interpreter itself ends with 1 after an error, so ``run.sh`` makes 1 of BROKEN.
HELD, BROKEN, NOT_RUN = 0, 3, 2
END_SIGNALS = (signal.SIGTERM, signal.SIGINT)
LIMIT_S = 115.0


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """The lines of ``record.txt``, with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started = time.monotonic()

    def line(self, text: str, at: float | None = None) -> None:
        """Write a line."""
        seconds = (time.monotonic() if at is None else at) - self.started
        self.file.write(f"{seconds:9.3f} {text}\n")
        self.file.flush()


Case = Callable[[Record, Path, bool], Awaitable[bool]]


def run_case(case: Case, record_path: Path) -> int:
    """Run a case, which returns whether the rule held, and write its record."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    record.line(f"the case runs {'with' if trouble else 'without'} the disruption")
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        try:
            held = asyncio.run(_run_bounded(case, record, Path(name), trouble))
        except (Exception, asyncio.CancelledError) as error:
            record.line("the case could not run: " + repr(error))
            record.line(traceback.format_exc())
            traceback.print_exc()
            return NOT_RUN
        finally:
            if "KEEP_LOGS" in os.environ:
                shutil.copytree(name, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    record.line("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


async def _run_bounded(case: Case, record: Record, folder: Path, trouble: bool) -> bool:
    task = asyncio.current_task()
    assert task is not None
    for number in END_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(LIMIT_S):
        return await case(record, folder, trouble)


async def wait_until_ready(deployment: Deployment, timeout_s: float = 25.0) -> None:
    """Wait until every machine says that it is ready."""
    ends = time.monotonic() + timeout_s
    for machine in deployment.machines:
        while (await get(machine.readiness, "/v1/ready", {})).status != 200:
            if time.monotonic() > ends:
                tail = machine.log.read_text()[-2000:] if machine.log.exists() else ""
                raise CannotRunError(f"{machine.name} does not get ready: {tail}")
            await asyncio.sleep(0.2)


def main(case: Case, record_path: Path) -> None:
    """Run a case as a program."""
    sys.exit(run_case(case, record_path))
