"""Reads the operators' lists (TOML files) and compares them with the configuration in force."""

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.models.configuration import Configuration, parse_configuration
from berylbank._internal.utils.records import encode

LIST_KINDS = ("organisations", "plans", "services", "backends", "client_blocks")
ID_FIELDS = {"client_blocks": "network"}


class Difference(NamedTuple):
    """One difference of an entry: ``sign`` is ``+`` (added), ``-`` (removed) or ``~`` (changed).

    ``kind`` is the list of the entry, and ``detail`` names the changed fields.
    """

    sign: str
    kind: str
    name: str
    detail: str = ""


def read_lists(paths: Iterable[Path]) -> Configuration:
    """Read TOML files and merge them into one configuration.

    :raises InvalidDocumentError: naming the file and the key at fault.
    """
    merged: dict[str, list[Any]] = {}
    path_names = []
    for path in paths:
        path_names.append(str(path))
        for kind, items in _read_file(path).items():
            if not isinstance(items, list):
                raise InvalidDocumentError(
                    "expected a list of tables",
                    context=f"{path}, key {kind}",
                    hint=f"write [[{kind}]]",
                )
            merged.setdefault(kind, []).extend(items)
    return parse_configuration(merged, ", ".join(path_names))


def compare(old: dict[str, Any], new: Configuration) -> list[Difference]:
    """Return the differences from ``old``, the configuration in force, to the new lists."""
    document = encode(new)
    differences: list[Difference] = []
    for kind in LIST_KINDS:
        differences.extend(_compare_kind(kind, old[kind], document[kind]))
    return differences


def _read_file(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(
            str(error),
            context=str(path),
            hint="make the file readable, or correct the TOML at that line",
        ) from None


def _compare_kind(kind: str, old: list[Any], new: list[Any]) -> Iterable[Difference]:
    id_field = ID_FIELDS.get(kind, "name")
    before = {item[id_field]: item for item in old}
    after = {item[id_field]: item for item in new}
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield Difference("-", kind, name)
        elif name not in before:
            yield Difference("+", kind, name)
        else:
            detail = _describe_changed_fields(before[name], after[name])
            if detail:
                yield Difference("~", kind, name, detail)


def _describe_changed_fields(old: dict[str, Any], new: dict[str, Any]) -> str:
    """Describe the changed fields, except keys and drains, which lists don't change."""
    parts = [
        f"{field}: {old.get(field)} -> {value}"
        for field, value in new.items()
        if field not in ("keys", "draining") and value != old.get(field)
    ]
    return ", ".join(parts)
