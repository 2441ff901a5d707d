"""``berylctl explain`` and ``doctor``."""

from berylctl._internal.cli.main import AsJson, app
from berylctl._internal.cli.output import (
    EXIT_ERROR,
    EXIT_OK,
    EXIT_WAITING,
    print_json,
    print_table,
)

REQUEST_COLUMNS = (
    "request_id",
    "organisation",
    "service",
    "backends",
    "status",
    "refusal",
    "ran",
    "duration_ms",
    "head",
)


@app.command
def explain(name: str, *, json: AsJson = False) -> int:
    """Show how recent requests ended and why: NAME is a request id or an organisation."""
    from berylctl._internal.operations.client import Client, load_client_settings

    views = Client(load_client_settings(None)).get_from_all(f"requests/{name}")
    requests = [entry for view in views.values() if view for entry in view["requests"]]
    if json:
        print_json(requests)
    elif requests:
        print_table(
            "requests",
            REQUEST_COLUMNS,
            [[entry[column] for column in REQUEST_COLUMNS] for entry in requests],
        )
    else:
        print(f"no VM has a record of {name}")
        print("hint: each VM keeps its last 2,000 requests, and loses them when it restarts")
    return EXIT_OK if requests else EXIT_ERROR


@app.command
def doctor(json: AsJson = False) -> int:
    """Check every VM; show problems and their remedies."""
    from berylctl._internal.operations.client import Client, load_client_settings
    from berylctl._internal.operations.doctor import find_problems

    findings = find_problems(Client(load_client_settings(None)).get_from_all("status"))
    if json:
        print_json([finding._asdict() for finding in findings])
    elif findings:
        print_table("findings", ("where", "problem", "remedy"), findings)
    else:
        print("all VMs serve and have the same head; no problems found")
    return EXIT_WAITING if findings else EXIT_OK
