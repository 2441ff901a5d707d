"""Set-up of behave: imports, and one fleet of processes for each feature that asks for it."""

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tools")]


def before_feature(context, feature):
    if "fleet" in feature.tags:
        from tests.support.fleets import open_fleet

        context.fleet_stack, context.fleet, context.keys = open_fleet()


def after_feature(context, feature):
    if "fleet" in feature.tags:
        context.fleet_stack.close()
