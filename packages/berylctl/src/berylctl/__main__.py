"""Run the client as ``python -m berylctl``."""

from berylctl._internal.cli.main import main

main()
