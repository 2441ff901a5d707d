"""Configuration changes, requested by operators or by the daemon, and their effect."""

from collections.abc import Callable
from typing import NamedTuple

from berylbank._internal.exceptions import ChangeRefusedError
from berylbank._internal.models.configuration import (
    ApiKey,
    Backend,
    Configuration,
    Organisation,
    check_configuration,
)
from berylbank._internal.models.shifts import RUNNING, UNDONE, Shift, find_shift_problem


class ReplaceConfiguration(NamedTuple):
    """Replace the configuration by lists that were compared with the one at head ``base``.

    The change is refused if the head has changed since. Organisations that list no keys keep
    their current ones, because keys are granted and withdrawn one by one; backend servers keep
    their drain, and shifts are kept if their service still exists.
    """

    base: int
    configuration: Configuration


class GrantKey(NamedTuple):
    """Add an API key to an organisation."""

    organisation: str
    key: ApiKey


class WithdrawKey(NamedTuple):
    """Remove an API key from an organisation."""

    organisation: str
    key_name: str


class SetDraining(NamedTuple):
    """Start or end the drain of a backend server."""

    backend: str
    draining: bool


class StartShift(NamedTuple):
    """Start a gradual traffic shift of a service."""

    shift: Shift


class StepShift(NamedTuple):
    """Move a shift to another step, or end it; refused if it is no longer at ``from_step``."""

    name: str
    from_step: int
    to_step: int
    state: str
    spent_ms: int
    reason: str


class ForgetVm(NamedTuple):
    """Remove the seat of a VM whose process, as an operator confirms, has ended permanently."""

    vm: str


class CancelShift(NamedTuple):
    """Undo a shift at an operator's request."""

    name: str


Change = (
    ReplaceConfiguration
    | GrantKey
    | WithdrawKey
    | SetDraining
    | StartShift
    | StepShift
    | CancelShift
    | ForgetVm
)


CHANGE_KINDS: dict[str, type[Change]] = {
    "apply": ReplaceConfiguration,
    "grant-key": GrantKey,
    "withdraw-key": WithdrawKey,
    "set-draining": SetDraining,
    "start-shift": StartShift,
    "cancel-shift": CancelShift,
    "forget-vm": ForgetVm,
}


def apply_change(current: Configuration, head_number: int, change: Change) -> Configuration:
    """Return the configuration after ``change`` is applied to ``current``, that of the head.

    ``head_number`` is the number of that head.

    :raises ChangeRefusedError: if the change does not apply; the caller must then write nothing.
    """
    return _APPLIERS[type(change)](current, head_number, change)


def describe_change(change: Change) -> str:
    """Return a one-line summary for the history, without secrets."""
    return _DESCRIPTIONS[type(change)](change)


def _apply_lists(
    current: Configuration, head_number: int, change: ReplaceConfiguration
) -> Configuration:
    if change.base != head_number:
        raise ChangeRefusedError(
            f"the lists were compared with head {change.base}, but the head is now {head_number}",
            hint="run 'berylctl diff' against the new head, then apply again",
        )
    keys = {organisation.name: organisation.keys for organisation in current.organisations}
    draining = {backend.name: backend.draining for backend in current.backends}
    organisations = tuple(
        organisation._replace(keys=organisation.keys or keys.get(organisation.name, ()))
        for organisation in change.configuration.organisations
    )
    backends = tuple(
        backend._replace(draining=draining.get(backend.name, backend.draining))
        for backend in change.configuration.backends
    )
    kept_shifts = tuple(s for s in current.shifts if _service_exists(s, change.configuration))
    new = change.configuration._replace(
        organisations=organisations, backends=backends, shifts=kept_shifts
    )
    check_configuration(new, "lists")
    return new


def _service_exists(shift: Shift, new: Configuration) -> bool:
    return any(service.name == shift.service for service in new.services)


def _grant_key(current: Configuration, _head_number: int, change: GrantKey) -> Configuration:
    organisation = _find_organisation(current, change.organisation)
    if any(key.name == change.key.name for key in organisation.keys):
        raise ChangeRefusedError(
            f"organisation {organisation.name} has a key named {change.key.name}",
            hint="choose another key name, or withdraw that key first",
        )
    new = _replace_organisation(
        current, organisation._replace(keys=(*organisation.keys, change.key))
    )
    check_configuration(new, "key")
    return new


def _withdraw_key(current: Configuration, _head_number: int, change: WithdrawKey) -> Configuration:
    organisation = _find_organisation(current, change.organisation)
    kept_keys = tuple(key for key in organisation.keys if key.name != change.key_name)
    if len(kept_keys) == len(organisation.keys):
        raise ChangeRefusedError(
            f"organisation {organisation.name} has no key named {change.key_name}",
            hint="list its keys with 'berylctl keys list'",
        )
    return _replace_organisation(current, organisation._replace(keys=kept_keys))


