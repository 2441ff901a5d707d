"""Keeps optional parts of libraries from being imported at start."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import cast


@contextmanager
def without_modules(*names: str) -> Iterator[None]:
    """Let imports of some modules fail inside the block, unless they are loaded already."""
    hidden = [name for name in names if name not in sys.modules]
    # A module entry of None makes its import raise ModuleNotFoundError.
    sys.modules.update(cast(dict[str, None], dict.fromkeys(hidden)))  # type: ignore[arg-type]
    try:
        yield
    finally:
        for name in hidden:
            del sys.modules[name]
