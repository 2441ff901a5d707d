"""Run the daemon as ``python -m berylbankd``."""

import gc

# Imports make many objects that stay; the subcommands turn collection on again.
gc.disable()

from berylbankd._internal.main import main  # noqa: E402

main()
