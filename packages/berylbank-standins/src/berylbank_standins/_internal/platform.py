"""A stand-in platform: table service, object store and VM list with injected faults."""

import base64
import json
from typing import Any, NamedTuple

import anyio

from berylbank_standins._internal.serving import read_body, send_response, serve_app


class PlatformFaults(NamedTuple):
    """Injected faults, set over the ``/control`` path.

    ``latency_ms`` delays every response, ``outage`` answers 503 to every request, ``hang`` holds
    every request for an hour, and ``lose_answers`` is the number of further commits that are stored
    although the response is 504.
    """

    latency_ms: int = 0
    outage: bool = False
    hang: bool = False
    lose_answers: int = 0


class StoredRow(NamedTuple):
    """Value of a row in base64, and its version; version 0 is a row that does not exist."""

    value: str
    version: int


class StandInPlatform:
    """State of the stand-in platform, and its ASGI application."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.vms: list[dict[str, Any]] = []
        self.faults = PlatformFaults()
        self.reads = 0
        self.writes = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        path, body = scope["path"], await read_body(receive)
        if path == "/control":
            await self._handle_control(scope["method"], body, send)
            return
        await anyio.sleep(self.faults.latency_ms / 1000)
        if self.faults.hang:
            await anyio.sleep(3600)
        if self.faults.outage:
            await send_response(send, 503, b"{}")
            return
        await self._route(scope["method"], path, body, send)

    async def _route(self, method: str, path: str, body: bytes, send: Any) -> None:
        _, resource, *rest = path.split("/", 2)
        name = rest[0] if rest else ""
        if resource == "rows":
            self.reads += 1
            row = self.rows.get(name, StoredRow("", 0))
            await send_response(send, 200, json.dumps(row._asdict()).encode())
        elif resource == "commit":
            await self._commit(json.loads(body), send)
        elif resource == "objects" and method == "PUT":
            self.objects[name] = body
            await send_response(send, 200, b"{}")
        elif resource == "objects":
            content = self.objects.get(name)
            status = 404 if content is None else 200
            await send_response(send, status, content or b"", b"application/octet-stream")
        elif resource == "vms":
            await send_response(send, 200, json.dumps(self.vms).encode())
        else:
            await send_response(send, 404, b"{}")

    async def _commit(self, writes: list[dict[str, Any]], send: Any) -> None:
        self.writes += 1
        missing_row = StoredRow("", 0)
        if len({write["key"] for write in writes}) < len(writes):
            await send_response(send, 400, b"{}")
            return
        if any(
            self.rows.get(w["key"], missing_row).version != w["expected_version"] for w in writes
        ):
            await send_response(send, 409, b"{}")
            return
        for write in writes:
            base64.b64decode(write["value"])
            self.rows[write["key"]] = StoredRow(write["value"], write["expected_version"] + 1)
        if self.faults.lose_answers > 0:
            self.faults = self.faults._replace(lose_answers=self.faults.lose_answers - 1)
            await send_response(send, 504, b"{}")
            return
        await send_response(send, 200, b"{}")

    async def _handle_control(self, method: str, body: bytes, send: Any) -> None:
        if method == "POST":
            self.faults = self.faults._replace(**json.loads(body))
        state = {**self.faults._asdict(), "reads": self.reads, "writes": self.writes}
        await send_response(send, 200, json.dumps(state).encode())


async def run_platform(address: str, stop: anyio.Event) -> None:
    """Run a stand-in platform on IP:port until ``stop`` is set."""
    await serve_app(StandInPlatform(), address, stop)
