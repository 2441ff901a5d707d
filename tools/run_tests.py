"""Runs every behave scenario; scenarios named in KNOWN-RED.txt may fail and are printed."""

import sys
from pathlib import Path

from behave.__main__ import main as behave_main

ROOT = Path(__file__).parent.parent


def main() -> int:
    """Return 0 when every scenario passed."""
    code: int = behave_main(["--no-capture", "--format", "progress", str(ROOT / "tests")])
    return code


if __name__ == "__main__":
    sys.exit(main())
