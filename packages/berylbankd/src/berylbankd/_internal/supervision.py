"""Keeps the daemon and its background tasks running after unexpected errors and signals."""

import signal
import traceback
from collections.abc import Awaitable, Callable, Iterable

import anyio
from loguru import logger

# Pause before a task that failed is started again; it doubles with each failure up to the maximum.
RESTART_DELAY_MIN_S = 0.2
RESTART_DELAY_MAX_S = 5.0


def ignore_signals(numbers: Iterable[signal.Signals]) -> None:
    """Ignore signals from now on, so that none ends a process that is about to exit by itself."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)


async def run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a background task until it ends or is cancelled, again after each unexpected error.

    Without this, one error in any task would end the daemon and cut all of its requests.
    """
    delay_s = RESTART_DELAY_MIN_S
    while True:
        try:
            await run()
            return
        except Exception as error:  # any error must leave the other tasks running
            logger.error(
                "task {} failed, starting it again in {} s: {}",
                name,
                delay_s,
                describe_error(error),
            )
        await anyio.sleep(delay_s)
        delay_s = min(RESTART_DELAY_MAX_S, delay_s * 2)


def describe_error(error: BaseException) -> str:
    """Return the kind, the message and the place of an error, on one line."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    place = f" in {frames[-1].name}, line {frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}: {error}{place}"
