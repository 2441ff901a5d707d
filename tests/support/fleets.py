"""A fleet of three daemon processes for functional tests."""

import contextlib

from fleet import BackendSpec, Fleet, VmSpec, running_fleet, write_service_lists

VM_SPECS = [
    VmSpec("north-1a", "north", "north-1"),
    VmSpec("mid-1a", "mid", "mid-1"),
    VmSpec("south-1a", "south", "south-1"),
]
TIMING = {"lookup_max_age_ms": 500, "stop_grace_ms": 5_000}
SERVICES = [
    {
        "name": "lookup",
        "prefix": "/lookup/",
        "traffic_class": "lookup",
        "open_prefixes": ["/lookup/public/"],
        "timeout_ms": 1_000,
    },
    {"name": "booking", "prefix": "/booking/", "traffic_class": "booking", "timeout_ms": 1_000},
    {
        "name": "images",
        "prefix": "/images/",
        "traffic_class": "transfer",
        "timeout_ms": 1_000,
        "version": "v1",
    },
]
CUSTOMERS_TOML = """
[[organisations]]
name = "alder-mill"
plan = "large"

[[organisations]]
name = "birch-mill"
plan = "lookups"

[[plans]]
name = "large"
[[plans.entitlements]]
service = "lookup"
rate = 400.0
burst = 400.0
[[plans.entitlements]]
service = "booking"
rate = 100.0
burst = 100.0

[[plans.entitlements]]
service = "images"
rate = 1000.0
burst = 1000.0

[[plans]]
name = "lookups"
[[plans.entitlements]]
service = "lookup"
rate = 1.0
burst = 3.0
"""


def open_fleet() -> tuple[contextlib.ExitStack, Fleet, dict[str, str]]:
    """Start a fleet with three services and two organisations.

    Returns the stack that stops the fleet, the fleet, and an API key by organisation.
    """
    plans = [
        BackendSpec(
            f"{service}-{vm_spec.region}", service, vm_spec.region, vm_spec.failure_domain, 4
        )
        for service in ("lookup", "booking")
        for vm_spec in VM_SPECS
    ]
    plans += [
        BackendSpec(f"images-{version}", "images", "north", "north-1", 8, 0, version)
        for version in ("v1", "v2")
    ]
    stack = contextlib.ExitStack()
    fleet = stack.enter_context(running_fleet(VM_SPECS, plans, TIMING))
    service_lists = write_service_lists(fleet, plans, SERVICES)
    customers_file = fleet.folder / "customers.toml"
    customers_file.write_text(CUSTOMERS_TOML)
    fleet.berylctl("apply", str(service_lists), str(customers_file), "--yes")
    keys = {name: fleet.grant_key(name, "test") for name in ("alder-mill", "birch-mill")}
    fleet.wait_ready([vm_spec.name for vm_spec in VM_SPECS])
    return stack, fleet, keys
