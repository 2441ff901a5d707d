"""Set-up of behave: the repository's root and tools become importable."""

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tools")]
