"""The connection to the operators' interface of any VM."""

import os
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

import httpx

from berylbank._internal.exceptions import BerylbankError
from berylbank._internal.utils.records import RecordError, decode

SETTINGS_VARIABLE = "BERYLCTL_SETTINGS"
DEFAULT_SETTINGS = Path("~/.config/berylctl.toml")
CONNECT_TIMEOUT_S = 2.0
EXTRA_TIMEOUT_S = 15.0


class ClientSettings(NamedTuple):
    """Operators' addresses of the VMs (IP:port) and the file with the token."""

    vms: tuple[str, ...]
    token_file: str


class UnreachableError(BerylbankError):
    """No VM answered."""


class RefusedError(BerylbankError):
    """A VM answered with an error."""


def load_client_settings(path: Path | None) -> ClientSettings:
    """Read the client's settings; raise :class:`BerylbankError`."""
    chosen = path or Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)).expanduser()
    try:
        return decode(ClientSettings, tomllib.loads(chosen.read_text()))
    except (OSError, tomllib.TOMLDecodeError, RecordError) as error:
        raise BerylbankError(
            str(error),
            context=str(chosen),
            hint=f"write vms and token_file there, or set {SETTINGS_VARIABLE}",
        ) from None


class Client:
    """Asks the first VM that can be reached."""

    def __init__(self, settings: ClientSettings) -> None:
        self.settings = settings
        try:
            self.token = Path(settings.token_file).expanduser().read_text().strip()
        except OSError as error:
            raise BerylbankError(
                str(error), context="token_file", hint="name the file with the operators' token"
            ) from None

    def get(self, path: str, wait_ms: int = 0) -> Any:
        """Return a view."""
        return self._request("GET", f"/v1/{path}?wait_ms={wait_ms}", None, wait_ms)

    def submit(self, document: dict[str, Any], wait_ms: int) -> Any:
        """Submit a change and return its state."""
        return self._request("POST", f"/v1/changes?wait_ms={wait_ms}", document, wait_ms)

    def get_each(self, path: str) -> dict[str, Any]:
        """Return a view of every VM that answers, by address."""
        found = {}
        for address in self.settings.vms:
            try:
                found[address] = self._ask(address, "GET", f"/v1/{path}", None, 0)
            except httpx.HTTPError:
                found[address] = None
        return found

    def _request(self, method: str, path: str, document: Any, wait_ms: int) -> Any:
        for address in self.settings.vms:
            try:
                return self._ask(address, method, path, document, wait_ms)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
            except httpx.HTTPError as error:
                raise UnreachableError(
                    f"{type(error).__name__} from {address}",
                    hint="the change may be done: run 'berylctl status --operation ID'",
                ) from None
        raise UnreachableError(
            f"none of {', '.join(self.settings.vms)} answers",
            hint="check that the VMs run, and their operators' addresses",
        )

    def _ask(self, address: str, method: str, path: str, document: Any, wait_ms: int) -> Any:
        timeout = httpx.Timeout(wait_ms / 1000 + EXTRA_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        answer = httpx.request(
            method,
            f"http://{address}{path}",
            json=document,
            headers={"authorization": f"Bearer {self.token}"},
            timeout=timeout,
            trust_env=False,
        )
        body = answer.json()
        if answer.status_code != httpx.codes.OK:
            raise RefusedError(body["error"], context=address, hint=body["hint"])
        return body
