"""HTTP client of the operators' interface of the VMs."""

import os
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

import httpx

from berylbank._internal.exceptions import BerylbankError
from berylbank._internal.utils.records import RecordError, decode

SETTINGS_VARIABLE = "BERYLCTL_SETTINGS"
DEFAULT_SETTINGS_PATH = Path("~/.config/berylctl.toml")
CONNECT_TIMEOUT_S = 2.0
# Added to the time for which the VM waits before it responds.
RESPONSE_TIMEOUT_MARGIN_S = 15.0


class ClientSettings(NamedTuple):
    """The addresses (IP:port) on which the VMs listen for operators, and the path of the token."""

    vms: tuple[str, ...]
    token_file: str


class UnreachableError(BerylbankError):
    """No VM answered, or the connection was lost before the answer."""


class RefusedError(BerylbankError):
    """A VM answered with an error status."""


def load_client_settings(path: Path | None) -> ClientSettings:
    """Read settings from ``path``, else from the path in ``BERYLCTL_SETTINGS``, else the default.

    :raises BerylbankError: if the file is missing or invalid.
    """
    settings_path = (
        path or Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)).expanduser()
    )
    try:
        return decode(ClientSettings, tomllib.loads(settings_path.read_text()))
    except (OSError, tomllib.TOMLDecodeError, RecordError) as error:
        raise BerylbankError(
            str(error),
            context=str(settings_path),
            hint=f"write vms and token_file there, or set {SETTINGS_VARIABLE}",
        ) from None


class Client:
    """Sends each request to the first VM of the settings that accepts a connection."""

    def __init__(self, settings: ClientSettings) -> None:
        self.settings = settings
        try:
            self.token = Path(settings.token_file).expanduser().read_text().strip()
        except OSError as error:
            raise BerylbankError(
                str(error),
                context="token_file",
                hint="set token_file to a readable file that holds an operators' token",
            ) from None

    def get(self, path: str, wait_ms: int = 0) -> Any:
        """Return the document at ``/v1/{path}`` from one VM, which may wait up to ``wait_ms``."""
        return self._request("GET", f"/v1/{path}?wait_ms={wait_ms}", None, wait_ms)

    def submit(self, document: dict[str, Any], wait_ms: int) -> Any:
        """Submit a change to one VM and return its state."""
        return self._request("POST", f"/v1/changes?wait_ms={wait_ms}", document, wait_ms)

    def get_from_all(self, path: str) -> dict[str, Any]:
        """Return the document at ``/v1/{path}`` of each VM by address; None without an answer."""
        documents = {}
        for address in self.settings.vms:
            try:
                documents[address] = self._send_to(address, "GET", f"/v1/{path}", None, 0)
            except httpx.HTTPError:
                documents[address] = None
        return documents

    def _request(self, method: str, path: str, document: Any, wait_ms: int) -> Any:
        for address in self.settings.vms:
            try:
                return self._send_to(address, method, path, document, wait_ms)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
            except httpx.HTTPError as error:
                raise UnreachableError(
                    f"{type(error).__name__} from {address}",
                    hint="a change may have been written: run 'berylctl status --operation ID'",
                ) from None
        raise UnreachableError(
            f"none of {', '.join(self.settings.vms)} answers",
            hint="check that the VMs run and that the settings name their operators' addresses",
        )

    def _send_to(self, address: str, method: str, path: str, document: Any, wait_ms: int) -> Any:
        timeout = httpx.Timeout(
            wait_ms / 1000 + RESPONSE_TIMEOUT_MARGIN_S, connect=CONNECT_TIMEOUT_S
        )
        response = httpx.request(
            method,
            f"http://{address}{path}",
            json=document,
            headers={"authorization": f"Bearer {self.token}"},
            timeout=timeout,
            trust_env=False,
        )
        body = response.json()
        if response.status_code != httpx.codes.OK:
            raise RefusedError(body["error"], context=address, hint=body["hint"])
        return body
