"""A crowd of callers that do not behave, over raw sockets, in this process or as one of its own.

Each caller sends an opening and then the same block again and again, up to an amount of bytes or
until the VM closes its connection. A caller reads nothing of its responses unless told to.
"""

import contextlib
import selectors
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent.parent
SEND_BYTES = 65_536
READ_BYTES = 65_536
# A crowd stops sending when the VM has taken nothing of any caller for this long.
STALLED_S = 3.0
# Longest time that a crowd sends in all.
MAX_SENDING_S = 60.0
CONNECT_TIMEOUT_S = 5.0
MAX_KEPT_BYTES = 4_096


class Sending(NamedTuple):
    """What each caller of a crowd sends: ``opening``, then ``block`` up to ``total_bytes``."""

    opening: bytes
    block: bytes = b""
    total_bytes: int = 0


class CrowdCaller:
    """One caller; ``received`` is the beginning of what it has read, ``ended`` tells of a close."""

    def __init__(self, address: tuple[str, int], sending: Sending) -> None:
        self.socket = socket.create_connection(address, CONNECT_TIMEOUT_S)
        self.socket.setblocking(False)
        repeated = sending.block * (SEND_BYTES // len(sending.block)) if sending.block else b""
        self.repeated = repeated
        self.unsent = memoryview(sending.opening)
        self.left_bytes = sending.total_bytes if sending.block else 0
        self.received = b""
        self.ended = False

    @property
    def done(self) -> bool:
        """Tell whether the caller has sent everything, or can send nothing more."""
        return self.ended or (not self.unsent and self.left_bytes <= 0)

    def send(self) -> int:
        """Send what the connection takes now, and return how many bytes."""
        if not self.unsent:
            self.unsent = memoryview(self.repeated)
            self.left_bytes -= len(self.repeated)
        try:
            sent = self.socket.send(self.unsent)
        except BlockingIOError:
            return 0
        except OSError:
            self.ended = True
            return 0
        self.unsent = self.unsent[sent:]
        return sent

    def read(self) -> bool:
        """Read what has arrived; return False if nothing has."""
        try:
            data = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        self.ended |= not data
        self.received = (self.received + data)[:MAX_KEPT_BYTES]
        return bool(data)


class Crowd:
    """Callers of one address that all send the same, but for those that could not connect."""

    def __init__(
        self, address: tuple[str, int], count: int, sending: Sending, reads: bool = False
    ) -> None:
        self.reads = reads
        self.callers: list[CrowdCaller] = []
        for _ in range(count):
            with contextlib.suppress(OSError):
                self.callers.append(CrowdCaller(address, sending))

    def send(self) -> None:
        """Send until every caller has sent everything, or the VM takes nothing more."""
        began_s = progress_s = time.monotonic()
        with selectors.DefaultSelector() as selector:
            events = selectors.EVENT_WRITE | (selectors.EVENT_READ if self.reads else 0)
            for caller in self.callers:
                selector.register(caller.socket, events, caller)
            while selector.get_map():
                for key, mask in selector.select(0.1):
                    caller = key.data
                    if mask & selectors.EVENT_READ and caller.read():
                        progress_s = time.monotonic()
                    if mask & selectors.EVENT_WRITE and caller.send():
                        progress_s = time.monotonic()
                    if caller.done:
                        selector.unregister(caller.socket)
                now_s = time.monotonic()
                if now_s > progress_s + STALLED_S or now_s > began_s + MAX_SENDING_S:
                    return

    def read_to_end(self, timeout_s: float) -> None:
        """Read from every caller's connection until the VM has closed all, or a time has passed."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s and not all(caller.ended for caller in self.callers):
            for caller in self.callers:
                while not caller.ended and caller.read():
                    pass
            time.sleep(0.02)

    def close(self) -> None:
        """Close all connections."""
        for caller in self.callers:
            caller.socket.close()


def start_crowd_process(
    address: tuple[str, int], count: int, sending: Sending, reads: bool
) -> subprocess.Popen[bytes]:
    """Start a process with a crowd that sends only the block, until it is killed."""
    host, port = address
    arguments = [host, str(port), str(count), str(sending.total_bytes), str(int(reads))]
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.support.crowd", *arguments],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdin is not None and process.stdout is not None
    process.stdin.write(sending.block)
    process.stdin.close()
    # The crowd is connected.
    process.stdout.readline()
    return process


def main() -> None:
    """Run the crowd that the arguments describe."""
    host, port, count, total_bytes, reads = sys.argv[1:]
    sending = Sending(b"", sys.stdin.buffer.read(), int(total_bytes))
    crowd = Crowd((host, int(port)), int(count), sending, reads == "1")
    print("connected", flush=True)
    crowd.send()


if __name__ == "__main__":
    main()