def _set_draining(current: Configuration, _head_number: int, change: SetDraining) -> Configuration:
    if all(backend.name != change.backend for backend in current.backends):
        raise ChangeRefusedError(
            f"no backend server named {change.backend}", hint="list them with 'berylctl status'"
        )
    return current._replace(
        backends=tuple(_mark_draining(backend, change) for backend in current.backends)
    )


def _start_shift(current: Configuration, head_number: int, change: StartShift) -> Configuration:
    shift = change.shift
    problem = find_shift_problem(shift)
    if problem is not None:
        raise ChangeRefusedError(
            problem, context=shift.name, hint="correct the shift and start it again"
        )
    running = [s for s in current.shifts if s.service == shift.service and s.state == RUNNING]
    if running:
        raise ChangeRefusedError(
            f"shift {running[0].name} of service {shift.service} is still running",
            hint="wait for it, or cancel it with 'berylctl cancel'",
        )
    values = {getattr(b, shift.by) for b in current.backends if b.service == shift.service}
    for value in (shift.source, shift.target):
        if value not in values:
            raise ChangeRefusedError(
                f"service {shift.service} has no backend server of {shift.by} {value!r}",
                hint="apply a list with such backend servers first",
            )
    other_shifts = tuple(s for s in current.shifts if s.service != shift.service)
    return current._replace(shifts=(*other_shifts, shift._replace(begun=head_number + 1)))


def _step_shift(current: Configuration, _head_number: int, change: StepShift) -> Configuration:
    shift = _find_shift(current, change.name)
    if shift.step != change.from_step or shift.state == UNDONE:
        raise ChangeRefusedError(
            f"shift {shift.name} is at step {shift.step}, {shift.state}",
            hint="decide again on the basis of this step",
        )
    return _replace_shift(
        current,
        shift._replace(
            step=change.to_step,
            state=change.state,
            spent_ms=change.spent_ms,
            reason=change.reason,
        ),
    )


def _cancel_shift(current: Configuration, _head_number: int, change: CancelShift) -> Configuration:
    shift = _find_shift(current, change.name)
    return _replace_shift(current, shift._replace(state=UNDONE, reason="cancelled by an operator"))


def _find_shift(current: Configuration, name: str) -> Shift:
    for shift in current.shifts:
        if shift.name == name:
            return shift
    raise ChangeRefusedError(f"no shift named {name}", hint="see 'berylctl shifts'")


def _replace_shift(current: Configuration, new: Shift) -> Configuration:
    return current._replace(shifts=tuple(new if s.name == new.name else s for s in current.shifts))


def _mark_draining(backend: Backend, change: SetDraining) -> Backend:
    if backend.name != change.backend:
        return backend
    return backend._replace(draining=change.draining)


def _find_organisation(current: Configuration, name: str) -> Organisation:
    for organisation in current.organisations:
        if organisation.name == name:
            return organisation
    raise ChangeRefusedError(
        f"no organisation named {name}", hint="add it to the list of organisations and apply that"
    )


def _replace_organisation(current: Configuration, new: Organisation) -> Configuration:
    return current._replace(
        organisations=tuple(new if o.name == new.name else o for o in current.organisations)
    )


_APPLIERS: dict[type, Callable[..., Configuration]] = {
    ReplaceConfiguration: _apply_lists,
    GrantKey: _grant_key,
    WithdrawKey: _withdraw_key,
    SetDraining: _set_draining,
    StartShift: _start_shift,
    StepShift: _step_shift,
    CancelShift: _cancel_shift,
    # The coordinator changes the seats of the head; the configuration stays as it is.
    ForgetVm: lambda current, _head_number, _change: current,
}

_DESCRIPTIONS: dict[type, Callable[..., str]] = {
    ReplaceConfiguration: lambda change: "apply lists",
    GrantKey: lambda change: f"grant key {change.key.name} to {change.organisation}",
    WithdrawKey: lambda change: f"withdraw key {change.key_name} of {change.organisation}",
    StartShift: lambda change: f"start shift {change.shift.name}",
    StepShift: lambda change: f"shift {change.name}: step {change.to_step}, {change.state}",
    CancelShift: lambda change: f"cancel shift {change.name}",
    ForgetVm: lambda change: f"forget VM {change.vm}",
    SetDraining: lambda change: f"{'drain' if change.draining else 'undrain'} {change.backend}",
}
