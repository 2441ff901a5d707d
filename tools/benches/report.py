"""Prints the results of a bench: a table, and a last line in JSON."""

import json
from collections.abc import Sequence
from typing import Any

from rich.console import Console
from rich.table import Table


def print_rows(title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table of results."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console(width=110).print(table)


def print_result(bench: str, figures: dict[str, Any]) -> None:
    """Print the JSON line that ends a bench."""
    print(json.dumps({"bench": bench, **figures}))
