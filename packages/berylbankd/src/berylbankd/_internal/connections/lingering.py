"""The transport of a caller's connection, which is closed without losing the end of a response."""

import asyncio
from typing import Protocol

# How long a connection that is to be closed is kept for a caller that still sends.
LINGER_TIMEOUT_S = 5.0


class LingeringProtocol(Protocol):
    """The protocol of a connection, as its transport sees it."""

    def must_linger(self) -> bool:
        """Tell whether the caller may send more before it has read its response."""

    def start_lingering(self) -> None:
        """Read on, without use for what is read, until the caller has its response."""

    def find_undelivered(self) -> object | None:
        """Return the response of which something is still in this VM, or None."""


class LingeringTransport:
    """A caller's transport that can be closed while the caller still sends.

    The kernel resets a connection that is closed before all input was read, and drops what it has
    not delivered of the response. So the transport first ends its own direction only, and is closed
    when the caller closes, or has its response and sends on after ``LINGER_TIMEOUT_S``.
    """

    def __init__(self, transport: asyncio.Transport, protocol: LingeringProtocol) -> None:
        self.transport = transport
        self.protocol = protocol
        self.lingering = False
        self.timer: asyncio.TimerHandle | None = None
        self.read_timer: asyncio.TimerHandle | None = None
        self.written_bytes = 0
        self.get_extra_info = transport.get_extra_info
        self.get_write_buffer_size = transport.get_write_buffer_size
        self.pause_reading = transport.pause_reading
        self.resume_reading = transport.resume_reading

    def write(self, data: bytes) -> None:
        """Write bytes."""
        self.written_bytes += len(data)
        self.transport.write(data)

    def count_taken_bytes(self) -> int:
        """Return how many of all written bytes the kernel has taken."""
        return self.written_bytes - self.get_write_buffer_size()

    def is_closing(self) -> bool:
        """Tell whether nothing more is sent after what was written already."""
        return self.lingering or self.transport.is_closing()

    def close(self) -> None:
        """Close the connection after what was written, and wait for a caller that still sends."""
        if self.is_closing():
            return
        if not self.protocol.must_linger():
            self.transport.close()
            return
        self.lingering = True
        self.protocol.start_lingering()
        self.transport.write_eof()
        self._start_timer()

    def close_now(self) -> None:
        """Close the connection after what was written, whether or not the caller still sends."""
        self._cancel_timers()
        self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, and drop what has not left this process."""
        self._cancel_timers()
        self.transport.abort()

    def read_later(self, delay_s: float) -> None:
        """Read nothing more until a time has passed."""
        self.transport.pause_reading()
        self.read_timer = asyncio.get_running_loop().call_later(delay_s, self._read_on)

    def _read_on(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _start_timer(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._on_timeout)

    def _cancel_timers(self) -> None:
        for timer in (self.timer, self.read_timer):
            if timer is not None:
                timer.cancel()

    def _on_timeout(self) -> None:
        if self.protocol.find_undelivered() is None:
            self.close_now()
        else:
            self._start_timer()
