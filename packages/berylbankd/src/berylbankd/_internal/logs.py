"""Logs: JSON lines to standard output without blocking, or loguru's own to standard error."""

import json
import os
import sys
import time
from collections import deque
from typing import Any

import anyio
from loguru import logger

# Limit of lines queued for a slow reader of standard output; further lines are dropped and counted.
MAX_QUEUED_LINES = 5_000
# Token bucket for lines on requests; further ones are dropped and counted.
REQUEST_LINES_PER_S = 25.0
REQUEST_LINES_BURST = 200.0
WRITE_INTERVAL_S = 0.25


class LogWriter:
    """Queues lines of the logger and writes them to standard output without blocking."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.queued: deque[bytes] = deque()
        self.request_line_tokens = REQUEST_LINES_BURST
        self.refilled_s = 0.0
        self.dropped_lines = 0
        self.unwritten = b""

    def install(self, level: str = "INFO") -> None:
        """Replace all sinks of the logger by this one."""
        logger.remove()
        logger.add(self.enqueue_record, level=level, format="{message}")

    def may_log_request(self, priority: bool) -> bool:
        """Tell whether a line on a request may be written; if so, take a token from the bucket.

        Lines without ``priority``, on served requests, leave half of the bucket to other requests.
        """
        now_s = time.monotonic()
        self.request_line_tokens = min(
            REQUEST_LINES_BURST,
            self.request_line_tokens + REQUEST_LINES_PER_S * (now_s - self.refilled_s),
        )
        self.refilled_s = now_s
        if self.request_line_tokens >= (1 if priority else REQUEST_LINES_BURST / 2):
            self.request_line_tokens -= 1
            return True
        self.dropped_lines += 1
        return False

    def enqueue_record(self, message: Any) -> None:
        """Queue a record of the logger as a line."""
        record = message.record
        extra = record["extra"]
        self.enqueue_line(
            record["time"].timestamp(), record["level"].name, record["message"], extra
        )

    def enqueue_line(self, time_s: float, level: str, event: str, fields: dict[str, Any]) -> None:
        """Queue a line; drop and count it if too many are queued.

        Lines on requests don't pass through the logger, which would take a tenth of a
        request's time.
        """
        if len(self.queued) >= MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        line = {"t": round(time_s, 3), "vm": self.vm, "level": level, "event": event, **fields}
        if self.dropped_lines:
            line["lines_dropped"], self.dropped_lines = self.dropped_lines, 0
        self.queued.append(json.dumps(line, default=str).encode() + b"\n")

    async def run(self) -> None:
        """Write queued lines until cancelled, then once more what is left, without blocking."""
        os.set_blocking(sys.stdout.fileno(), False)
        try:
            while True:
                self.flush()
                await anyio.sleep(WRITE_INTERVAL_S)
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as much as standard output takes without blocking."""
        data = self.unwritten + b"".join(self.queued)
        self.queued.clear()
        self.unwritten = data[_write_stdout(data) :]
        if len(self.unwritten) > MAX_QUEUED_LINES * 200:
            self.dropped_lines += self.unwritten.count(b"\n")
            self.unwritten = b""


def _write_stdout(data: bytes) -> int:
    try:
        return os.write(sys.stdout.fileno(), data) if data else 0
    except BlockingIOError:
        return 0


def configure_logs(as_json: bool, vm: str) -> None:
    """Send all logs to standard error, as text or as JSON lines."""
    logger.remove()
    logger.configure(extra={"vm": vm})
    if as_json:
        logger.add(sys.stderr, serialize=True, level="INFO")
    else:
        logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {extra[vm]} {level} {message}")
