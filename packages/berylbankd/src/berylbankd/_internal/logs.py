"""Structured logs on standard output: one JSON object a line, bounded, and never blocking."""

import json
import os
import sys
import time
from collections import deque
from typing import Any

import anyio
from loguru import logger

# Lines that wait for a slow reader of standard output; more are counted and dropped.
MAX_WAITING_LINES = 5_000
# Lines on requests a second at most, with what may follow at once; the rest is counted.
LINES_PER_S = 25.0
LINES_BURST = 200.0
WRITE_EVERY_S = 0.25


class LogWriter:
    """Takes lines from the logger and writes them as standard output takes them."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.waiting: deque[bytes] = deque()
        self.tokens = LINES_BURST
        self.refilled_s = 0.0
        self.dropped = 0
        self.rest = b""

    def install(self, level: str = "INFO") -> None:
        """Make this the only sink of the logger."""
        logger.remove()
        logger.add(self.take, level=level, format="{message}")

    def has_room(self, urgent: bool) -> bool:
        """Tell whether a request's line may be written; served requests give way to others."""
        now_s = time.monotonic()
        self.tokens = min(LINES_BURST, self.tokens + LINES_PER_S * (now_s - self.refilled_s))
        self.refilled_s = now_s
        if self.tokens >= (1 if urgent else LINES_BURST / 2):
            self.tokens -= 1
            return True
        self.dropped += 1
        return False

    def take(self, message: Any) -> None:
        """Queue a line of the logger."""
        record = message.record
        extra = record["extra"]
        self.write(record["time"].timestamp(), record["level"].name, record["message"], extra)

    def write(self, time_s: float, level: str, event: str, fields: dict[str, Any]) -> None:
        """Queue a line, or count it where standard output does not keep up.

        Lines on requests come here directly: the logger would take a tenth of a request's time.
        """
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        line = {"t": round(time_s, 3), "vm": self.vm, "level": level, "event": event, **fields}
        if self.dropped:
            line["lines_dropped"], self.dropped = self.dropped, 0
        self.waiting.append(json.dumps(line, default=str).encode() + b"\n")

    async def run(self) -> None:
        """Write until cancelled, then write what is left without waiting."""
        os.set_blocking(sys.stdout.fileno(), False)
        try:
            while True:
                self.flush()
                await anyio.sleep(WRITE_EVERY_S)
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as much as standard output takes now."""
        data = self.rest + b"".join(self.waiting)
        self.waiting.clear()
        self.rest = data[_write(data) :]
        if len(self.rest) > MAX_WAITING_LINES * 200:
            self.dropped += self.rest.count(b"\n")
            self.rest = b""


def _write(data: bytes) -> int:
    try:
        return os.write(sys.stdout.fileno(), data) if data else 0
    except BlockingIOError:
        return 0


def configure_logs(as_json: bool, vm: str) -> None:
    """Write logs to standard error, as text or as JSON lines."""
    logger.remove()
    logger.configure(extra={"vm": vm})
    if as_json:
        logger.add(sys.stderr, serialize=True, level="INFO")
    else:
        logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {extra[vm]} {level} {message}")
