"""Command line of the stand-ins: ``berylbank-standins platform|backend``."""

import signal

import anyio
import cyclopts

from berylbank_standins._internal.backend import BackendBehaviour, run_backend
from berylbank_standins._internal.platform import run_platform

app = cyclopts.App(name="berylbank-standins", help="Stand-ins for tests and demos.")


async def _stop_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return


@app.command
def platform(address: str) -> None:
    """Run a stand-in platform on IP:port."""

    async def run() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_on_signal, stop)
            await run_platform(address, stop)
            group.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})


@app.command
def backend(name: str, address: str, slots: int = 8, service_ms: int = 0) -> None:
    """Run a stand-in backend server on IP:port."""
    host, _, port = address.rpartition(":")

    async def run() -> None:
        stop = anyio.Event()
        behaviour = BackendBehaviour(slots=slots, service_ms=service_ms)
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_on_signal, stop)
            await run_backend(name, host, int(port), behaviour, stop)
            group.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})


def main() -> None:
    """Run the command line."""
    app()
