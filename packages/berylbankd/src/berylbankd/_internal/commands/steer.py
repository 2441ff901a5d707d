"""Runs the daemon on the users' platform."""

import gc
import os
import signal
import sys
from pathlib import Path

from berylbank._internal.exceptions import BerylbankError
from berylbank._internal.utils.imports import block_imports

EXIT_BAD_SETTINGS = 2
# Number of new objects that triggers a garbage collection.
GC_ALLOCATION_THRESHOLD = 20_000


def run_steering(settings: Path | None = None, check: bool = False) -> int:
    """Run the daemon until SIGTERM, or only check its settings; return the exit code."""
    # Until the daemon handles it, SIGHUP would end the process. It reads changed settings anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import anyio

    # Without this the logger would create a sink on standard error, which is replaced at once.
    os.environ.setdefault("LOGURU_AUTOINIT", "False")
    with block_imports("pygments"):
        # Without pygments, httpx does not import its command line, which is not used here.
        import httpx  # noqa: F401

    from berylbankd._internal.steering_application import SteeringApplication, find_settings_path

    settings_path = settings or find_settings_path()
    try:
        application = SteeringApplication(settings_path)
    except BerylbankError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{settings_path}: settings are valid")
        return 0
    # Objects created so far live as long as the process; freezing them keeps the garbage collector
    # from spending processor time on them at each collection.
    gc.freeze()
    gc.set_threshold(GC_ALLOCATION_THRESHOLD)
    gc.enable()
    anyio.run(application.run, backend_options={"use_uvloop": True})
    return 0
