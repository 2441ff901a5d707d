"""A stand-in for a backend server of the platform.

It has slots, a queue, a cache of objects and faults that tests can switch on.
"""

import json
import math
import random
import time
from collections import Counter, OrderedDict
from typing import Any, NamedTuple

import anyio

from berylbank_standins._internal.serving import read_body

QUEUE_LENGTH_PER_SLOT = 3
MAX_WARM_OBJECTS = 24
# A server that keeps to the deadlines of requests responds this long before them.
DEADLINE_MARGIN_S = 0.2


class SteeredBehaviour(NamedTuple):
    """How a server responds.

    ``work_ms`` is the service time for an object that it has not handled recently; for a recent
    object it is multiplied by ``warm_factor``. ``status`` is the status of its responses,
    ``truncate`` closes the connection in the middle of a response, ``extra`` is meant to send a
    second response but is not implemented, ``hang`` never responds, ``shed`` responds that the
    request was not executed, ``wrong_server`` responds that the address is another server's.
    ``slow_share`` of the requests take ``slow_ms`` instead. For ``cold_s`` after the start of the
    server, all times are multiplied by ``cold_factor``. With ``keep_deadlines`` the server responds
    before the deadline of a request, or states that it did not execute it. ``silent_share`` of the
    requests never get a response, as if their connections had died.
    """

    slots: int = 8
    work_ms: int = 0
    warm_factor: float = 0.3
    body_bytes: int = 100
    status: int = 200
    truncate: bool = False
    extra: bool = False
    hang: bool = False
    shed: bool = False
    wrong_server: bool = False
    slow_share: float = 0.0
    slow_ms: int = 0
    cold_s: float = 0.0
    cold_factor: float = 1.0
    keep_deadlines: bool = False
    silent_share: float = 0.0


class WorkRecord(NamedTuple):
    """The time that a request spent at a server, in seconds of the monotonic clock.

    ``state`` is "done" or "truncated" if the server responded, "refused" if it did not execute the
    request after all; "queued", "running" or "silent" if its connection was closed before.
    """

    request_id: str
    arrived_s: float
    ended_s: float
    state: str


class SteeredBackend:
    """One backend server as an ASGI application.

    ``run_counts`` counts the runs of each request by its id. ``received_headers`` has the headers
    of each request that was queued or run, and beside them its method, path, body and time of
    arrival as the entries ``method``, ``path``, ``body`` and ``arrived``. ``arrived`` counts
    requests, ``cancelled`` those whose caller disconnected while they were queued or run.
    ``work_records`` has an entry for each request that was queued or run and has ended.
    """

    def __init__(self, server_id: str, behaviour: SteeredBehaviour) -> None:
        self.server_id = server_id
        self.behaviour = behaviour
        self.slots = anyio.CapacityLimiter(behaviour.slots)
        self.run_counts: Counter[str] = Counter()
        self.received_headers: list[dict[str, str]] = []
        self.warm_objects: OrderedDict[str, None] = OrderedDict()
        self.arrived = 0
        self.cancelled = 0
        self.work_records: list[WorkRecord] = []
        self.rng = random.Random(server_id)
        self.started_s = time.monotonic()

    def restart(self) -> None:
        """Become cold, with no object handled recently."""
        self.started_s = time.monotonic()
        self.warm_objects.clear()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        headers["method"], headers["path"] = scope["method"], scope["path"]
        body = await read_body(receive)
        headers["body"] = body.decode("latin-1")
        headers["arrived"] = str(time.monotonic())
        self.arrived += 1
        behaviour = self.behaviour
        # As on the platform, refusals name the request too.
        echoed = [(b"x-request-id", headers.get("x-request-id", "").encode())]
        if behaviour.wrong_server or headers.get("x-expected-instance") != self.server_id:
            instance = (b"x-instance-id", self.server_id.encode())
            await self._send_response(send, 421, [*echoed, instance], b"")
            return
        waiting = self.slots.statistics().tasks_waiting
        if behaviour.shed or waiting >= behaviour.slots * QUEUE_LENGTH_PER_SLOT:
            await self._send_response(send, 503, [*echoed, (b"x-not-executed", b"1")], b"")
            return
        await self._run_request(headers, receive, send)

    async def _run_request(self, headers: dict[str, str], receive: Any, send: Any) -> None:
        self.received_headers.append(headers)
        states = ["queued"]
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_disconnect, receive, group.cancel_scope)
                await self._work(headers, send, states)
                group.cancel_scope.cancel()
        finally:
            arrived_s, ended_s = float(headers["arrived"]), time.monotonic()
            self.work_records.append(
                WorkRecord(headers["x-request-id"], arrived_s, ended_s, states[-1])
            )

    async def _work(self, headers: dict[str, str], send: Any, states: list[str]) -> None:
        """Wait for a slot and run a request; append each state that it enters to ``states``."""
        latest_s = anyio.current_time() + int(headers.get("x-deadline-ms", "0")) / 1000
        latest_s = latest_s - DEADLINE_MARGIN_S if self.behaviour.keep_deadlines else math.inf
        if self.rng.random() < self.behaviour.silent_share:
            states.append("silent")
            await anyio.sleep_forever()
        async with self.slots:
            remaining_s = latest_s - anyio.current_time()
            if remaining_s <= 0:
                states.append("refused")
                echoed = [(b"x-request-id", headers["x-request-id"].encode())]
                await self._send_response(send, 503, [*echoed, (b"x-not-executed", b"1")], b"")
                return
            states.append("running")
            self.run_counts[headers["x-request-id"]] += 1
            work_s = self._work_ms(headers.get("cookie", "")) / 1000
            await anyio.sleep(min(work_s, remaining_s))
            if self.behaviour.hang:
                await anyio.sleep_forever()
            states.append("truncated" if self.behaviour.truncate else "done")
            await self._respond(headers, send)

    async def _cancel_on_disconnect(self, receive: Any, scope: anyio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self.cancelled += 1
        scope.cancel()

    def _work_ms(self, object_key: str) -> float:
        warm = object_key in self.warm_objects
        self.warm_objects[object_key] = None
        self.warm_objects.move_to_end(object_key)
        while len(self.warm_objects) > MAX_WARM_OBJECTS:
            self.warm_objects.popitem(last=False)
        work_ms = self.behaviour.work_ms * (self.behaviour.warm_factor if warm else 1.0)
        if self.rng.random() < self.behaviour.slow_share:
            work_ms = self.behaviour.slow_ms
        is_cold = time.monotonic() < self.started_s + self.behaviour.cold_s
        return work_ms * (self.behaviour.cold_factor if is_cold else 1.0)

    async def _respond(self, headers: dict[str, str], send: Any) -> None:
        slot_usage = self.slots.statistics()
        load = f"{slot_usage.borrowed_tokens},{slot_usage.tasks_waiting},{self.behaviour.slots}"
        response_headers = [
            (b"x-request-id", headers["x-request-id"].encode()),
            (b"x-server-signature", f"signed-{self.server_id}".encode()),
            (b"x-server-load", load.encode()),
        ]
        body = json.dumps({"server": self.server_id, "fill": "x" * self.behaviour.body_bytes})
        await self._send_response(send, self.behaviour.status, response_headers, body.encode())

    async def _send_response(
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
