"""Exit codes, and output as tables or JSON."""

import json
from collections.abc import Sequence
from typing import Any

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_NOT_DONE = 3
EXIT_WAITING = 4
EXIT_UNKNOWN = 5

EXIT_CODES_BY_STATE = {
    "in_force": EXIT_OK,
    "accepted": EXIT_WAITING,
    "written": EXIT_WAITING,
    "not_done": EXIT_NOT_DONE,
    "unknown": EXIT_UNKNOWN,
}


def print_json(document: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(document, indent=2))


def print_table(title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table with a title."""
    from rich.console import Console
    from rich.table import Table

    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)


def report_state(state: dict[str, Any], as_json: bool) -> int:
    """Print the state of a change and return its exit code."""
    if as_json:
        print_json(state)
        return EXIT_CODES_BY_STATE[state["state"]]
    line = f"{state['state'].replace('_', ' ')}: operation {state['operation_id']}"
    if state["number"]:
        line += f", head {state['number']}"
    print(line)
    if state["waiting_for"]:
        print(f"waiting for: {', '.join(state['waiting_for'])}")
    if state["message"]:
        print(state["message"])
    if state["hint"]:
        print(f"hint: {state['hint']}")
    return EXIT_CODES_BY_STATE[state["state"]]
