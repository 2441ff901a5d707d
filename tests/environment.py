"""Set-up of behave: import paths, and a fleet of daemons for each feature that has its tag.

The tag ``fleet`` starts daemons with their own operator interface, the tag ``steering`` daemons
that steer requests. With the tag ``small_buffers`` too, their sockets have small send buffers.
"""

import sys
from contextlib import ExitStack
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tools")]


def before_feature(context, feature):
    if "fleet" in feature.tags:
        from tests.support.fleets import open_fleet

        context.fleet_stack, context.fleet, context.keys = open_fleet()
    if "steering" in feature.tags:
        open_steering(context, "small_buffers" in feature.tags)


def after_feature(context, feature):
    if "fleet" in feature.tags:
        context.fleet_stack.close()
    if "steering" in feature.tags:
        context.steering_stack.close()


def before_scenario(context, scenario):
    if "steering" in scenario.feature.tags:
        # Undoes the faults of the previous scenario, as all scenarios of a feature share the fleet.
        restore_steering(context)


def open_steering(context, small_buffers):
    """Start the steering daemons for a feature, run by an event loop in another thread."""
    import httpx
    from anyio.from_thread import start_blocking_portal
    from steering_fleet import SMALL_BUFFERS_ENVIRONMENT, open_steering_fleet

    environment = SMALL_BUFFERS_ENVIRONMENT if small_buffers else None
    context.steering_stack = ExitStack()
    context.portal = context.steering_stack.enter_context(start_blocking_portal())
    manager = context.portal.wrap_async_context_manager(
        open_steering_fleet(environment=environment)
    )
    context.steering = context.steering_stack.enter_context(manager)
    limits = httpx.Limits(max_keepalive_connections=0)
    context.steering.client = httpx.Client(limits=limits, verify=False, trust_env=False)
    context.steering_stack.enter_context(context.steering.client)
    context.steering.request_count = 0
    context.steering.moved_server = None
    context.steering.key_withdrawn = False


def restore_steering(context):
    from tests.steps.steering_fleet_steps import restore

    restore(context)
