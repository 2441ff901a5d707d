"""The command line application and the options that commands share."""

import sys
from typing import Annotated

import cyclopts

from berylbank._internal.exceptions import BerylbankError
from berylctl._internal.cli.output import EXIT_ERROR

app = cyclopts.App(
    name="berylctl",
    help="Operate berylbank. Exit codes: 0 done, 1 error, 3 not done, 4 waiting, 5 unknown.",
    result_action="return_value",
)
keys = cyclopts.App(name="keys", help="Grant, withdraw and list the API keys of callers.")
app.command(keys)

AsJson = Annotated[bool, cyclopts.Parameter(name="--json", negative="", help="print JSON")]
Wait = Annotated[
    float,
    cyclopts.Parameter(name="--wait", help="maximum seconds to wait until the change is in force"),
]
OperationId = Annotated[
    str | None,
    cyclopts.Parameter(
        name="--operation-id", help="id of an earlier attempt, to retry the same change"
    ),
]


def register_commands() -> None:
    """Import the modules of all commands; each registers its commands on the application."""
    from berylctl._internal.commands import apply, drain, explain, keys, shift, status

    assert apply and drain and explain and keys and shift and status


def main() -> None:
    """Run the command line and exit with the exit code of the command."""
    register_commands()
    try:
        result = app()
    except BerylbankError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_ERROR)
    sys.exit(result if isinstance(result, int) else 0)
