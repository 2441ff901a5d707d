"""Log output: JSON lines written to standard output without blocking, or standard error.

``berylbankd steer`` uses :class:`LogWriter`, ``berylbankd`` alone uses :func:`configure_logs`.
"""

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
# Token bucket that limits the lines on requests; lines beyond it are dropped and counted.
REQUEST_LINES_PER_S = 25.0
REQUEST_LINES_BURST = 200.0
WRITE_INTERVAL_S = 0.25


class LogWriter:
    """Queues lines of the logger and writes them to standard output without blocking."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.queued_lines: deque[bytes] = deque()
        self.request_line_tokens = REQUEST_LINES_BURST
        self.tokens_refilled_s = 0.0
        self.dropped_lines = 0
        self.unwritten_bytes = b""

    def install_sink(self, level: str = "INFO") -> None:
        """Make this writer the only sink of the logger."""
        logger.remove()
        logger.add(self.enqueue_record, level=level, format="{message}")

    def take_request_line_token(self, priority: bool) -> bool:
        """Take a token for a line on a request; return False if the line must be dropped.

        Lines without ``priority`` (on served requests) leave half of the bucket to the others.
        """
        now_s = time.monotonic()
        self.request_line_tokens = min(
            REQUEST_LINES_BURST,
            self.request_line_tokens + REQUEST_LINES_PER_S * (now_s - self.tokens_refilled_s),
        )
        self.tokens_refilled_s = now_s
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

        Lines on requests are queued directly: the logger would take a tenth of the time of a
        request.
        """
        if len(self.queued_lines) >= MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        line = {"t": round(time_s, 3), "vm": self.vm, "level": level, "event": event, **fields}
        if self.dropped_lines:
            line["lines_dropped"], self.dropped_lines = self.dropped_lines, 0
        self.queued_lines.append(json.dumps(line, default=str).encode() + b"\n")

    async def run(self) -> None:
        """Write queued lines until cancelled, then write the rest once, without blocking."""
        os.set_blocking(sys.stdout.fileno(), False)
        try:
            while True:
                self.flush()
                await anyio.sleep(WRITE_INTERVAL_S)
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as much as standard output takes without blocking."""
        data = self.unwritten_bytes + b"".join(self.queued_lines)
        self.queued_lines.clear()
        self.unwritten_bytes = data[_write_stdout(data) :]
        if len(self.unwritten_bytes) > MAX_QUEUED_LINES * 200:
            self.dropped_lines += self.unwritten_bytes.count(b"\n")
            self.unwritten_bytes = b""


def _write_stdout(data: bytes) -> int:
    """Return how many bytes were written; all count as written once nobody reads them any more."""
    try:
        return os.write(sys.stdout.fileno(), data) if data else 0
    except BlockingIOError:
        return 0
    except BrokenPipeError:
        # The daemon must outlive the reader of its log, and has no other place to report this.
        return len(data)


def configure_logs(as_json: bool, vm: str) -> None:
    """Send all logs to standard error, as text or as JSON lines."""
    logger.remove()
    logger.configure(extra={"vm": vm})
    if as_json:
        logger.add(sys.stderr, serialize=True, level="INFO")
    else:
        logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {extra[vm]} {level} {message}")
