"""Settings of one VM, read from a TOML file and checked before anything starts."""

import tomllib
from pathlib import Path
from typing import NamedTuple

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.utils.addresses import parse_address
from berylbank._internal.utils.records import RecordError, decode

MIN_KEY_BYTES = 16


class VmSettings(NamedTuple):
    """Name, location and listen addresses of this VM; addresses are IP:port."""

    name: str
    region: str
    failure_domain: str
    callers: str
    operators: str
    channel: str


class PlatformSettings(NamedTuple):
    """Base URLs of the platform's services, each with an IP address as its host."""

    table: str
    objects: str
    vms: str


class FleetSettings(NamedTuple):
    """Path of the key that all VMs share, and optional certificate paths for TLS between VMs."""

    key_file: str
    certificate_file: str | None = None
    private_key_file: str | None = None
    authority_file: str | None = None


class OperatorSettings(NamedTuple):
    """Paths of the tokens of the two operator roles: read and write, and read only."""

    operate_token_file: str
    look_token_file: str


class TimingSettings(NamedTuple):
    """Intervals, leases and timeouts of coordination, all in milliseconds.

    A VM may act until ``lease_ms`` after it asked for its lease, and renews it every
    ``renew_every_ms``. ``loan_ms`` is the term of a loan. A VM without a heartbeat, which is sent
    every ``heartbeat_ms``, is taken for failed after ``suspect_ms``. On a stop, a VM serves for
    ``lookup_max_age_ms``, as long as callers may cache a look-up, and then waits up to
    ``stop_grace_ms`` for running requests. Those that still run get as long again, while no further
    ones are accepted.
    """

    lease_ms: int = 2_000
    renew_every_ms: int = 500
    loan_ms: int = 2_000
    heartbeat_ms: int = 500
    suspect_ms: int = 4_000
    lookup_max_age_ms: int = 5_000
    stop_grace_ms: int = 20_000


class Settings(NamedTuple):
    """All settings of one VM.

    ``seats`` is the maximum number of VMs that hold a seat, that is, vote on configuration
    changes. While seats are free, every VM holds one and is asked to acknowledge each change.
    Once all are taken, further VMs serve without a seat, and a change is in force only when
    every lease granted before it has expired.
    """

    vm: VmSettings
    platform: PlatformSettings
    fleet: FleetSettings
    operators: OperatorSettings
    timing: TimingSettings = TimingSettings()
    log_json: bool = False
    seats: int = 32


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises InvalidDocumentError: naming the file, the line or key, and the remedy.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise InvalidDocumentError(
            error.strerror or str(error),
            context=str(path),
            hint="give the path of a readable settings file",
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(
            str(error), context=str(path), hint="correct the TOML syntax at that line"
        ) from None
    try:
        settings = decode(Settings, raw)
    except RecordError as error:
        raise InvalidDocumentError(
            error.message, context=f"{path}, key {error.path}", hint="correct that key"
        ) from None
    check_settings(settings, str(path))
    return settings


def check_settings(settings: Settings, source: str) -> None:
    """Check addresses, files and durations; raise :class:`InvalidDocumentError`."""
    for name in ("callers", "operators", "channel"):
        _check_address(getattr(settings.vm, name), f"{source}, key $.vm.{name}")
    timing = settings.timing
    for name in timing._fields:
        if getattr(timing, name) <= 0:
            _raise_invalid(
                f"{source}, key $.timing.{name}",
                "must be a positive number of milliseconds",
                "increase it",
            )
    if timing.renew_every_ms * 2 > timing.lease_ms:
        _raise_invalid(
            f"{source}, key $.timing.renew_every_ms",
            "must be at most half of lease_ms",
            "decrease renew_every_ms or increase lease_ms",
        )
    for name in ("table", "objects", "vms"):
        if not getattr(settings.platform, name).startswith(("http://", "https://")):
            _raise_invalid(
                f"{source}, key $.platform.{name}", "is not an HTTP URL", "write http://IP:port"
            )
    if len(read_secret_file(settings.fleet.key_file)) < MIN_KEY_BYTES:
        _raise_invalid(
            f"{source}, key $.fleet.key_file",
            f"the file holds fewer than {MIN_KEY_BYTES} bytes",
            "write a random key of 32 bytes to that file",
        )


def read_secret_file(path: str) -> bytes:
    """Return the content of a secret file without leading and trailing white space."""
    try:
        return Path(path).read_bytes().strip()
    except OSError as error:
        raise InvalidDocumentError(
            error.strerror or str(error), context=path, hint="create that file or correct its path"
        ) from None


def _check_address(text: str, where: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        _raise_invalid(where, str(error), "write an IP address and a port, such as 10.0.0.5:8080")


def _raise_invalid(where: str, message: str, hint: str) -> None:
    raise InvalidDocumentError(message, context=where, hint=hint)
