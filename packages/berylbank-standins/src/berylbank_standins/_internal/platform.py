"""A stand-in platform: table service, object store and VM list with faults on request."""

import base64
import json
from typing import Any, NamedTuple

import anyio

from berylbank_standins._internal.serving import read_body, send_answer, serve_app


class PlatformFaults(NamedTuple):
    """Faults that are switched on now.

    ``outage`` refuses everything, ``hang`` never answers, ``lose_answers`` is the number of
    writes whose answer is lost after they took effect.
    """

    latency_ms: int = 0
    outage: bool = False
    hang: bool = False
    lose_answers: int = 0


class StoredRow(NamedTuple):
    """A row and its version."""

    value: str
    version: int


class StandInPlatform:
    """The state of the stand-in platform and its ASGI application."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.vms: list[dict[str, Any]] = []
        self.faults = PlatformFaults()
        self.reads = 0
        self.writes = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        path, body = scope["path"], await read_body(receive)
        if path == "/control":
            await self._control(scope["method"], body, send)
            return
        await anyio.sleep(self.faults.latency_ms / 1000)
        if self.faults.hang:
            await anyio.sleep(3600)
        if self.faults.outage:
            await send_answer(send, 503, b"{}")
            return
        await self._serve(scope["method"], path, body, send)

    async def _serve(self, method: str, path: str, body: bytes, send: Any) -> None:
        _, kind, *rest = path.split("/", 2)
        name = rest[0] if rest else ""
        if kind == "rows":
            self.reads += 1
            row = self.rows.get(name, StoredRow("", 0))
            await send_answer(send, 200, json.dumps(row._asdict()).encode())
        elif kind == "commit":
            await self._commit(json.loads(body), send)
        elif kind == "objects" and method == "PUT":
            self.objects[name] = body
            await send_answer(send, 200, b"{}")
        elif kind == "objects":
            found = self.objects.get(name)
            status = 404 if found is None else 200
            await send_answer(send, status, found or b"", b"application/octet-stream")
        elif kind == "vms":
            await send_answer(send, 200, json.dumps(self.vms).encode())
        else:
            await send_answer(send, 404, b"{}")

    async def _commit(self, writes: list[dict[str, Any]], send: Any) -> None:
        self.writes += 1
        empty = StoredRow("", 0)
        if len({write["key"] for write in writes}) < len(writes):
            await send_answer(send, 400, b"{}")
            return
        if any(self.rows.get(w["key"], empty).version != w["expected_version"] for w in writes):
            await send_answer(send, 409, b"{}")
            return
        for write in writes:
            base64.b64decode(write["value"])
            self.rows[write["key"]] = StoredRow(write["value"], write["expected_version"] + 1)
        if self.faults.lose_answers > 0:
            self.faults = self.faults._replace(lose_answers=self.faults.lose_answers - 1)
            await send_answer(send, 504, b"{}")
            return
        await send_answer(send, 200, b"{}")

    async def _control(self, method: str, body: bytes, send: Any) -> None:
        if method == "POST":
            self.faults = self.faults._replace(**json.loads(body))
        state = {**self.faults._asdict(), "reads": self.reads, "writes": self.writes}
        await send_answer(send, 200, json.dumps(state).encode())


async def run_platform(address: str, stop: anyio.Event) -> None:
    """Serve a stand-in platform on IP:port until ``stop`` is set."""
    await serve_app(StandInPlatform(), address, stop)
