"""``berylctl keys grant|withdraw|list``."""

from berylctl._internal.cli.main import AsJson, OperationId, Wait, keys
from berylctl._internal.cli.output import EXIT_OK, print_json, print_table, report_state


@keys.command
def grant(
    organisation: str,
    name: str,
    *,
    wait: Wait = 5.0,
    operation_id: OperationId = None,
    json: AsJson = False,
) -> int:
    """Create an API key called NAME for ORGANISATION and print it once; only its hash is stored."""
    from berylbank._internal.models.changes import GrantKey
    from berylbank._internal.models.configuration import ApiKey
    from berylbank._internal.utils.api_keys import generate_key, hash_key
    from berylctl._internal.operations.changes import submit_change
    from berylctl._internal.operations.client import Client, load_client_settings

    key = generate_key()
    change = GrantKey(organisation, ApiKey(name, hash_key(key)))
    client = Client(load_client_settings(None))
    state = submit_change(client, change, operation_id, int(wait * 1000))
    if json:
        state = {**state, "key": key}
    elif state["state"] != "not_done":
        print(f"key: {key}")
    return report_state(state, json)


@keys.command
def withdraw(
    organisation: str,
    name: str,
    *,
    wait: Wait = 5.0,
    operation_id: OperationId = None,
    json: AsJson = False,
) -> int:
    """Withdraw the API key called NAME of ORGANISATION on all VMs."""
    from berylbank._internal.models.changes import WithdrawKey
    from berylctl._internal.operations.changes import submit_change
    from berylctl._internal.operations.client import Client, load_client_settings

    client = Client(load_client_settings(None))
    change = WithdrawKey(organisation, name)
    return report_state(submit_change(client, change, operation_id, int(wait * 1000)), json)


@keys.command(name="list")
def list_keys(json: AsJson = False) -> int:
    """List the names of all API keys."""
    from berylctl._internal.operations.client import Client, load_client_settings

    view = Client(load_client_settings(None)).get("configuration")["configuration"]
    rows = [(o["name"], key) for o in view["organisations"] for key in o["keys"]]
    if json:
        print_json([{"organisation": o, "key": key} for o, key in rows])
    else:
        print_table("keys", ("organisation", "key"), rows)
    return EXIT_OK
