"""``berylctl release``, ``move``, ``cancel`` and ``shifts``."""

from typing import Annotated, Any, NamedTuple

import cyclopts

from berylbank._internal.models.shifts import (
    BY_REGION,
    BY_VERSION,
    DEFAULT_STEPS,
    DONE,
    FULL_SHARE,
    UNDONE,
    Shift,
)
from berylctl._internal.cli.main import AsJson, OperationId, app
from berylctl._internal.cli.output import (
    EXIT_NOT_DONE,
    EXIT_OK,
    EXIT_WAITING,
    print_json,
    print_table,
    report_state,
)

Source = Annotated[str, cyclopts.Parameter(name="--from", help="version or region to leave")]
Target = Annotated[str, cyclopts.Parameter(name="--to", help="version or region to go to")]
Within = Annotated[float, cyclopts.Parameter(name="--within", help="seconds until undone")]
StepTime = Annotated[float, cyclopts.Parameter(name="--step-time", help="least seconds a step")]
Cap = Annotated[float, cyclopts.Parameter(name="--cap", help="largest share, 0 to 1")]
Watch = Annotated[bool, cyclopts.Parameter(name="--watch", negative="", help="wait for its end")]

WATCH_POLL_S = 0.5
STATE_EXITS = {DONE: EXIT_OK, UNDONE: EXIT_NOT_DONE}


class Sides(NamedTuple):
    """What a shift goes from and to."""

    by: str
    source: str
    target: str


@app.command
def release(
    service: str,
    *,
    source: Source,
    target: Target,
    within: Within = 600.0,
    step_time: StepTime = 10.0,
    watch: Watch = False,
    operation_id: OperationId = None,
    json: AsJson = False,
) -> int:
    """Move SERVICE to a new version in small steps; a bad one is taken back."""
    sides = Sides(BY_VERSION, source, target)
    shift = _make_shift(service, sides, step_time, within)
    return _report(_start(shift, operation_id), shift.name, watch, json)


@app.command
def move(
    service: str,
    *,
    source: Source,
    target: Target,
    cap: Cap = 1.0,
    within: Within = 600.0,
    step_time: StepTime = 10.0,
    watch: Watch = False,
    operation_id: OperationId = None,
    json: AsJson = False,
) -> int:
    """Move SERVICE from one region to another in steps that never pass the cap."""
    sides = Sides(BY_REGION, source, target)
    shift = _make_shift(service, sides, step_time, within)._replace(steps=_steps_up_to(cap))
    return _report(_start(shift, operation_id), shift.name, watch, json)


@app.command
def cancel(name: str, *, operation_id: OperationId = None, json: AsJson = False) -> int:
    """Take the release or move called NAME back."""
    from berylbank._internal.models.changes import CancelShift
    from berylctl._internal.operations.changes import submit_change
    from berylctl._internal.operations.client import Client, load_client_settings

    client = Client(load_client_settings(None))
    return report_state(submit_change(client, CancelShift(name), operation_id, 5_000), json)


@app.command
def shifts(json: AsJson = False) -> int:
    """List releases and moves, and why each stands as it does."""
    found = _list_shifts()
    if json:
        print_json(found)
        return EXIT_OK
    columns = ("name", "by", "source", "target", "step", "state", "reason")
    print_table("releases and moves", columns, [[s[c] for c in columns] for s in found])
    return EXIT_OK


def _make_shift(service: str, sides: Sides, step_time: float, within: float) -> Shift:
    return Shift(
        name=f"{service}-{sides.target}",
        service=service,
        by=sides.by,
        source=sides.source,
        target=sides.target,
        step_ms=int(step_time * 1000),
        within_ms=int(within * 1000),
    )


def _start(shift: Shift, operation_id: str | None) -> dict[str, Any]:
    from berylbank._internal.models.changes import StartShift
    from berylctl._internal.operations.changes import submit_change
    from berylctl._internal.operations.client import Client, load_client_settings

    client = Client(load_client_settings(None))
    return submit_change(client, StartShift(shift), operation_id, 5_000)


def _steps_up_to(cap: float) -> tuple[int, ...]:
    most = int(cap * FULL_SHARE)
    return (*(step for step in DEFAULT_STEPS if step < most), most)


def _report(state: dict[str, Any], name: str, watch: bool, as_json: bool) -> int:
    if not watch or state["state"] in ("not_done", "unknown"):
        return report_state(state, as_json)
    found = _watch(name, as_json)
    if as_json:
        print_json(found)
    return STATE_EXITS.get(found["state"], EXIT_WAITING)


def _watch(name: str, quiet: bool) -> dict[str, Any]:
    """Follow a shift to its end, printing each change of state."""
    import time

    shown = None
    while True:
        found = next(s for s in _list_shifts() if s["name"] == name)
        line = f"{found['state']}: step {found['step']} of {len(found['steps'])}. {found['reason']}"
        if line != shown and not quiet:
            print(line, flush=True)
        shown = line
        if found["state"] in (DONE, UNDONE):
            return found
        time.sleep(WATCH_POLL_S)


def _list_shifts() -> list[dict[str, Any]]:
    from berylctl._internal.operations.client import Client, load_client_settings

    view = Client(load_client_settings(None)).get("configuration")
    found: list[dict[str, Any]] = view["configuration"]["shifts"]
    return found
