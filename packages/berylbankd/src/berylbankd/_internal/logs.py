"""Structured logs on standard output: one JSON object a line, bounded, and never blocking."""

import json
import os
import sys
from collections import deque
from typing import Any

import anyio
from loguru import logger

# Lines that wait for a slow reader of standard output; more are counted and dropped.
MAX_WAITING_LINES = 5_000
# Lines a second that are written at most, with what may follow at once; losses are counted.
LINES_PER_S = 300.0
LINES_BURST = 1_000.0
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

    def take(self, message: Any) -> None:
        """Queue a line, or count it where there are too many; warnings go first."""
        record = message.record
        when_s = record["time"].timestamp()
        self.tokens = min(LINES_BURST, self.tokens + LINES_PER_S * max(0, when_s - self.refilled_s))
        self.refilled_s = when_s
        urgent = record["level"].no >= 30
        if len(self.waiting) >= MAX_WAITING_LINES or (self.tokens < 1 and not urgent):
            self.dropped += 1
            return
        self.tokens = max(0.0, self.tokens - 1)
        line = {
            "t": round(when_s, 3),
            "vm": self.vm,
            "level": record["level"].name,
            "event": record["message"],
            **record["extra"],
        }
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
