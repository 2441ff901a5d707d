"""Prevents libraries from importing optional dependencies at start."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import cast


@contextmanager
def block_imports(*names: str) -> Iterator[None]:
    """Make imports of the named modules fail inside the block, unless already imported."""
    hidden = [name for name in names if name not in sys.modules]
    # None in sys.modules makes the import of that module raise ModuleNotFoundError.
    sys.modules.update(cast(dict[str, None], dict.fromkeys(hidden)))  # type: ignore[arg-type]
    try:
        yield
    finally:
        for name in hidden:
            del sys.modules[name]
