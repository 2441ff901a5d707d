"""``berylctl status``, ``vms`` and ``forget``."""

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

ConfirmEnded = Annotated[
    bool,
    cyclopts.Parameter(
        name="--confirm-ended", negative="", help="confirm that the process of this VM has ended"
    ),
]
Operation = Annotated[
    str | None,
    cyclopts.Parameter(name="--operation", help="show the state of the change with this id"),
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
    """Show the status of one VM, or the state of a change."""
    from berylctl._internal.operations.client import Client, load_client_settings

    client = Client(load_client_settings(None))
    if operation is not None:
        return report_state(client.get(f"changes/{operation}", int(wait * 1000)), json)
    view = client.get("status")
    if json:
        print_json(view)
        return EXIT_OK
    print(f"{view['vm']}: head {view['head']}, {'serves' if view['may_act'] else 'refuses'}")
    rows = [_select_columns(item, BACKEND_COLUMNS) for item in view["backends"]]
    print_table("backend servers", BACKEND_COLUMNS, rows)
    print_table(
        "rates", RATE_COLUMNS, [_select_columns(item, RATE_COLUMNS) for item in view["buckets"]]
    )
    return EXIT_OK


@app.command
def vms(json: AsJson = False) -> int:
    """Show the status of every VM of the settings."""
    from berylctl._internal.operations.client import Client, load_client_settings

    views = Client(load_client_settings(None)).get_from_all("status")
    if json:
        print_json(views)
    else:
        columns = ("address", "vm", "head", "serves", "leaving", "running", "store")
        print_table("VMs", columns, [_make_vm_row(a, v) for a, v in views.items()])
    healthy = all(view is not None and view["may_act"] for view in views.values())
    return EXIT_OK if healthy else EXIT_WAITING


@app.command
def forget(
    vm: str,
    *,
    confirm_ended: ConfirmEnded = False,
    operation_id: OperationId = None,
    json: AsJson = False,
) -> int:
    """Remove the seat of VM, whose process you confirm has ended permanently.

    Needed only if a majority of the seated VMs is lost; otherwise silent VMs lose their seats
    automatically.
    """
    from berylbank._internal.models.changes import ForgetVm
    from berylctl._internal.operations.changes import submit_change
    from berylctl._internal.operations.client import Client, load_client_settings

    if not confirm_ended:
        print("A VM that still runs could keep serving with withdrawn keys and old rate limits.")
        print("hint: make sure that its process has ended, then add --confirm-ended")
        return EXIT_ERROR
    client = Client(load_client_settings(None))
    return report_state(submit_change(client, ForgetVm(vm), operation_id, 5_000), json)


def _select_columns(item: dict[str, Any], columns: tuple[str, ...]) -> tuple[Any, ...]:
    return tuple(item[column] for column in columns)


def _make_vm_row(address: str, view: dict[str, Any] | None) -> tuple[Any, ...]:
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
