"""Command line of the daemon: ``berylbankd`` and ``berylbankd steer``."""

import gc
import sys
from pathlib import Path
from typing import Annotated

import cyclopts

from berylbank._internal.exceptions import BerylbankError
from berylbank._internal.settings import Settings, load_settings, read_secret_file
from berylbankd._internal.commands.steer import EXIT_BAD_SETTINGS, run_steering

app = cyclopts.App(name="berylbankd", help="Steer traffic as one of several entry VMs.")


@app.default
def run(
    *,
    settings: Annotated[Path, cyclopts.Parameter(help="TOML settings of this VM")],
    check: Annotated[bool, cyclopts.Parameter(help="only check the settings", negative="")] = False,
) -> int:
    """Run the daemon until SIGTERM, which stops it gracefully."""
    try:
        vm_settings = load_settings(settings)
        for path in (
            vm_settings.operators.operate_token_file,
            vm_settings.operators.look_token_file,
        ):
            read_secret_file(path)
    except BerylbankError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{settings}: settings are valid")
        return 0
    return _run_daemon(vm_settings)


@app.command
def steer(
    *,
    settings: Annotated[
        Path | None, cyclopts.Parameter(help="settings file that the platform writes")
    ] = None,
    check: Annotated[bool, cyclopts.Parameter(help="only check the settings", negative="")] = False,
) -> int:
    """Steer traffic on the users' platform until SIGTERM, which stops it gracefully."""
    return run_steering(settings, check)


def _run_daemon(settings: Settings) -> int:
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
