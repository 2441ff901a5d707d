"""A stand-in backend server of the platform: slots, a queue, object memory and faults."""

import json
import time
from collections import Counter, OrderedDict
from typing import Any, NamedTuple

import anyio

from berylbank_standins._internal.serving import read_body

QUEUE_PER_SLOT = 3
REMEMBERED_OBJECTS = 24


class SteeredBehaviour(NamedTuple):
    """How a server behaves now.

    ``work_ms`` is for an object that it has not handled lately; ``warm_part`` of it for others.
    ``status`` is what it answers, ``truncate`` breaks answers off, ``extra`` sends a second one,
    ``hang`` never answers, ``wrong_server`` says that the address is another's.
    """

    slots: int = 8
    work_ms: int = 0
    warm_part: float = 0.3
    body_bytes: int = 100
    status: int = 200
    truncate: bool = False
    extra: bool = False
    hang: bool = False
    shed: bool = False
    wrong_server: bool = False


class SteeredBackend:
    """One backend server as an ASGI application; ``ran`` counts requests by id."""

    def __init__(self, server_id: str, behaviour: SteeredBehaviour) -> None:
        self.server_id = server_id
        self.behaviour = behaviour
        self.slots = anyio.CapacityLimiter(behaviour.slots)
        self.ran: Counter[str] = Counter()
        self.seen: list[dict[str, str]] = []
        self.objects: OrderedDict[str, None] = OrderedDict()
        self.arrived = 0
        self.cancelled = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        headers["method"], headers["path"] = scope["method"], scope["path"]
        body = await read_body(receive)
        headers["body"] = body.decode("latin-1")
        headers["arrived"] = str(time.monotonic())
        self.arrived += 1
        now = self.behaviour
        if now.wrong_server or headers.get("x-expected-instance") != self.server_id:
            await self._answer(send, 421, [(b"x-instance-id", self.server_id.encode())], b"")
            return
        waiting = self.slots.statistics().tasks_waiting
        if now.shed or waiting >= now.slots * QUEUE_PER_SLOT:
            await self._answer(send, 503, [(b"x-not-executed", b"1")], b"")
            return
        await self._run(headers, receive, send)

    async def _run(self, headers: dict[str, str], receive: Any, send: Any) -> None:
        self.seen.append(headers)
        async with anyio.create_task_group() as group:
            group.start_soon(self._stop_when_gone, receive, group.cancel_scope)
            async with self.slots:
                self.ran[headers["x-request-id"]] += 1
                await anyio.sleep(self._work_ms(headers.get("cookie", "")) / 1000)
                if self.behaviour.hang:
                    await anyio.sleep_forever()
                await self._reply(headers, send)
            group.cancel_scope.cancel()

    async def _stop_when_gone(self, receive: Any, scope: anyio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self.cancelled += 1
        scope.cancel()

    def _work_ms(self, object_key: str) -> float:
        warm = object_key in self.objects
        self.objects[object_key] = None
        self.objects.move_to_end(object_key)
        while len(self.objects) > REMEMBERED_OBJECTS:
            self.objects.popitem(last=False)
        return self.behaviour.work_ms * (self.behaviour.warm_part if warm else 1.0)

    async def _reply(self, headers: dict[str, str], send: Any) -> None:
        used = self.slots.statistics()
        load = f"{used.borrowed_tokens},{used.tasks_waiting},{self.behaviour.slots}"
        told = [
            (b"x-request-id", headers["x-request-id"].encode()),
            (b"x-server-signature", f"signed-{self.server_id}".encode()),
            (b"x-server-load", load.encode()),
        ]
        body = json.dumps({"server": self.server_id, "fill": "x" * self.behaviour.body_bytes})
        await self._answer(send, self.behaviour.status, told, body.encode())

    async def _answer(
        self, send: Any, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        if self.behaviour.truncate:
            await send(
                {"type": "http.response.body", "body": body[: len(body) // 2], "more_body": True}
            )
            return
        await send({"type": "http.response.body", "body": body})
