"""Keeps the daemon and its background tasks running after unexpected errors and signals."""

import asyncio
import signal
import traceback
from collections.abc import Awaitable, Callable, Iterable
from types import FrameType
from typing import NamedTuple

import anyio
from loguru import logger

from berylbank._internal.utils.clock import Clock

# Pause before a task that failed is started again; it doubles with each failure up to the maximum.
RESTART_DELAY_MIN_S = 0.2
RESTART_DELAY_MAX_S = 5.0


class ReceivedSignal(NamedTuple):
    """A signal, and the time of the clock at which it arrived."""

    number: int
    arrived_ms: int


class SignalReceiver:
    """Receives signals, with the times at which they arrived while the event loop was busy.

    The interpreter runs the handlers between any two instructions, the event loop only when all
    callbacks that are due have returned. ``arrived_ms`` holds the time of the first signal of each
    number that has not been received.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.arrived_ms: dict[int, int] = {}
        self.signal_arrived = anyio.Event()

    def install(self, numbers: Iterable[signal.Signals]) -> None:
        """Handle signals from now on; call it in the main thread, in the event loop."""
        self.loop = asyncio.get_running_loop()
        for number in numbers:
            signal.signal(number, self._on_signal)
            signal.siginterrupt(number, False)

    async def receive(self) -> ReceivedSignal:
        """Wait for the next signal; those with the same number that wait are received as one."""
        while not self.arrived_ms:
            self.signal_arrived = anyio.Event()
            await self.signal_arrived.wait()
        number = next(iter(self.arrived_ms))
        return ReceivedSignal(number, self.arrived_ms.pop(number))

    def _on_signal(self, number: int, _: FrameType | None) -> None:
        self.arrived_ms.setdefault(number, self.clock.now_ms())
        self.loop.call_soon_threadsafe(self._wake)

    def _wake(self) -> None:
        self.signal_arrived.set()


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
