"""Gives the sockets of a process small send buffers, as on links with little room.

Python imports it at the start of a process with this folder in ``PYTHONPATH``. Connections inherit
the buffers of the socket that accepts them.
"""

import socket

SEND_BUFFER_BYTES = 16_384
_bind = socket.socket.bind


def bind_with_small_buffer(self: socket.socket, address: object) -> None:
    """Bind a socket, with a small send buffer."""
    self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    _bind(self, address)


socket.socket.bind = bind_with_small_buffer  # type: ignore[method-assign, assignment]
