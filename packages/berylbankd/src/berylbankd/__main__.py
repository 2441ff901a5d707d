"""Run the daemon as ``python -m berylbankd``."""

import gc
import sys

# Imports make many objects that stay; the subcommands turn collection on again.
gc.disable()


def main() -> int:
    """Run the command that the arguments name."""
    if sys.argv[1:] == ["steer"]:
        # As the platform starts it: no arguments to parse, and no parser to import.
        from berylbankd._internal.commands.steer import run_steering

        return run_steering()
    from berylbankd._internal.main import main as run_command_line

    run_command_line()
    return 0


sys.exit(main())
