"""Logs by loguru: a line only for a change of state."""

import sys

from loguru import logger


def configure_logs(as_json: bool, vm: str) -> None:
    """Write logs to standard error, as text or as JSON lines."""
    logger.remove()
    logger.configure(extra={"vm": vm})
    if as_json:
        logger.add(sys.stderr, serialize=True, level="INFO")
    else:
        logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {extra[vm]} {level} {message}")
