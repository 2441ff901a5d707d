"""Callers that keep connections open, and a record of every request."""

import itertools
import json
import random
import time
from typing import NamedTuple

import anyio
import httpx
from steering_fleet import SteeringFleet, Vm

CALLERS = 6
PAUSE_S = (0.01, 0.08)
DEADLINE_MS = 3_000
TIMEOUT_S = 4.0
OBJECTS = 30


class CallRecord(NamedTuple):
    """One request and what its caller saw; ``status`` is 0 where no whole answer came."""

    request_id: str
    key: str
    unsafe: bool
    vm: str
    sent_s: float
    ended_s: float
    status: int
    failure: str
    sound: bool


class Callers:
    """Sends requests to all VMs until told to stop."""

    def __init__(self, fleet: SteeringFleet, keys: tuple[str, ...], seed: int) -> None:
        self.fleet = fleet
        self.keys = keys
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.records: list[CallRecord] = []
        self.stopping = False

    async def run(self) -> None:
        """Send until :attr:`stopping` is set, then wait for the last answers."""
        async with anyio.create_task_group() as group:
            for _ in range(CALLERS):
                group.start_soon(self._call_again_and_again)

    async def send(self, client: httpx.AsyncClient, vm: Vm, key: str) -> CallRecord:
        """Send one request and record its end."""
        unsafe = self.rng.random() < 0.4
        request_id = f"soak{next(self.numbers):08d}"
        headers = {
            "host": "a.example",
            "x-key": key,
            "x-request-id": request_id,
            "x-deadline-ms": str(DEADLINE_MS),
            "cookie": f"X-Affinity-Key=o{self.rng.randrange(OBJECTS)}",
        }
        method, path = ("POST", "/books/x") if unsafe else ("GET", "/reads/x")
        sent_s = time.monotonic()
        status, failure, sound = 0, "", True
        try:
            answer = await client.request(
                method,
                self.fleet.url(vm, path),
                headers=headers,
                content=b"a booking" if unsafe else None,
            )
            status, sound = answer.status_code, is_sound(answer, request_id)
        except httpx.HTTPError as error:
            failure = type(error).__name__
        record = CallRecord(
            request_id, key, unsafe, vm.name, sent_s, time.monotonic(), status, failure, sound
        )
        self.records.append(record)
        return record

    async def _call_again_and_again(self) -> None:
        async with httpx.AsyncClient(verify=False, timeout=TIMEOUT_S, trust_env=False) as client:
            while not self.stopping:
                vm = self.rng.choice(self.fleet.vms)
                await self.send(client, vm, self.rng.choice(self.keys))
                await anyio.sleep(self.rng.uniform(*PAUSE_S))


def is_sound(answer: httpx.Response, request_id: str) -> bool:
    """Tell whether a success is the whole, signed answer to this very request."""
    if answer.status_code != httpx.codes.OK:
        return True
    if answer.headers.get("x-request-id") != request_id:
        return False
    try:
        server = json.loads(answer.content)["server"]
    except (ValueError, KeyError):
        return False
    return bool(answer.headers.get("x-server-signature") == f"signed-{server}")
