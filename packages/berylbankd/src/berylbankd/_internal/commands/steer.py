"""Runs the daemon on the users' platform."""

import gc
import os
import sys
from pathlib import Path

from berylbank._internal.exceptions import BerylbankError
from berylbank._internal.utils.imports import without_modules

EXIT_BAD_SETTINGS = 2
# Objects made since the last collection before the next one.
GC_THRESHOLD = 20_000


def run_steering(settings: Path | None = None, check: bool = False) -> int:
    """Steer traffic until SIGTERM; return the exit code."""
    import anyio

    # The logger would set up a sink on standard error that is replaced at once.
    os.environ.setdefault("LOGURU_AUTOINIT", "False")
    with without_modules("pygments"):
        # The HTTP client's own command line is never used.
        import httpx  # noqa: F401

    from berylbankd._internal.steering_application import SteeringApplication, find_settings

    path = settings or find_settings()
    try:
        application = SteeringApplication(path)
    except BerylbankError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{path}: settings are valid")
        return 0
    # What the start made stays for good; collecting it again and again would cost processor time.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    anyio.run(application.run, backend_options={"use_uvloop": True})
    return 0
