"""Conversion between decoded TOML or JSON documents and ``NamedTuple`` records."""

import types
import typing
from collections.abc import Mapping
from typing import Any, TypeVar

T = TypeVar("T")


class RecordError(ValueError):
    """A document does not match its record type; ``path`` is the path of the invalid key."""

    def __init__(self, path: str, message: str) -> None:
        super().__init__(f"{path}: {message}")
        self.path = path
        self.message = message


def is_record(kind: Any) -> bool:
    """Return whether ``kind`` is a ``NamedTuple`` class."""
    return isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields")


def decode(kind: type[T], raw: Any, path: str = "$") -> T:
    """Build a record of ``kind`` from ``raw``; raise :class:`RecordError` with the key path."""
    return typing.cast(T, _decode(kind, raw, path))


def encode(value: Any) -> Any:
    """Return ``value`` as dictionaries and lists that can be written as JSON or TOML."""
    if is_record(type(value)):
        return {name: encode(item) for name, item in zip(value._fields, value, strict=True)}
    if isinstance(value, tuple | list):
        return [encode(item) for item in value]
    if isinstance(value, Mapping):
        return {key: encode(item) for key, item in value.items()}
    return value


def _decode(kind: Any, raw: Any, path: str) -> Any:
    if is_record(kind):
        return _decode_record(kind, raw, path)
    origin = typing.get_origin(kind)
    if origin is tuple:
        return _decode_sequence(kind, raw, path)
    if origin is dict:
        return _decode_mapping(kind, raw, path)
    if origin in (typing.Union, types.UnionType):
        return _decode_optional(kind, raw, path)
    return _decode_scalar(kind, raw, path)


def _decode_record(kind: Any, raw: Any, path: str) -> Any:
    if not isinstance(raw, Mapping):
        raise RecordError(path, f"expected a table, found {type(raw).__name__}")
    unknown = sorted(set(raw) - set(kind._fields))
    if unknown:
        raise RecordError(f"{path}.{unknown[0]}", f"unknown key; known: {', '.join(kind._fields)}")
    hints = typing.get_type_hints(kind)
    values = {}
    for name in kind._fields:
        if name in raw:
            values[name] = _decode(hints[name], raw[name], f"{path}.{name}")
        elif name not in kind._field_defaults:
            raise RecordError(f"{path}.{name}", "missing key; add it")
    return kind(**values)


def _decode_sequence(kind: Any, raw: Any, path: str) -> tuple[Any, ...]:
    if not isinstance(raw, list | tuple):
        raise RecordError(path, f"expected a list, found {type(raw).__name__}")
    item = typing.get_args(kind)[0]
    return tuple(_decode(item, value, f"{path}[{i}]") for i, value in enumerate(raw))


def _decode_mapping(kind: Any, raw: Any, path: str) -> dict[str, Any]:
    if not isinstance(raw, Mapping):
        raise RecordError(path, f"expected a table, found {type(raw).__name__}")
    item = typing.get_args(kind)[1]
    return {str(key): _decode(item, value, f"{path}.{key}") for key, value in raw.items()}


def _decode_optional(kind: Any, raw: Any, path: str) -> Any:
    if raw is None:
        return None
    item = next(arg for arg in typing.get_args(kind) if arg is not type(None))
    return _decode(item, raw, path)


def _decode_scalar(kind: Any, raw: Any, path: str) -> Any:
    if kind is Any:
        return raw
    if kind is float and isinstance(raw, int) and not isinstance(raw, bool):
        return float(raw)
    if isinstance(raw, kind) and not (kind is int and isinstance(raw, bool)):
        return raw
    raise RecordError(path, f"expected {kind.__name__}, found {type(raw).__name__}")
