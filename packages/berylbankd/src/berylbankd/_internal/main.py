"""Command line of the daemon."""

import gc
import sys
from pathlib import Path
from typing import Annotated

import cyclopts

from berylbank._internal.exceptions import BerylbankError
from berylbank._internal.settings import Settings, load_settings, read_secret
from berylbank._internal.utils.imports import without_modules

app = cyclopts.App(name="berylbankd", help="Steer traffic as one of several entry VMs.")
EXIT_BAD_SETTINGS = 2
# Objects made since the last collection before the next one.
GC_THRESHOLD = 20_000


@app.default
def run(
    *,
    settings: Annotated[Path, cyclopts.Parameter(help="TOML settings of this VM")],
    check: Annotated[bool, cyclopts.Parameter(help="only check the settings", negative="")] = False,
) -> int:
    """Run the daemon until SIGTERM, which stops it gracefully."""
    try:
        loaded = load_settings(settings)
        for path in (loaded.operators.operate_token_file, loaded.operators.look_token_file):
            read_secret(path)
    except BerylbankError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{settings}: settings are valid")
        return 0
    return _run(loaded)


@app.command
def steer(
    *,
    settings: Annotated[
        Path | None, cyclopts.Parameter(help="settings file that the platform writes")
    ] = None,
    check: Annotated[bool, cyclopts.Parameter(help="only check the settings", negative="")] = False,
) -> int:
    """Steer traffic on the users' platform until SIGTERM, which stops it gracefully."""
    import anyio

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


def _run(settings: Settings) -> int:
    import anyio

    from berylbankd._internal.application import Application
    from berylbankd._internal.logs import configure_logs

    gc.enable()
    configure_logs(settings.log_json, settings.vm.name)
    anyio.run(Application(settings).run, backend_options={"use_uvloop": True})
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(app())
