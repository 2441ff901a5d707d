"""``berylctl status`` and ``vms``."""

from typing import Annotated, Any

import cyclopts

from berylctl._internal.cli.main import AsJson, OperationId, Wait, app
from berylctl._internal.cli.output import (
    EXIT_ERROR,
    EXIT_OK,
    EXIT_WAITING,
    print_json,
    print_table,
    report_state,
)

Confirm = Annotated[
    bool, cyclopts.Parameter(name="--confirm-ended", negative="", help="its process has ended")
]
Operation = Annotated[
    str | None, cyclopts.Parameter(name="--operation", help="where this change stands")
]

BACKEND_COLUMNS = (
    "backend",
    "owner",
    "slots",
    "held",
    "in_use",
    "draining",
    "usable",
    "latency_ms",
)
RATE_COLUMNS = ("organisation", "service", "held_share", "tokens", "waiting")


@app.command
def status(operation: Operation = None, wait: Wait = 5.0, json: AsJson = False) -> int:
    """Show what one VM knows, or where a change stands."""
    from berylctl._internal.operations.client import Client, load_client_settings

    client = Client(load_client_settings(None))
    if operation is not None:
        return report_state(client.get(f"changes/{operation}", int(wait * 1000)), json)
    view = client.get("status")
    if json:
        print_json(view)
        return EXIT_OK
    print(f"{view['vm']}: head {view['head']}, {'serves' if view['may_act'] else 'refuses'}")
    rows = [_row(item, BACKEND_COLUMNS) for item in view["backends"]]
    print_table("backend servers", BACKEND_COLUMNS, rows)
    print_table("rates", RATE_COLUMNS, [_row(item, RATE_COLUMNS) for item in view["buckets"]])
    return EXIT_OK


@app.command
def vms(json: AsJson = False) -> int:
    """Show every VM of the client's settings."""
    from berylctl._internal.operations.client import Client, load_client_settings

    views = Client(load_client_settings(None)).get_each("status")
    if json:
        print_json(views)
    else:
        columns = ("address", "vm", "head", "serves", "leaving", "running", "store")
        print_table("VMs", columns, [_vm_row(a, v) for a, v in views.items()])
    healthy = all(view is not None and view["may_act"] for view in views.values())
    return EXIT_OK if healthy else EXIT_WAITING


@app.command
def forget(
    vm: str,
    *,
    confirm_ended: Confirm = False,
    operation_id: OperationId = None,
    json: AsJson = False,
) -> int:
    """Unseat VM at your word that its process has ended for good.

    Needed only where a majority of the seated VMs is lost; others are unseated by themselves.
    """
    from berylbank._internal.models.changes import ForgetVm
    from berylctl._internal.operations.changes import submit_change
    from berylctl._internal.operations.client import Client, load_client_settings

    if not confirm_ended:
        print("A VM that still runs could go on with old keys and rates, unseen.")
        print("hint: make sure that its process has ended, then add --confirm-ended")
        return EXIT_ERROR
    client = Client(load_client_settings(None))
    return report_state(submit_change(client, ForgetVm(vm), operation_id, 5_000), json)


def _row(item: dict[str, Any], columns: tuple[str, ...]) -> tuple[Any, ...]:
    return tuple(item[column] for column in columns)


def _vm_row(address: str, view: dict[str, Any] | None) -> tuple[Any, ...]:
    if view is None:
        return (address, "does not answer", "", "", "", "", "")
    return (
        address,
        view["vm"],
        view["head"],
        view["may_act"],
        view["leaving"],
        view["running"],
        view["store_answers"],
    )
