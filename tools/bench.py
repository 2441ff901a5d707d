"""Runs one bench by name; it prints a table, and one JSON line at the end."""

import importlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
BENCHES = sorted(p.stem for p in (Path(__file__).parent / "benches").glob("bench_*.py"))


def main() -> int:
    """Run the bench named on the command line; on SIGTERM it exits and stops its processes."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if f"bench_{name}" not in BENCHES:
        known = ", ".join(bench.removeprefix("bench_") for bench in BENCHES)
        print(f"unknown bench {name!r}; available: {known}", file=sys.stderr)
        return 2
    module = importlib.import_module(f"benches.bench_{name}")
    exit_code: int = module.main()
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
