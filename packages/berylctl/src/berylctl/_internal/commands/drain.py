"""``berylctl drain`` and ``undrain``."""

from typing import Any

from berylctl._internal.cli.main import AsJson, OperationId, Wait, app
from berylctl._internal.cli.output import EXIT_OK, EXIT_WAITING, print_json, report_state


@app.command
def drain(
    backend: str,
    *,
    wait: Wait = 60.0,
    operation_id: OperationId = None,
    json: AsJson = False,
) -> int:
    """Send no new requests to BACKEND and wait until its last request has ended."""
    from berylctl._internal.operations.changes import wait_for_drain
    from berylctl._internal.operations.client import Client, load_client_settings

    client = Client(load_client_settings(None))
    state = _set_draining(client, backend, True, operation_id)
    if state["state"] in ("not_done", "unknown"):
        return report_state(state, json)
    view = wait_for_drain(client, backend, wait)
    if json:
        print_json({**state, "drain": view})
    elif view["done"]:
        print(f"done: {backend} is drained (operation {state['operation_id']})")
    else:
        print(f"waiting: {backend} runs {view['running']}, not heard: {view['not_heard']}")
        print(f"hint: run 'berylctl drain {backend}' again, or stop the server when you must")
    return EXIT_OK if view["done"] else EXIT_WAITING


@app.command
def undrain(
    backend: str,
    *,
    operation_id: OperationId = None,
    json: AsJson = False,
) -> int:
    """Send new requests to BACKEND again."""
    from berylctl._internal.operations.client import Client, load_client_settings

    client = Client(load_client_settings(None))
    return report_state(_set_draining(client, backend, False, operation_id), json)


def _set_draining(
    client: Any, backend: str, draining: bool, operation_id: str | None
) -> dict[str, Any]:
    from berylbank._internal.models.changes import SetDraining
    from berylctl._internal.operations.changes import submit_change

    return submit_change(client, SetDraining(backend, draining), operation_id, 5_000)
