"""HTTP clients of the platform services."""

import base64

import httpx

from berylbank._internal.exceptions import (
    ConflictError,
    ObjectMissingError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from berylbank._internal.store.protocols import ListedVm, Row, Write

CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 2.0
TIMEOUT = httpx.Timeout(ANSWER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
WAIT_HINT = "wait for the platform; VMs go on by majority meanwhile"


class HttpTable:
    """HTTP client of the table service."""

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self.client = client
        self.base_url = base_url.rstrip("/")

    async def read(self, key: str) -> Row:
        """Read a row; see :class:`TableService`."""
        answer = await _send(self.client, "GET", f"{self.base_url}/rows/{key}")
        if answer.status_code != httpx.codes.OK:
            raise _unavailable(f"read of {key}: status {answer.status_code}")
        body = answer.json()
        return Row(base64.b64decode(body["value"]), int(body["version"]))

    async def commit(self, writes: tuple[Write, ...]) -> None:
        """Write all rows or none; see :class:`TableService`."""
        body = [
            {
                "key": write.key,
                "value": base64.b64encode(write.value).decode(),
                "expected_version": write.expected_version,
            }
            for write in writes
        ]
        try:
            answer = await self.client.post(f"{self.base_url}/commit", json=body, timeout=TIMEOUT)
        except NOT_SENT_ERRORS as error:
            raise _unavailable(f"commit: {type(error).__name__}") from None
        except httpx.HTTPError as error:
            raise _unknown(f"commit: {type(error).__name__}") from None
        if answer.status_code == httpx.codes.CONFLICT:
            raise ConflictError("another writer was first", hint="read the row and try again")
        if answer.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            raise _unavailable("commit: the service refused it")
        if answer.status_code != httpx.codes.OK:
            raise _unknown(f"commit: status {answer.status_code}")


class HttpObjects:
    """HTTP client of the object store."""

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self.client = client
        self.base_url = base_url.rstrip("/")

    async def get(self, name: str) -> bytes:
        """Return an object; see :class:`ObjectStore`."""
        answer = await _send(self.client, "GET", f"{self.base_url}/objects/{name}")
        if answer.status_code == httpx.codes.NOT_FOUND:
            raise ObjectMissingError(f"no object {name}", hint="apply the lists again")
        if answer.status_code != httpx.codes.OK:
            raise _unavailable(f"get of {name}: status {answer.status_code}")
        return answer.content

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; see :class:`ObjectStore`."""
        answer = await _send(self.client, "PUT", f"{self.base_url}/objects/{name}", data)
        if answer.status_code != httpx.codes.OK:
            raise _unavailable(f"put of {name}: status {answer.status_code}")


class HttpVmList:
    """HTTP client of the platform's VM list."""

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self.client = client
        self.base_url = base_url.rstrip("/")

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the list; see :class:`VmList`."""
        answer = await _send(self.client, "GET", f"{self.base_url}/vms")
        if answer.status_code != httpx.codes.OK:
            raise _unavailable(f"VM list: status {answer.status_code}")
        return tuple(ListedVm(**item) for item in answer.json())


async def _send(
    client: httpx.AsyncClient, method: str, url: str, content: bytes | None = None
) -> httpx.Response:
    try:
        return await client.request(method, url, content=content, timeout=TIMEOUT)
    except httpx.HTTPError as error:
        raise _unavailable(f"{method}: {type(error).__name__}") from None


def _unavailable(message: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(message, context="platform", hint=WAIT_HINT)


def _unknown(message: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        message, context="platform", hint="ask again with the same operation id"
    )
