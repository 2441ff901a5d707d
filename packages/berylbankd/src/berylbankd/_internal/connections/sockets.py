"""What the kernel knows of a connection, beside what the event loop has read of it."""

import fcntl
import os
import select
import socket
import struct
import termios

from loguru import logger

QUEUE_SIZE_FORMAT = "i"


def read_send_queue_size(file_descriptor: int) -> int:
    """Return how many bytes the kernel holds that the other end has not acknowledged.

    It is 0 where the kernel does not tell.
    """
    try:
        size = fcntl.ioctl(file_descriptor, termios.TIOCOUTQ, struct.pack(QUEUE_SIZE_FORMAT, 0))
    except (OSError, ValueError):  # ValueError: the connection has just been closed
        return 0
    return int(struct.unpack(QUEUE_SIZE_FORMAT, size)[0])


def has_input(file_descriptor: int) -> bool:
    """Tell whether there is input on a connection that the event loop has not read.

    That is a request which has just arrived. The close of the other end does not count.
    """
    poll = select.poll()
    poll.register(file_descriptor, select.POLLIN | select.POLLRDHUP)
    events = poll.poll(0)
    return bool(events) and events[0][1] == select.POLLIN


def has_hung_up(file_descriptor: int) -> bool:
    """Tell whether the other end of a TCP connection has closed it."""
    poll = select.poll()
    poll.register(file_descriptor, select.POLLIN | select.POLLRDHUP)
    events = poll.poll(0)
    if not events:
        return False
    if events[0][1] & ~select.POLLIN:
        return True
    try:
        duplicate = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, 0, fileno=os.dup(file_descriptor)
        )
        with duplicate:
            return not duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Accept the connections that callers have opened and the event loop has not accepted yet."""
    waiting: list[socket.socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return waiting
        except OSError as error:
            logger.warning("connections that wait to be accepted are closed: {}", error)
            return waiting
        connection.setblocking(False)
        waiting.append(connection)
