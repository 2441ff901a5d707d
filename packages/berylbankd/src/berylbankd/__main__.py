"""Run the daemon as ``python -m berylbankd``."""

from berylbankd._internal.main import main

main()
