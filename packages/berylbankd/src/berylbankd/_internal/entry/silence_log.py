"""Log lines on backend servers that are taken for silent."""

from typing import NamedTuple

from loguru import logger

# Token bucket of the lines; lines beyond it are dropped and counted.
LINES_PER_S = 5.0
LINES_BURST = 50.0


class ServerSilence(NamedTuple):
    """A server that has not responded for ``waited_ms``, ``left_ms`` before the timeout."""

    server: str
    waited_ms: int
    left_ms: int


class SilenceLog:
    """Writes a line for each request whose server is taken for silent, at a limited rate."""

    def __init__(self) -> None:
        self.tokens = LINES_BURST
        self.refilled_ms = 0
        self.dropped_lines = 0

    def write(
        self, request_id: str, silence: ServerSilence, next_attempt: str, now_ms: int
    ) -> None:
        """Write a line; ``next_attempt`` names the next server, or why there is none."""
        refill = (now_ms - self.refilled_ms) * LINES_PER_S / 1000
        self.tokens = min(LINES_BURST, self.tokens + refill)
        self.refilled_ms = now_ms
        if self.tokens < 1:
            self.dropped_lines += 1
            return
        self.tokens -= 1
        logger.warning(
            "request {}: backend server {} is silent for {} ms, {} ms are left; next attempt: {};"
            " {} such lines dropped before",
            request_id,
            silence.server,
            silence.waited_ms,
            silence.left_ms,
            next_attempt,
            self.dropped_lines,
        )
        self.dropped_lines = 0
