"""The ASGI application for operators: changes, views and metrics, with access by role."""

import hashlib
import hmac
import json
import re
from collections.abc import Awaitable, Callable
from enum import IntEnum
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from berylbank._internal.exceptions import BerylbankError, InvalidDocumentError
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.entry.app import EntryApp
from berylbankd._internal.metrics import Metrics
from berylbankd._internal.operators.changes import ChangeService, parse_change
from berylbankd._internal.operators.views import (
    view_configuration,
    view_drain,
    view_history,
    view_status,
)
from berylbankd._internal.serving import serve_lifespan

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_WAIT_MS = 30_000
DEFAULT_WAIT_MS = 5_000
OPERATION_ID_PATTERN = re.compile(r"[A-Za-z0-9-]{8,64}")


class Role(IntEnum):
    """Access that a token gives; a higher role includes the lower ones."""

    NONE = 0
    READ = 1
    OPERATE = 2


class JsonResponse(NamedTuple):
    """An HTTP status and the document to send as JSON."""

    status: int
    document: Any


class OperatorRequest(NamedTuple):
    """A request of an operator; ``path`` is the rest of the path after the name of the view."""

    path: str
    query: dict[str, list[str]]
    body: bytes

    def parse_wait_ms(self) -> int:
        """Return how long to wait for a change to be in force before responding.

        The query parameter is limited to ``MAX_WAIT_MS``; ``DEFAULT_WAIT_MS`` replaces one that is
        missing or not a number.
        """
        text = self.query.get("wait_ms", [""])[0]
        return min(int(text), MAX_WAIT_MS) if text.isdigit() else DEFAULT_WAIT_MS


Handler = Callable[[OperatorRequest], Awaitable[JsonResponse]]


class Route(NamedTuple):
    """A handler and the role that it requires."""

    role: Role
    handler: Handler


class OperatorApp:
    """Authenticates requests of operators and dispatches them to handlers."""

    def __init__(
        self,
        coordinator: Coordinator,
        entry: EntryApp,
        metrics: Metrics,
        operate_token: bytes,
        read_token: bytes,
    ) -> None:
        self.coordinator = coordinator
        self.entry = entry
        self.metrics = metrics
        self.change_service = ChangeService(coordinator)
        self.token_digests = {
            Role.OPERATE: _hash_token(operate_token),
            Role.READ: _hash_token(read_token),
        }
        self.routes = {
            ("GET", "status"): Route(Role.READ, self._get_status),
            ("GET", "configuration"): Route(Role.READ, self._get_configuration),
            ("GET", "history"): Route(Role.READ, self._get_history),
            ("GET", "changes"): Route(Role.READ, self._get_change),
            ("GET", "drains"): Route(Role.READ, self._get_drain),
            ("GET", "requests"): Route(Role.READ, self._find_requests),
            ("POST", "changes"): Route(Role.OPERATE, self._submit_change),
        }

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        role = self._find_role(scope["headers"])
        if scope["path"] == "/metrics" and role >= Role.READ:
            await _send(send, 200, self.metrics.render(), b"text/plain; version=0.0.4")
            return
        response = await self._respond(scope, receive, role)
        await _send(
            send, response.status, json.dumps(response.document).encode(), b"application/json"
        )

    async def _respond(self, scope: Any, receive: Any, role: Role) -> JsonResponse:
        parts = scope["path"].strip("/").split("/")
        route = self.routes.get((scope["method"], parts[1])) if len(parts) > 1 else None
        if role is Role.NONE:
            return _error_response(
                401,
                "the request has no valid operator token",
                "set token_file in the settings of berylctl to a file with a valid token",
            )
        if route is None or parts[0] != "v1":
            return _error_response(
                404, "the operators' interface has no such path", "upgrade berylctl"
            )
        if role < route.role:
            return _error_response(
                403, "this token gives read access only", "use a token that may make changes"
            )
        body = await _read_body(receive)
        if body is None:
            return _error_response(413, "the request body is too large", "apply smaller lists")
        query = parse_qs(scope["query_string"].decode("latin-1"))
        try:
            return await route.handler(OperatorRequest("/".join(parts[2:]), query, body))
        except BerylbankError as error:
            return _error_response(400, str(error.message), error.hint)

    async def _get_status(self, _request: OperatorRequest) -> JsonResponse:
        return JsonResponse(200, view_status(self.coordinator, self.entry.running_requests))

    async def _get_configuration(self, _request: OperatorRequest) -> JsonResponse:
        return JsonResponse(200, view_configuration(self.coordinator))

    async def _get_history(self, _request: OperatorRequest) -> JsonResponse:
        return JsonResponse(200, view_history(self.coordinator))

    async def _get_drain(self, request: OperatorRequest) -> JsonResponse:
        view = view_drain(self.coordinator, request.path)
        if view is None:
            return _error_response(
                404, f"no backend server {request.path}", "see 'berylctl status'"
            )
        return JsonResponse(200, view)

    async def _find_requests(self, request: OperatorRequest) -> JsonResponse:
        found = self.entry.request_history.find_outcomes(request.path)
        return JsonResponse(200, {"requests": [entry._asdict() for entry in found]})

    async def _get_change(self, request: OperatorRequest) -> JsonResponse:
        state = await self.change_service.find(request.path, request.parse_wait_ms())
        return JsonResponse(200, state._asdict())

    async def _submit_change(self, request: OperatorRequest) -> JsonResponse:
        try:
            raw = json.loads(request.body)
        except ValueError:
            raise InvalidDocumentError(
                "the request body is not JSON", hint="upgrade berylctl"
            ) from None
        if not isinstance(raw, dict):
            raise InvalidDocumentError(
                "the request body is not a JSON object", hint="upgrade berylctl"
            )
        operation_id = raw.get("operation_id")
        if not isinstance(operation_id, str) or not OPERATION_ID_PATTERN.fullmatch(operation_id):
            raise InvalidDocumentError(
                "operation_id is missing or invalid",
                hint="use 8 to 64 letters, digits and hyphens",
            )
        state = await self.change_service.submit(
            operation_id, parse_change(raw), request.parse_wait_ms()
        )
        self.metrics.changes.add(1, {"state": state.state})
        return JsonResponse(200, state._asdict())

    def _find_role(self, headers: list[tuple[bytes, bytes]]) -> Role:
        """Return the highest role whose token the request has; all tokens are compared."""
        authorization = next((value for name, value in headers if name == b"authorization"), b"")
        digest = _hash_token(authorization.removeprefix(b"Bearer "))
        granted = Role.NONE
        for role, token_digest in self.token_digests.items():
            if hmac.compare_digest(digest, token_digest):
                granted = max(granted, role)
        return granted


def _hash_token(token: bytes) -> bytes:
    return hashlib.sha256(token).digest()


def _error_response(status: int, message: str, hint: str) -> JsonResponse:
    return JsonResponse(status, {"error": message, "hint": hint})


async def _read_body(receive: Any) -> bytes | None:
    """Return the request body, or None if it exceeds ``MAX_BODY_BYTES``."""
    body = bytearray()
    while len(body) <= MAX_BODY_BYTES:
        event = await receive()
        body += event.get("body", b"")
        if not event.get("more_body"):
            return bytes(body)
    return None


async def _send(send: Any, status: int, body: bytes, content_type: bytes) -> None:
    headers = [(b"content-type", content_type), (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
