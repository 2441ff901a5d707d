"""Reads the logs of a fleet and shows how soon its VMs stopped using servers that left.

For each backend server: when the first VM learned of its departure, how much later the last VM
did, and how long after the first VM's news any VM sent it the last request, in milliseconds.

    departure_ages.py LOG    a file with the JSON lines of several VMs, other text before and after
"""

import json
import re
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

JSON_LINE = re.compile(r"\{.*\}")
DEPARTED = re.compile(
    r"backend server (\S+) departed: known (\d+) ms ago from (.+), revision ([\d.]+);"
    r" the last request was sent to it (-?\d+) ms after that"
)


class Report(NamedTuple):
    """What one VM reported of a server's departure; times in milliseconds since the epoch."""

    vm: str
    known_ms: float
    last_sent_ms: float
    source: str


def read_lines(text: str) -> Iterator[dict[str, Any]]:
    """Yield the log lines in a text."""
    for line in text.splitlines():
        match = JSON_LINE.search(line)
        if match is None:
            continue
        try:
            yield json.loads(match.group())
        except ValueError:
            continue


def collect_reports(lines: Iterable[dict[str, Any]]) -> dict[str, list[Report]]:
    """Return the reports on each server."""
    reports: dict[str, list[Report]] = {}
    for line in lines:
        match = DEPARTED.search(str(line.get("event", "")))
        if match is None:
            continue
        server, age_ms, source, _, delay_ms = match.groups()
        known_ms = line["t"] * 1000 - int(age_ms)
        report = Report(line["vm"], known_ms, known_ms + int(delay_ms), source)
        reports.setdefault(server, []).append(report)
    return reports


def main() -> None:
    """Print one line a server, the worst first, and the worst figures of all."""
    by_server = collect_reports(read_lines(Path(sys.argv[1]).read_text(errors="replace")))
    rows = []
    for server, reports in by_server.items():
        first = min(reports, key=lambda report: report.known_ms)
        slowest = max(reports, key=lambda report: report.known_ms)
        last = max(reports, key=lambda report: report.last_sent_ms)
        rows.append(
            (
                round(last.last_sent_ms - first.known_ms),
                round(slowest.known_ms - first.known_ms),
                server,
                f"known first by {first.vm} from {first.source}, last by {slowest.vm} from"
                f" {slowest.source}, last request by {last.vm}, {len(reports)} VMs",
            )
        )
    for last_ms, spread_ms, server, text in sorted(rows, reverse=True):
        print(f"{server}: last request after {last_ms} ms, known to all after {spread_ms}; {text}")
    if rows:
        print(
            f"{len(rows)} servers: last request after {max(row[0] for row in rows)} ms at worst,"
            f" known to all after {max(row[1] for row in rows)} ms at worst"
        )


if __name__ == "__main__":
    main()
