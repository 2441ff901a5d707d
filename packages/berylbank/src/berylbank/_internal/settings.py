"""Settings of one VM, read from a TOML file and checked before anything starts."""

import tomllib
from pathlib import Path
from typing import NamedTuple

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.utils.addresses import parse_address
from berylbank._internal.utils.records import RecordError, decode

MIN_KEY_BYTES = 16


class VmSettings(NamedTuple):
    """Who this VM is and where it listens; addresses are IP:port."""

    name: str
    region: str
    failure_domain: str
    callers: str
    operators: str
    channel: str


class PlatformSettings(NamedTuple):
    """Base URLs of the platform's services, by IP number."""

    table: str
    objects: str
    vms: str


class FleetSettings(NamedTuple):
    """The file with the key that VMs share, and optional certificate files for TLS."""

    key_file: str
    certificate_file: str | None = None
    private_key_file: str | None = None
    authority_file: str | None = None


class OperatorSettings(NamedTuple):
    """Files with the tokens of the two operator roles."""

    operate_token_file: str
    look_token_file: str


class TimingSettings(NamedTuple):
    """Durations of coordination, all in milliseconds."""

    lease_ms: int = 2_000
    renew_every_ms: int = 500
    loan_ms: int = 2_000
    heartbeat_ms: int = 500
    suspect_ms: int = 4_000
    lookup_max_age_ms: int = 5_000
    stop_grace_ms: int = 20_000


class Settings(NamedTuple):
    """All settings of one VM.

    ``seats`` is the most VMs that hold a seat. While some are free every VM has one and is asked
    for each change; once all are taken, further VMs work without, and a change is in force only
    when every lease has lapsed.
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
            error.strerror or str(error), context=str(path), hint="name a readable settings file"
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(
            str(error), context=str(path), hint="correct the TOML at that line"
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
            _fail(f"{source}, key $.timing.{name}", "must be positive, in ms", "raise it")
    if timing.renew_every_ms * 2 > timing.lease_ms:
        _fail(
            f"{source}, key $.timing.renew_every_ms",
            "must be at most half of lease_ms",
            "lower renew_every_ms or raise lease_ms",
        )
    for name in ("table", "objects", "vms"):
        if not getattr(settings.platform, name).startswith(("http://", "https://")):
            _fail(f"{source}, key $.platform.{name}", "is not an http URL", "write http://IP:port")
    if len(read_secret(settings.fleet.key_file)) < MIN_KEY_BYTES:
        _fail(
            f"{source}, key $.fleet.key_file",
            f"the file holds fewer than {MIN_KEY_BYTES} bytes",
            "put a random key of 32 bytes into it",
        )


def read_secret(path: str) -> bytes:
    """Return the content of a secret file without the white space around it."""
    try:
        return Path(path).read_bytes().strip()
    except OSError as error:
        raise InvalidDocumentError(
            error.strerror or str(error), context=path, hint="create that file or correct its name"
        ) from None


def _check_address(text: str, where: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        _fail(where, str(error), "write an IP number and a port, such as 10.0.0.5:8080")


def _fail(where: str, message: str, hint: str) -> None:
    raise InvalidDocumentError(message, context=where, hint=hint)
