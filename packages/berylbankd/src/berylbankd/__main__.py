"""Run the daemon as ``python -m berylbankd``."""

import gc
import signal
import sys

# Until the daemon handles it, SIGHUP would end the process, and the imports take long on a busy VM.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Imports create many objects that are never freed, so garbage collection would only cost time. The
# commands enable it again.
gc.disable()


def main() -> int:
    """Run the command that the arguments name."""
    if sys.argv[1:] == ["steer"]:
        # The platform passes no further arguments, so the argument parser need not be imported.
        from berylbankd._internal.commands.steer import run_steering

        return run_steering()
    from berylbankd._internal.main import main as run_command_line

    run_command_line()
    return 0


sys.exit(main())
