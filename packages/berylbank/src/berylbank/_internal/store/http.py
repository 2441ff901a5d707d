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
RESPONSE_TIMEOUT_S = 2.0
TIMEOUT = httpx.Timeout(RESPONSE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
# After one of these errors the request has certainly not reached the service.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
WAIT_HINT = "wait until the platform answers; meanwhile VMs renew their leases by majority"


class HttpTable:
    """HTTP client of the table service."""

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self.client = client
        self.base_url = base_url.rstrip("/")

    async def read(self, key: str) -> Row:
        """Read a row; see :class:`TableService`."""
        response = await _send(self.client, "GET", f"{self.base_url}/rows/{key}")
        if response.status_code != httpx.codes.OK:
            raise _unavailable(f"read of {key}: status {response.status_code}")
        body = response.json()
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
            response = await self.client.post(f"{self.base_url}/commit", json=body, timeout=TIMEOUT)
        except NOT_SENT_ERRORS as error:
            raise _unavailable(f"commit: {type(error).__name__}") from None
        except httpx.HTTPError as error:
            raise _unknown(f"commit: {type(error).__name__}") from None
        if response.status_code == httpx.codes.CONFLICT:
            raise ConflictError(
                "a row has changed since it was read", hint="read the row and try again"
            )
        if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            raise _unavailable("commit: the table service rejected it")
        if response.status_code != httpx.codes.OK:
            raise _unknown(f"commit: status {response.status_code}")


class HttpObjects:
    """HTTP client of the object store."""

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self.client = client
        self.base_url = base_url.rstrip("/")

    async def get(self, name: str) -> bytes:
        """Return an object; see :class:`ObjectStore`."""
        response = await _send(self.client, "GET", f"{self.base_url}/objects/{name}")
        if response.status_code == httpx.codes.NOT_FOUND:
            raise ObjectMissingError(f"no object {name}", hint="apply the lists again")
        if response.status_code != httpx.codes.OK:
            raise _unavailable(f"get of {name}: status {response.status_code}")
        return response.content

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; see :class:`ObjectStore`."""
        response = await _send(self.client, "PUT", f"{self.base_url}/objects/{name}", data)
        if response.status_code != httpx.codes.OK:
            raise _unavailable(f"put of {name}: status {response.status_code}")


class HttpVmList:
    """HTTP client of the platform's VM list."""

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self.client = client
        self.base_url = base_url.rstrip("/")

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the list; see :class:`VmList`."""
        response = await _send(self.client, "GET", f"{self.base_url}/vms")
        if response.status_code != httpx.codes.OK:
            raise _unavailable(f"VM list: status {response.status_code}")
        return tuple(ListedVm(**item) for item in response.json())


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
        message, context="platform", hint="try again with the same operation id"
    )
