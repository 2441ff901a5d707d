"""``berylctl apply``, ``diff`` and ``history``."""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import cyclopts

from berylctl._internal.cli.main import AsJson, OperationId, Wait, app
from berylctl._internal.cli.output import EXIT_ERROR, print_json, print_table, report_state
from berylctl._internal.operations.lists import Difference

Yes = Annotated[
    bool, cyclopts.Parameter(name="--yes", negative="", help="do not ask for confirmation")
]
DryRun = Annotated[
    bool, cyclopts.Parameter(name="--dry-run", negative="", help="only show the differences")
]


@app.command
def apply(
    *files: Path,
    yes: Yes = False,
    dry_run: DryRun = False,
    wait: Wait = 5.0,
    operation_id: OperationId = None,
    json: AsJson = False,
) -> int:
    """Replace the configuration in force by FILES, after showing the differences."""
    from berylbank._internal.models.changes import ReplaceConfiguration
    from berylctl._internal.operations.changes import submit_change
    from berylctl._internal.operations.client import Client, load_client_settings
    from berylctl._internal.operations.lists import compare, read_lists

    new = read_lists(files)
    client = Client(load_client_settings(None))
    view = client.get("configuration")
    differences = compare(view["configuration"], new)
    if not json:
        _print_differences(differences)
    if dry_run:
        return 0
    removes = any(difference.sign == "-" for difference in differences)
    if removes and not yes and not _confirm("This removes entries. Apply?"):
        print("cancelled; nothing was changed", file=sys.stderr)
        return EXIT_ERROR
    change = ReplaceConfiguration(view["number"], new)
    return report_state(submit_change(client, change, operation_id, int(wait * 1000)), json)


@app.command
def diff(*files: Path, json: AsJson = False) -> int:
    """Show how FILES differ from the configuration in force."""
    from berylctl._internal.operations.client import Client, load_client_settings
    from berylctl._internal.operations.lists import compare, read_lists

    new = read_lists(files)
    view = Client(load_client_settings(None)).get("configuration")
    differences = compare(view["configuration"], new)
    if json:
        print_json([difference._asdict() for difference in differences])
    else:
        _print_differences(differences)
    return 0


@app.command
def history(json: AsJson = False) -> int:
    """Show recent changes, oldest first."""
    from berylctl._internal.operations.client import Client, load_client_settings

    operations = Client(load_client_settings(None)).get("history")["operations"]
    if json:
        print_json(operations)
        return 0
    rows = [(o["number"], o["operation_id"], o["summary"]) for o in operations]
    print_table("changes", ("head", "operation", "summary"), rows)
    return 0


def _print_differences(differences: Sequence[Difference]) -> None:
    if not differences:
        print("no differences")
        return
    print_table("differences", ("", "list", "name", "detail"), differences)


def _confirm(question: str) -> bool:
    return sys.stdin.isatty() and input(f"{question} [y/N] ").strip().lower() == "y"
