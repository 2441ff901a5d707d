"""Cuts what a caller sends into single requests, and measures what is not body.

The parser of a connection gets one request at a time, its head as a whole. Requests that a caller
sends ahead stay here as bytes.
"""

import re

# A head and a chunked body both end with an empty line.
EMPTY_LINE = re.compile(rb"\n\r?\n")
# Bytes at the end of what was searched that may belong to the next empty line.
EMPTY_LINE_OVERLAP = 2
LINE_ENDS = b"\r\n"


class HeadTooLargeError(Exception):
    """The head of a request, or what is not body in a chunked body, exceeds its limit."""


class RequestInput:
    """Received bytes that the parser has not got.

    ``held`` are the bytes. ``body_left`` is the rest of a body with a length, None for a chunked
    one. ``overhead_bytes`` were passed on since the last part of a chunked body.
    """

    def __init__(self) -> None:
        self.held = b""
        self.searched = 0
        self.skipped_bytes = 0
        self.body_left: int | None = 0
        self.overhead_bytes = 0
        self.overlap = b""

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self.held = self.held + data if self.held else data

    def has_begun(self) -> bool:
        """Tell whether anything has come that the parser has not got."""
        return bool(self.held) or self.skipped_bytes > 0

    def take_head(self, max_bytes: int) -> bytes | None:
        """Return the next head with its empty line, or None while it is incomplete.

        :raises HeadTooLargeError: when the head, or the empty lines before it, exceed the limit.
        """
        if self.held[:1] in (b"\r", b"\n"):
            stripped = self.held.lstrip(LINE_ENDS)
            self.skipped_bytes += len(self.held) - len(stripped)
            self.held, self.searched = stripped, 0
        match = EMPTY_LINE.search(self.held, max(0, self.searched - EMPTY_LINE_OVERLAP))
        self.searched = len(self.held)
        end = match.end() if match else len(self.held)
        if self.skipped_bytes + end > max_bytes:
            raise HeadTooLargeError
        if match is None:
            return None
        head, self.held = self.held[:end], self.held[end:]
        self.searched = self.skipped_bytes = 0
        return head

    def start_body(self, length: int | None) -> None:
        """Prepare for the body of a request; ``length`` is None if it is chunked."""
        self.body_left = length
        self.overhead_bytes = 0
        self.overlap = b""

    def take_body(self, max_overhead_bytes: int) -> bytes:
        """Return bytes of the body; none of them belongs to the next request.

        :raises HeadTooLargeError: when too much has come that is not body.
        """
        if self.body_left is not None:
            part, self.held = self.held[: self.body_left], self.held[self.body_left :]
            self.body_left -= len(part)
            return part
        if self.overhead_bytes > max_overhead_bytes:
            raise HeadTooLargeError
        end = min(len(self.held), max_overhead_bytes + 1 - self.overhead_bytes)
        match = EMPTY_LINE.search(self.overlap + self.held[:end])
        if match is not None:
            end = match.end() - len(self.overlap)
        part, self.held = self.held[:end], self.held[end:]
        self.overlap = b"" if match else (self.overlap + part)[-EMPTY_LINE_OVERLAP:]
        self.overhead_bytes += len(part)
        return part

    def clear(self) -> None:
        """Drop the bytes."""
        self.held, self.searched = b"", 0
