"""``berylctl release``, ``move``, ``cancel`` and ``shifts``."""

from typing import Annotated, Any, NamedTuple

import cyclopts

from berylbank._internal.models.shifts import (
    BY_REGION,
    BY_VERSION,
    DEFAULT_STEPS_MILLIONTHS,
    DONE,
    FULL_SHARE_MILLIONTHS,
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

Source = Annotated[
    str, cyclopts.Parameter(name="--from", help="version or region to move traffic from")
]
Target = Annotated[
    str, cyclopts.Parameter(name="--to", help="version or region to move traffic to")
]
Within = Annotated[
    float,
    cyclopts.Parameter(name="--within", help="seconds after which an unfinished shift is undone"),
]
StepTime = Annotated[float, cyclopts.Parameter(name="--step-time", help="minimum seconds per step")]
Cap = Annotated[float, cyclopts.Parameter(name="--cap", help="maximum share of traffic, 0 to 1")]
Watch = Annotated[bool, cyclopts.Parameter(name="--watch", negative="", help="wait until it ends")]

WATCH_POLL_INTERVAL_S = 0.5
EXIT_CODES_BY_STATE = {DONE: EXIT_OK, UNDONE: EXIT_NOT_DONE}


class ShiftSides(NamedTuple):
    """The backend field that a shift selects by, and its source and target values."""

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
    """Move SERVICE to a new version in small steps; undone if the new version is bad."""
    sides = ShiftSides(BY_VERSION, source, target)
    shift = _make_shift(service, sides, step_time, within)
    return _report_shift(_start_shift(shift, operation_id), shift.name, watch, json)


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
    """Move SERVICE from one region to another in steps up to the cap."""
    sides = ShiftSides(BY_REGION, source, target)
    shift = _make_shift(service, sides, step_time, within)._replace(steps=_make_capped_steps(cap))
    return _report_shift(_start_shift(shift, operation_id), shift.name, watch, json)


@app.command
def cancel(name: str, *, operation_id: OperationId = None, json: AsJson = False) -> int:
    """Undo the release or move called NAME."""
    from berylbank._internal.models.changes import CancelShift
    from berylctl._internal.operations.changes import submit_change
    from berylctl._internal.operations.client import Client, load_client_settings

    client = Client(load_client_settings(None))
    return report_state(submit_change(client, CancelShift(name), operation_id, 5_000), json)


@app.command
def shifts(json: AsJson = False) -> int:
    """List releases and moves with the reason for the state of each."""
    shift_documents = _list_shifts()
    if json:
        print_json(shift_documents)
        return EXIT_OK
    columns = ("name", "by", "source", "target", "step", "state", "reason")
    print_table("releases and moves", columns, [[s[c] for c in columns] for s in shift_documents])
    return EXIT_OK


def _make_shift(service: str, sides: ShiftSides, step_time: float, within: float) -> Shift:
    return Shift(
        name=f"{service}-{sides.target}",
        service=service,
        by=sides.by,
        source=sides.source,
        target=sides.target,
        step_ms=int(step_time * 1000),
        within_ms=int(within * 1000),
    )


def _start_shift(shift: Shift, operation_id: str | None) -> dict[str, Any]:
    from berylbank._internal.models.changes import StartShift
    from berylctl._internal.operations.changes import submit_change
    from berylctl._internal.operations.client import Client, load_client_settings

    client = Client(load_client_settings(None))
    return submit_change(client, StartShift(shift), operation_id, 5_000)


def _make_capped_steps(cap: float) -> tuple[int, ...]:
    """Return the default steps below ``cap``, and ``cap`` as the last one, in millionths."""
    cap_millionths = int(cap * FULL_SHARE_MILLIONTHS)
    return (
        *(step for step in DEFAULT_STEPS_MILLIONTHS if step < cap_millionths),
        cap_millionths,
    )


def _report_shift(state: dict[str, Any], name: str, watch: bool, as_json: bool) -> int:
    """Report the start of a shift or, with ``watch``, its end; return the exit code."""
    if not watch or state["state"] in ("not_done", "unknown"):
        return report_state(state, as_json)
    ended = _watch_shift(name, as_json)
    if as_json:
        print_json(ended)
    return EXIT_CODES_BY_STATE.get(ended["state"], EXIT_WAITING)


def _watch_shift(name: str, quiet: bool) -> dict[str, Any]:
    """Poll a shift until it ends, printing each change unless ``quiet``."""
    import time

    last_line = None
    while True:
        shift = next(s for s in _list_shifts() if s["name"] == name)
        line = f"{shift['state']}: step {shift['step']} of {len(shift['steps'])}. {shift['reason']}"
        if line != last_line and not quiet:
            print(line, flush=True)
        last_line = line
        if shift["state"] in (DONE, UNDONE):
            return shift
        time.sleep(WATCH_POLL_INTERVAL_S)


def _list_shifts() -> list[dict[str, Any]]:
    from berylctl._internal.operations.client import Client, load_client_settings

    view = Client(load_client_settings(None)).get("configuration")
    shift_documents: list[dict[str, Any]] = view["configuration"]["shifts"]
    return shift_documents
